"""Header fields that the gateway reads, adds and removes."""

from collections.abc import Iterable

from tornado.httputil import HTTPHeaders

REQUEST_ID = "X-Request-Id"
TIMEOUT_MS = "X-Request-Timeout-Ms"
OUTCOME = "X-Request-Outcome"
OUTCOME_NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "unknown"
HOPS = "X-Chicorycart-Hops"
DEADLINE = "X-Chicorycart-Deadline"
IDEMPOTENCY_KEY = "Idempotency-Key"

IDEMPOTENT_METHODS = frozenset(
    {"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"}
)
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
OWN_REQUEST_FIELDS = frozenset(
    name.lower() for name in (REQUEST_ID, TIMEOUT_MS, HOPS, DEADLINE)
)
"""Fields that the gateway sets itself, in lower case."""
REQUEST_ONLY = frozenset({"expect", "content-length"})
"""Fields of a received request that the gateway handles or sets anew."""


def copy_headers(
    headers: HTTPHeaders, excluded: Iterable[str] = ()
) -> HTTPHeaders:
    """Copy the end-to-end header fields, repeated ones included.

    Parameters
    ----------
    headers : HTTPHeaders
        Header fields as received.
    excluded : iterable of str
        Names in lower case to leave out besides the hop-by-hop ones.
    """
    dropped = HOP_BY_HOP | set(excluded)
    for value in headers.get_list("Connection"):
        dropped |= {name.strip().lower() for name in value.split(",")}
    copy = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            copy.add(name, value)
    return copy


def estimate_size(headers: HTTPHeaders) -> int:
    """Return the approximate size of the fields, in bytes."""
    return sum(len(n) + len(v) + 4 for n, v in headers.get_all())


def parse_number(headers: HTTPHeaders, name: str) -> int | None:
    """Return a field of up to 18 digits as a number, or else None."""
    text = headers.get(name, "")
    is_number = text.isascii() and text.isdigit() and len(text) < 19
    return int(text) if is_number else None
