"""The load of a target whose packets bypass the request gateway."""

from chicorycart.configuration.store import ConfigurationStore
from chicorycart.flows.table import FlowTable
from chicorycart.placement.load import Load

DEFAULT_STRENGTH = 1.0


class FlowLoad:
    """Counts owned flows against the published weight.

    Parameters
    ----------
    table : FlowTable
        Owned flows.
    store : ConfigurationStore
        Publishes the weight.
    service, target : str
        The target that the agent stands beside, and its service.
    """

    __slots__ = ("table", "store", "service", "target")

    def __init__(
        self,
        table: FlowTable,
        store: ConfigurationStore,
        service: str,
        target: str,
    ):
        self.table = table
        self.store = store
        self.service = service
        self.target = target

    def current_load(self) -> Load:
        """Return the load at this moment."""
        service = self.store.current.services.get(self.service)
        target = service.find_target(self.target) if service else None
        flows = self.table.count_open()
        if target is None:
            return Load(flows, 0, DEFAULT_STRENGTH, False)
        return Load(flows, 0, target.weight, target.takes_new_work)
