"""Reads versions from peers over HTTP."""

from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError

from chicorycart.configuration.errors import PeerError
from chicorycart.configuration.messages import decode_delta
from chicorycart.configuration.messages import Delta
from chicorycart.configuration.peers import Peer
from chicorycart.defaults import FETCH_TIMEOUT_SECONDS
from chicorycart.defaults import START_ANSWER_SECONDS

NO_CONTENT = 204


class PeerClient:
    """Reads from the control addresses of peers."""

    __slots__ = ("http",)

    def __init__(self):
        self.http = AsyncHTTPClient(force_instance=True)

    async def fetch_delta(self, peer: Peer, after: int) -> Delta | None:
        """Return what leads from a version to the peer's own."""
        body = await self.fetch(
            peer, f"configuration?after={after}", FETCH_TIMEOUT_SECONDS
        )
        return None if body is None else decode_delta(body)

    async def fetch_version(self, peer: Peer) -> int:
        """Return the version that a peer has in force, 0 for none."""
        body = await self.fetch(
            peer, "configuration/version", START_ANSWER_SECONDS
        )
        text = (body or b"").decode("ascii", "replace").strip()
        if not text.isdecimal():
            raise PeerError(f"{peer.name}: not a version")
        return int(text)

    async def fetch(
        self, peer: Peer, path: str, seconds: float
    ) -> bytes | None:
        """Send one call; None if the peer has nothing."""
        try:
            response = await self.http.fetch(
                f"http://{peer.control}/v1/{path}", request_timeout=seconds
            )
        except (HTTPClientError, OSError) as error:
            raise PeerError(f"{peer.name}: {path}: {error}") from error
        return None if response.code == NO_CONTENT else response.body
