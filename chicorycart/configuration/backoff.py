"""Jittered, capped back-off between tries."""

from asyncio import sleep
from random import Random

from chicorycart.defaults import BACKOFF_INITIAL_SECONDS
from chicorycart.defaults import BACKOFF_MAX_SECONDS


class Backoff:
    """Doubles the longest wait after each failure, up to a cap.

    Parameters
    ----------
    random : Random
        Spreads the waits, so that many processes do not retry at once.
    """

    __slots__ = ("random", "limit")

    def __init__(self, random: Random):
        self.random = random
        self.limit = BACKOFF_INITIAL_SECONDS

    def reset(self) -> None:
        """Begin anew after a success."""
        self.limit = BACKOFF_INITIAL_SECONDS

    async def wait(self, longest: float = BACKOFF_MAX_SECONDS) -> None:
        """Wait before the next try, but no longer than told."""
        delay = min(self.random.uniform(0, self.limit), longest)
        self.limit = min(2 * self.limit, BACKOFF_MAX_SECONDS)
        await sleep(delay)
