"""HTTP listener of the gateway, with graceful shutdown."""

from asyncio import sleep
from asyncio import timeout

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate

from chicorycart.address import Address
from chicorycart.defaults import CALLER_IDLE_SECONDS
from chicorycart.defaults import CHUNK_BYTES
from chicorycart.defaults import MAX_HEADER_READ_BYTES
from chicorycart.defaults import STOP_IDLE_SECONDS
from chicorycart.requests.caller import Caller
from chicorycart.requests.gateway import Gateway

UNBOUNDED_BYTES = 1 << 50
"""Body limit given to tornado, which would close the connection at it.

The gateway has a limit of its own, and answers with status 413.
"""


class RequestServer(HTTPServerConnectionDelegate):
    """The HTTP listener of a gateway.

    Parameters
    ----------
    gateway : Gateway
        Handles the requests.

    Attributes
    ----------
    is_closed : bool
        Whether the listener and every connection are closed.
    """

    def __init__(self, gateway: Gateway):
        self.gateway = gateway
        self.is_closed = False
        self.server = HTTPServer(
            self,
            chunk_size=CHUNK_BYTES,
            max_header_size=MAX_HEADER_READ_BYTES,
            max_body_size=UNBOUNDED_BYTES,
            max_buffer_size=2 * MAX_HEADER_READ_BYTES,
            idle_connection_timeout=CALLER_IDLE_SECONDS,
        )

    def listen(self, address: Address) -> None:
        """Start to accept connections."""
        self.server.listen(address.port, address.host)

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> Caller:
        """Return the delegate that reads the next request."""
        return Caller(request_conn, self.gateway)

    def on_close(self, server_conn: object) -> None:
        """Do nothing; each `Caller` has a close callback of its own."""

    async def stop(self, seconds: float | None) -> None:
        """Wait for the requests in progress to end, then close.

        Parameters
        ----------
        seconds : float or None
            Longest wait, as the operator set it; None waits without limit.
        """
        self.gateway.is_stopping = True
        self.gateway.last_request_end = self.gateway.clock.now()
        try:
            async with timeout(seconds):
                await self.wait_until_idle()
        except TimeoutError:
            pass
        await self.close()

    async def wait_until_idle(self) -> None:
        """Wait until no request was in progress for `STOP_IDLE_SECONDS`."""
        while True:
            await self.gateway.is_idle.wait()
            idle_seconds = (
                self.gateway.clock.now() - self.gateway.last_request_end
            )
            if idle_seconds >= STOP_IDLE_SECONDS:
                return
            await sleep(STOP_IDLE_SECONDS - idle_seconds)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        self.server.stop()
        await self.server.close_all_connections()
        self.is_closed = True
