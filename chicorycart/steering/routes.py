"""Routes from entries to services."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from logbook import Logger
from xxhash import xxh64_intdigest

from chicorycart.steering.limits import DEFAULT_AIM_SECONDS
from chicorycart.steering.limits import DEFAULT_PRIORITY
from chicorycart.steering.limits import DEFAULT_TIMEOUT_SECONDS

LOGGER = Logger("store")
HASH_RANGE = 1 << 64


class ServiceLevel:
    """Service level of a route, as the operator configures it.

    Attributes
    ----------
    aim_seconds : float
        Latency objective: an answer within this time counts as prompt.
    timeout_seconds : float
        Time after which callers abandon a request.
    priority : int
        Order of service under overload; 0 is served first.
    """

    __slots__ = ("aim_seconds", "timeout_seconds", "priority")

    def __init__(
        self, aim_seconds: float, timeout_seconds: float, priority: int
    ):
        self.aim_seconds = aim_seconds
        self.timeout_seconds = timeout_seconds
        self.priority = priority


DEFAULT_LEVEL = ServiceLevel(
    DEFAULT_AIM_SECONDS, DEFAULT_TIMEOUT_SECONDS, DEFAULT_PRIORITY
)


class ColdStart:
    """What the hosts of a service bear after their start.

    Attributes
    ----------
    seconds : float
        Time for which a host is cold after its start.
    per_second : float or None
        Requests a second that it bears meanwhile; None for no limit.
    """

    __slots__ = ("seconds", "per_second")

    def __init__(self, seconds: float, per_second: float | None):
        self.seconds = seconds
        self.per_second = per_second


class Route:
    """An entry and the services that receive its new flows.

    Attributes
    ----------
    entry : bytes
        IPv4 address and port in network byte order, 6 bytes.
    services : tuple of (str, float)
        Names and weights of the services; most routes have one service.
    level : ServiceLevel
        Service level of the route's callers.
    """

    __slots__ = ("entry", "services", "level")

    def __init__(
        self,
        entry: bytes,
        services: tuple[tuple[str, float], ...],
        level: ServiceLevel = DEFAULT_LEVEL,
    ):
        self.entry = entry
        self.services = services
        self.level = level

    def choose_service(self, flow: bytes) -> str:
        """Return the service of a flow by weighted hashing.

        The same flow always gets the same service.
        """
        if len(self.services) == 1:
            return self.services[0][0]
        total = sum(weight for _, weight in self.services)
        point = xxh64_intdigest(flow, seed=1) / HASH_RANGE * total
        for name, weight in self.services:
            point -= weight
            if point < 0:
                return name
        return self.services[-1][0]


class RouteTable:
    """All routes of one configuration version; immutable.

    Attributes
    ----------
    version : int
        Version of the configuration; 0 before one was read.
    by_entry : dict of bytes to Route
        Routes by entry (address and port, 6 bytes).
    idle_seconds : float or None
        Idle time after which a flow may be forgotten; None if the
        configuration sets none.
    services : frozenset of str
        Names of the configured services, also of those without a route.
    cold_starts : Mapping of str to ColdStart
        Cold starts of the services that configure one, by name.
    """

    __slots__ = (
        "version",
        "by_entry",
        "idle_seconds",
        "services",
        "cold_starts",
    )

    def __init__(
        self,
        version: int,
        routes: list[Route],
        idle_seconds: float | None = None,
        services: Iterable[str] = (),
        cold_starts: Mapping[str, ColdStart] | None = None,
    ):
        self.version = version
        self.by_entry = {route.entry: route for route in routes}
        self.idle_seconds = idle_seconds
        routed = (name for route in routes for name, _ in route.services)
        self.services = frozenset((*services, *routed))
        self.cold_starts = cold_starts or {}


NO_ROUTES = RouteTable(0, [])


class RoutesInForce:
    """Holds the routes with the highest version read so far.

    Attributes
    ----------
    current : RouteTable
        The routes in force; their version never decreases.
    listeners : list of callable
        Called after each change of them.
    """

    __slots__ = ("current", "listeners")

    def __init__(self):
        self.current: RouteTable = NO_ROUTES
        self.listeners: list[Callable[[], None]] = []

    def activate(self, routes: RouteTable) -> None:
        """Put routes in force if their version is higher."""
        if routes.version <= self.current.version:
            return
        LOGGER.info(
            "event=in_force version={} before={} routes={}",
            routes.version,
            self.current.version,
            len(routes.by_entry),
        )
        self.current = routes
        for listener in self.listeners:
            listener()
