"""Learns how much work a target gets done, from the work that it ended."""

from statistics import median

from chicorycart.address import pack_address
from chicorycart.clock import Clock
from chicorycart.configuration.model import Service
from chicorycart.defaults import CAPACITY_MAX_STEP
from chicorycart.defaults import CAPACITY_SMOOTHING
from chicorycart.defaults import CAPACITY_WINDOW_SECONDS
from chicorycart.defaults import MAX_MEASURED_WORK_SECONDS
from chicorycart.defaults import MIN_MEASURED_WORKS
from chicorycart.defaults import SLOW_START_INITIAL_SHARE
from chicorycart.defaults import SLOW_START_SECONDS
from chicorycart.placement.load import PeerAgentLoads


class CapacityMeter:
    """Measures the service rate of one target while it is busy.

    Only the time that slots spent on ended work counts, so neither idle
    periods nor what the target reports of itself change the result.

    Parameters
    ----------
    clock : Clock
        Ends the windows of the measurement.
    slots : int
        Works that the target does at once.
    initial : float
        Works a second to assume until enough are measured.
    """

    __slots__ = (
        "clock",
        "slots",
        "capacity",
        "is_measured",
        "started_at",
        "window_end",
        "count",
        "seconds",
    )

    def __init__(self, clock: Clock, slots: int, initial: float):
        self.clock = clock
        self.slots = slots
        self.capacity = initial
        self.is_measured = False
        self.started_at = clock.now()
        self.start_window()

    def start_window(self) -> None:
        """Begin to count anew."""
        self.window_end = self.clock.now() + CAPACITY_WINDOW_SECONDS
        self.count = 0
        self.seconds = 0.0

    def record(self, seconds: float) -> None:
        """Take the time that one ended work held its slot.

        Work that ran longer than the limit says nothing of the speed of
        the target, such as a feed that a caller keeps open.
        """
        if not 0 < seconds <= MAX_MEASURED_WORK_SECONDS:
            return
        self.count += 1
        self.seconds += seconds
        if self.count < MIN_MEASURED_WORKS:
            return
        if not self.is_measured or self.clock.now() >= self.window_end:
            self.learn(self.slots * self.count / self.seconds)
            self.start_window()

    def learn(self, rate: float) -> None:
        """Move the strength towards the measured rate, by a bounded step.

        The first measurement replaces the assumed strength at once, since
        that one has another unit.
        """
        if self.is_measured:
            rate = (
                CAPACITY_SMOOTHING * rate
                + (1 - CAPACITY_SMOOTHING) * self.capacity
            )
            lowest = self.capacity / CAPACITY_MAX_STEP
            highest = self.capacity * CAPACITY_MAX_STEP
            rate = min(max(rate, lowest), highest)
        self.capacity = rate
        self.is_measured = True

    def current(self) -> float:
        """Return the strength to report, less while the target is new."""
        return self.capacity * self.share()

    def share(self) -> float:
        """Return the share of its strength that a new target reports."""
        age = self.clock.now() - self.started_at
        return min(1.0, SLOW_START_INITIAL_SHARE + age / SLOW_START_SECONDS)


def initial_capacity(
    service: Service, name: str, peer_agent_loads: PeerAgentLoads
) -> float:
    """Return the strength to assume of a target that was never measured.

    The published weight, scaled by what mates get done for each unit of
    theirs; the weight itself if no mate has been heard.
    """
    own = service.find_target(name)
    scales = [
        load.capacity / target.weight
        for target in service.targets
        if target is not own
        and (load := peer_agent_loads.load_of(pack_address(target.agent)))
        is not None
    ]
    weight = own.weight if own is not None else 1.0
    return weight * (median(scales) if scales else 1.0)
