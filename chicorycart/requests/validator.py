"""Validates the heads of requests and sets their deadlines."""

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
from chicorycart.requests.duplicates import DuplicateFilter
from chicorycart.requests.errors import BadRequestError
from chicorycart.requests.headers import DEADLINE
from chicorycart.requests.headers import estimate_size
from chicorycart.requests.headers import HOPS
from chicorycart.requests.headers import parse_number
from chicorycart.requests.headers import REQUEST_ID
from chicorycart.requests.headers import TIMEOUT_MS
from chicorycart.requests.message import MILLISECONDS
from chicorycart.requests.message import Request

IDENTIFIER = compile_pattern("[0-9a-f]{32}")
BAD_REQUEST = 400
LENGTH_REQUIRED = 411
CONTENT_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
CHUNKED_METHODS = ("POST", "PUT", "PATCH")
"""Methods whose bodies of unknown length tornado sends in chunks."""


class RequestValidator:
    """Validates requests and sets their deadlines.

    Parameters
    ----------
    duplicates : DuplicateFilter
        Rejects forwarded requests that were accepted before.
    sources : KnownSources
        Addresses from which forwarded requests are trusted.
    clock : Clock
        Clock of the deadlines.
    wall_clock : callable
        Returns the time in seconds since the epoch.
    deadline_seconds : float
        Time to the start of a response, if the caller sets no timeout.
    """

    __slots__ = (
        "duplicates",
        "sources",
        "clock",
        "wall_clock",
        "deadline_seconds",
    )

    def __init__(
        self,
        duplicates: DuplicateFilter,
        sources: KnownSources,
        clock: Clock,
        wall_clock: Callable[[], float],
        deadline_seconds: float,
    ):
        self.duplicates = duplicates
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
        """Validate a request and set its deadline.

        The header fields of forwarded requests are trusted only from the
        addresses of known instances; from others they are ignored.

        Raises
        ------
        BadRequestError
            If the head or the body is too large, or a forwarded request has
            no valid identifier.
        NotRunError, OutcomeUnknownError
            If a forwarded request is late or a duplicate.
        """
        if estimate_size(headers) + len(line.path) > MAX_REQUEST_HEADER_BYTES:
            raise BadRequestError(HEADERS_TOO_LARGE, "the head is too large")
        length = parse_number(headers, "Content-Length") or 0
        if length > MAX_REQUEST_BODY_BYTES:
            raise BadRequestError(CONTENT_TOO_LARGE, "the body is too large")
        is_forwarded = HOPS in headers and self.sources.is_known(caller.host)
        wall = self.wall_clock()
        wall_deadline = wall + self.choose_timeout(headers)
        if is_forwarded:
            identifier = read_identifier(headers)
            deadline_ms = parse_number(headers, DEADLINE) or 0
            wall_deadline = deadline_ms / MILLISECONDS
            self.duplicates.admit(identifier, wall_deadline)
        return Request(
            line,
            headers,
            RequestBody(caller.pipe),
            identifier,
            self.clock.now() + wall_deadline - wall,
            wall_deadline,
            is_forwarded,
        )

    def choose_timeout(self, headers: HTTPHeaders) -> float:
        """Return the seconds until a response must begin."""
        requested_ms = parse_number(headers, TIMEOUT_MS)
        if requested_ms is None:
            return self.deadline_seconds
        return min(requested_ms / MILLISECONDS, MAX_DEADLINE_SECONDS)


def require_body_length(request: Request) -> None:
    """Refuse a large body of unknown length for a method without bodies.

    Such a body is streamed without a Content-Length, and tornado encodes it
    in chunks only for the methods in `CHUNKED_METHODS`: the target could not
    tell where it ends.
    """
    if request.body.is_complete or "Content-Length" in request.headers:
        return
    if request.line.method not in CHUNKED_METHODS:
        raise BadRequestError(LENGTH_REQUIRED, "the body has no length")


def read_identifier(headers: HTTPHeaders) -> str:
    """Return the identifier that a peer agent gave to a request."""
    identifier = headers.get(REQUEST_ID, "")
    if not IDENTIFIER.fullmatch(identifier):
        raise BadRequestError(BAD_REQUEST, f"{REQUEST_ID} is missing or bad")
    return identifier
