"""The one gate through which later versions come into force."""

from asyncio import sleep

from logbook import Logger

from chicorycart.configuration.delta import apply_delta
from chicorycart.configuration.errors import InvalidConfigurationError
from chicorycart.configuration.errors import RefusedVersionError
from chicorycart.configuration.messages import Delta
from chicorycart.configuration.metrics import ConfigurationMetrics
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import Service
from chicorycart.configuration.parse import parse_service
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.defaults import PARSE_BATCH

LOGGER = Logger("configuration")


class VersionManager:
    """Puts versions in force, upwards only, and remembers refused ones.

    Parameters
    ----------
    store : ConfigurationStore
        Holds the version in force.
    metrics : ConfigurationMetrics
        Shows what is in force and what was refused.

    Attributes
    ----------
    refused : int
        Highest version that was refused.
    """

    __slots__ = ("store", "metrics", "refused")

    def __init__(
        self, store: ConfigurationStore, metrics: ConfigurationMetrics
    ):
        self.store = store
        self.metrics = metrics
        self.refused = 0

    @property
    def version(self) -> int:
        """The version in force, 0 for none."""
        return self.store.current.version

    def is_acceptable(self, version: int) -> bool:
        """Tell whether a version is later and was not refused."""
        return version > self.version and version != self.refused

    def activate(self, configuration: Configuration) -> bool:
        """Put a version in force; return False if it is not later."""
        if not self.store.put_in_force(configuration):
            return False
        self.metrics.version.set(configuration.version)
        LOGGER.info("event=in_force version={}", configuration.version)
        return True

    def activate_delta(
        self, delta: Delta, parsed: dict[str, Service] | None = None
    ) -> bool:
        """Put the version in force that a delta leads to.

        Parameters
        ----------
        delta : Delta
            What a peer sent.
        parsed : dict of str to Service, optional
            Services of the delta that were parsed already.

        Raises
        ------
        DeltaMismatchError
            If the delta does not lead to the version that it names.
        """
        if not self.is_acceptable(delta.version):
            return False
        try:
            return self.activate(
                apply_delta(self.store.current, delta, parsed)
            )
        except RefusedVersionError as error:
            self.refuse(error)
            return False

    async def activate_fetched(self, delta: Delta) -> bool:
        """Like `activate_delta`, but let other work in between."""
        parsed = {}
        for index, (name, body) in enumerate(delta.changed.items(), 1):
            try:
                parsed[name] = parse_service(name, body)
            except InvalidConfigurationError:
                # Its fault is named once the checksum has been compared.
                break
            if index % PARSE_BATCH == 0:
                await sleep(0)
        return self.activate_delta(delta, parsed)

    def refuse(self, error: RefusedVersionError) -> None:
        """Log, count and show a refused version."""
        LOGGER.error("event=refused error={!r}", str(error))
        self.refused = max(self.refused, error.version)
        self.metrics.refused.inc()
        self.metrics.refused_version.set(self.refused)
