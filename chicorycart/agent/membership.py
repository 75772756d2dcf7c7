"""Joins the parts of the membership slice for an agent."""

from asyncio import create_task
from asyncio import Task
from random import Random

from chicorycart.address import pack_address
from chicorycart.clock import Clock
from chicorycart.configuration.model import hash_name
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import MessageLink
from chicorycart.membership.heartbeats import OwnHeartbeat
from chicorycart.membership.incarnation import Incarnation
from chicorycart.membership.instances import Balancers
from chicorycart.membership.mates import MateTable
from chicorycart.membership.monitor import MateMonitor
from chicorycart.membership.monitor import Refuter
from chicorycart.membership.pauses import PauseDetector
from chicorycart.membership.reports import Reporter
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
    load : LoadSource
        Knows the load of the own target.
    link : MessageLink
        Carries the messages.
    incarnation : Incarnation
        Of the own process.
    detector : PauseDetector
        Waits between heartbeats.
    random : Random
        Varies the time between heartbeats.

    Attributes
    ----------
    mates : MateTable
        The loads and leases of the mates.
    balancers : Balancers
        To be told of each instance list.
    """

    __slots__ = ("mates", "balancers", "detector", "monitor")

    def __init__(
        self,
        settings: AgentSettings,
        clock: Clock,
        store: ConfigurationStore,
        load: LoadSource,
        link: MessageLink,
        incarnation: Incarnation,
        detector: PauseDetector,
        random: Random,
    ):
        agent = pack_address(settings.daemon.data)
        service = hash_name(settings.service)
        own = OwnHeartbeat(agent, service, incarnation, store, load)
        self.mates = MateTable(clock, agent, service)
        self.balancers = Balancers(settings.daemon.domain)
        self.detector = detector
        reporter = Reporter(clock, self.mates, own, self.balancers, link)
        self.monitor = MateMonitor(
            settings.service, store, self.mates, own, reporter, link, random
        )
        link.register(MessageKind.HEARTBEAT, self.monitor)
        link.register(MessageKind.SUSPICION, Refuter(own))

    def use_load(self, load: LoadSource) -> None:
        """Tell the mates the load that another source knows."""
        self.monitor.own.load = load

    def start(self) -> Task[None]:
        """Begin to exchange heartbeats."""
        return create_task(self.monitor.run(self.detector))
