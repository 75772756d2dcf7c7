"""Settings of a daemon that steers flows."""

from chicorycart.address import Address


class Bounds:
    """Time limits that the platform sets.

    Attributes
    ----------
    apply_seconds : float
        Time within which a new configuration must be in force.
    drain_seconds : float
        Time after which a draining target must get no new flows.
    stop_seconds : float
        Time between the signal to stop and the kill of the process.
    flow_ttl_seconds : float
        Idle time after which a flow may be forgotten.
    cold_over : float or None
        Factor on the requests a second that a cold target bears, up to which
        it may get openings; None for no limit.
    cold_slack : float or None
        Openings a second beyond that; None for no limit.
    evacuate_seconds : float or None, optional
        Time after which an evacuated domain must get no new flows; None if
        the platform sets none.
    """

    __slots__ = (
        "apply_seconds",
        "drain_seconds",
        "stop_seconds",
        "flow_ttl_seconds",
        "cold_over",
        "cold_slack",
        "evacuate_seconds",
    )

    def __init__(
        self,
        apply_seconds: float,
        drain_seconds: float,
        stop_seconds: float,
        flow_ttl_seconds: float,
        cold_over: float | None = None,
        cold_slack: float | None = None,
        evacuate_seconds: float | None = None,
    ):
        self.apply_seconds = apply_seconds
        self.drain_seconds = drain_seconds
        self.stop_seconds = stop_seconds
        self.flow_ttl_seconds = flow_ttl_seconds
        self.cold_over = cold_over
        self.cold_slack = cold_slack
        self.evacuate_seconds = evacuate_seconds

    @property
    def has_cold_limit(self) -> bool:
        """Whether the openings of cold targets are limited."""
        return self.cold_over is not None and self.cold_slack is not None


class SteeringSettings:
    """Settings of a balancer or an agent.

    Attributes
    ----------
    name : str
        Unique name of the instance.
    domain : str
        Failure domain of the instance.
    fabric : Address
        Where the fabric delivers callers' packets; answers are sent to
        the same port at the caller's address.
    link : Address
        Where messages between balancers and agents are received; the port
        is the same for every daemon.
    ready : Address
        Where the readiness page is served.
    ready_path : str
        HTTP path of the readiness page.
    metrics : Address
        Where the pages of metrics and status are served.
    store : Address
        HTTP address of the platform's store.
    service : str or None
        Service of the own host; None for a balancer.
    host : Address or None
        Where the own host receives packets; None for a balancer.
    outbound : Address or None
        Where the agent receives the own host's packets; None for a
        balancer.
    bounds : Bounds
        Time limits that the platform sets.
    hedge_share : float
        Share of opening packets that a balancer may offer to a second
        target while the first may still accept, 0 (never) to 0.25.
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
        "hedge_share",
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
        hedge_share: float = 0.0,
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
        self.hedge_share = hedge_share
