"""What the configuration slice shows of itself."""

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge


class ConfigurationMetrics:
    """Counters and gauges of the configuration in force.

    Parameters
    ----------
    registry : CollectorRegistry
        Where they are registered.
    """

    __slots__ = ("version", "refused", "refused_version", "failed", "events")

    def __init__(self, registry: CollectorRegistry):
        self.version = Gauge(
            "chicorycart_configuration_version",
            "Version in force.",
            registry=registry,
        )
        self.refused = Counter(
            "chicorycart_configuration_refused",
            "Versions that were refused whole.",
            registry=registry,
        )
        self.refused_version = Gauge(
            "chicorycart_configuration_refused_version",
            "Highest version that was refused, 0 for none.",
            registry=registry,
        )
        self.failed = Counter(
            "chicorycart_configuration_reads_failed",
            "Reads that failed, by source.",
            ["source"],
            registry=registry,
        )
        self.events = Counter(
            "chicorycart_configuration_gossip",
            "Events of the gossip on versions.",
            ["event"],
            registry=registry,
        )
