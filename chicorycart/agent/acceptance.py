"""Decides whether the agent's target takes an opening flow."""

from chicorycart.configuration.store import ConfigurationStore
from chicorycart.packets.forward import Forward


class TargetAcceptance:
    """Accepts opening flows while the target takes new work.

    Parameters
    ----------
    store : ConfigurationStore
        The configuration in force.
    service, target : str
        The target that the agent stands beside, and its service.
    """

    __slots__ = ("store", "service", "target")

    def __init__(self, store: ConfigurationStore, service: str, target: str):
        self.store = store
        self.service = service
        self.target = target

    def accepts(self, forward: Forward) -> bool:
        """Tell whether the configuration lets the target take new work."""
        service = self.store.current.services.get(self.service)
        target = service.find_target(self.target) if service else None
        return target is not None and target.takes_new_work
