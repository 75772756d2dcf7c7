"""Builds the heartbeats of a process and answers those of others."""

from chicorycart.address import Address
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.membership.incarnation import Incarnation
from chicorycart.membership.messages import decode_heartbeat
from chicorycart.membership.messages import encode_heartbeat
from chicorycart.membership.messages import Heartbeat
from chicorycart.placement.load import Load
from chicorycart.placement.load import LoadSource


class NoLoad:
    """The load of a process without a target."""

    __slots__ = ()

    def current_load(self) -> Load:
        """Return an empty load that accepts no new work."""
        return Load(0, 0, 1.0, takes_new_work=False)


class HeartbeatBuilder:
    """Builds the heartbeats of the own process, numbered in sequence.

    Parameters
    ----------
    sender : int
        Packed address on which the own process receives datagrams.
    service : int
        Identifier of the own service, `NO_SERVICE` for a balancer.
    incarnation : Incarnation
        Of the own process.
    store : ConfigurationStore
        Holds the configuration version in force.
    load : LoadSource
        Provides the load of the own target.
    """

    __slots__ = (
        "sender",
        "service",
        "incarnation",
        "store",
        "load",
        "sequence",
    )

    def __init__(
        self,
        sender: int,
        service: int,
        incarnation: Incarnation,
        store: ConfigurationStore,
        load: LoadSource,
    ):
        self.sender = sender
        self.service = service
        self.incarnation = incarnation
        self.store = store
        self.load = load
        self.sequence = 0

    def encode_next(self, wants_answer: bool = False) -> bytes:
        """Return an encoded heartbeat with the next sequence number."""
        self.sequence += 1
        heartbeat = Heartbeat(
            self.sender,
            self.service,
            self.incarnation.number,
            self.sequence,
            self.store.current.version,
            self.load.current_load(),
            wants_answer,
        )
        return encode_heartbeat(heartbeat)


def handle_heartbeat(
    body: bytes,
    source: Address,
    heartbeats: HeartbeatBuilder,
    sender: Sender,
) -> Heartbeat:
    """Decode a heartbeat, and answer it if it asks for an answer.

    Raises
    ------
    MembershipMessageError
        If it is malformed or implausible.
    """
    heartbeat = decode_heartbeat(body, source)
    if heartbeat.wants_answer:
        sender.send(MessageKind.HEARTBEAT, heartbeats.encode_next(), source)
    return heartbeat
