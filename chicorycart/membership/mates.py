"""The other agents of a service, as their heartbeats show them."""

from collections.abc import Iterable
from enum import StrEnum
from typing import Protocol

from logbook import Logger

from chicorycart.address import pack_address
from chicorycart.address import unpack_address
from chicorycart.clock import Clock
from chicorycart.configuration.model import Target
from chicorycart.defaults import DEPARTED_MATE_SECONDS
from chicorycart.defaults import HEARTBEAT_LEASE_SECONDS
from chicorycart.defaults import MAX_MATES
from chicorycart.membership.incarnation import is_restart
from chicorycart.membership.messages import Heartbeat
from chicorycart.placement.load import Load

LOGGER = Logger("membership")


class MateState(StrEnum):
    """What is known of a mate."""

    UNKNOWN = "unknown"
    LIVE = "live"
    LAPSED = "lapsed"


class Mate:
    """Another agent of the service.

    Attributes
    ----------
    agent : int
        Packed address.
    state : MateState
        Whether its lease holds.
    expiry : float
        Time at which its lease lapses unless it is heard.
    incarnation, sequence : int
        Of its newest heartbeat; 0 if none was heard.
    version : int
        Configuration version in force there.
    load : Load or None
        Load in its newest heartbeat.
    """

    __slots__ = (
        "agent",
        "state",
        "expiry",
        "incarnation",
        "sequence",
        "version",
        "load",
    )

    def __init__(self, agent: int, expiry: float):
        self.agent = agent
        self.state = MateState.UNKNOWN
        self.expiry = expiry
        self.incarnation = 0
        self.sequence = 0
        self.version = 0
        self.load: Load | None = None

    def __str__(self) -> str:
        return str(unpack_address(self.agent))


class MateChange(StrEnum):
    """What became of a mate.

    A restarted mate is a new process, which has forgotten everything.
    """

    APPEARED = "appeared"
    RESTARTED = "restarted"
    LAPSED = "lapsed"


class MateSubscriber(Protocol):
    """Something that acts when a mate comes or goes."""

    def change_mate(self, mate: Mate, change: MateChange) -> None:
        """Take note of what became of a mate."""


class MateTable:
    """Keeps a lease for each mate.

    Parameters
    ----------
    clock : Clock
        Measures the leases.
    agent : int
        Packed address of the own agent.
    service : int
        Identifier of the own service.
    """

    __slots__ = ("clock", "agent", "service", "mates", "subscribers")

    def __init__(self, clock: Clock, agent: int, service: int):
        self.clock = clock
        self.agent = agent
        self.service = service
        self.mates: dict[int, Mate] = {}
        self.subscribers: list[MateSubscriber] = []

    def subscribe(self, subscriber: MateSubscriber) -> None:
        """Tell the subscriber of each mate that comes or goes."""
        self.subscribers.append(subscriber)

    def expect(self, agents: Iterable[int]) -> None:
        """Give each agent of the service a first lease."""
        expiry = self.clock.now() + HEARTBEAT_LEASE_SECONDS
        for agent in agents:
            if agent != self.agent and agent not in self.mates:
                self.mates[agent] = Mate(agent, expiry)

    def hear(self, heartbeat: Heartbeat) -> None:
        """Renew the lease of a mate, unless the heartbeat is outdated."""
        mate = self.find_sender(heartbeat)
        if mate is None:
            return
        order = (heartbeat.incarnation, heartbeat.sequence)
        if order <= (mate.incarnation, mate.sequence):
            return
        was_live = mate.state is MateState.LIVE
        is_new_process = mate.incarnation != 0 and is_restart(
            mate.incarnation, heartbeat.incarnation
        )
        mate.state = MateState.LIVE
        mate.expiry = self.clock.now() + HEARTBEAT_LEASE_SECONDS
        mate.incarnation, mate.sequence = order
        mate.version = heartbeat.version
        mate.load = heartbeat.load
        if is_new_process:
            self.announce(mate, MateChange.RESTARTED)
        elif not was_live:
            self.announce(mate, MateChange.APPEARED)

    def find_sender(self, heartbeat: Heartbeat) -> Mate | None:
        """Return the mate that sent a heartbeat, a new one if need be."""
        if heartbeat.service != self.service:
            return None
        if heartbeat.sender == self.agent:
            return None
        mate = self.mates.get(heartbeat.sender)
        if mate is None and len(self.mates) < MAX_MATES:
            mate = Mate(heartbeat.sender, self.clock.now())
            self.mates[heartbeat.sender] = mate
        return mate

    def check(self, expected: set[int]) -> None:
        """Let leases lapse and forget mates that left long ago.

        Parameters
        ----------
        expected : set of int
            Agents of the service in the configuration; these are kept.
        """
        now = self.clock.now()
        for mate in list(self.mates.values()):
            if mate.state is not MateState.LAPSED and mate.expiry <= now:
                mate.state = MateState.LAPSED
                self.announce(mate, MateChange.LAPSED)
            silent = now - mate.expiry
            if mate.agent not in expected and silent > DEPARTED_MATE_SECONDS:
                del self.mates[mate.agent]

    def resume(self, late_seconds: float) -> None:
        """Give every mate a new lease, since nobody could be heard."""
        expiry = self.clock.now() + HEARTBEAT_LEASE_SECONDS
        for mate in self.mates.values():
            mate.state = MateState.UNKNOWN
            mate.expiry = expiry
            mate.load = None

    def load_of(self, agent: int) -> Load | None:
        """Return the last load of a mate whose lease holds."""
        mate = self.mates.get(agent)
        if mate is None or mate.expiry <= self.clock.now():
            return None
        return mate.load

    def is_lapsed(self, agent: int) -> bool:
        """Tell whether a mate was silent past its lease."""
        mate = self.mates.get(agent)
        return mate is not None and mate.state is MateState.LAPSED

    def is_suspected(self, target: Target) -> bool:
        """Tell whether the target's agent was silent past its lease."""
        return self.is_lapsed(pack_address(target.agent))

    def hears_anyone(self) -> bool:
        """Tell whether any mate was heard a moment ago.

        When the own process is cut off, the leases of its mates lapse one
        by one; those that still hold then are older than this.
        """
        fresh = self.clock.now() + HEARTBEAT_LEASE_SECONDS / 2
        return any(
            mate.state is MateState.LIVE and mate.expiry > fresh
            for mate in self.mates.values()
        )

    def announce(self, mate: Mate, change: MateChange) -> None:
        """Log what became of a mate and tell the subscribers."""
        LOGGER.info(
            "event=mate_{} agent={} incarnation={:x}",
            change,
            mate,
            mate.incarnation,
        )
        for subscriber in self.subscribers:
            subscriber.change_mate(mate, change)
