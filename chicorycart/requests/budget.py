"""Retry budget: limits resends to a share of the requests."""

from chicorycart.defaults import RETRY_BURST
from chicorycart.defaults import RETRY_RATIO


class RetryBudget:
    """Token bucket that each new request refills by a fixed amount.

    A share of the requests, rather than a rate, keeps resends from
    multiplying the load when a whole service is overloaded.

    Parameters
    ----------
    ratio : float
        Tokens added per new request, that is resends per request.
    burst : float
        Most tokens that the bucket holds; it starts full.
    """

    __slots__ = ("ratio", "burst", "tokens")

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST):
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def refill(self) -> None:
        """Add the tokens of one new request."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def try_acquire(self) -> bool:
        """Take a token; return False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
