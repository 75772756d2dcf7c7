"""The request gateway: an HTTP server that runs requests on one target."""

from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application
from tornado.web import RequestHandler

from chicorycart.address import Address
from chicorycart.defaults import MAX_REQUEST_BODY_BYTES

BAD_GATEWAY = 502
HOP_HEADERS = frozenset(
    {"connection", "transfer-encoding", "content-length", "keep-alive"}
)


class GatewayHandler(RequestHandler):
    """Runs each request on the target and streams back the answer."""

    def initialize(self, backend: Address) -> None:
        """Take the address of the target."""
        self.backend = backend

    async def prepare(self) -> None:
        """Run the request whatever its method."""
        request = HTTPRequest(
            f"http://{self.backend}{self.request.uri}",
            method=self.request.method,
            headers=self.request.headers,
            body=self.request.body or None,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
            request_timeout=0,
            header_callback=self.take_header,
            streaming_callback=self.take_chunk,
        )
        self.clear()
        try:
            await AsyncHTTPClient().fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            self.set_status(BAD_GATEWAY)
        if not self._finished:
            await self.finish()

    def take_header(self, line: str) -> None:
        """Take one header line of the target's answer."""
        if line.startswith("HTTP/"):
            self.set_status(int(line.split()[1]))
            return
        name, separator, value = line.partition(":")
        if separator and name.lower() not in HOP_HEADERS:
            self.set_header(name, value.strip())

    async def take_chunk(self, chunk: bytes) -> None:
        """Send one part of the answer on, as fast as the caller reads."""
        self.write(chunk)
        try:
            await self.flush()
        except StreamClosedError:
            self._finished = True


def serve_requests(address: Address, backend: Address) -> HTTPServer:
    """Listen for the callers' requests."""
    application = Application(
        [(".*", GatewayHandler, {"backend": backend})],
        log_function=lambda handler: None,
    )
    return application.listen(
        address.port,
        address.host,
        max_body_size=MAX_REQUEST_BODY_BYTES,
    )
