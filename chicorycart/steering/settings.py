"""What a daemon that steers flows is told."""

from chicorycart.address import Address


class Bounds:
    """Times that the platform gives the system.

    Attributes
    ----------
    apply_seconds : float
        Time in which a new configuration must be in force.
    drain_seconds : float
        Time after which a draining target gets no new flows.
    stop_seconds : float
        Time between the request to stop and the end by force.
    flow_ttl_seconds : float
        Age from which a flow may be forgotten.
    """

    __slots__ = (
        "apply_seconds",
        "drain_seconds",
        "stop_seconds",
        "flow_ttl_seconds",
    )

    def __init__(
        self,
        apply_seconds: float,
        drain_seconds: float,
        stop_seconds: float,
        flow_ttl_seconds: float,
    ):
        self.apply_seconds = apply_seconds
        self.drain_seconds = drain_seconds
        self.stop_seconds = stop_seconds
        self.flow_ttl_seconds = flow_ttl_seconds


class SteeringSettings:
    """What every daemon that steers flows is told.

    Attributes
    ----------
    name : str
        Unique name of the instance.
    domain : str
        Failure domain of the instance.
    fabric : Address
        Where callers' packets come from the fabric, and from whose port
        answers reach callers.
    link : Address
        Where messages of the system are taken; every daemon has the same
        port.
    ready : Address
        Where readiness is told.
    ready_path : str
        Page that tells it there.
    metrics : Address
        Where metrics and status are served.
    store : Address
        Where the platform's store answers.
    service : str or None
        Service of the own host; None for a balancer.
    host : Address or None
        Where the own host takes packets.
    outbound : Address or None
        Where the own host sends packets.
    bounds : Bounds
        Times that the platform gives.
    """

    __slots__ = (
        "name",
        "domain",
        "fabric",
        "link",
        "ready",
        "ready_path",
        "metrics",
        "store",
        "service",
        "host",
        "outbound",
        "bounds",
    )

    def __init__(
        self,
        name: str,
        domain: str,
        fabric: Address,
        link: Address,
        ready: Address,
        ready_path: str,
        metrics: Address,
        store: Address,
        service: str | None,
        host: Address | None,
        outbound: Address | None,
        bounds: Bounds,
    ):
        self.name = name
        self.domain = domain
        self.fabric = fabric
        self.link = link
        self.ready = ready
        self.ready_path = ready_path
        self.metrics = metrics
        self.store = store
        self.service = service
        self.host = host
        self.outbound = outbound
        self.bounds = bounds
