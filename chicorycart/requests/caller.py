"""HTTP server side: reads a request and writes its response."""

from asyncio import create_task
from asyncio import Event
from asyncio import Task
from asyncio import timeout
from collections.abc import Coroutine
from socket import SO_LINGER
from socket import SOL_SOCKET
from struct import pack
from typing import Protocol

from logbook import Logger
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

from chicorycart.defaults import LINGER_SECONDS
from chicorycart.requests.errors import CallerDisconnectedError
from chicorycart.requests.pipe import Pipe

LOGGER = Logger("requests")
HTTP_1_0 = "HTTP/1.0"
HTTP_1_1 = "HTTP/1.1"
RESET_ON_CLOSE = pack("ii", 1, 0)
"""SO_LINGER on with 0 s: closing the socket sends a TCP reset."""
NO_BODY_STATUSES = (204, 304)


class Responder(Protocol):
    """Handles requests."""

    def serve(
        self, line: RequestStartLine, headers: HTTPHeaders, caller: "Caller"
    ) -> Coroutine[None, None, None]:
        """Handle one request and write its response to the caller."""


class Caller(HTTPMessageDelegate):
    """One request of a caller and the connection for its response.

    Attributes
    ----------
    host : str
        IP address of the caller.
    pipe : Pipe
        Body of the request.
    is_read : Event
        Set once the request was read to its end or the caller disconnected.
    has_begun : bool
        Whether the head of a response was written.
    is_close_delimited : bool
        Whether closing the connection marks the end of the response.
    """

    def __init__(self, connection: HTTP1Connection, responder: Responder):
        self.connection = connection
        self.responder = responder
        self.host = connection.context.remote_ip
        self.pipe = Pipe()
        self.is_read = Event()
        self.task: Task | None = None
        self.version = HTTP_1_1
        self.method = ""
        self.has_begun = False
        self.is_close_delimited = False

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Start handling the request while its body is still being read."""
        self.version = start_line.version
        self.method = start_line.method
        self.connection.stream.set_close_callback(self.on_connection_close)
        self.connection.set_close_callback(self.on_connection_close)
        self.task = create_task(self.run(start_line, headers))

    async def run(self, line: RequestStartLine, headers: HTTPHeaders) -> None:
        """Handle the request; if that fails, close the connection.

        Otherwise its caller would wait for a response.
        """
        try:
            await self.responder.serve(line, headers, self)
        except CallerDisconnectedError:
            self.abort()
        except Exception:
            LOGGER.exception("event=request_failed path={!r}", line.path)
            self.abort()

    async def data_received(self, chunk: bytes) -> None:
        """Pass on a chunk of the body, with back-pressure."""
        await self.pipe.put(chunk)

    def finish(self) -> None:
        """End the body."""
        self.is_read.set()
        self.pipe.end()

    def on_connection_close(self) -> None:
        """Cancel the request, because its caller disconnected."""
        self.is_read.set()
        self.pipe.fail(CallerDisconnectedError("the caller left"))
        self.pipe.discard()
        if self.task is not None:
            self.task.cancel()

    async def begin(
        self,
        status: int,
        reason: str,
        headers: HTTPHeaders,
        is_closing: bool,
    ) -> None:
        """Write the head of the response.

        An HTTP/1.0 connection is always closed after the response: where
        its length is not known, closing marks the end of the body.
        """
        self.has_begun = True
        has_body = self.method != "HEAD" and status not in NO_BODY_STATUSES
        if self.version == HTTP_1_0:
            is_closing = True
            self.is_close_delimited = (
                has_body and "Content-Length" not in headers
            )
            # Otherwise tornado would set "Connection: Keep-Alive" for a caller
            # that asked for it; there is no public option against that.
            self.connection._request_headers.pop("Connection", None)
        if is_closing:
            headers["Connection"] = "close"
            self.connection._disconnect_on_finish = True
        line = ResponseStartLine(HTTP_1_1, status, reason)
        try:
            await self.connection.write_headers(line, headers)
        except StreamClosedError as error:
            raise CallerDisconnectedError("the caller left") from error

    async def write(self, chunk: bytes) -> None:
        """Write a chunk of the response, as fast as the caller reads."""
        try:
            await self.connection.write(chunk)
        except StreamClosedError as error:
            raise CallerDisconnectedError("the caller left") from error

    async def end(self) -> None:
        """End the response after reading the request to its end.

        Closing a socket with unread data resets the connection, and the
        caller might lose the response. So the rest of the request is read
        and dropped, for at most `LINGER_SECONDS`.
        """
        self.pipe.discard()
        try:
            async with timeout(LINGER_SECONDS):
                await self.is_read.wait()
        except TimeoutError:
            pass
        self.task = None
        self.connection.finish()

    def abort(self) -> None:
        """Close the connection so that the caller sees a failed response.

        Where closing the connection marks the end of the response, only a
        TCP reset tells a truncated response from a complete one.
        """
        self.task = None
        self.pipe.discard()
        stream = self.connection.stream
        if self.is_close_delimited and not stream.closed():
            stream.socket.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        self.connection.close()
