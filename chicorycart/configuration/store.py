"""Holds the configuration in force, which only moves upwards."""

from collections import deque
from math import inf
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
    """A state of a service that was replaced, and when."""

    __slots__ = ("service", "at")

    def __init__(self, service: Service, at: float):
        self.service = service
        self.at = at


class ConfigurationStore:
    """The configuration in force and the states it recently replaced.

    Parameters
    ----------
    clock : Clock
        Ages the replaced states.

    Attributes
    ----------
    replaced : dict of str to deque of Replaced
        Replaced states of each service, newest first; a change of one
        service leaves those of the others alone.
    """

    __slots__ = ("clock", "current", "replaced", "subscribers")

    def __init__(self, clock: Clock):
        self.clock = clock
        self.current = EMPTY_CONFIGURATION
        self.replaced: dict[str, deque[Replaced]] = {}
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
        self.forget_expired()
        self.remember_replaced(configuration)
        self.current = configuration
        for subscriber in self.subscribers:
            subscriber.change_configuration(configuration)
        return True

    def remember_replaced(self, successor: Configuration) -> None:
        """Keep the state of each service that the successor changes."""
        now = self.clock.now()
        for name, service in self.current.services.items():
            if service.has_state_of(successor.services.get(name)):
                continue
            states = self.replaced.setdefault(
                name, deque(maxlen=VERSION_HISTORY)
            )
            states.appendleft(Replaced(service, now))

    def forget_expired(self) -> None:
        """Drop the states that are too old to be listed."""
        oldest = self.clock.now() - VERSION_HISTORY_SECONDS
        for name, states in list(self.replaced.items()):
            while states and states[-1].at < oldest:
                states.pop()
            if not states:
                del self.replaced[name]

    def list_replaced(self, name: str) -> list[Service]:
        """Return recently replaced states of a service, newest first."""
        oldest = self.clock.now() - VERSION_HISTORY_SECONDS
        return [
            replaced.service
            for replaced in self.replaced.get(name, ())
            if replaced.at > oldest
        ]

    def next_expiry(self, name: str) -> float:
        """Return when the next replaced state of a service will be dropped.

        Infinity if none is listed.
        """
        oldest = self.clock.now() - VERSION_HISTORY_SECONDS
        listed = [r.at for r in self.replaced.get(name, ()) if r.at > oldest]
        return min(listed, default=inf) + VERSION_HISTORY_SECONDS
