"""Runs an agent from its settings until it is told to stop."""

from asyncio import create_task
from asyncio import Event
from random import Random
from time import time_ns
from typing import Any

from prometheus_client import CollectorRegistry

from chicorycart.address import pack_address
from chicorycart.agent.acceptance import TargetAcceptance
from chicorycart.agent.host import DecapsulatingHost
from chicorycart.agent.kernel import KernelConnections
from chicorycart.agent.ownership import FlowOwnership
from chicorycart.clock import LoopClock
from chicorycart.configuration.follow import follow_platform
from chicorycart.configuration.platform import PlatformClient
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.flows.mates import ServiceMates
from chicorycart.links.datagrams import DatagramLink
from chicorycart.links.sockets import DatagramSocket
from chicorycart.membership.sources import follow_instances
from chicorycart.membership.sources import KnownSources
from chicorycart.operation.decisions import DecisionLog
from chicorycart.operation.endpoints import serve_endpoints
from chicorycart.requests.gateway import serve_requests
from chicorycart.settings.model import AgentSettings


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
        self.sources = KnownSources()
        self.store.subscribe(self.sources)
        self.data_socket = DatagramSocket(daemon.data)
        self.link = DatagramLink(self.data_socket, self.sources, self.registry)
        self.ownership = FlowOwnership(
            ServiceMates(
                self.store, settings.service, pack_address(daemon.data), clock
            ),
            DecapsulatingHost(self.data_socket, settings.decapsulation),
            KernelConnections(),
            TargetAcceptance(self.store, settings.service, settings.target),
            self.link,
            time_ns(),
            clock,
            Random(),
            DecisionLog(daemon.log.decision_sample),
            self.registry,
        )
        for kind, receiver in self.ownership.list_receivers().items():
            self.link.register(kind, receiver)
        self.platform = PlatformClient(daemon.platform)
        self.stopping = False

    def is_ready(self) -> bool:
        """Tell whether a configuration is in force and no stop began."""
        return self.store.current.version > 0 and not self.stopping

    def describe_status(self) -> dict[str, Any]:
        """Return name, role, version in force and owned flows."""
        return {
            "name": self.settings.daemon.name,
            "role": "agent",
            "service": self.settings.service,
            "target": self.settings.target,
            "ready": self.is_ready(),
            "version": self.store.current.version,
            "flows": len(self.ownership.table),
        }

    async def run(self, stop: Event) -> None:
        """Serve until the event is set."""
        daemon = self.settings.daemon
        servers = [serve_endpoints(daemon.control, self.registry, self)]
        if self.settings.gateway is not None:
            servers.append(
                serve_requests(self.settings.gateway, self.settings.backend)
            )
        tasks = [
            create_task(follow_platform(self.platform, self.store, Random())),
            create_task(follow_instances(self.platform, self.sources)),
            create_task(self.ownership.run()),
        ]
        self.data_socket.start(self.link)
        await stop.wait()
        self.stopping = True
        for task in tasks:
            task.cancel()
        for server in servers:
            server.stop()
        self.data_socket.close()
