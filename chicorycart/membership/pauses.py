"""Detects that the own process did not run for a while."""

from asyncio import sleep as asyncio_sleep
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

from logbook import Logger

from chicorycart.clock import Clock
from chicorycart.defaults import LATE_TIMER_SECONDS

LOGGER = Logger("membership")
Sleep = Callable[[float], Awaitable[None]]


class PauseSubscriber(Protocol):
    """A component whose state goes stale while the process is paused."""

    def resume(self, late_seconds: float) -> None:
        """Discard or renew what became stale during the pause."""


class PauseDetector:
    """Detects pauses by timers that fire late on the monotonic clock.

    A process that was stopped, or starved of processor time, resumes with
    leases that could not be renewed meanwhile. Subscribers are notified
    before the code that awaited the timer continues.

    Parameters
    ----------
    clock : Clock
        Monotonic clock that also advances while the process is stopped.
    sleep : callable, optional
        Waits for some seconds.
    limit : float, optional
        Delay in seconds that counts as a pause.
    """

    __slots__ = ("clock", "wait", "limit", "subscribers")

    def __init__(
        self,
        clock: Clock,
        sleep: Sleep = asyncio_sleep,
        limit: float = LATE_TIMER_SECONDS,
    ):
        self.clock = clock
        self.wait = sleep
        self.limit = limit
        self.subscribers: list[PauseSubscriber] = []

    def subscribe(self, subscriber: PauseSubscriber) -> None:
        """Notify the subscriber of each later pause."""
        self.subscribers.append(subscriber)

    async def sleep(self, seconds: float) -> bool:
        """Wait, then return whether the process was paused meanwhile."""
        due = self.clock.now() + seconds
        await self.wait(seconds)
        late = self.clock.now() - due
        if late <= self.limit:
            return False
        LOGGER.warning("event=paused late_seconds={:.1f}", late)
        for subscriber in self.subscribers:
            subscriber.resume(late)
        return True
