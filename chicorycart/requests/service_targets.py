"""Chooses the other targets of the service that may run a request."""

from random import Random

from chicorycart.address import pack_address
from chicorycart.clock import Clock
from chicorycart.configuration.model import Service
from chicorycart.configuration.model import Target
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.defaults import PEER_AGENT_AVOID_SECONDS
from chicorycart.placement.load import Load
from chicorycart.placement.load import PeerAgentLoads


class NoPeerAgentLoads:
    """Knows the load of nobody."""

    __slots__ = ()

    def load_of(self, agent: int) -> Load | None:
        """Return None."""
        return None


class ServiceTargets:
    """The own target and the others of its service, as configured.

    Parameters
    ----------
    store : ConfigurationStore
        The configuration in force.
    service, target : str
        The own service and target.
    loads : PeerAgentLoads
        What the mates say of their load.
    clock : Clock
        Ages the memory of mates that failed.
    random : Random
        Breaks ties, so that agents do not all choose the same mate.
    """

    __slots__ = (
        "store",
        "service_name",
        "target_name",
        "loads",
        "clock",
        "random",
        "avoided_until",
    )

    def __init__(
        self,
        store: ConfigurationStore,
        service: str,
        target: str,
        loads: PeerAgentLoads,
        clock: Clock,
        random: Random,
    ):
        self.store = store
        self.service_name = service
        self.target_name = target
        self.loads = loads
        self.clock = clock
        self.random = random
        self.avoided_until: dict[str, float] = {}

    @property
    def service(self) -> Service | None:
        """The service as it is in force."""
        return self.store.current.services.get(self.service_name)

    @property
    def own(self) -> Target | None:
        """The own target as it is in force."""
        service = self.service
        return service.find_target(self.target_name) if service else None

    @property
    def is_leaving(self) -> bool:
        """Whether the own target takes no new work, by configuration."""
        if self.service is None:
            return False
        return self.own is None or not self.own.takes_new_work

    def list_active_others(self) -> list[Target]:
        """Return the others that take new work and can be reached."""
        targets = self.service.targets if self.service else ()
        return [
            target
            for target in targets
            if target.name != self.target_name
            and target.takes_new_work
            and target.gateway is not None
        ]

    def rank(self) -> list[Target]:
        """Return those to try, the least loaded first."""
        now = self.clock.now()
        usable = [
            target
            for target in self.list_active_others()
            if self.avoided_until.get(target.name, now) <= now
        ]
        self.random.shuffle(usable)
        return sorted(usable, key=self.relative_load)

    def relative_load(self, target: Target) -> float:
        """Return the load over strength; infinite if full or unheard of."""
        load = self.loads.load_of(pack_address(target.agent))
        if load is None or not load.takes_new_work:
            return float("inf")
        return load.relative

    def avoid(self, target: Target) -> None:
        """Leave a mate alone for a while."""
        until = self.clock.now() + PEER_AGENT_AVOID_SECONDS
        self.avoided_until[target.name] = until
