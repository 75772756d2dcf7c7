"""The one HTTP client of the daemons: a single call, bounded in time."""

from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError

from chicorycart.links.errors import LinkError


class HttpResponse:
    """What a server answered.

    Attributes
    ----------
    status : int
        Status code.
    body : bytes
        The whole body.
    """

    __slots__ = ("status", "body")

    def __init__(self, status: int, body: bytes):
        self.status = status
        self.body = body


class HttpClient:
    """Calls one of several base addresses.

    Parameters
    ----------
    bases : list of str
        Base addresses; the next one is tried after a failure.
    """

    __slots__ = ("bases", "http")

    def __init__(self, bases: list[str]):
        self.bases = list(bases)
        self.http = AsyncHTTPClient()

    async def get(self, path: str, seconds: float) -> HttpResponse:
        """Send one call.

        Parameters
        ----------
        path : str
            Path and query.
        seconds : float
            Time for the whole call.

        Raises
        ------
        LinkError
            If no answer came, or one that tells of a fault of the server.
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
            self.use_next()
            raise LinkError(f"{base}{path}: {error}") from error
        if response.code >= 500 and response.error is not None:
            self.use_next()
            raise LinkError(f"{base}{path}: {response.error}")
        return HttpResponse(response.code, response.body)

    def use_next(self) -> None:
        """Go on to the next base address."""
        self.bases.append(self.bases.pop(0))
