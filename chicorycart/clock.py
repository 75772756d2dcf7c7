"""Where the parts take the time from, so that tests can pass their own."""

from asyncio import get_running_loop
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic time."""

    def now(self) -> float:
        """Return the time in seconds since an arbitrary start."""


class LoopClock:
    """The clock of the running event loop."""

    __slots__ = ()

    def now(self) -> float:
        """Return the loop's monotonic time in seconds."""
        return get_running_loop().time()
