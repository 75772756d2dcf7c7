"""Bounds the requests that are sent to a second place."""

from chicorycart.defaults import RETRY_BURST
from chicorycart.defaults import RETRY_RATIO


class RetryBudget:
    """A token bucket that each new request fills by a fixed share.

    Parameters
    ----------
    ratio : float
        Resends allowed for each request.
    burst : float
        Largest number of tokens; the bucket starts full.
    """

    __slots__ = ("ratio", "burst", "tokens")

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST):
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def refill(self) -> None:
        """Count one new request."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def try_acquire(self) -> bool:
        """Take a token; return False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
