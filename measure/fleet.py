"""Builds services, balancers and agents over links in memory."""

from random import Random

from prometheus_client import CollectorRegistry

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.agent.acceptance import TargetAcceptance
from chicorycart.agent.ownership import FlowOwnership
from chicorycart.balancer.forwarding import ChainCache
from chicorycart.balancer.forwarding import Forwarder
from chicorycart.clock import Clock
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import Entry
from chicorycart.configuration.model import Service
from chicorycart.configuration.model import ServiceKind
from chicorycart.configuration.model import Target
from chicorycart.configuration.model import TargetState
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.flows.service_agents import ServiceAgents
from chicorycart.links.datagrams import MessageKind
from chicorycart.operation.decisions import DecisionLog
from chicorycart.placement.chain import NoSuspicions

ENTRY = Entry(Address("198.51.100.1", 80), 6)
SERVICE_NAME = "dispatch"
SLOTS = 2


class ManualClock:
    """A clock that the measurement sets.

    Attributes
    ----------
    time : float
        The time in seconds.
    """

    __slots__ = ("time",)

    def __init__(self):
        self.time = 0.0

    def now(self) -> float:
        """Return the time in seconds."""
        return self.time


class Sent:
    """A message on its way.

    Attributes
    ----------
    kind : MessageKind
        Kind of the message.
    body : bytes
        The message without its kind byte.
    destination : Address
        Where it goes.
    """

    __slots__ = ("kind", "body", "destination")

    def __init__(self, kind: MessageKind, body: bytes, destination: Address):
        self.kind = kind
        self.body = body
        self.destination = destination


class MemorySender:
    """Keeps what is sent, in order."""

    __slots__ = ("sent",)

    def __init__(self):
        self.sent: list[Sent] = []

    def send(
        self, kind: MessageKind, body: bytes, destination: Address
    ) -> None:
        """Keep one message."""
        self.sent.append(Sent(kind, body, destination))


class MemoryHost:
    """Keeps the packets that an agent delivers."""

    __slots__ = ("delivered",)

    def __init__(self):
        self.delivered: list[bytes] = []

    def deliver(self, packet: bytes) -> None:
        """Keep one packet."""
        self.delivered.append(packet)

    def list_flows(self, entry_key: tuple[str, int, int]) -> list[bytes]:
        """Return no flows; the host is new."""
        return []


def make_target(number: int, weight: float, state: TargetState) -> Target:
    """Return the target of that number."""
    return Target(
        f"t-{number}",
        Address(f"192.0.2.{number}", 7001),
        "a",
        weight,
        SLOTS,
        state,
    )


def make_service(
    weights: list[float], draining: frozenset[int] = frozenset()
) -> Service:
    """Return a service with a target for each weight, numbered from 1."""
    targets = tuple(
        make_target(
            number,
            weight,
            TargetState.DRAINING if number in draining else TargetState.ACTIVE,
        )
        for number, weight in enumerate(weights, 1)
    )
    return Service(SERVICE_NAME, ENTRY, ServiceKind.PACKET, targets)


def make_store(clock: Clock, service: Service) -> ConfigurationStore:
    """Return a store with the service in force at version 1."""
    store = ConfigurationStore(clock)
    store.put_in_force(Configuration(1, {service.name: service}))
    return store


def make_forwarder(
    store: ConfigurationStore, sender: MemorySender, share: float = 0.0
) -> Forwarder:
    """Return a balancer's forwarder that logs a share of the flows."""
    return Forwarder(
        store,
        ChainCache(store, NoSuspicions()),
        sender,
        DecisionLog(share),
        CollectorRegistry(),
    )


def make_ownership(
    store: ConfigurationStore,
    clock: Clock,
    target: Target,
    host: MemoryHost,
    sender: MemorySender,
    share: float = 0.0,
) -> FlowOwnership:
    """Return what the agent beside a target does with packets."""
    return FlowOwnership(
        ServiceAgents(store, SERVICE_NAME, pack_address(target.agent), clock),
        host,
        host,
        TargetAcceptance(store, SERVICE_NAME, target.name),
        sender,
        1,
        clock,
        Random(1),
        DecisionLog(share),
        CollectorRegistry(),
    )
