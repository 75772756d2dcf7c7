"""The other agents of a service, as their heartbeats show them."""

from collections.abc import Iterable
from enum import StrEnum
from typing import Protocol

from logbook import Logger

from chicorycart.address import pack_address
from chicorycart.address import unpack_address
from chicorycart.clock import Clock
from chicorycart.configuration.model import Target
from chicorycart.defaults import DEPARTED_PEER_AGENT_SECONDS
from chicorycart.defaults import HEARTBEAT_LEASE_SECONDS
from chicorycart.defaults import MAX_PEER_AGENTS
from chicorycart.membership.incarnation import is_restart
from chicorycart.membership.messages import Heartbeat
from chicorycart.placement.load import Load

LOGGER = Logger("membership")


class PeerAgentState(StrEnum):
    """What is known of a mate."""

    UNKNOWN = "unknown"
    LIVE = "live"
    LAPSED = "lapsed"


class PeerAgent:
    """Another agent of the service.

    Attributes
    ----------
    agent : int
        Packed address.
    state : PeerAgentState
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
        self.state = PeerAgentState.UNKNOWN
        self.expiry = expiry
        self.incarnation = 0
        self.sequence = 0
        self.version = 0
        self.load: Load | None = None

    def __str__(self) -> str:
        return str(unpack_address(self.agent))


class PeerAgentChange(StrEnum):
    """What became of a mate.

    A restarted mate is a new process, which has forgotten everything.
    """

    APPEARED = "appeared"
    RESTARTED = "restarted"
    LAPSED = "lapsed"


class PeerAgentSubscriber(Protocol):
    """Something that acts when a mate comes or goes."""

    def change_peer_agent(
        self, peer_agent: PeerAgent, change: PeerAgentChange
    ) -> None:
        """Take note of what became of a mate."""


class PeerAgentTable:
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

    __slots__ = ("clock", "agent", "service", "peer_agents", "subscribers")

    def __init__(self, clock: Clock, agent: int, service: int):
        self.clock = clock
        self.agent = agent
        self.service = service
        self.peer_agents: dict[int, PeerAgent] = {}
        self.subscribers: list[PeerAgentSubscriber] = []

    def subscribe(self, subscriber: PeerAgentSubscriber) -> None:
        """Tell the subscriber of each mate that comes or goes."""
        self.subscribers.append(subscriber)

    def expect(self, agents: Iterable[int]) -> None:
        """Give each agent of the service a first lease."""
        expiry = self.clock.now() + HEARTBEAT_LEASE_SECONDS
        for agent in agents:
            if agent != self.agent and agent not in self.peer_agents:
                self.peer_agents[agent] = PeerAgent(agent, expiry)

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Renew the lease of a mate, unless the heartbeat is outdated."""
        peer_agent = self.find_sender(heartbeat)
        if peer_agent is None:
            return
        order = (heartbeat.incarnation, heartbeat.sequence)
        if order <= (peer_agent.incarnation, peer_agent.sequence):
            return
        was_live = peer_agent.state is PeerAgentState.LIVE
        is_new_process = peer_agent.incarnation != 0 and is_restart(
            peer_agent.incarnation, heartbeat.incarnation
        )
        peer_agent.state = PeerAgentState.LIVE
        peer_agent.expiry = self.clock.now() + HEARTBEAT_LEASE_SECONDS
        peer_agent.incarnation, peer_agent.sequence = order
        peer_agent.version = heartbeat.version
        peer_agent.load = heartbeat.load
        if is_new_process:
            self.announce(peer_agent, PeerAgentChange.RESTARTED)
        elif not was_live:
            self.announce(peer_agent, PeerAgentChange.APPEARED)

    def find_sender(self, heartbeat: Heartbeat) -> PeerAgent | None:
        """Return the mate that sent a heartbeat, a new one if need be."""
        if heartbeat.service != self.service:
            return None
        if heartbeat.sender == self.agent:
            return None
        peer_agent = self.peer_agents.get(heartbeat.sender)
        if peer_agent is None and len(self.peer_agents) < MAX_PEER_AGENTS:
            peer_agent = PeerAgent(heartbeat.sender, self.clock.now())
            self.peer_agents[heartbeat.sender] = peer_agent
        return peer_agent

    def check(self, expected: set[int]) -> None:
        """Let leases lapse and forget mates that left long ago.

        Parameters
        ----------
        expected : set of int
            Agents of the service in the configuration; these are kept.
        """
        now = self.clock.now()
        for peer_agent in list(self.peer_agents.values()):
            if (
                peer_agent.state is not PeerAgentState.LAPSED
                and peer_agent.expiry <= now
            ):
                peer_agent.state = PeerAgentState.LAPSED
                self.announce(peer_agent, PeerAgentChange.LAPSED)
            silent = now - peer_agent.expiry
            if (
                peer_agent.agent not in expected
                and silent > DEPARTED_PEER_AGENT_SECONDS
            ):
                del self.peer_agents[peer_agent.agent]

    def resume(self, late_seconds: float) -> None:
        """Give every mate a new lease, since nobody could be heard."""
        expiry = self.clock.now() + HEARTBEAT_LEASE_SECONDS
        for peer_agent in self.peer_agents.values():
            peer_agent.state = PeerAgentState.UNKNOWN
            peer_agent.expiry = expiry
            peer_agent.load = None

    def load_of(self, agent: int) -> Load | None:
        """Return the last load of a mate whose lease holds."""
        peer_agent = self.peer_agents.get(agent)
        if peer_agent is None or peer_agent.expiry <= self.clock.now():
            return None
        return peer_agent.load

    def is_lapsed(self, agent: int) -> bool:
        """Tell whether a mate was silent past its lease."""
        peer_agent = self.peer_agents.get(agent)
        return (
            peer_agent is not None
            and peer_agent.state is PeerAgentState.LAPSED
        )

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
            peer_agent.state is PeerAgentState.LIVE
            and peer_agent.expiry > fresh
            for peer_agent in self.peer_agents.values()
        )

    def announce(self, peer_agent: PeerAgent, change: PeerAgentChange) -> None:
        """Log what became of a mate and tell the subscribers."""
        LOGGER.info(
            "event=mate_{} agent={} incarnation={:x}",
            change,
            peer_agent,
            peer_agent.incarnation,
        )
        for subscriber in self.subscribers:
            subscriber.change_peer_agent(peer_agent, change)
