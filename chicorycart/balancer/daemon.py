"""Runs a balancer from its settings until it is told to stop."""

from asyncio import create_task
from asyncio import Event
from typing import Any

from chicorycart.address import unpack_address
from chicorycart.balancer.forwarding import ChainCache
from chicorycart.balancer.forwarding import Forwarder
from chicorycart.balancer.idle_detector import IdleDetector
from chicorycart.balancer.membership import BalancerMembership
from chicorycart.configuration.exchange import VersionExchange
from chicorycart.configuration.peer_client import PeerClient
from chicorycart.configuration.serving import list_routes
from chicorycart.daemon import DaemonParts
from chicorycart.links.sockets import DatagramSocket
from chicorycart.operation.decisions import DecisionLog
from chicorycart.operation.endpoints import serve_endpoints
from chicorycart.operation.stopping import wait_until
from chicorycart.settings.model import BalancerSettings


class Balancer:
    """A balancer and its parts.

    Parameters
    ----------
    settings : BalancerSettings
        Checked settings.
    """

    def __init__(self, settings: BalancerSettings):
        parts = DaemonParts(settings.daemon)
        self.settings = settings
        self.parts = parts
        self.fabric_socket = DatagramSocket(settings.fabric)
        self.membership = BalancerMembership(
            settings.daemon,
            parts.clock,
            parts.store,
            parts.link,
            parts.incarnation,
            parts.detector,
            parts.random,
            parts.registry,
        )
        chains = ChainCache(parts.store, self.membership.domains)
        self.membership.subscribe(chains)
        self.forwarder = Forwarder(
            parts.store,
            chains,
            parts.link,
            DecisionLog(settings.daemon.log.decision_sample),
            parts.registry,
        )
        self.versions = VersionExchange(
            parts.store,
            parts.platform,
            PeerClient(),
            parts.link,
            parts.peers,
            parts.random,
            parts.clock,
            parts.registry,
        )
        self.versions.register(parts.link)
        parts.join(self.versions, self.membership.balancers)
        self.stopping = False

    def is_ready(self) -> bool:
        """Tell whether packets from the fabric reach the agents.

        For that the highest version is in force, agents take the messages
        of this process, and no stop began.
        """
        is_reachable = self.membership.reachability.is_open
        return self.versions.is_serving and is_reachable and not self.stopping

    def describe_status(self) -> dict[str, Any]:
        """Return name, role and version in force."""
        return {
            "name": self.settings.daemon.name,
            "role": "balancer",
            "ready": self.is_ready(),
            "version": self.parts.store.current.version,
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
            self.parts.registry,
            self,
            list_routes(self.versions.server),
        )
        tasks = [
            create_task(self.parts.instances.run()),
            *self.membership.start(),
            create_task(self.versions.run()),
            create_task(self.serve_fabric()),
        ]
        self.parts.start()
        await stop.wait()
        await self.finish_work()
        for task in tasks:
            task.cancel()
        self.fabric_socket.close()
        self.parts.close()
        server.stop()

    async def serve_fabric(self) -> None:
        """Take callers' packets once the highest version is in force."""
        await self.versions.gate.opened.wait()
        self.fabric_socket.start(self.forwarder)

    async def finish_work(self) -> None:
        """Go on forwarding until the fabric sends no more."""
        self.stopping = True
        idle_detector = IdleDetector(self.parts.clock, self.fabric_socket)
        await wait_until(idle_detector.is_idle, self.settings.stop_seconds)
