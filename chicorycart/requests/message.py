"""A request that the gateway handles."""

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
    """A validated request of a caller.

    Attributes
    ----------
    line : RequestStartLine
        Method, path and version of HTTP.
    headers : HTTPHeaders
        Header fields as received.
    body : RequestBody
        Body of the request.
    identifier : str
        Unique; the same at every agent that handles the request.
    deadline : float
        Time on the gateway's clock by which a response must begin.
    wall_deadline : float
        The same in seconds since the epoch, for peer agents.
    is_forwarded : bool
        Whether a peer agent forwarded it.
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
        """Whether running it twice has the same effect as running it once."""
        return (
            self.line.method in IDEMPOTENT_METHODS
            or IDEMPOTENCY_KEY in self.headers
        )

    def build_upstream_headers(
        self, now: float, to_peer_agent: bool
    ) -> HTTPHeaders:
        """Return the header fields for the target or a peer agent.

        Parameters
        ----------
        now : float
            Time on the gateway's clock.
        to_peer_agent : bool
            Whether to add the fields that mark a request as forwarded.
        """
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
        """Set Content-Length if the length of the body is known."""
        if not self.body.is_complete:
            if "Content-Length" in self.headers:
                headers["Content-Length"] = self.headers["Content-Length"]
        elif self.body.read_bytes or self.line.method == "POST":
            headers["Content-Length"] = str(self.body.read_bytes)
