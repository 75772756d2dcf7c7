"""Takes in requests: checks their heads and finds their deadlines."""

from collections.abc import Callable
from re import compile as compile_pattern

from tornado.httputil import HTTPHeaders
from tornado.httputil import RequestStartLine

from chicorycart.clock import Clock
from chicorycart.defaults import MAX_DEADLINE_SECONDS
from chicorycart.defaults import MAX_REQUEST_BODY_BYTES
from chicorycart.defaults import MAX_REQUEST_HEADER_BYTES
from chicorycart.membership.sources import KnownSources
from chicorycart.requests.body import RequestBody
from chicorycart.requests.caller import Caller
from chicorycart.requests.errors import BadRequestError
from chicorycart.requests.headers import DEADLINE
from chicorycart.requests.headers import HOPS
from chicorycart.requests.headers import read_number
from chicorycart.requests.headers import REQUEST_ID
from chicorycart.requests.headers import size_of
from chicorycart.requests.headers import TIMEOUT_MS
from chicorycart.requests.message import MILLISECONDS
from chicorycart.requests.message import Request
from chicorycart.requests.seen import SeenRequests

IDENTIFIER = compile_pattern("[0-9a-f]{32}")
BAD_REQUEST = 400
LENGTH_REQUIRED = 411
CONTENT_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
CHUNKED_METHODS = ("POST", "PUT", "PATCH")


class RequestIntake:
    """Checks requests and finds their deadlines.

    Parameters
    ----------
    seen : SeenRequests
        Forwarded requests taken before.
    sources : KnownSources
        Instances whose forwarded requests are believed.
    clock : Clock
        Gives the time that deadlines are in.
    wall_clock : callable
        Returns the time in seconds since the epoch.
    deadline_seconds : float
        Time to answer when the caller does not ask for less.
    """

    __slots__ = (
        "seen",
        "sources",
        "clock",
        "wall_clock",
        "deadline_seconds",
    )

    def __init__(
        self,
        seen: SeenRequests,
        sources: KnownSources,
        clock: Clock,
        wall_clock: Callable[[], float],
        deadline_seconds: float,
    ):
        self.seen = seen
        self.sources = sources
        self.clock = clock
        self.wall_clock = wall_clock
        self.deadline_seconds = deadline_seconds

    def build_request(
        self,
        line: RequestStartLine,
        headers: HTTPHeaders,
        caller: Caller,
        identifier: str,
    ) -> Request:
        """Check a request and find its deadline.

        Fields that only mates send are believed from known instances; from
        anybody else they mean nothing.
        """
        if size_of(headers) + len(line.path) > MAX_REQUEST_HEADER_BYTES:
            raise BadRequestError(HEADERS_TOO_LARGE, "the head is too large")
        length = read_number(headers, "Content-Length") or 0
        if length > MAX_REQUEST_BODY_BYTES:
            raise BadRequestError(CONTENT_TOO_LARGE, "the body is too large")
        is_forwarded = HOPS in headers and self.sources.is_known(caller.host)
        wall = self.wall_clock()
        wall_deadline = wall + self.choose_seconds(headers)
        if is_forwarded:
            identifier = read_identifier(headers)
            deadline_ms = read_number(headers, DEADLINE) or 0
            wall_deadline = deadline_ms / MILLISECONDS
            self.seen.admit(identifier, wall_deadline)
        return Request(
            line,
            headers,
            RequestBody(caller.pipe),
            identifier,
            self.clock.now() + wall_deadline - wall,
            wall_deadline,
            is_forwarded,
        )

    def choose_seconds(self, headers: HTTPHeaders) -> float:
        """Return how long the caller waits for an answer to begin."""
        asked = read_number(headers, TIMEOUT_MS)
        if asked is None:
            return self.deadline_seconds
        return min(asked / MILLISECONDS, MAX_DEADLINE_SECONDS)


def check_framing(request: Request) -> None:
    """Refuse a large body whose length the target could not see."""
    if request.body.is_whole or "Content-Length" in request.headers:
        return
    if request.line.method not in CHUNKED_METHODS:
        raise BadRequestError(LENGTH_REQUIRED, "the body has no length")


def read_identifier(headers: HTTPHeaders) -> str:
    """Return the identifier that a mate gave to a request."""
    identifier = headers.get(REQUEST_ID, "")
    if not IDENTIFIER.fullmatch(identifier):
        raise BadRequestError(BAD_REQUEST, f"{REQUEST_ID} is missing or bad")
    return identifier
