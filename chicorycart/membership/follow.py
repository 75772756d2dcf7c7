"""Reads the instance list periodically."""

from asyncio import sleep
from random import Random
from typing import Any
from typing import Protocol

from logbook import Logger
from prometheus_client import CollectorRegistry
from prometheus_client import Counter

from chicorycart.configuration.errors import ConfigurationError
from chicorycart.defaults import INSTANCES_READS_PER_SECOND
from chicorycart.defaults import INSTANCES_REFRESH_SECONDS
from chicorycart.membership.errors import InstanceListError
from chicorycart.membership.instances import Instance
from chicorycart.membership.instances import InstanceSubscriber
from chicorycart.membership.instances import parse_instances

LOGGER = Logger("membership")


class InstanceSource(Protocol):
    """A platform that publishes the instance list."""

    async def read_instances(self) -> Any:
        """Return the list as JSON values.

        Raises
        ------
        ConfigurationError
            If the list cannot be read.
        """


class InstanceFollower:
    """Passes each valid instance list to its subscribers.

    Parameters
    ----------
    source : InstanceSource
        Provides the list.
    random : Random
        Varies the time between reads.
    registry : CollectorRegistry
        Where the counter is registered.
    """

    __slots__ = ("source", "random", "subscribers", "length", "reads")

    def __init__(
        self,
        source: InstanceSource,
        random: Random,
        registry: CollectorRegistry,
    ):
        self.source = source
        self.random = random
        self.subscribers: list[InstanceSubscriber] = []
        self.length = 0
        self.reads = Counter(
            "chicorycart_instance_list_reads",
            "Reads of the instance list, by what became of them.",
            ["outcome"],
            registry=registry,
        )

    def subscribe(self, subscriber: InstanceSubscriber) -> None:
        """Pass each later list to the subscriber."""
        self.subscribers.append(subscriber)

    def begin_with(self, instances: list[Instance]) -> None:
        """Pass on instances that are known before the first read."""
        for subscriber in self.subscribers:
            subscriber.change_instances(instances)

    async def run(self) -> None:
        """Read the list at random intervals until cancelled."""
        while True:
            await self.read()
            await sleep(self.random.uniform(0.5, 1) * self.wait_seconds())

    def wait_seconds(self) -> float:
        """Return the longest wait between reads, in seconds.

        It grows with the list, so that all instances together stay within
        the rate that the platform can serve.
        """
        shared = self.length / INSTANCES_READS_PER_SECOND
        return max(INSTANCES_REFRESH_SECONDS, shared)

    async def read(self) -> None:
        """Read the list once; keep the old one if this one is invalid."""
        try:
            instances = parse_instances(await self.source.read_instances())
        except ConfigurationError as error:
            LOGGER.warning("event=list_failed error={!r}", str(error))
            self.reads.labels("failed").inc()
            return
        except InstanceListError as error:
            LOGGER.error("event=list_refused error={!r}", str(error))
            self.reads.labels("refused").inc()
            return
        self.reads.labels("taken").inc()
        self.length = len(instances)
        for subscriber in self.subscribers:
            subscriber.change_instances(instances)
