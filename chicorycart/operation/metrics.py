"""Counters and histograms that cost little until they are read.

The library that writes them out takes long to load, so that is put off
until the first reader asks; a daemon serves sooner after a restart.
"""

from bisect import bisect_left
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

TIME_BOUNDS_SECONDS = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)
"""Upper bounds of the parts of a histogram of times."""


class Count:
    """A number that only grows."""

    __slots__ = ("value",)

    def __init__(self):
        self.value = 0

    def inc(self, amount: int = 1) -> None:
        """Add to the number."""
        self.value += amount


class Tally:
    """Counts by one label whose values are few.

    Parameters
    ----------
    name, text : str
        Name of the metric and its help text.
    label : str
        Name of the label.
    """

    __slots__ = ("name", "text", "label", "counts")

    def __init__(self, name: str, text: str, label: str):
        self.name = name
        self.text = text
        self.label = label
        self.counts: dict[str, Count] = {}

    def labels(self, value: str) -> Count:
        """Return the count of one value of the label."""
        count = self.counts.get(value)
        if count is None:
            count = self.counts[value] = Count()
        return count

    def collect(self) -> Any:
        """Return the metric in the form of the library."""
        from prometheus_client.core import CounterMetricFamily

        family = CounterMetricFamily(self.name, self.text, labels=[self.label])
        for value, count in self.counts.items():
            family.add_metric([value], count.value)
        return family


class Timings:
    """A histogram of times in seconds.

    Parameters
    ----------
    name, text : str
        Name of the metric and its help text.
    """

    __slots__ = ("name", "text", "counts", "total_seconds")

    def __init__(self, name: str, text: str):
        self.name = name
        self.text = text
        self.counts = [0] * (len(TIME_BOUNDS_SECONDS) + 1)
        self.total_seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Take one time."""
        self.counts[bisect_left(TIME_BOUNDS_SECONDS, seconds)] += 1
        self.total_seconds += seconds

    def collect(self) -> Any:
        """Return the metric in the form of the library."""
        from prometheus_client.core import HistogramMetricFamily

        buckets = []
        below = 0
        for bound, count in zip(
            (*map(str, TIME_BOUNDS_SECONDS), "+Inf"), self.counts, strict=True
        ):
            below += count
            buckets.append((bound, below))
        family = HistogramMetricFamily(self.name, self.text, labels=[])
        family.add_metric([], buckets, self.total_seconds)
        return family


class Reading:
    """A number that is read when it is asked for.

    Parameters
    ----------
    name, text : str
        Name of the metric and its help text.
    read : callable
        Returns the number.
    """

    __slots__ = ("name", "text", "read")

    def __init__(self, name: str, text: str, read: Callable[[], float]):
        self.name = name
        self.text = text
        self.read = read

    def collect(self) -> Any:
        """Return the metric in the form of the library."""
        from prometheus_client.core import GaugeMetricFamily

        return GaugeMetricFamily(self.name, self.text, value=self.read())


class Metrics:
    """The metrics of one daemon; a collector as the library expects it."""

    __slots__ = ("metrics",)

    def __init__(self):
        self.metrics: list[Tally | Timings | Reading] = []

    def tally(self, name: str, text: str, label: str) -> Tally:
        """Return a new tally."""
        tally = Tally(name, text, label)
        self.metrics.append(tally)
        return tally

    def timings(self, name: str, text: str) -> Timings:
        """Return a new histogram of times."""
        timings = Timings(name, text)
        self.metrics.append(timings)
        return timings

    def read(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Show a number that is read when it is asked for."""
        self.metrics.append(Reading(name, text, read))

    def collect(self) -> Iterator[Any]:
        """Return every metric in the form of the library."""
        for metric in self.metrics:
            yield metric.collect()
