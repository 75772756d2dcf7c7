"""HTTP client of the daemons, with a timeout and failover."""

from collections.abc import Mapping

from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError

from chicorycart.links.errors import LinkError


class HttpResponse:
    """Response of a server.

    Attributes
    ----------
    status : int
        Status code.
    body : bytes
        Complete body.
    headers : Mapping of str to str
        Headers; their names are compared without regard to case.
    """

    __slots__ = ("status", "body", "headers")

    def __init__(self, status: int, body: bytes, headers: Mapping[str, str]):
        self.status = status
        self.body = body
        self.headers = headers


class HttpClient:
    """HTTP client that fails over between base addresses.

    Parameters
    ----------
    bases : list of str
        Base addresses in order of use. After a failure the first one goes to
        the end, so that the next request goes to another.
    """

    __slots__ = ("bases", "http")

    def __init__(self, bases: list[str]):
        self.bases = list(bases)
        self.http = AsyncHTTPClient()

    async def get(self, path: str, seconds: float) -> HttpResponse:
        """Send one GET request.

        Parameters
        ----------
        path : str
            Path and query string.
        seconds : float
            Timeout of connecting, and of the whole request.

        Raises
        ------
        LinkError
            If no response arrived, or one with a status of 500 or above.
        """
        base = self.bases[0]
        try:
            response = await self.http.fetch(
                f"{base}{path}",
                connect_timeout=seconds,
                request_timeout=seconds,
                raise_error=False,
            )
        except (HTTPClientError, OSError) as error:
            self.rotate_bases()
            raise LinkError(f"{base}{path}: GET failed: {error}") from error
        if response.code >= 500 and response.error is not None:
            self.rotate_bases()
            raise LinkError(f"{base}{path}: GET failed: {response.error}")
        return HttpResponse(response.code, response.body, response.headers)

    def rotate_bases(self) -> None:
        """Move the first base address to the end."""
        self.bases.append(self.bases.pop(0))
