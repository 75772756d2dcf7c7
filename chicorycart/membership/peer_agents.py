"""Tracks the other agents of a service by their heartbeats."""

from collections.abc import Iterable
from enum import StrEnum
from typing import Protocol

from logbook import Logger

from chicorycart.address import unpack_address
from chicorycart.clock import Clock
from chicorycart.defaults import DEPARTED_PEER_AGENT_SECONDS
from chicorycart.defaults import HEARTBEAT_LEASE_SECONDS
from chicorycart.defaults import MAX_PEER_AGENTS
from chicorycart.membership.incarnation import is_restart
from chicorycart.membership.messages import Heartbeat
from chicorycart.placement.load import Load

LOGGER = Logger("membership")


class PeerAgentState(StrEnum):
    """Whether a peer agent sends heartbeats.

    `UNKNOWN` means no heartbeat yet, or none since a pause of this process,
    while the lease still runs.
    """

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
        Whether it sends heartbeats.
    expiry : float
        Time at which its lease ends unless a heartbeat renews it.
    incarnation, sequence : int
        Of its newest heartbeat; 0 if none was received.
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
    """How the state of a peer agent changed.

    A restarted peer agent is a new process without the old one's state.
    """

    APPEARED = "appeared"
    RESTARTED = "restarted"
    LAPSED = "lapsed"


class PeerAgentSubscriber(Protocol):
    """A component that acts when a peer agent appears, restarts or lapses."""

    def change_peer_agent(
        self, peer_agent: PeerAgent, change: PeerAgentChange
    ) -> None:
        """Process the change of a peer agent."""


class PeerAgentTable:
    """Holds the state and the lease of each peer agent.

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
        """Notify the subscriber of each change of a peer agent."""
        self.subscribers.append(subscriber)

    def add_expected(self, agents: Iterable[int]) -> None:
        """Add the agents of the service that are missing, with a lease."""
        expiry = self.clock.now() + HEARTBEAT_LEASE_SECONDS
        for agent in agents:
            if agent != self.agent and agent not in self.peer_agents:
                self.peer_agents[agent] = PeerAgent(agent, expiry)

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Renew the sender's lease, unless the heartbeat is outdated."""
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
        """Return the sender of a heartbeat; add it if there is room.

        Returns
        -------
        PeerAgent or None
            None for the own agent, for an agent of another service, and
            for an unknown one beyond `MAX_PEER_AGENTS`.
        """
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
        """Expire leases and delete peer agents that left long ago.

        Parameters
        ----------
        expected : set of int
            Agents of the service in the configuration; these stay in the
            table.
        """
        now = self.clock.now()
        for peer_agent in list(self.peer_agents.values()):
            if (
                peer_agent.state is not PeerAgentState.LAPSED
                and peer_agent.expiry <= now
            ):
                peer_agent.state = PeerAgentState.LAPSED
                self.announce(peer_agent, PeerAgentChange.LAPSED)
            lapsed_seconds = now - peer_agent.expiry
            if (
                peer_agent.agent not in expected
                and lapsed_seconds > DEPARTED_PEER_AGENT_SECONDS
            ):
                del self.peer_agents[peer_agent.agent]

    def resume(self, late_seconds: float) -> None:
        """Renew every lease, since a paused process receives no heartbeats."""
        expiry = self.clock.now() + HEARTBEAT_LEASE_SECONDS
        for peer_agent in self.peer_agents.values():
            peer_agent.state = PeerAgentState.UNKNOWN
            peer_agent.expiry = expiry
            peer_agent.load = None

    def load_of(self, agent: int) -> Load | None:
        """Return the last load of a peer agent whose lease has not ended."""
        peer_agent = self.peer_agents.get(agent)
        if peer_agent is None or peer_agent.expiry <= self.clock.now():
            return None
        return peer_agent.load

    def is_lapsed(self, agent: int) -> bool:
        """Return whether a peer agent's lease ended without a heartbeat."""
        peer_agent = self.peer_agents.get(agent)
        return (
            peer_agent is not None
            and peer_agent.state is PeerAgentState.LAPSED
        )

    def has_lapsed_agents(self) -> bool:
        """Return whether any peer agent's lease ended."""
        return any(map(self.is_lapsed, self.peer_agents))

    def has_recent_contact(self) -> bool:
        """Return whether a peer agent sent a heartbeat within half a lease.

        When this process is cut off, the leases of its peer agents lapse
        one after another. By the time the first one lapses the others are
        more than half over, so they do not count as recent contact.
        """
        minimum_expiry = self.clock.now() + HEARTBEAT_LEASE_SECONDS / 2
        return any(
            peer_agent.state is PeerAgentState.LIVE
            and peer_agent.expiry > minimum_expiry
            for peer_agent in self.peer_agents.values()
        )

    def announce(self, peer_agent: PeerAgent, change: PeerAgentChange) -> None:
        """Log the change of a peer agent and notify the subscribers."""
        LOGGER.info(
            "event=mate_{} agent={} incarnation={:x}",
            change,
            peer_agent,
            peer_agent.incarnation,
        )
        for subscriber in self.subscribers:
            subscriber.change_peer_agent(peer_agent, change)
