"""Bounds the bytes that a process sends for one purpose."""

from chicorycart.clock import Clock


class TokenBucket:
    """A rate with a burst.

    Parameters
    ----------
    clock : Clock
        Fills the bucket.
    rate : float
        Tokens a second.
    burst : float
        Tokens that may gather.
    """

    __slots__ = ("clock", "rate", "burst", "tokens", "filled_at")

    def __init__(self, clock: Clock, rate: float, burst: float):
        self.clock = clock
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.filled_at = clock.now()

    def available(self) -> float:
        """Return the tokens that may be spent now."""
        now = self.clock.now()
        gained = (now - self.filled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.filled_at = now
        return self.tokens

    def spend(self, tokens: float) -> None:
        """Take tokens out; they must be available."""
        self.tokens -= tokens
