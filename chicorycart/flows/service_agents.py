"""The agents of one service, as one of them sees them."""

from collections import OrderedDict
from collections.abc import Iterable

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
from chicorycart.placement.chain import Suspicions


def pack_agents(targets: Iterable[Target]) -> list[int]:
    """Return the packed addresses of the targets' agents."""
    return [pack_address(target.agent) for target in targets]


class ServiceAgents:
    """The agents of a service, present and past.

    Parameters
    ----------
    store : ConfigurationStore
        The configuration in force and those it replaced.
    name : str
        Name of the service.
    own : int
        Packed address of this agent.
    clock : Clock
        Tells when the service changed.
    suspicions : Suspicions
        Agents that are passed over when work is placed.

    Attributes
    ----------
    known : OrderedDict
        Agents of the service that were seen; the oldest go first when there
        are too many. One that left the configuration stays, since it may
        still own flows; one may also be newer than the version in force.
    changed_at : float
        When the targets of the service last changed.
    """

    __slots__ = (
        "store",
        "name",
        "own",
        "clock",
        "suspicions",
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
        suspicions: Suspicions | None = None,
    ):
        self.store = store
        self.name = name
        self.own = own
        self.clock = clock
        self.suspicions = suspicions or NoSuspicions()
        self.known: OrderedDict[int, None] = OrderedDict()
        self.changed_at = float("-inf")
        self.service: Service | None = None
        self.targets: dict[int, Target] = {}
        store.subscribe(self)
        self.change_configuration(store.current)

    def change_configuration(self, configuration: Configuration) -> None:
        """Learn the agents of the version that came into force."""
        service = configuration.services.get(self.name)
        if describe_targets(service) != describe_targets(self.service):
            self.changed_at = self.clock.now()
        self.service = service
        targets = service.targets if service else ()
        self.targets = {pack_address(t.agent): t for t in targets}
        for agent in self.targets:
            self.learn(agent)

    def learn(self, agent: int) -> None:
        """Know an agent of the service from now on."""
        self.known[agent] = None
        self.known.move_to_end(agent)
        if len(self.known) > MAX_KNOWN_AGENTS:
            self.known.popitem(last=False)

    def is_known(self, agent: int) -> bool:
        """Tell whether the agent stands, or stood, beside a target."""
        return agent in self.targets or agent in self.known

    def is_active(self, agent: int) -> bool:
        """Tell whether the agent's target takes new work."""
        target = self.targets.get(agent)
        return target is not None and target.takes_new_work

    def is_suspected(self, agent: int) -> bool:
        """Tell whether the agent is suspected to be dead."""
        target = self.targets.get(agent)
        return target is not None and self.suspicions.is_suspected(target)

    def misses_any(self) -> bool:
        """Tell whether any agent of the service is suspected."""
        return any(map(self.suspicions.is_suspected, self.targets.values()))

    def can_receive(self, agent: int) -> bool:
        """Tell whether packets can be sent to the agent."""
        return self.is_known(agent) and not self.is_suspected(agent)

    @property
    def version(self) -> int:
        """Version of the configuration in force here."""
        return self.store.current.version

    def serves(self, entry: tuple[str, int, int]) -> bool:
        """Tell whether callers reach the service at this entry.

        True while the service is unknown, since nothing can be checked.
        """
        if self.service is None or self.service.entry.key == entry:
            return True
        replaced = self.store.list_replaced(self.name)
        return any(service.entry.key == entry for service in replaced)

    def list_others(self) -> list[int]:
        """Return the other agents of the version in force."""
        return [agent for agent in self.targets if agent != self.own]

    def candidates(self, bucket: int) -> list[int]:
        """Return the agents that may accept a flow of the bucket."""
        if self.service is None:
            return []
        return pack_agents(choose_candidates(self.service, bucket))

    def is_always_candidate(self, bucket: int) -> bool:
        """Tell whether this agent is a candidate of every recent state."""
        if self.service is None:
            return False
        states = [self.service, *self.store.list_replaced(self.name)]
        return all(
            self.own in pack_agents(choose_candidates(state, bucket))
            for state in states
        )

    def chain(self, bucket: int) -> list[int]:
        """Return the chain of the bucket as this agent sees it."""
        if self.service is None:
            return []
        replaced = self.store.list_replaced(self.name)
        return pack_agents(
            build_chain(self.service, replaced, bucket, NoSuspicions())
        )


def describe_targets(service: Service | None) -> list[tuple]:
    """Return what decides on the candidates of a service."""
    targets = service.targets if service else ()
    return [(t.name, t.agent, t.weight, t.state) for t in targets]
