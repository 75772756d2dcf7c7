"""The agents of one service, as known to one of them."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Protocol

from chicorycart.address import pack_address
from chicorycart.clock import Clock
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import Service
from chicorycart.configuration.model import Target
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.defaults import MAX_KNOWN_AGENTS
from chicorycart.placement.chain import build_chain
from chicorycart.placement.chain import choose_candidates
from chicorycart.placement.chain import NoSuspicions


class AgentLeases(Protocol):
    """Knows which agents sent no heartbeat for the time of a lease.

    These include agents that left the configuration not long ago.
    """

    def is_lapsed(self, agent: int) -> bool:
        """Return whether the agent (packed address) is silent."""

    def has_lapsed_agents(self) -> bool:
        """Return whether any agent of the service is silent."""


class EndlessLeases:
    """Takes no agent for silent."""

    __slots__ = ()

    def is_lapsed(self, agent: int) -> bool:
        """Return False."""
        return False

    def has_lapsed_agents(self) -> bool:
        """Return False."""
        return False


def pack_agents(targets: Iterable[Target]) -> list[int]:
    """Return the packed addresses of the targets' agents."""
    return [pack_address(target.agent) for target in targets]


class ServiceAgents:
    """The current and former agents of a service.

    Parameters
    ----------
    store : ConfigurationStore
        The configuration in force and recently replaced ones.
    name : str
        Name of the service.
    own : int
        Packed address of this agent.
    clock : Clock
        Records when the service changed.
    leases : AgentLeases
        Silent agents, which are suspected to be dead and get no packets.

    Attributes
    ----------
    known : OrderedDict
        Packed addresses of all agents of the service that were seen; above
        `MAX_KNOWN_AGENTS` the least recently seen is dropped. An agent that
        left the configuration is kept, because it may still own flows. An
        agent may also be part of a version that isn't in force here yet.
    changed_at : float
        When the targets of the service last changed.
    service : Service or None
        The service in the configuration in force, None if it isn't there.
    targets : dict of int to Target
        Targets of that service by the packed address of their agent.
    """

    __slots__ = (
        "store",
        "name",
        "own",
        "clock",
        "leases",
        "known",
        "changed_at",
        "service",
        "targets",
    )

    def __init__(
        self,
        store: ConfigurationStore,
        name: str,
        own: int,
        clock: Clock,
        leases: AgentLeases | None = None,
    ):
        self.store = store
        self.name = name
        self.own = own
        self.clock = clock
        self.leases = leases or EndlessLeases()
        self.known: OrderedDict[int, None] = OrderedDict()
        self.changed_at = float("-inf")
        self.service: Service | None = None
        self.targets: dict[int, Target] = {}
        store.subscribe(self)
        self.change_configuration(store.current)

    def change_configuration(self, configuration: Configuration) -> None:
        """Update the agents from the version that came into force."""
        service = configuration.services.get(self.name)
        if describe_targets(service) != describe_targets(self.service):
            self.changed_at = self.clock.now()
        self.service = service
        targets = service.targets if service else ()
        self.targets = {pack_address(t.agent): t for t in targets}
        for agent in self.targets:
            self.remember(agent)

    def remember(self, agent: int) -> None:
        """Add an agent to the known ones, as the most recently seen."""
        self.known[agent] = None
        self.known.move_to_end(agent)
        if len(self.known) > MAX_KNOWN_AGENTS:
            self.known.popitem(last=False)

    def is_known(self, agent: int) -> bool:
        """Return whether the agent has, or had, a target of the service."""
        return agent in self.targets or agent in self.known

    def is_active(self, agent: int) -> bool:
        """Return whether the agent's target takes new work."""
        target = self.targets.get(agent)
        return target is not None and target.takes_new_work

    def is_suspected(self, agent: int) -> bool:
        """Return whether the agent is suspected to be dead."""
        return self.leases.is_lapsed(agent)

    def has_suspected_agents(self) -> bool:
        """Return whether any agent of the service is suspected.

        One that left the configuration may still own flows.
        """
        return self.leases.has_lapsed_agents()

    def can_receive(self, agent: int) -> bool:
        """Return whether the agent is known and not suspected."""
        return self.is_known(agent) and not self.is_suspected(agent)

    @property
    def version(self) -> int:
        """Version of the configuration in force here."""
        return self.store.current.version

    def serves(self, entry: tuple[str, int, int]) -> bool:
        """Return whether this is the service's entry, or recently was.

        True while the service is unknown, because nothing can be checked.
        """
        if self.service is None or self.service.entry.key == entry:
            return True
        replaced = self.store.list_replaced(self.name)
        return any(service.entry.key == entry for service in replaced)

    def list_others(self) -> list[int]:
        """Return the other agents of the version in force."""
        return [agent for agent in self.targets if agent != self.own]

    def candidates(self, bucket: int) -> list[int]:
        """Return the agents that may accept a new flow of the bucket."""
        if self.service is None:
            return []
        return pack_agents(choose_candidates(self.service, bucket))

    def is_always_candidate(self, bucket: int) -> bool:
        """Return whether this agent is a candidate in every recent state.

        The states are the one in force and the recently replaced ones.
        """
        if self.service is None:
            return False
        states = [self.service, *self.store.list_replaced(self.name)]
        return all(
            self.own in pack_agents(choose_candidates(state, bucket))
            for state in states
        )

    def chain(self, bucket: int) -> list[int]:
        """Return the chain of the bucket by this agent's configuration."""
        if self.service is None:
            return []
        replaced = self.store.list_replaced(self.name)
        return pack_agents(
            build_chain(self.service, replaced, bucket, NoSuspicions())
        )


def describe_targets(service: Service | None) -> list[tuple]:
    """Return the fields of the targets that determine the candidates."""
    targets = service.targets if service else ()
    return [(t.name, t.agent, t.weight, t.state) for t in targets]
