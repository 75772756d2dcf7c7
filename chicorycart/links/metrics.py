"""Metrics of datagrams."""

from typing import Any

from chicorycart.operation.metrics import Metrics
from chicorycart.operation.metrics import Tally

DROPPED_NAME = "chicorycart_datagrams_dropped"
DROPPED_TEXT = "System datagrams that were not taken, by reason."
DROPPED_LABEL = "reason"


def tally_dropped(metrics: Metrics) -> Tally:
    """Return the counter of dropped datagrams."""
    return metrics.tally(DROPPED_NAME, DROPPED_TEXT, DROPPED_LABEL)


def count_dropped(registry: Any) -> Any:
    """Return the same counter, in a ``prometheus_client`` registry."""
    from prometheus_client import Counter

    return Counter(
        DROPPED_NAME, DROPPED_TEXT, [DROPPED_LABEL], registry=registry
    )
