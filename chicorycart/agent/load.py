"""The load of the target that an agent stands beside."""

from chicorycart.configuration.store import ConfigurationStore
from chicorycart.flows.table import FlowTable
from chicorycart.placement.capacity import CapacityMeter
from chicorycart.placement.capacity import initial_capacity
from chicorycart.placement.load import Load
from chicorycart.placement.load import PeerAgentLoads
from chicorycart.requests.gateway import Gateway

DEFAULT_CAPACITY = 1.0


class RequestLoad:
    """The requests at a gateway against the measured strength.

    Parameters
    ----------
    gateway : Gateway
        Runs the requests.
    meter : CapacityMeter
        Measures what one slot gets done.
    store : ConfigurationStore
        Publishes the weight, which counts until enough is measured.
    service, target : str
        The target that the agent stands beside, and its service.
    peer_agent_loads : PeerAgentLoads
        Give the weight its scale.
    """

    __slots__ = (
        "gateway",
        "meter",
        "store",
        "service",
        "target",
        "peer_agent_loads",
    )

    def __init__(
        self,
        gateway: Gateway,
        meter: CapacityMeter,
        store: ConfigurationStore,
        service: str,
        target: str,
        peer_agent_loads: PeerAgentLoads,
    ):
        self.gateway = gateway
        self.meter = meter
        self.store = store
        self.service = service
        self.target = target
        self.peer_agent_loads = peer_agent_loads
        gateway.slots.service_time.meter = meter

    def current_load(self) -> Load:
        """Return the load at this moment."""
        load = self.gateway.current_load()
        load.capacity = self.capacity()
        return load

    def capacity(self) -> float:
        """Return the strength to report."""
        if self.meter.is_measured:
            return self.meter.current() * self.gateway.slots.limit
        service = self.store.current.services.get(self.service)
        if service is None:
            return DEFAULT_CAPACITY
        assumed = initial_capacity(service, self.target, self.peer_agent_loads)
        return assumed * self.meter.slow_start_share()


class FlowLoad:
    """Counts owned flows against the published weight.

    For targets whose packets bypass the request gateway.

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
            return Load(flows, 0, DEFAULT_CAPACITY, False)
        return Load(flows, 0, target.weight, target.takes_new_work)
