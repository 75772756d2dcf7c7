"""Measures how fast the target gets its work done."""

from chicorycart.defaults import SERVICE_TIME_SHARE
from chicorycart.placement.capacity import CapacityMeter


class ServiceTime:
    """A moving average of the time that a request holds its slot.

    Parameters
    ----------
    start_seconds : float
        Taken as the average until the first request is measured.

    Attributes
    ----------
    meter : CapacityMeter or None
        Is told each time too.
    """

    __slots__ = ("mean_seconds", "samples", "meter")

    def __init__(self, start_seconds: float):
        self.mean_seconds = start_seconds
        self.samples = 0
        self.meter: CapacityMeter | None = None

    def observe(self, seconds: float) -> None:
        """Take the time of one request into the average."""
        self.samples += 1
        if self.meter is not None:
            self.meter.record(seconds)
        share = max(SERVICE_TIME_SHARE, 1 / self.samples)
        self.mean_seconds += (seconds - self.mean_seconds) * share

    def rate(self, slots: int) -> float:
        """Return requests a second when every slot is in use."""
        return slots / max(self.mean_seconds, 1e-4)
