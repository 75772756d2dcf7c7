"""HTTP client side: one request and its response per connection."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import Task
from asyncio import timeout
from asyncio import timeout_at
from collections.abc import AsyncIterator
from socket import AF_INET
from socket import IPPROTO_TCP
from socket import SO_KEEPALIVE
from socket import SOCK_STREAM
from socket import socket
from socket import SOL_SOCKET
from socket import TCP_KEEPCNT
from socket import TCP_KEEPIDLE
from socket import TCP_KEEPINTVL

from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError

from chicorycart.address import Address
from chicorycart.defaults import CHUNK_BYTES
from chicorycart.defaults import CONNECT_SECONDS
from chicorycart.defaults import KEEPALIVE_IDLE_SECONDS
from chicorycart.defaults import KEEPALIVE_INTERVAL_SECONDS
from chicorycart.defaults import KEEPALIVE_PROBES
from chicorycart.defaults import MAX_HEADER_READ_BYTES
from chicorycart.requests.body import RequestBody
from chicorycart.requests.errors import BadRequestError
from chicorycart.requests.errors import NotRunError
from chicorycart.requests.errors import OutcomeUnknownError
from chicorycart.requests.errors import ResponseTruncatedError
from chicorycart.requests.pipe import Pipe

GATEWAY_TIMEOUT = 504
FIRST_FINAL_STATUS = 200
"""Responses with a lower status are interim ones."""
UNBOUNDED_BYTES = 1 << 50
"""Body limit given to tornado: responses are streamed, of any length."""
CONNECTION_PARAMETERS = HTTP1ConnectionParameters(
    chunk_size=CHUNK_BYTES,
    max_header_size=MAX_HEADER_READ_BYTES,
    max_body_size=UNBOUNDED_BYTES,
)


class ResponseHead:
    """Status line and header fields of a response."""

    __slots__ = ("line", "headers")

    def __init__(self, line: ResponseStartLine, headers: HTTPHeaders):
        self.line = line
        self.headers = headers


class ResponseReader(HTTPMessageDelegate):
    """Reads a response from a connection, with back-pressure.

    Its body goes through `pipe`, whose reader sets the pace.
    """

    def __init__(self, stream: IOStream):
        self.stream = stream
        self.head = get_running_loop().create_future()
        self.pipe = Pipe()

    def headers_received(
        self, start_line: ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store the head of the final response; skip interim (1xx) ones."""
        if start_line.code >= FIRST_FINAL_STATUS and not self.head.done():
            self.head.set_result(ResponseHead(start_line, headers))

    async def data_received(self, chunk: bytes) -> None:
        """Pass on a chunk of the body."""
        await self.pipe.put(chunk)

    def finish(self) -> None:
        """End the response, unless the connection failed.

        Tornado calls this also when a body without a length ends with the
        connection. A connection that failed, rather than was closed, has
        truncated such a body.
        """
        if self.stream.error is None:
            self.pipe.end()
        else:
            self.fail_incomplete()

    def on_connection_close(self) -> None:
        """Fail the response: the connection closed before it ended."""
        self.fail_incomplete()

    def fail_incomplete(self) -> None:
        """Fail the head and the body, as far as they are not received."""
        if not self.head.done():
            self.head.set_exception(
                OutcomeUnknownError("the connection ended without an answer")
            )
            self.head.exception()
        self.pipe.fail(ResponseTruncatedError("the answer broke off"))


class Exchange:
    """One request and its response on a connection of their own.

    Connections are not reused: an idle one may have died unnoticed before
    the next request is sent over it.
    """

    __slots__ = ("stream", "connection", "reader", "receiver", "sender")

    def __init__(self, stream: IOStream):
        self.stream = stream
        self.connection = HTTP1Connection(stream, True, CONNECTION_PARAMETERS)
        self.reader = ResponseReader(stream)
        self.receiver: Task | None = None
        self.sender: Task | None = None

    async def run(
        self,
        line: RequestStartLine,
        headers: HTTPHeaders,
        body: RequestBody,
        deadline: float,
    ) -> ResponseHead:
        """Send the request and return the head of its response.

        Raises
        ------
        OutcomeUnknownError
            If no response begins before the deadline (on the event loop's
            clock) or the connection closes.
        """
        self.receiver = create_task(self.receive())
        self.sender = create_task(self.send(line, headers, body))
        try:
            async with timeout_at(deadline):
                return await self.reader.head
        except TimeoutError as error:
            raise OutcomeUnknownError(
                "no answer began before the deadline", GATEWAY_TIMEOUT
            ) from error

    async def send(
        self, line: RequestStartLine, headers: HTTPHeaders, body: RequestBody
    ) -> None:
        """Write the request, with back-pressure from the connection."""
        try:
            await self.connection.write_headers(line, headers)
            async for chunk in body.chunks():
                await self.connection.write(chunk)
            self.connection.finish()
        except StreamClosedError:
            self.reader.fail_incomplete()
        except BadRequestError as error:
            if not self.reader.head.done():
                self.reader.head.set_exception(
                    OutcomeUnknownError(str(error), error.status)
                )
            self.stream.close()

    async def receive(self) -> None:
        """Read the response to its end."""
        try:
            await self.connection.read_response(self.reader)
        except StreamClosedError:
            pass
        finally:
            self.reader.fail_incomplete()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body of the response.

        Raises
        ------
        ResponseTruncatedError
            If the connection closes before the end of the body.
        """
        while (chunk := await self.read()) is not None:
            yield chunk

    async def read(self) -> bytes | None:
        """Return the next chunk of the body; None at its end.

        Raises
        ------
        ResponseTruncatedError
            If the connection closes before the end of the body.
        """
        return await self.reader.pipe.get()

    def close(self) -> None:
        """Close the connection, which cancels an unfinished request."""
        if self.sender is not None:
            self.sender.cancel()
        self.reader.pipe.discard()
        self.connection.close()


async def open_exchange(
    address: Address, source: str | None, deadline: float
) -> Exchange:
    """Connect to a target, or to the gateway of a peer agent.

    Parameters
    ----------
    address : Address
        Where to connect.
    source : str or None
        Source IP address; None lets the kernel choose.
    deadline : float
        Time on the event loop's clock at which connecting fails.

    Raises
    ------
    NotRunError
        If the connection cannot be opened; nothing was sent then.
    """
    raw_socket = socket(AF_INET, SOCK_STREAM)
    stream = IOStream(
        raw_socket,
        max_buffer_size=2 * MAX_HEADER_READ_BYTES,
        read_chunk_size=CHUNK_BYTES,
    )
    try:
        enable_keepalive(raw_socket)
        if source is not None:
            raw_socket.bind((source, 0))
        async with timeout_at(deadline), timeout(CONNECT_SECONDS):
            await stream.connect(address)
    except TimeoutError as error:
        stream.close()
        raise NotRunError(f"{address}: connecting took too long") from error
    except (StreamClosedError, OSError) as error:
        stream.close()
        raise NotRunError(f"{address}: no connection") from error
    except BaseException:
        stream.close()
        raise
    return Exchange(stream)


def enable_keepalive(raw_socket: socket) -> None:
    """Set TCP keepalive, so that the kernel detects a dead connection."""
    raw_socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    raw_socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    raw_socket.setsockopt(
        IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    raw_socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
