"""Runs a balancer from its settings until it is told to stop."""

from asyncio import create_task
from asyncio import Event
from random import Random
from time import time
from typing import Any

from prometheus_client import CollectorRegistry

from chicorycart.address import Address
from chicorycart.address import unpack_address
from chicorycart.balancer.forwarding import ChainCache
from chicorycart.balancer.forwarding import Forwarder
from chicorycart.balancer.membership import BalancerMembership
from chicorycart.clock import LoopClock
from chicorycart.configuration.exchange import VersionExchange
from chicorycart.configuration.pace import TokenBucket
from chicorycart.configuration.peer_client import PeerClient
from chicorycart.configuration.peers import PeerTable
from chicorycart.configuration.platform import PlatformClient
from chicorycart.configuration.serving import list_routes
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.configuration.values import HttpValues
from chicorycart.defaults import READER_CALLS_BURST
from chicorycart.defaults import READER_CALLS_PER_SECOND
from chicorycart.links.datagrams import DatagramLink
from chicorycart.links.peers import PeerLinks
from chicorycart.links.sockets import DatagramSocket
from chicorycart.membership.follow import InstanceFollower
from chicorycart.membership.incarnation import Incarnation
from chicorycart.membership.pauses import PauseDetector
from chicorycart.membership.sources import KnownSources
from chicorycart.operation.decisions import DecisionLog
from chicorycart.operation.endpoints import serve_endpoints
from chicorycart.settings.model import BalancerSettings

ANY_PORT = 0


class Balancer:
    """A balancer and its parts.

    Parameters
    ----------
    settings : BalancerSettings
        Checked settings.
    """

    def __init__(self, settings: BalancerSettings):
        daemon = settings.daemon
        self.settings = settings
        self.registry = CollectorRegistry()
        clock = LoopClock()
        self.store = ConfigurationStore(clock)
        self.sources = KnownSources(clock)
        self.store.subscribe(self.sources)
        self.data_socket = DatagramSocket(daemon.data)
        self.fabric_socket = DatagramSocket(settings.fabric)
        self.link = PeerLinks(
            DatagramLink(self.data_socket, self.sources, self.registry),
            lambda: DatagramSocket(Address(daemon.data.host, ANY_PORT)),
        )
        detector = PauseDetector(clock)
        self.membership = BalancerMembership(
            daemon,
            clock,
            self.store,
            self.link,
            Incarnation(time()),
            detector,
            Random(),
            self.registry,
        )
        chains = ChainCache(self.store, self.membership.domains)
        self.membership.subscribe(chains)
        self.forwarder = Forwarder(
            self.store,
            chains,
            self.link,
            DecisionLog(daemon.log.decision_sample),
            self.registry,
        )
        self.platform = PlatformClient(
            HttpValues(daemon.platform),
            TokenBucket(clock, READER_CALLS_PER_SECOND, READER_CALLS_BURST),
        )
        peers = PeerTable(daemon.name, daemon.domain, clock)
        self.versions = VersionExchange(
            self.store,
            self.platform,
            PeerClient(),
            self.link,
            peers,
            Random(),
            clock,
            self.registry,
        )
        self.versions.register(self.link)
        detector.subscribe(self.versions)
        self.instances = InstanceFollower(
            self.platform, Random(), self.registry
        )
        self.instances.subscribe(self.sources)
        self.instances.subscribe(peers)
        self.instances.subscribe(self.membership.balancers)
        self.stopping = False

    def is_ready(self) -> bool:
        """Tell whether the highest version is in force and no stop began."""
        return self.versions.is_serving and not self.stopping

    def describe_status(self) -> dict[str, Any]:
        """Return name, role and version in force."""
        return {
            "name": self.settings.daemon.name,
            "role": "balancer",
            "ready": self.is_ready(),
            "version": self.store.current.version,
            "suspected_domains": sorted(self.membership.domains.suspected),
            "suspected": [
                str(unpack_address(agent))
                for agent in self.membership.suspicions.suspected
            ],
        }

    async def run(self, stop: Event) -> None:
        """Serve until the event is set."""
        daemon = self.settings.daemon
        server = serve_endpoints(
            daemon.control,
            self.registry,
            self,
            list_routes(self.versions.server),
        )
        tasks = [
            create_task(self.instances.run()),
            *self.membership.start(),
            create_task(self.versions.run()),
            create_task(self.serve_fabric()),
        ]
        self.data_socket.start(self.link.main)
        await stop.wait()
        self.stopping = True
        for task in tasks:
            task.cancel()
        self.fabric_socket.close()
        self.link.close()
        self.data_socket.close()
        server.stop()

    async def serve_fabric(self) -> None:
        """Take callers' packets once the highest version is in force."""
        await self.versions.gate.opened.wait()
        self.fabric_socket.start(self.forwarder)
