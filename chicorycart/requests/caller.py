"""Reads a caller's request and writes the answer to it."""

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
NO_BODY_STATUSES = (204, 304)


class Responder(Protocol):
    """Answers requests."""

    def serve(
        self, line: RequestStartLine, headers: HTTPHeaders, caller: "Caller"
    ) -> Coroutine[None, None, None]:
        """Answer one request of the caller."""


class Caller(HTTPMessageDelegate):
    """One request of a caller and the way back to it.

    Attributes
    ----------
    host : str
        IP number of the caller.
    pipe : Pipe
        The body of the request.
    has_begun : bool
        Whether the head of an answer was written.
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
        """Begin to answer while the body is still being read."""
        self.version = start_line.version
        self.method = start_line.method
        self.connection.stream.set_close_callback(self.on_connection_close)
        self.connection.set_close_callback(self.on_connection_close)
        self.task = create_task(self.run(start_line, headers))

    async def run(self, line: RequestStartLine, headers: HTTPHeaders) -> None:
        """Have the request answered; never leave its caller waiting."""
        try:
            await self.responder.serve(line, headers, self)
        except CallerDisconnectedError:
            self.abort()
        except Exception:
            LOGGER.exception("event=request_failed path={!r}", line.path)
            self.abort()

    async def data_received(self, chunk: bytes) -> None:
        """Take a part of the body, as fast as it is passed on."""
        await self.pipe.put(chunk)

    def finish(self) -> None:
        """Take the end of the body."""
        self.is_read.set()
        self.pipe.end()

    def on_connection_close(self) -> None:
        """Give the request up, since its caller left."""
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
        """Write the head of the answer.

        A caller of HTTP/1.0 always gets its connection closed after the
        answer: where the length is not known, that ends the body.
        """
        self.has_begun = True
        has_body = self.method != "HEAD" and status not in NO_BODY_STATUSES
        if self.version == HTTP_1_0:
            is_closing = True
            self.is_close_delimited = (
                has_body and "Content-Length" not in headers
            )
            # tornado would keep the connection open and has no other switch.
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
        """Write a part of the answer, as fast as the caller reads."""
        try:
            await self.connection.write(chunk)
        except StreamClosedError as error:
            raise CallerDisconnectedError("the caller left") from error

    async def end(self) -> None:
        """End the answer, having read the request to its end.

        Closing with unread data would reset the connection, and the caller
        might lose the answer; so a rest is read and dropped for a while.
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
        """Break the answer off so that the caller can see it.

        Where the answer ends with the connection, only a reset tells a cut
        answer from a whole one.
        """
        self.task = None
        self.pipe.discard()
        stream = self.connection.stream
        if self.is_close_delimited and not stream.closed():
            stream.socket.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        self.connection.close()
