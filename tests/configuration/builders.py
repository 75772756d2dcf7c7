"""Builds published services and readers for the configuration tests."""

from random import Random

from prometheus_client import CollectorRegistry

from chicorycart.clock import LoopClock
from chicorycart.configuration.backoff import Backoff
from chicorycart.configuration.follow import PlatformReader
from chicorycart.configuration.metrics import ConfigurationMetrics
from chicorycart.configuration.platform import PlatformClient
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.configuration.version_manager import VersionManager
from chicorycart.defaults import READER_CALLS_BURST
from chicorycart.defaults import READER_CALLS_PER_SECOND
from chicorycart.pace import TokenBucket
from tests.standins.platform import encode
from tests.standins.platform import PlatformValues


def publish(number, targets=5, weight=1.0):
    """Return the value of the n-th service."""
    high, low = divmod(number, 250)
    return {
        "entry": {"address": f"198.18.{high}.{low}:80", "protocol": "tcp"},
        "kind": "http",
        "targets": [
            {
                "name": f"s-{number}-{member}",
                "agent": f"10.{member}.{high}.{low}:7001",
                "domain": f"domain-{member % 3}",
                "weight": weight,
                "slots": 4,
            }
            for member in range(targets)
        ],
    }


def publish_many(count):
    """Return a patch that creates that many services."""
    return {f"s-{number}": publish(number) for number in range(count)}


def bodies_of(configuration):
    """Return the published bytes of each service in force."""
    return {n: s.body for n, s in configuration.services.items()}


def bodies_on(services):
    """Return the published bytes of each service on the platform."""
    return {name: encode(value) for name, value in services.items()}


class Reader:
    """A reader with its store, on a stand-in for the platform."""

    def __init__(self, platform, seed=1):
        clock = LoopClock()
        self.store = ConfigurationStore(clock)
        self.values = PlatformValues(platform)
        pace = TokenBucket(clock, READER_CALLS_PER_SECOND, READER_CALLS_BURST)
        self.client = PlatformClient(self.values, pace)
        self.registry = CollectorRegistry()
        metrics = ConfigurationMetrics(self.registry)
        self.reader = PlatformReader(
            self.client,
            VersionManager(self.store, metrics),
            Backoff(Random(seed)),
            clock,
        )
