"""Whose system datagrams are taken."""

from asyncio import sleep

from logbook import Logger

from chicorycart.configuration.errors import ConfigurationError
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.platform import PlatformClient
from chicorycart.defaults import INSTANCES_REFRESH_SECONDS

LOGGER = Logger("membership")


class KnownSources:
    """Addresses of instances on the list and of agents in the configuration.

    An address once known stays known, since the list lags: a wrong or old
    list must not cut anybody off.
    """

    __slots__ = ("hosts",)

    def __init__(self):
        self.hosts: set[str] = set()

    def is_known(self, host: str) -> bool:
        """Tell whether an instance of the system has this address."""
        return host in self.hosts

    def change_configuration(self, configuration: Configuration) -> None:
        """Take the agents of a configuration that came into force."""
        for service in configuration.services.values():
            self.hosts.update(t.agent.host for t in service.targets)


async def follow_instances(
    client: PlatformClient, sources: KnownSources
) -> None:
    """Read the instance list for as long as the process runs."""
    while True:
        try:
            instances = await client.read_instances()
            sources.hosts.update(i["address"] for i in instances)
        except ConfigurationError as error:
            LOGGER.warning("event=list_failed error={!r}", str(error))
        await sleep(INSTANCES_REFRESH_SECONDS)
