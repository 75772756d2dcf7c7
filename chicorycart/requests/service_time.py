"""Measures the mean service time of a target."""

from chicorycart.defaults import SERVICE_TIME_SHARE
from chicorycart.placement.capacity import CapacityMeter


class ServiceTime:
    """Exponential moving average of the time that a request holds a slot.

    Parameters
    ----------
    start_seconds : float
        The average until the first request is measured.

    Attributes
    ----------
    mean_seconds : float
        The average.
    meter : CapacityMeter or None
        Receives each measured time as well.
    """

    __slots__ = ("mean_seconds", "samples", "meter")

    def __init__(self, start_seconds: float):
        self.mean_seconds = start_seconds
        self.samples = 0
        self.meter: CapacityMeter | None = None

    def observe(self, seconds: float) -> None:
        """Add the time of one request to the average.

        It is the plain mean until 1 / samples is below `SERVICE_TIME_SHARE`.
        """
        self.samples += 1
        if self.meter is not None:
            self.meter.record(seconds)
        share = max(SERVICE_TIME_SHARE, 1 / self.samples)
        self.mean_seconds += (seconds - self.mean_seconds) * share

    def rate(self, slots: int) -> float:
        """Return requests per second with every slot in use."""
        return slots / max(self.mean_seconds, 1e-4)
