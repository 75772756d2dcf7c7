"""Keeps the configuration in force up to date with the platform."""

from collections.abc import Callable

from logbook import Logger

from chicorycart.configuration.backoff import Backoff
from chicorycart.configuration.errors import PlatformError
from chicorycart.configuration.errors import RefusedVersionError
from chicorycart.configuration.metrics import ConfigurationMetrics
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.platform import PlatformClient
from chicorycart.configuration.store import ConfigurationStore

LOGGER = Logger("configuration")


class PlatformReader:
    """Reads versions from the platform and hands them on.

    Parameters
    ----------
    client : PlatformClient
        Reads the platform.
    store : ConfigurationStore
        Gives the version that is already in force.
    take : callable
        Takes each later version.
    backoff : Backoff
        Spaces the tries after a failure.
    metrics : ConfigurationMetrics
        Shows failures and refusals.
    """

    __slots__ = ("client", "store", "take", "backoff", "metrics")

    def __init__(
        self,
        client: PlatformClient,
        store: ConfigurationStore,
        take: Callable[[Configuration], None],
        backoff: Backoff,
        metrics: ConfigurationMetrics,
    ):
        self.client = client
        self.store = store
        self.take = take
        self.backoff = backoff
        self.metrics = metrics

    async def watch_forever(self) -> None:
        """Watch the platform for as long as the process runs."""
        while True:
            await self.watch_once()

    async def watch_once(self) -> None:
        """Wait for one change, or back off after a failure."""
        await self.run(self.client.watch_configuration)

    async def read_once(self) -> None:
        """Read without waiting for a change."""
        await self.run(self.client.read_configuration)

    async def run(self, read) -> None:
        """Take what a read gives; log and count why it gives nothing."""
        try:
            configuration = await read(self.store.current)
        except RefusedVersionError as error:
            LOGGER.error("event=refused error={!r}", str(error))
            self.metrics.refused.inc()
            self.metrics.refused_version.set(error.version)
            return
        except PlatformError as error:
            LOGGER.warning("event=read_failed error={!r}", str(error))
            self.metrics.failed.labels("platform").inc()
            await self.backoff.wait()
            return
        self.backoff.reset()
        if configuration is not None:
            self.take(configuration)
