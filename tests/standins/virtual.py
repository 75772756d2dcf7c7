"""An event loop whose time jumps to the next timer when nothing runs."""

from asyncio import SelectorEventLoop
from selectors import DefaultSelector


class JumpingSelector(DefaultSelector):
    """A selector that lets virtual time pass instead of waiting.

    Attributes
    ----------
    now : float
        Virtual time in seconds.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None):
        """Return what is ready at once, else jump by the timeout."""
        events = super().select(0)
        if events:
            return events
        if timeout is None:
            raise RuntimeError("deadlock: no timer and nothing ready")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(SelectorEventLoop):
    """An event loop on virtual time, for code that does no real I/O."""

    def __init__(self):
        self.jumping = JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.jumping.now
