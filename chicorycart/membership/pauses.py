"""Finds out that the own process did not run for a while."""

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
    """Something whose beliefs grow old while the process does not run."""

    def resume(self, late_seconds: float) -> None:
        """Treat what is believed of others as unknown."""


class PauseDetector:
    """Compares monotonic time before and after each timer.

    A process that was stopped, or starved of processor time, wakes up with
    beliefs that were renewed by nobody meanwhile. Subscribers are told
    before the code behind the timer goes on.

    Parameters
    ----------
    clock : Clock
        Monotonic time, which also passes while the process is stopped.
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
        """Tell the subscriber of each later pause."""
        self.subscribers.append(subscriber)

    async def sleep(self, seconds: float) -> bool:
        """Wait, then tell whether the process was paused meanwhile."""
        due = self.clock.now() + seconds
        await self.wait(seconds)
        late = self.clock.now() - due
        if late <= self.limit:
            return False
        LOGGER.warning("event=paused late_seconds={:.1f}", late)
        for subscriber in self.subscribers:
            subscriber.resume(late)
        return True
