"""Tells agents of changes to their own service."""

from chicorycart.address import Address
from chicorycart.clock import Clock
from chicorycart.configuration.messages import decode_subscription
from chicorycart.configuration.messages import encode_update
from chicorycart.configuration.messages import ServiceUpdate
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.pusher import PacedSender
from chicorycart.configuration.version_manager import VersionManager
from chicorycart.defaults import MAX_SUBSCRIPTIONS
from chicorycart.defaults import SUBSCRIPTION_LEASE_SECONDS
from chicorycart.links.datagrams import MessageKind


class Subscriber:
    """An agent that is told of changes until its lease ends.

    Attributes
    ----------
    service : str
        Name of its service.
    digest : str
        Digest of the state that it was last known to have.
    expires_at : float
        When the lease ends.
    """

    __slots__ = ("service", "digest", "expires_at")

    def __init__(self, service: str, digest: str, expires_at: float):
        self.service = service
        self.digest = digest
        self.expires_at = expires_at


class SubscriptionTable:
    """The agents that a balancer tells of changes.

    Every agent is told of each version; the state of its service comes
    along if it changed. An agent that misses an update gets the state when
    it renews its lease.

    Parameters
    ----------
    version_manager : VersionManager
        Tells the version in force.
    sender : PacedSender
        Sends to agents.
    clock : Clock
        Ends the leases.
    """

    __slots__ = ("version_manager", "sender", "clock", "subscribers")

    def __init__(
        self,
        version_manager: VersionManager,
        sender: PacedSender,
        clock: Clock,
    ):
        self.version_manager = version_manager
        self.sender = sender
        self.clock = clock
        self.subscribers: dict[Address, Subscriber] = {}

    def receive(self, body: bytes, source: Address) -> None:
        """Renew the lease of an agent and answer with what it lacks."""
        subscription = decode_subscription(body)
        if source not in self.subscribers and (
            len(self.subscribers) >= MAX_SUBSCRIPTIONS
        ):
            return
        self.subscribers[source] = Subscriber(
            subscription.service,
            subscription.digest,
            self.clock.now() + SUBSCRIPTION_LEASE_SECONDS,
        )
        if self.version_manager.version > 0:
            self.send_update(source, self.subscribers[source])

    def change_configuration(self, configuration: Configuration) -> None:
        """Tell every agent of the version that came into force."""
        now = self.clock.now()
        for address, subscriber in list(self.subscribers.items()):
            if subscriber.expires_at < now:
                del self.subscribers[address]
            else:
                self.send_update(address, subscriber)

    def send_update(self, address: Address, subscriber: Subscriber) -> None:
        """Send the version, and the state if the agent has another."""
        current = self.version_manager.store.current
        update = make_update(current, subscriber.service, subscriber.digest)
        subscriber.digest = update.digest
        self.sender.send(
            MessageKind.SERVICE_UPDATE, encode_update(update), address
        )


def make_update(
    configuration: Configuration, name: str, known_digest: str
) -> ServiceUpdate:
    """Return the state of a service for an agent that has some state."""
    service = configuration.services.get(name)
    digest = service.digest if service is not None else ""
    update = ServiceUpdate(configuration.version, digest)
    if service is not None and digest != known_digest:
        update.body = service.body
    return update
