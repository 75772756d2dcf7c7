"""HTTP client of the daemons, with timeouts and failover."""

from asyncio import get_running_loop
from asyncio import Timeout
from asyncio import timeout_at
from collections.abc import Mapping
from urllib.parse import urlsplit

from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.util import TimeoutError as ConnectTimeoutError

from chicorycart.links.errors import LinkError
from chicorycart.links.errors import SilentLinkError

HTTP_PORT = 80


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


class ResponseReader(HTTPMessageDelegate):
    """Collects one response, and extends its timeout while it arrives.

    Parameters
    ----------
    limit : Timeout
        Timeout of the request, in progress.
    seconds : float
        Longest time without data.
    latest : float
        Time on the loop's clock by which the response must be complete.

    Attributes
    ----------
    is_complete : bool
        Whether the whole response has arrived.
    """

    def __init__(self, limit: Timeout, seconds: float, latest: float):
        self.limit = limit
        self.seconds = seconds
        self.latest = latest
        self.status = 0
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.is_complete = False

    def headers_received(
        self, start_line: ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Take the head of the response."""
        self.status = start_line.code
        self.headers = headers
        self.extend()

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self.chunks.append(chunk)
        self.extend()

    def finish(self) -> None:
        """Record that the response is complete."""
        self.is_complete = True

    def extend(self) -> None:
        """Let the request go on, since data has arrived."""
        due = get_running_loop().time() + self.seconds
        self.limit.reschedule(min(due, self.latest))


class HttpClient:
    """HTTP client that fails over between base addresses.

    Each request has a connection of its own, which is closed as soon as the
    request ends, is given up or is cancelled.

    Parameters
    ----------
    bases : list of str
        Base addresses in order of use. After a failure the first one goes to
        the end, so that the next request goes to another.
    transfer_seconds : float, optional
        Further time for a response that keeps arriving.
    """

    __slots__ = ("bases", "transfer_seconds", "tcp")

    def __init__(self, bases: list[str], transfer_seconds: float = 0.0):
        self.bases = list(bases)
        self.transfer_seconds = transfer_seconds
        self.tcp = TCPClient()

    async def get(self, path: str, seconds: float) -> HttpResponse:
        """Send one GET request.

        Parameters
        ----------
        path : str
            Path and query string.
        seconds : float
            Longest time until the response begins, connecting included, and
            between two parts of it.

        Raises
        ------
        SilentLinkError
            If nothing arrived for that time, or the response was not complete
            `transfer_seconds` after it.
        LinkError
            If no response arrived, or one with a status of 500 or above.
        """
        base = self.bases[0]
        try:
            response = await self.fetch(base, path, seconds)
            if response.status >= 500:
                raise LinkError(f"status {response.status}")
        except LinkError as error:
            self.rotate_bases()
            raise type(error)(f"{base}{path}: GET failed: {error}") from error
        return response

    async def fetch(
        self, base: str, path: str, seconds: float
    ) -> HttpResponse:
        """Send one request on a new connection and read its response."""
        parts = urlsplit(base)
        due = get_running_loop().time() + seconds
        try:
            stream = await self.tcp.connect(
                parts.hostname, parts.port or HTTP_PORT, timeout=seconds
            )
        except ConnectTimeoutError as error:
            raise SilentLinkError(f"no connection in {seconds} s") from error
        except OSError as error:
            raise LinkError(f"no connection: {find_cause(error)}") from error
        try:
            async with timeout_at(due) as limit:
                latest = due + self.transfer_seconds
                reader = ResponseReader(limit, seconds, latest)
                await exchange(stream, parts.netloc, path, reader)
        except TimeoutError as error:
            raise SilentLinkError(
                f"no data for {seconds} s, or not complete in time"
            ) from error
        except OSError as error:
            raise LinkError(
                f"connection closed: {find_cause(error)}"
            ) from error
        finally:
            stream.close()
        if not reader.is_complete:
            raise LinkError("connection closed before the response's end")
        body = b"".join(reader.chunks)
        return HttpResponse(reader.status, body, reader.headers)

    def rotate_bases(self) -> None:
        """Move the first base address to the end."""
        self.bases.append(self.bases.pop(0))


def find_cause(error: OSError) -> BaseException:
    """Return why a stream was closed, where that is known."""
    if isinstance(error, StreamClosedError):
        return error.real_error or error
    return error


async def exchange(
    stream: IOStream, host: str, path: str, reader: ResponseReader
) -> None:
    """Send a request and read its response."""
    connection = HTTP1Connection(
        stream, True, HTTP1ConnectionParameters(decompress=True)
    )
    headers = HTTPHeaders(
        {"Host": host, "Connection": "close", "Accept-Encoding": "gzip"}
    )
    sent = connection.write_headers(
        RequestStartLine("GET", path, "HTTP/1.1"), headers
    )
    connection.finish()
    await sent
    await connection.read_response(reader)
