"""A request on its way through the gateway."""

from tornado.httputil import HTTPHeaders
from tornado.httputil import RequestStartLine

from chicorycart.requests.body import RequestBody
from chicorycart.requests.headers import copy_headers
from chicorycart.requests.headers import DEADLINE
from chicorycart.requests.headers import HOPS
from chicorycart.requests.headers import IDEMPOTENCY_KEY
from chicorycart.requests.headers import IDEMPOTENT_METHODS
from chicorycart.requests.headers import OWN_REQUEST_FIELDS
from chicorycart.requests.headers import REQUEST_ID
from chicorycart.requests.headers import REQUEST_ONLY
from chicorycart.requests.headers import TIMEOUT_MS
from chicorycart.units import MILLISECONDS


class Request:
    """One request of a caller.

    Attributes
    ----------
    line : RequestStartLine
        Method, path and version.
    headers : HTTPHeaders
        Fields as the caller sent them.
    body : RequestBody
        What follows them.
    identifier : str
        Unique; the same at every agent that the request passes.
    deadline : float
        Time of the gateway's clock by which an answer must begin.
    wall_deadline : float
        The same in seconds since the epoch, for other instances.
    is_forwarded : bool
        Whether a mate sent it.
    """

    __slots__ = (
        "line",
        "headers",
        "body",
        "identifier",
        "deadline",
        "wall_deadline",
        "is_forwarded",
    )

    def __init__(
        self,
        line: RequestStartLine,
        headers: HTTPHeaders,
        body: RequestBody,
        identifier: str,
        deadline: float,
        wall_deadline: float,
        is_forwarded: bool,
    ):
        self.line = line
        self.headers = headers
        self.body = body
        self.identifier = identifier
        self.deadline = deadline
        self.wall_deadline = wall_deadline
        self.is_forwarded = is_forwarded

    @property
    def is_idempotent(self) -> bool:
        """Whether running it again does no harm."""
        return (
            self.line.method in IDEMPOTENT_METHODS
            or IDEMPOTENCY_KEY in self.headers
        )

    def build_upstream_headers(
        self, now: float, to_peer_agent: bool
    ) -> HTTPHeaders:
        """Return the fields for the target or for a mate's gateway."""
        headers = copy_headers(self.headers, OWN_REQUEST_FIELDS | REQUEST_ONLY)
        self.set_content_length(headers)
        remaining_ms = max(1, int((self.deadline - now) * MILLISECONDS))
        headers[REQUEST_ID] = self.identifier
        headers[TIMEOUT_MS] = str(remaining_ms)
        headers["Connection"] = "close"
        if to_peer_agent:
            headers[HOPS] = "1"
            headers[DEADLINE] = str(int(self.wall_deadline * MILLISECONDS))
        return headers

    def set_content_length(self, headers: HTTPHeaders) -> None:
        """Give the length of the body where it is known."""
        if not self.body.is_complete:
            if "Content-Length" in self.headers:
                headers["Content-Length"] = self.headers["Content-Length"]
        elif self.body.read_bytes or self.line.method == "POST":
            headers["Content-Length"] = str(self.body.read_bytes)
