"""Error responses to requests without a response of a target."""

from math import ceil
from random import Random

from tornado.httputil import HTTPHeaders
from tornado.httputil import responses

from chicorycart.defaults import MAX_RETRY_AFTER_SECONDS
from chicorycart.requests.errors import BadRequestError
from chicorycart.requests.errors import OutcomeUnknownError
from chicorycart.requests.errors import RequestError
from chicorycart.requests.headers import OUTCOME
from chicorycart.requests.headers import OUTCOME_NOT_RUN
from chicorycart.requests.headers import OUTCOME_UNKNOWN

UNAVAILABLE = 503
MIN_RETRY_AFTER_SECONDS = 1.0
RETRY_AFTER_SPREAD = 3.0
"""Largest Retry-After as a multiple of the expected wait."""


class Refusal:
    """An error response of the gateway itself.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : HTTPHeaders
        Header fields, with the outcome and possibly Retry-After.
    body : bytes
        Outcome and reason as a line of text.
    """

    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, outcome: str, text: str):
        self.status = status
        self.body = f"{outcome}: {text}\n".encode()
        self.headers = HTTPHeaders(
            {
                OUTCOME: outcome,
                "Content-Type": "text/plain; charset=utf-8",
                "Content-Length": str(len(self.body)),
            }
        )

    @property
    def reason(self) -> str:
        """The standard reason phrase of the status."""
        return responses.get(self.status, "Unknown")


def build_refusal(
    error: RequestError, backlog_seconds: float, random: Random
) -> Refusal:
    """Return the error response for an error.

    Parameters
    ----------
    error : RequestError
        Why no target's response can be sent.
    backlog_seconds : float
        Expected seconds until current and queued requests are done.
    random : Random
        Spreads the times at which refused callers retry.
    """
    if isinstance(error, OutcomeUnknownError):
        return Refusal(error.status, OUTCOME_UNKNOWN, str(error))
    if isinstance(error, BadRequestError):
        return Refusal(error.status, OUTCOME_NOT_RUN, str(error))
    seconds = choose_retry_after(backlog_seconds, random)
    text = f"{error}; come back in {seconds} s"
    refusal = Refusal(UNAVAILABLE, OUTCOME_NOT_RUN, text)
    refusal.headers["Retry-After"] = str(seconds)
    return refusal


def choose_retry_after(backlog_seconds: float, random: Random) -> int:
    """Return a Retry-After in whole seconds.

    It is random so that refused callers do not all retry together: 1 to 3
    times the backlog, within the least and the longest time.
    """
    least = max(MIN_RETRY_AFTER_SECONDS, backlog_seconds)
    spread = least * random.uniform(1.0, RETRY_AFTER_SPREAD)
    return ceil(min(spread, MAX_RETRY_AFTER_SECONDS))
