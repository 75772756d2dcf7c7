"""Targets that work off flows, and the events of one run."""

from collections import deque
from collections.abc import Callable
from heapq import heappop
from heapq import heappush

from chicorycart.placement.load import Load

COLD_SPEED = 0.25
COLD_SECONDS = 20.0


class Events:
    """Runs what was scheduled, in order of time.

    Attributes
    ----------
    time : float
        Virtual time in seconds.
    """

    __slots__ = ("time", "heap", "count")

    def __init__(self):
        self.time = 0.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.time

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Run the action after a delay in seconds."""
        self.count += 1
        heappush(self.heap, (self.time + delay, self.count, action))

    def run(self, end: float) -> None:
        """Run all that is due until the end."""
        while self.heap and self.heap[0][0] <= end:
            self.time, _, action = heappop(self.heap)
            action()
        self.time = end


class Queue:
    """One target: slots that work off flows, first come first served.

    Parameters
    ----------
    events : Events
        Schedules the ends of flows.
    capacity : float
        Flows that all slots together work off in a second.
    slots : int
        Flows worked on at once.
    """

    __slots__ = (
        "events",
        "capacity",
        "slots",
        "busy",
        "waiting",
        "alive",
        "started_at",
        "listeners",
    )

    def __init__(self, events: Events, capacity: float, slots: int):
        self.events = events
        self.capacity = capacity
        self.slots = slots
        self.busy = 0
        self.waiting: deque[float] = deque()
        self.alive = True
        self.started_at = -COLD_SECONDS
        self.listeners: list[Callable[[float], None]] = []

    @property
    def size(self) -> int:
        """Flows here, worked on or waiting."""
        return self.busy + len(self.waiting)

    @property
    def relative(self) -> float:
        """Flows here over the true strength, in seconds of work."""
        return self.size / self.capacity

    def load(self, capacity: float) -> Load:
        """Return the load with a strength that may be wrong."""
        return Load(self.busy, len(self.waiting), capacity, self.alive)

    def add(self, work: float) -> None:
        """Take a flow with that much work."""
        if self.busy < self.slots:
            self.start(work)
        else:
            self.waiting.append(work)

    def duration(self, work: float) -> float:
        """Return the seconds that a flow holds its slot."""
        age = self.events.now() - self.started_at
        warmth = min(1.0, COLD_SPEED + age / COLD_SECONDS)
        return work * self.slots / (self.capacity * warmth)

    def start(self, work: float) -> None:
        """Begin to work on a flow."""
        self.busy += 1
        seconds = self.duration(work)
        self.events.after(seconds, lambda: self.finish(seconds))

    def finish(self, seconds: float) -> None:
        """End a flow and begin the next."""
        if not self.alive:
            return
        for listener in self.listeners:
            listener(seconds)
        self.busy -= 1
        if self.waiting:
            self.start(self.waiting.popleft())

    def vanish(self) -> None:
        """Lose all flows; nothing works here from now on."""
        self.alive = False
        self.busy = 0
        self.waiting.clear()

    def appear(self) -> None:
        """Start cold, with no flows."""
        self.alive = True
        self.started_at = self.events.now()


class Feeds(Queue):
    """A target whose flows stay open for as long as the caller wants."""

    __slots__ = ()

    def duration(self, work: float) -> float:
        """Return the seconds that a flow is open."""
        return work
