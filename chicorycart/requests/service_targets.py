"""Targets of a service, and the order in which resends try them."""

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
    """Peer agent loads of an agent that receives none."""

    __slots__ = ()

    def load_of(self, agent: int) -> Load | None:
        """Return None."""
        return None


class ServiceTargets:
    """The own target and the other targets of its service, as configured.

    Parameters
    ----------
    store : ConfigurationStore
        Holds the configuration in force.
    service, target : str
        Names of the own service and target.
    loads : PeerAgentLoads
        Loads that peer agents report.
    clock : Clock
        Clock of `avoided_until`.
    random : Random
        Breaks ties, so that agents do not all choose the same peer agent.

    Attributes
    ----------
    avoided_until : dict
        Time until which `rank` leaves a target out, by its name.
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
        """The own service in the configuration in force, if it is there."""
        return self.store.current.services.get(self.service_name)

    @property
    def own(self) -> Target | None:
        """The own target in the configuration in force, if it is there."""
        service = self.service
        return service.find_target(self.target_name) if service else None

    @property
    def is_leaving(self) -> bool:
        """Whether the configuration drains or lacks the own target.

        False if it lacks the whole service.
        """
        if self.service is None:
            return False
        return self.own is None or not self.own.takes_new_work

    def list_active_others(self) -> list[Target]:
        """Return other targets that take new work and have a gateway."""
        targets = self.service.targets if self.service else ()
        return [
            target
            for target in targets
            if target.name != self.target_name
            and target.takes_new_work
            and target.gateway is not None
        ]

    def rank(self) -> list[Target]:
        """Return the targets for a resend, least loaded first."""
        now = self.clock.now()
        usable = [
            target
            for target in self.list_active_others()
            if self.avoided_until.get(target.name, now) <= now
        ]
        self.random.shuffle(usable)
        return sorted(usable, key=self.relative_load)

    def relative_load(self, target: Target) -> float:
        """Return the load relative to the target's capacity.

        It is infinite if the target takes no new work or its load is unknown.
        """
        load = self.loads.load_of(pack_address(target.agent))
        if load is None or not load.takes_new_work:
            return float("inf")
        return load.relative

    def avoid(self, target: Target) -> None:
        """Leave a target out for `PEER_AGENT_AVOID_SECONDS`."""
        until = self.clock.now() + PEER_AGENT_AVOID_SECONDS
        self.avoided_until[target.name] = until
