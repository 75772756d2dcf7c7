"""Runs an agent from its settings until it is told to stop."""

from asyncio import create_task
from asyncio import Event
from asyncio import gather
from random import Random
from time import time
from time import time_ns
from typing import Any

from prometheus_client import CollectorRegistry

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.agent.acceptance import TargetAcceptance
from chicorycart.agent.host import DecapsulatingHost
from chicorycart.agent.kernel import KernelConnections
from chicorycart.agent.load import FlowLoad
from chicorycart.agent.load import RequestLoad
from chicorycart.agent.membership import AgentMembership
from chicorycart.agent.ownership import FlowOwnership
from chicorycart.agent.pages import list_pages
from chicorycart.clock import LoopClock
from chicorycart.configuration.pace import TokenBucket
from chicorycart.configuration.peers import PeerTable
from chicorycart.configuration.platform import PlatformClient
from chicorycart.configuration.service_follower import ServiceFollower
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.configuration.values import HttpValues
from chicorycart.defaults import READER_CALLS_BURST
from chicorycart.defaults import READER_CALLS_PER_SECOND
from chicorycart.defaults import START_SERVICE_SECONDS
from chicorycart.flows.mates import ServiceMates
from chicorycart.links.datagrams import DatagramLink
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.peers import PeerLinks
from chicorycart.links.sockets import DatagramSocket
from chicorycart.membership.follow import InstanceFollower
from chicorycart.membership.heartbeats import NoLoad
from chicorycart.membership.incarnation import Incarnation
from chicorycart.membership.pauses import PauseDetector
from chicorycart.membership.sources import KnownSources
from chicorycart.operation.decisions import DecisionLog
from chicorycart.operation.endpoints import serve_endpoints
from chicorycart.operation.stopping import wait_until
from chicorycart.placement.choice import LoadChoice
from chicorycart.placement.strength import StrengthMeter
from chicorycart.requests.build import build_gateway
from chicorycart.requests.server import RequestServer
from chicorycart.settings.model import AgentSettings

ANY_PORT = 0


class Agent:
    """An agent and its parts.

    Parameters
    ----------
    settings : AgentSettings
        Checked settings.
    """

    def __init__(self, settings: AgentSettings):
        daemon = settings.daemon
        clock = LoopClock()
        self.settings = settings
        self.registry = CollectorRegistry()
        self.store = ConfigurationStore(clock)
        self.sources = KnownSources(clock)
        self.store.subscribe(self.sources)
        self.data_socket = DatagramSocket(daemon.data)
        self.link = PeerLinks(
            DatagramLink(self.data_socket, self.sources, self.registry),
            lambda: DatagramSocket(Address(daemon.data.host, ANY_PORT)),
        )
        detector = PauseDetector(clock)
        self.membership = AgentMembership(
            settings,
            clock,
            self.store,
            self.link,
            Incarnation(time()),
            detector,
            Random(),
        )
        self.acceptance = TargetAcceptance(
            self.store,
            settings.service,
            settings.target,
            LoadChoice(self.membership, self.membership.mates),
        )
        self.ownership = FlowOwnership(
            ServiceMates(
                self.store,
                settings.service,
                pack_address(daemon.data),
                clock,
                self.membership.mates,
            ),
            DecapsulatingHost(self.data_socket, settings.decapsulation),
            KernelConnections(),
            self.acceptance,
            self.link,
            time_ns(),
            clock,
            Random(),
            DecisionLog(daemon.log.decision_sample),
            self.registry,
        )
        for kind, receiver in self.ownership.list_receivers().items():
            self.link.register(kind, receiver)
        self.membership.use_load(
            FlowLoad(
                self.ownership.table,
                self.store,
                settings.service,
                settings.target,
            )
        )
        self.platform = PlatformClient(
            HttpValues(daemon.platform),
            TokenBucket(clock, READER_CALLS_PER_SECOND, READER_CALLS_BURST),
        )
        peers = PeerTable(daemon.name, daemon.domain, clock)
        self.versions = ServiceFollower(
            settings.service,
            self.store,
            self.platform,
            self.link,
            peers,
            Random(),
            clock,
            self.registry,
        )
        self.link.register(MessageKind.SERVICE_UPDATE, self.versions)
        self.ownership.delivery.versions = self.versions
        detector.subscribe(self.versions)
        self.instances = InstanceFollower(
            self.platform, Random(), self.registry
        )
        self.instances.subscribe(self.sources)
        self.instances.subscribe(peers)
        self.instances.subscribe(self.membership.balancers)
        self.stopping = False
        self.requests: RequestServer | None = None
        if settings.gateway is not None:
            gateway = build_gateway(
                settings,
                self.store,
                self.sources,
                self.membership.mates,
                clock,
                Random(),
                self.registry,
            )
            self.membership.use_load(
                RequestLoad(
                    gateway,
                    StrengthMeter(clock, 1, 1 / START_SERVICE_SECONDS),
                    self.store,
                    settings.service,
                    settings.target,
                    self.membership.mates,
                )
            )
            self.requests = RequestServer(gateway)

    def is_ready(self) -> bool:
        """Tell whether the highest version is in force and no stop began."""
        return self.versions.is_serving and not self.stopping

    def describe_status(self) -> dict[str, Any]:
        """Return name, role, version in force and owned flows."""
        table = self.ownership.table
        flows = table.count_open()
        return {
            "name": self.settings.daemon.name,
            "role": "agent",
            "service": self.settings.service,
            "target": self.settings.target,
            "ready": self.is_ready(),
            "version": self.store.current.version,
            "mates": {
                str(mate): mate.state
                for mate in self.membership.mates.mates.values()
            },
            "flows": flows,
            "closing": len(table) - flows,
            "requests": self.requests.gateway.in_progress
            if self.requests is not None
            else 0,
        }

    async def run(self, stop: Event) -> None:
        """Serve until the event is set."""
        daemon = self.settings.daemon
        pages = list_pages(self.settings.target, self.ownership.table)
        servers = [serve_endpoints(daemon.control, self.registry, self, pages)]
        if self.requests is not None:
            self.requests.listen(self.settings.gateway)
        tasks = [
            create_task(self.instances.run()),
            *self.membership.start(),
            create_task(self.versions.run()),
            create_task(self.ownership.run()),
        ]
        self.data_socket.start(self.link.main)
        await stop.wait()
        await self.finish_work()
        for task in tasks:
            task.cancel()
        for server in servers:
            server.stop()
        self.link.close()
        self.data_socket.close()

    async def finish_work(self) -> None:
        """Take no new work and let all that was begun end.

        The packets of a flow are needed for as long as its answer is under
        way, so the flows are waited for after the requests.
        """
        self.stopping = True
        self.acceptance.is_stopping = True
        self.membership.use_load(NoLoad())
        seconds = self.settings.stop_seconds
        ending = [wait_until(self.is_without_flows, seconds)]
        if self.requests is not None:
            ending.append(self.requests.stop(seconds))
        await gather(*ending)

    def is_without_flows(self) -> bool:
        """Tell whether every owned flow was closed by its caller."""
        return self.ownership.table.count_open() == 0
