"""Which service an entry leads to."""

from xxhash import xxh64_intdigest

from chicorycart.steering.limits import DEFAULT_AIM_SECONDS
from chicorycart.steering.limits import DEFAULT_PRIORITY
from chicorycart.steering.limits import DEFAULT_TIMEOUT_SECONDS

HASH_RANGE = 1 << 64


class ServiceLevel:
    """What the operator promises the callers of a route.

    Attributes
    ----------
    aim_seconds : float
        Time in which an answer counts as prompt.
    timeout_seconds : float
        Time after which callers give a request up.
    priority : int
        Who goes first while not all can be served; 0 is the most urgent.
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


class Route:
    """An entry and the services that its new flows go to.

    Attributes
    ----------
    entry : bytes
        Address and port, 6 bytes.
    services : tuple of (str, float)
        Names and weights; most routes have one.
    level : ServiceLevel
        What callers are promised.
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
        """Return the service of a flow, by its hash and the weights."""
        if len(self.services) == 1:
            return self.services[0][0]
        total = sum(weight for _, weight in self.services)
        mark = xxh64_intdigest(flow, seed=1) / HASH_RANGE * total
        for name, weight in self.services:
            mark -= weight
            if mark < 0:
                return name
        return self.services[-1][0]


class RouteTable:
    """All routes at one version; never changed once made.

    Attributes
    ----------
    version : int
        Number of the configuration; 0 means that none was read yet.
    by_entry : dict of bytes to Route
        By address and port.
    idle_seconds : float or None
        Silence after which a flow may be forgotten, if the configuration
        says so.
    """

    __slots__ = ("version", "by_entry", "idle_seconds")

    def __init__(
        self,
        version: int,
        routes: list[Route],
        idle_seconds: float | None = None,
    ):
        self.version = version
        self.by_entry = {route.entry: route for route in routes}
        self.idle_seconds = idle_seconds


NO_ROUTES = RouteTable(0, [])
