"""The settings of each daemon as plain objects."""

from collections.abc import Sequence

from chicorycart.address import Address
from chicorycart.defaults import LOG_SAMPLE
from chicorycart.defaults import REQUEST_DEADLINE_SECONDS

DEFAULT_LOG_LEVEL = "info"


class LogSettings:
    """What is logged.

    Attributes
    ----------
    level : str
        Lowest level that is written.
    decision_sample : float
        Share of flows whose routing decisions are logged, 0 to 1.
    """

    __slots__ = ("level", "decision_sample")

    def __init__(
        self,
        level: str = DEFAULT_LOG_LEVEL,
        decision_sample: float = LOG_SAMPLE,
    ):
        self.level = level
        self.decision_sample = decision_sample


class PeerSettings:
    """A balancer to begin with, while the instance list cannot be read.

    Attributes
    ----------
    name : str
        Unique name of the instance.
    region, domain : str
        Region and failure domain that it stands in.
    data, control : Address
        Where it takes datagrams and serves its pages.
    """

    __slots__ = ("name", "region", "domain", "data", "control")

    def __init__(
        self,
        name: str,
        region: str,
        domain: str,
        data: Address,
        control: Address,
    ):
        self.name = name
        self.region = region
        self.domain = domain
        self.data = data
        self.control = control


class DaemonSettings:
    """What every daemon is told.

    Attributes
    ----------
    name : str
        Unique name of the instance.
    region, domain : str
        Region and failure domain that the instance stands in.
    data : Address
        Where datagrams of the system are taken.
    control : Address
        Where metrics, health and status are served.
    platform : list of str
        Base addresses of the platform's configuration service.
    log : LogSettings
        What is logged.
    peers : sequence of PeerSettings
        Balancers to begin with, until the instance list is read.
    """

    __slots__ = (
        "name",
        "region",
        "domain",
        "data",
        "control",
        "platform",
        "log",
        "peers",
    )

    def __init__(
        self,
        name: str,
        region: str,
        domain: str,
        data: Address,
        control: Address,
        platform: list[str],
        log: LogSettings,
        peers: Sequence[PeerSettings] = (),
    ):
        self.name = name
        self.region = region
        self.domain = domain
        self.data = data
        self.control = control
        self.platform = platform
        self.log = log
        self.peers = peers


class BalancerSettings:
    """What a balancer is told.

    Attributes
    ----------
    daemon : DaemonSettings
        What every daemon is told.
    fabric : Address
        Where the fabric sends callers' packets, IP in UDP.
    stop_seconds : float or None
        Longest time that a stop waits for the fabric to send no more; None
        sets no bound.
    """

    __slots__ = ("daemon", "fabric", "stop_seconds")

    def __init__(
        self,
        daemon: DaemonSettings,
        fabric: Address,
        stop_seconds: float | None = None,
    ):
        self.daemon = daemon
        self.fabric = fabric
        self.stop_seconds = stop_seconds


class AgentSettings:
    """What an agent is told.

    Attributes
    ----------
    daemon : DaemonSettings
        What every daemon is told.
    service, target : str
        The target that the agent stands beside, and its service.
    decapsulation : Address
        Port of the own host that unpacks IP in UDP.
    backend : Address
        Where the target itself listens.
    gateway : Address or None
        Where the request gateway listens; needed for kind http.
    deadline_seconds : float
        Time until an answer must begin, unless a caller asks for less.
    stop_seconds : float or None
        Longest time that a stop waits for requests and flows; None sets
        no bound.
    hedge_share : float
        Share of the requests that may go to a second target when the first
        is slow, 0 (never) to 0.25.
    """

    __slots__ = (
        "daemon",
        "service",
        "target",
        "decapsulation",
        "backend",
        "gateway",
        "deadline_seconds",
        "stop_seconds",
        "hedge_share",
    )

    def __init__(
        self,
        daemon: DaemonSettings,
        service: str,
        target: str,
        decapsulation: Address,
        backend: Address,
        gateway: Address | None,
        deadline_seconds: float = REQUEST_DEADLINE_SECONDS,
        stop_seconds: float | None = None,
        hedge_share: float = 0.0,
    ):
        self.daemon = daemon
        self.service = service
        self.target = target
        self.decapsulation = decapsulation
        self.backend = backend
        self.gateway = gateway
        self.deadline_seconds = deadline_seconds
        self.stop_seconds = stop_seconds
        self.hedge_share = hedge_share
