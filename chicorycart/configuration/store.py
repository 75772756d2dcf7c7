"""Holds the configuration in force, which only moves upwards."""

from collections import deque
from typing import Protocol

from chicorycart.clock import Clock
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import EMPTY_CONFIGURATION
from chicorycart.configuration.model import Service
from chicorycart.defaults import VERSION_HISTORY
from chicorycart.defaults import VERSION_HISTORY_SECONDS


class Subscriber(Protocol):
    """Something that is told when another version comes into force."""

    def change_configuration(self, configuration: Configuration) -> None:
        """Take over the configuration that is now in force."""


class Replaced:
    """A configuration that was replaced, and when."""

    __slots__ = ("configuration", "at")

    def __init__(self, configuration: Configuration, at: float):
        self.configuration = configuration
        self.at = at


class ConfigurationStore:
    """The configuration in force and those it recently replaced.

    Parameters
    ----------
    clock : Clock
        Ages the replaced versions.
    """

    __slots__ = ("clock", "current", "replaced", "subscribers")

    def __init__(self, clock: Clock):
        self.clock = clock
        self.current = EMPTY_CONFIGURATION
        self.replaced: deque[Replaced] = deque(maxlen=VERSION_HISTORY)
        self.subscribers: list[Subscriber] = []

    def subscribe(self, subscriber: Subscriber) -> None:
        """Tell the subscriber of each later version."""
        self.subscribers.append(subscriber)

    def put_in_force(self, configuration: Configuration) -> bool:
        """Put the configuration in force unless a later one already is.

        Returns
        -------
        bool
            Whether it came into force.
        """
        if configuration.version <= self.current.version:
            return False
        if self.current.version:
            self.replaced.appendleft(Replaced(self.current, self.clock.now()))
        self.current = configuration
        for subscriber in self.subscribers:
            subscriber.change_configuration(configuration)
        return True

    def list_replaced(self, name: str) -> list[Service]:
        """Return recently replaced states of a service, newest first."""
        oldest = self.clock.now() - VERSION_HISTORY_SECONDS
        services = (
            replaced.configuration.services.get(name)
            for replaced in self.replaced
            if replaced.at >= oldest
        )
        return [service for service in services if service is not None]
