"""Keeps the configuration in force up to date with the platform."""

from asyncio import sleep
from random import Random

from logbook import Logger

from chicorycart.configuration.errors import ConfigurationError
from chicorycart.configuration.platform import PlatformClient
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.defaults import BACKOFF_INITIAL_SECONDS
from chicorycart.defaults import BACKOFF_MAX_SECONDS

LOGGER = Logger("configuration")


async def follow_platform(
    client: PlatformClient, store: ConfigurationStore, random: Random
) -> None:
    """Watch the platform for as long as the process runs."""
    delay = BACKOFF_INITIAL_SECONDS
    while True:
        try:
            configuration = await client.watch_configuration(
                store.current.version
            )
        except ConfigurationError as error:
            LOGGER.warning("event=read_failed error={!r}", str(error))
            await sleep(random.uniform(0, delay))
            delay = min(2 * delay, BACKOFF_MAX_SECONDS)
            continue
        delay = BACKOFF_INITIAL_SECONDS
        if configuration and store.put_in_force(configuration):
            LOGGER.info("event=in_force version={}", configuration.version)
