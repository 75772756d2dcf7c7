"""Joins the parts of the membership slice for a balancer."""

from asyncio import create_task
from asyncio import Task
from random import Random

from prometheus_client import CollectorRegistry

from chicorycart.address import pack_address
from chicorycart.clock import Clock
from chicorycart.configuration.pace import TokenBucket
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.defaults import GOSSIP_BURST_BYTES
from chicorycart.defaults import GOSSIP_BYTES_PER_SECOND
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import MessageLink
from chicorycart.membership.evidence import Evidence
from chicorycart.membership.gossip import Gossip
from chicorycart.membership.heartbeats import NoLoad
from chicorycart.membership.heartbeats import OwnHeartbeat
from chicorycart.membership.incarnation import Incarnation
from chicorycart.membership.instances import Balancers
from chicorycart.membership.messages import NO_SERVICE
from chicorycart.membership.pauses import PauseDetector
from chicorycart.membership.peers import FlatPeers
from chicorycart.membership.suspicions import SuspicionBook
from chicorycart.settings.model import DaemonSettings


class BalancerMembership:
    """Which agents a balancer suspects.

    Parameters
    ----------
    daemon : DaemonSettings
        Name the domain and the own address.
    clock : Clock
        Measures leases.
    store : ConfigurationStore
        Tells the configuration version in force.
    link : MessageLink
        Carries the messages.
    incarnation : Incarnation
        Of the own process.
    detector : PauseDetector
        Waits between rounds of gossip.
    random : Random
        Chooses peers and varies the time between rounds.
    registry : CollectorRegistry
        Where metrics are registered.

    Attributes
    ----------
    suspicions : SuspicionBook
        The suspected agents.
    balancers : Balancers
        To be told of each instance list.
    """

    __slots__ = ("suspicions", "balancers", "detector", "random", "gossip")

    def __init__(
        self,
        daemon: DaemonSettings,
        clock: Clock,
        store: ConfigurationStore,
        link: MessageLink,
        incarnation: Incarnation,
        detector: PauseDetector,
        random: Random,
        registry: CollectorRegistry,
    ):
        sender = pack_address(daemon.data)
        own = OwnHeartbeat(sender, NO_SERVICE, incarnation, store, NoLoad())
        self.suspicions = SuspicionBook(clock)
        self.balancers = Balancers(daemon.domain)
        self.detector = detector
        self.random = random
        evidence = Evidence(clock, self.suspicions, own, link)
        bucket = TokenBucket(
            clock, GOSSIP_BYTES_PER_SECOND, GOSSIP_BURST_BYTES
        )
        self.gossip = Gossip(
            sender,
            self.suspicions,
            evidence,
            FlatPeers(self.balancers, sender, random),
            link,
            bucket,
            registry,
        )
        link.register(MessageKind.HEARTBEAT, evidence)
        link.register(MessageKind.SUSPICION, self.gossip)

    def start(self) -> Task[None]:
        """Begin to gossip."""
        return create_task(self.gossip.run(self.detector, self.random))
