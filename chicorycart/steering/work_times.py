"""Times of work of a service's targets, relative to each other."""

from collections.abc import Iterable
from math import ceil
from statistics import median

from chicorycart.clock import Clock
from chicorycart.steering.limits import EQUAL_RATIO
from chicorycart.steering.limits import MAX_RATIO
from chicorycart.steering.limits import MEDIAN_SECONDS
from chicorycart.steering.limits import MIN_RATIO

MILLISECONDS = 1e3


class ServiceTime:
    """Median time of work of a service's targets.

    Attributes
    ----------
    work_ms : float
        The median in milliseconds; 0 if too few targets have a known time.
    shortest_ms : float
        The shortest time in milliseconds; 0 under the same condition.
    refreshed_at : float
        Time at which it was computed.
    """

    __slots__ = ("work_ms", "shortest_ms", "refreshed_at")

    def __init__(
        self, work_ms: float, shortest_ms: float, refreshed_at: float
    ):
        self.work_ms = work_ms
        self.shortest_ms = shortest_ms
        self.refreshed_at = refreshed_at


class WorkTimes:
    """Medians of the times of work by service, refreshed from time to time.

    Parameters
    ----------
    clock : Clock
        Measures the age of medians and reports.

    Attributes
    ----------
    services : dict of str to ServiceTime
        Medians by service.
    """

    __slots__ = ("clock", "services")

    def __init__(self, clock: Clock):
        self.clock = clock
        self.services: dict[str, ServiceTime] = {}

    def is_due(self, service: str) -> bool:
        """Tell whether the median of a service has to be computed anew."""
        known = self.services.get(service)
        return (
            known is None
            or self.clock.now() - known.refreshed_at >= MEDIAN_SECONDS
        )

    def refresh(self, service: str, times: Iterable[float]) -> None:
        """Compute the median of a service.

        Parameters
        ----------
        service : str
            Name of the service.
        times : iterable of float
            Time of work of each target in milliseconds; 0 if unknown.
        """
        times = list(times)
        known = [work_ms for work_ms in times if work_ms]
        is_known = known and len(known) >= ceil(len(times) / 2)
        self.services[service] = ServiceTime(
            median(known) if is_known else 0.0,
            min(known) if is_known else 0.0,
            self.clock.now(),
        )

    def find_median(self, service: str) -> float:
        """Return the median of a service in milliseconds; 0 if unknown."""
        known = self.services.get(service)
        return known.work_ms if known is not None else 0.0

    def find_shortest(self, service: str) -> float:
        """Return the shortest time of a service in seconds; 0 if unknown."""
        known = self.services.get(service)
        return known.shortest_ms / MILLISECONDS if known is not None else 0.0

    def find_ratio(self, service: str, work_ms: float) -> float:
        """Return a target's time of work relative to the service's median.

        Parameters
        ----------
        service : str
            Service of the target.
        work_ms : float
            Its time of work in milliseconds; 0 if unknown.

        Returns
        -------
        float
            From MIN_RATIO to MAX_RATIO; 1 for a target whose time is unknown
            or about the same as the median.
        """
        middle = self.find_median(service)
        if not middle or not work_ms:
            return 1.0
        ratio = work_ms / middle
        if 1 / EQUAL_RATIO < ratio < EQUAL_RATIO:
            return 1.0
        return min(max(ratio, MIN_RATIO), MAX_RATIO)
