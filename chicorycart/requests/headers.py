"""The header fields that the gateway reads, adds and leaves out."""

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
REQUEST_ONLY = frozenset({"expect", "content-length"})


def copy_headers(
    headers: HTTPHeaders, excluded: Iterable[str] = ()
) -> HTTPHeaders:
    """Copy the fields meant for the other end, repeated ones included.

    Parameters
    ----------
    headers : HTTPHeaders
        Fields as they came.
    excluded : iterable of str
        Names in lower case to leave out beside the hop-by-hop ones.
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
    """Return about how many bytes the fields take."""
    return sum(len(n) + len(v) + 4 for n, v in headers.get_all())


def parse_number(headers: HTTPHeaders, name: str) -> int | None:
    """Return a field that holds digits; None if absent or anything else."""
    text = headers.get(name, "")
    is_number = text.isascii() and text.isdigit() and len(text) < 19
    return int(text) if is_number else None
