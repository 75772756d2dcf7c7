"""Joins the parts of the membership slice for an agent."""

from asyncio import create_task
from asyncio import Task
from random import Random

from chicorycart.address import pack_address
from chicorycart.clock import Clock
from chicorycart.configuration.model import hash_name
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.peers import PeerLinks
from chicorycart.membership.heartbeats import HeartbeatBuilder
from chicorycart.membership.heartbeats import NoLoad
from chicorycart.membership.incarnation import Incarnation
from chicorycart.membership.instances import Balancers
from chicorycart.membership.monitor import PeerAgentMonitor
from chicorycart.membership.monitor import Refuter
from chicorycart.membership.paths import PeerAgentPaths
from chicorycart.membership.pauses import PauseDetector
from chicorycart.membership.peer_agents import PeerAgentTable
from chicorycart.membership.reports import Reporter
from chicorycart.placement.load import Load
from chicorycart.placement.load import LoadSource
from chicorycart.settings.model import AgentSettings


class AgentMembership:
    """What an agent knows of its mates.

    Parameters
    ----------
    settings : AgentSettings
        Name the service, the domain and the own address.
    clock : Clock
        Measures leases.
    store : ConfigurationStore
        Lists the targets of the service.
    link : PeerLinks
        Carries the messages, from other ports if need be.
    incarnation : Incarnation
        Of the own process.
    detector : PauseDetector
        Waits between heartbeats.
    random : Random
        Varies the time between heartbeats.

    Attributes
    ----------
    agent_table : PeerAgentTable
        The loads and leases of the mates.
    balancers : Balancers
        To be told of each instance list.
    """

    __slots__ = ("agent_table", "balancers", "detector", "monitor")

    def __init__(
        self,
        settings: AgentSettings,
        clock: Clock,
        store: ConfigurationStore,
        link: PeerLinks,
        incarnation: Incarnation,
        detector: PauseDetector,
        random: Random,
    ):
        agent = pack_address(settings.daemon.data)
        service = hash_name(settings.service)
        heartbeats = HeartbeatBuilder(
            agent, service, incarnation, store, NoLoad()
        )
        self.agent_table = PeerAgentTable(clock, agent, service)
        self.balancers = Balancers(settings.daemon.domain)
        self.detector = detector
        reporter = Reporter(
            clock, self.agent_table, heartbeats, self.balancers, link
        )
        paths = PeerAgentPaths(clock, link)
        self.monitor = PeerAgentMonitor(
            settings.service,
            store,
            self.agent_table,
            heartbeats,
            reporter,
            paths,
            link,
            random,
        )
        link.register(MessageKind.HEARTBEAT, self.monitor)
        link.register(MessageKind.SUSPICION, Refuter(heartbeats, paths))

    def use_load(self, load: LoadSource) -> None:
        """Tell the mates from now on the load that a source knows."""
        self.monitor.heartbeats.load = load

    def current_load(self) -> Load:
        """Return the load that the mates are told now."""
        return self.monitor.heartbeats.load.current_load()

    def start(self) -> list[Task[None]]:
        """Begin to exchange heartbeats."""
        return [create_task(self.monitor.run(self.detector))]
