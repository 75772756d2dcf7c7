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
    initial, longest : float, optional
        Longest wait after the first failure, and after many, in seconds.
    """

    __slots__ = ("random", "initial", "longest", "limit")

    def __init__(
        self,
        random: Random,
        initial: float = BACKOFF_INITIAL_SECONDS,
        longest: float = BACKOFF_MAX_SECONDS,
    ):
        self.random = random
        self.initial = initial
        self.longest = longest
        self.limit = initial

    def reset(self) -> None:
        """Begin anew after a success."""
        self.limit = self.initial

    async def wait(self, at_most: float = BACKOFF_MAX_SECONDS) -> None:
        """Wait before the next try, but no longer than told."""
        delay = min(self.random.uniform(0, self.limit), at_most)
        self.limit = min(2 * self.limit, self.longest)
        await sleep(delay)
