"""Estimates the capacity of a target from the work that it completed."""

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

    Only the time that slots spent on completed work counts, so neither idle
    periods nor figures that the target reports itself change the estimate.

    Parameters
    ----------
    clock : Clock
        Times the measurement windows and the slow start.
    slots : int
        Requests that the target processes at the same time.
    initial : float
        Capacity to assume until enough requests have been measured, in
        requests a second.
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
        """Start a new measurement window with empty counters."""
        self.window_end = self.clock.now() + CAPACITY_WINDOW_SECONDS
        self.count = 0
        self.seconds = 0.0

    def record(self, seconds: float) -> None:
        """Record how long one completed request held its slot, in seconds.

        Work above `MAX_MEASURED_WORK_SECONDS` is ignored: the duration of,
        say, a stream that a caller keeps open doesn't depend on the speed
        of the target.
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
        """Move the capacity towards the measured rate, by a bounded step.

        The first measurement replaces the assumed capacity without
        smoothing, because the assumed value may be a weight and not a rate.
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
        """Return the capacity to report, reduced during the slow start."""
        return self.capacity * self.slow_start_share()

    def slow_start_share(self) -> float:
        """Return the share of its capacity, up to 1, to report by now.

        It grows linearly with the time since the meter was created.
        """
        age = self.clock.now() - self.started_at
        return min(1.0, SLOW_START_INITIAL_SHARE + age / SLOW_START_SECONDS)


def initial_capacity(
    service: Service, name: str, peer_agent_loads: PeerAgentLoads
) -> float:
    """Return the capacity to assume for a target that was never measured.

    This is the published weight, multiplied by the median capacity per
    unit of weight of the other targets; the weight alone if no load of
    another target is known.
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
