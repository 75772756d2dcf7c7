"""Hands versions out to peers over HTTP, on the control address."""

from tornado.web import RequestHandler
from tornado.web import URLSpec

from chicorycart.configuration.delta import DeltaHistory
from chicorycart.configuration.errors import BusyError
from chicorycart.configuration.messages import encode_delta
from chicorycart.configuration.version_manager import VersionManager
from chicorycart.pace import TokenBucket

NO_CONTENT = 204
BAD_REQUEST = 400
UNAVAILABLE = 503


class DeltaServer:
    """Makes the answers for peers, within a budget of bytes.

    Parameters
    ----------
    version_manager : VersionManager
        Tells the version in force.
    history : DeltaHistory
        Makes the deltas.
    bucket : TokenBucket
        Holds the bytes that may be handed out.
    """

    __slots__ = (
        "version_manager",
        "history",
        "bucket",
        "whole",
        "whole_version",
    )

    def __init__(
        self,
        version_manager: VersionManager,
        history: DeltaHistory,
        bucket: TokenBucket,
    ):
        self.version_manager = version_manager
        self.history = history
        self.bucket = bucket
        self.whole = b""
        self.whole_version = 0

    def serve_version(self) -> int:
        """Return the version in force, 0 for none."""
        return self.version_manager.version

    def serve_delta(self, after: int) -> bytes | None:
        """Return what leads from a version to the one in force.

        None if there is nothing later.

        Raises
        ------
        BusyError
            If the budget is used up; the peer is to ask another one.
        """
        if self.version_manager.version <= after:
            return None
        if not self.bucket.try_acquire(0):
            self.version_manager.metrics.events.labels("busy").inc()
            raise BusyError("no bytes left to hand out")
        delta = self.history.make_delta(after)
        body = encode_delta(delta) if delta.base else self.encode_whole()
        self.bucket.charge(len(body))
        return body

    def encode_whole(self) -> bytes:
        """Return the whole version, encoded once."""
        if self.whole_version != self.version_manager.version:
            self.whole = encode_delta(self.history.make_delta(0))
            self.whole_version = self.version_manager.version
        return self.whole


class DeltaHandler(RequestHandler):
    """Answers with the delta from a version to the one in force."""

    def initialize(self, server: DeltaServer) -> None:
        """Take the server to ask."""
        self.server = server

    def get(self) -> None:
        """Answer ``GET /v1/configuration?after=VERSION``."""
        after = self.get_query_argument("after", "0")
        if not after.isdecimal():
            self.set_status(BAD_REQUEST)
            self.finish("after: expected a number from 0\n")
            return
        try:
            body = self.server.serve_delta(int(after))
        except BusyError as error:
            self.set_status(UNAVAILABLE)
            self.finish(f"{error}\n")
            return
        if body is None:
            self.set_status(NO_CONTENT)
            return
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(body)


class VersionHandler(RequestHandler):
    """Answers with the version in force."""

    def initialize(self, server: DeltaServer) -> None:
        """Take the server to ask."""
        self.server = server

    def get(self) -> None:
        """Answer ``GET /v1/configuration/version``."""
        self.finish(f"{self.server.serve_version()}\n")


def list_routes(server: DeltaServer) -> list[URLSpec]:
    """Return the routes for peers."""
    arguments = {"server": server}
    return [
        URLSpec("/v1/configuration", DeltaHandler, arguments),
        URLSpec("/v1/configuration/version", VersionHandler, arguments),
    ]
