"""What a balancer and an agent have in common."""

from random import Random
from time import time
from typing import Protocol

from prometheus_client import CollectorRegistry

from chicorycart.address import Address
from chicorycart.clock import LoopClock
from chicorycart.configuration.peers import PeerTable
from chicorycart.configuration.platform import PlatformClient
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.configuration.values import HttpValues
from chicorycart.defaults import READER_CALLS_BURST
from chicorycart.defaults import READER_CALLS_PER_SECOND
from chicorycart.links.datagrams import DatagramLink
from chicorycart.links.metrics import count_dropped
from chicorycart.links.peers import PeerLinks
from chicorycart.links.sockets import DatagramSocket
from chicorycart.membership.follow import InstanceFollower
from chicorycart.membership.incarnation import Incarnation
from chicorycart.membership.instances import Instance
from chicorycart.membership.instances import InstanceRole
from chicorycart.membership.instances import InstanceState
from chicorycart.membership.instances import InstanceSubscriber
from chicorycart.membership.pauses import PauseDetector
from chicorycart.membership.sources import KnownSources
from chicorycart.pace import TokenBucket
from chicorycart.settings.model import DaemonSettings
from chicorycart.settings.model import PeerSettings

ANY_PORT = 0


class VersionFollower(Protocol):
    """Brings each version into force.

    Attributes
    ----------
    is_serving : bool
        Whether the highest version that can be learned is in force.
    """

    is_serving: bool

    def resume(self, late_seconds: float) -> None:
        """Ask around anew, since the process was paused."""


class DaemonParts:
    """The parts of every daemon, joined to each other.

    Parameters
    ----------
    settings : DaemonSettings
        Checked settings.

    Attributes
    ----------
    store : ConfigurationStore
        The configuration in force.
    link : PeerLinks
        Messages from and to other processes.
    platform : PlatformClient
        Reads what the platform publishes.
    peers : PeerTable
        Processes to exchange versions with.
    instances : InstanceFollower
        Reads the instance list.
    detector : PauseDetector
        Notices that the process was paused.
    """

    __slots__ = (
        "settings",
        "clock",
        "random",
        "registry",
        "store",
        "sources",
        "data_socket",
        "link",
        "detector",
        "incarnation",
        "platform",
        "peers",
        "instances",
    )

    def __init__(self, settings: DaemonSettings):
        self.settings = settings
        self.clock = LoopClock()
        self.random = Random()
        self.registry = CollectorRegistry()
        self.store = ConfigurationStore(self.clock)
        self.sources = KnownSources(self.clock)
        self.store.subscribe(self.sources)
        self.data_socket = DatagramSocket(settings.data)
        self.link = PeerLinks(
            DatagramLink(
                self.data_socket, self.sources, count_dropped(self.registry)
            ),
            self.open_socket,
        )
        self.detector = PauseDetector(self.clock)
        self.incarnation = Incarnation(time())
        pace = TokenBucket(
            self.clock, READER_CALLS_PER_SECOND, READER_CALLS_BURST
        )
        self.platform = PlatformClient(HttpValues(settings.platform), pace)
        self.peers = PeerTable(settings.name, settings.domain, self.clock)
        self.instances = InstanceFollower(
            self.platform, self.random, self.registry
        )

    def open_socket(self) -> DatagramSocket:
        """Open a socket on another port of the own instance."""
        return DatagramSocket(Address(self.settings.data.host, ANY_PORT))

    def join(
        self, versions: VersionFollower, balancers: InstanceSubscriber
    ) -> None:
        """Tell the parts that are left of pauses and of instance lists."""
        self.detector.subscribe(versions)
        self.instances.subscribe(self.sources)
        self.instances.subscribe(self.peers)
        self.instances.subscribe(balancers)
        self.instances.begin_with(
            [build_instance(peer) for peer in self.settings.peers]
        )

    def start(self) -> None:
        """Begin to take messages."""
        self.data_socket.start(self.link.main)

    def close(self) -> None:
        """Release every socket."""
        self.link.close()
        self.data_socket.close()


def build_instance(peer: PeerSettings) -> Instance:
    """Return a balancer of the settings as an instance list has it."""
    return Instance(
        peer.name,
        InstanceRole.BALANCER,
        peer.data,
        peer.control,
        peer.region,
        peer.domain,
        InstanceState.LIVE,
    )
