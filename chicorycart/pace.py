"""Holds calls and bytes back to a rate, with a bounded burst."""

from asyncio import sleep

from chicorycart.clock import Clock


class TokenBucket:
    """A token bucket, full at its start.

    Parameters
    ----------
    clock : Clock
        Refills the bucket.
    rate : float
        Tokens a second.
    burst : float
        Tokens that the bucket holds.
    """

    __slots__ = ("clock", "rate", "burst", "level", "at")

    def __init__(self, clock: Clock, rate: float, burst: float):
        self.clock = clock
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.at: float | None = None

    def refill(self) -> None:
        """Add the tokens of the time that went by."""
        now = self.clock.now()
        if self.at is not None:
            gained = (now - self.at) * self.rate
            self.level = min(self.burst, self.level + gained)
        self.at = now

    def try_acquire(self, amount: float) -> bool:
        """Take the tokens if they are there."""
        self.refill()
        if self.level < amount:
            return False
        self.level -= amount
        return True

    def charge(self, amount: float) -> None:
        """Take the tokens, even if the level falls below 0."""
        self.level -= amount

    async def acquire(self, amount: float) -> None:
        """Wait until the tokens are there and take them.

        The level may fall below 0, so that waiting calls queue up.
        """
        self.refill()
        self.level -= amount
        if self.level < 0:
            await sleep(-self.level / self.rate)
