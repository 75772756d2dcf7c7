"""Joins the parts of the membership slice for a balancer."""

from asyncio import create_task
from asyncio import Task
from random import Random

from prometheus_client import CollectorRegistry

from chicorycart.address import pack_address
from chicorycart.clock import Clock
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.defaults import PROBE_BURST_BYTES
from chicorycart.defaults import PROBE_BYTES_PER_SECOND
from chicorycart.defaults import SUSPICION_BURST_BYTES
from chicorycart.defaults import SUSPICION_BYTES_PER_SECOND
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.peers import PeerLinks
from chicorycart.membership.domains import DomainWatch
from chicorycart.membership.gossip import Gossip
from chicorycart.membership.heartbeats import HeartbeatBuilder
from chicorycart.membership.heartbeats import NoLoad
from chicorycart.membership.incarnation import Incarnation
from chicorycart.membership.instances import Balancers
from chicorycart.membership.messages import NO_SERVICE
from chicorycart.membership.paths import PathProber
from chicorycart.membership.pauses import PauseDetector
from chicorycart.membership.peers import FlatPeers
from chicorycart.membership.reachability import ReachabilityGate
from chicorycart.membership.report_evaluator import ReportEvaluator
from chicorycart.membership.suspicions import SuspicionSubscriber
from chicorycart.membership.suspicions import SuspicionTable
from chicorycart.pace import TokenBucket
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
    link : PeerLinks
        Carries the messages, from other ports if need be.
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
    suspicions : SuspicionTable
        The suspected agents, one by one.
    domains : DomainWatch
        These, and the agents of suspected failure domains.
    balancers : Balancers
        To be told of each instance list.
    reachability : ReachabilityGate
        Whether agents take messages of this process.
    """

    __slots__ = (
        "suspicions",
        "balancers",
        "detector",
        "random",
        "gossip",
        "prober",
        "domains",
        "reachability",
    )

    def __init__(
        self,
        daemon: DaemonSettings,
        clock: Clock,
        store: ConfigurationStore,
        link: PeerLinks,
        incarnation: Incarnation,
        detector: PauseDetector,
        random: Random,
        registry: CollectorRegistry,
    ):
        sender = pack_address(daemon.data)
        heartbeats = HeartbeatBuilder(
            sender, NO_SERVICE, incarnation, store, NoLoad()
        )
        self.suspicions = SuspicionTable(clock)
        self.balancers = Balancers(daemon.domain)
        self.detector = detector
        self.random = random
        probes = TokenBucket(clock, PROBE_BYTES_PER_SECOND, PROBE_BURST_BYTES)
        report_evaluator = ReportEvaluator(
            clock, self.suspicions, heartbeats, link, probes
        )
        bucket = TokenBucket(
            clock, SUSPICION_BYTES_PER_SECOND, SUSPICION_BURST_BYTES
        )
        self.gossip = Gossip(
            sender,
            self.suspicions,
            report_evaluator,
            FlatPeers(self.balancers, sender, random),
            link,
            bucket,
            registry,
        )
        self.prober = PathProber(self.suspicions, heartbeats, link, link)
        report_evaluator.subscribe(self.prober)
        self.domains = DomainWatch(
            clock, self.suspicions, heartbeats, link, probes, random
        )
        report_evaluator.subscribe(self.domains)
        self.reachability = ReachabilityGate(heartbeats, link, Random(sender))
        report_evaluator.subscribe(self.reachability)
        link.register(MessageKind.HEARTBEAT, report_evaluator)
        link.register(MessageKind.SUSPICION, self.gossip)

    def subscribe(self, subscriber: SuspicionSubscriber) -> None:
        """Tell the subscriber whenever the suspicions change."""
        self.suspicions.subscribe(subscriber)
        self.domains.subscribe(subscriber)

    def start(self) -> list[Task[None]]:
        """Begin to gossip and to check the paths to the agents."""
        return [
            create_task(self.gossip.run(self.detector, self.random)),
            create_task(self.prober.run(self.detector)),
            create_task(self.domains.run(self.detector)),
            create_task(self.reachability.run(self.detector)),
        ]
