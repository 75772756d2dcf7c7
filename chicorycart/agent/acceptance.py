"""Decides whether the agent's target takes an opening flow."""

from chicorycart.configuration.store import ConfigurationStore
from chicorycart.packets.forward import Forward
from chicorycart.placement.choice import LoadChoice


class TargetAcceptance:
    """Accepts opening flows while the target takes new work.

    Parameters
    ----------
    store : ConfigurationStore
        The configuration in force.
    service, target : str
        The target that the agent stands beside, and its service.
    choice : LoadChoice or None
        Compares loads; without one the target keeps what it is offered.

    Attributes
    ----------
    is_stopping : bool
        Whether the agent stops, so that its target takes no new work.
    """

    __slots__ = ("store", "service", "target", "choice", "is_stopping")

    def __init__(
        self,
        store: ConfigurationStore,
        service: str,
        target: str,
        choice: LoadChoice | None = None,
    ):
        self.store = store
        self.service = service
        self.target = target
        self.choice = choice
        self.is_stopping = False

    def accepts(self, forward: Forward) -> bool:
        """Tell whether the target takes new work."""
        if self.is_stopping:
            return False
        service = self.store.current.services.get(self.service)
        target = service.find_target(self.target) if service else None
        return target is not None and target.takes_new_work

    def choose_peer_agent(self, peer_agents: list[int]) -> int | None:
        """Return the less loaded mate that gets a flow, if there is one."""
        return self.choice.choose(peer_agents) if self.choice else None
