"""Runs an agent from its settings until it is told to stop."""

from asyncio import create_task
from asyncio import Event
from asyncio import gather
from typing import Any

from chicorycart.address import pack_address
from chicorycart.agent.acceptance import TargetAcceptance
from chicorycart.agent.ending import EndingFlows
from chicorycart.agent.host import DecapsulatingHost
from chicorycart.agent.kernel import KernelConnections
from chicorycart.agent.load import FlowLoad
from chicorycart.agent.load import RequestLoad
from chicorycart.agent.membership import AgentMembership
from chicorycart.agent.ownership import FlowOwnership
from chicorycart.agent.pages import list_pages
from chicorycart.configuration.service_follower import ServiceFollower
from chicorycart.daemon import DaemonParts
from chicorycart.defaults import START_SERVICE_SECONDS
from chicorycart.flows.service_agents import ServiceAgents
from chicorycart.links.datagrams import MessageKind
from chicorycart.membership.heartbeats import NoLoad
from chicorycart.operation.decisions import DecisionLog
from chicorycart.operation.endpoints import serve_endpoints
from chicorycart.operation.stopping import wait_until
from chicorycart.placement.capacity import CapacityMeter
from chicorycart.placement.choice import LoadChoice
from chicorycart.requests.build import build_gateway
from chicorycart.requests.server import RequestServer
from chicorycart.settings.model import AgentSettings


class Agent:
    """An agent and its parts.

    Parameters
    ----------
    settings : AgentSettings
        Checked settings.
    """

    def __init__(self, settings: AgentSettings):
        parts = DaemonParts(settings.daemon)
        self.settings = settings
        self.parts = parts
        self.membership = AgentMembership(
            settings,
            parts.clock,
            parts.store,
            parts.link,
            parts.incarnation,
            parts.detector,
            parts.random,
        )
        self.acceptance = TargetAcceptance(
            parts.store,
            settings.service,
            settings.target,
            LoadChoice(self.membership, self.membership.agent_table),
        )
        self.host = DecapsulatingHost(
            parts.data_socket, settings.decapsulation
        )
        self.ownership = self.build_ownership()
        self.membership.use_load(
            FlowLoad(
                self.ownership.table,
                parts.store,
                settings.service,
                settings.target,
            )
        )
        self.versions = ServiceFollower(
            settings.service,
            parts.store,
            parts.platform,
            parts.link,
            parts.peers,
            parts.random,
            parts.clock,
            parts.registry,
        )
        parts.link.register(MessageKind.SERVICE_UPDATE, self.versions)
        parts.join(self.versions, self.membership.balancers)
        self.ownership.delivery.versions = self.versions
        self.stopping = False
        self.requests: RequestServer | None = None
        if settings.gateway is not None:
            self.requests = self.build_requests()

    def build_ownership(self) -> FlowOwnership:
        """Return what owns flows and finds the owners of others."""
        parts = self.parts
        service_agents = ServiceAgents(
            parts.store,
            self.settings.service,
            pack_address(self.settings.daemon.data),
            parts.clock,
            self.membership.agent_table,
        )
        ownership = FlowOwnership(
            service_agents,
            self.host,
            KernelConnections(),
            self.acceptance,
            parts.link,
            parts.incarnation.number,
            parts.clock,
            parts.random,
            DecisionLog(self.settings.daemon.log.decision_sample),
            parts.registry,
        )
        for kind, receiver in ownership.list_receivers().items():
            parts.link.register(kind, receiver)
        return ownership

    def build_requests(self) -> RequestServer:
        """Return the request gateway, whose load the mates are told."""
        parts = self.parts
        gateway = build_gateway(
            self.settings,
            parts.store,
            parts.sources,
            self.membership.agent_table,
            parts.clock,
            parts.random,
            parts.registry,
        )
        self.membership.use_load(
            RequestLoad(
                gateway,
                CapacityMeter(parts.clock, 1, 1 / START_SERVICE_SECONDS),
                parts.store,
                self.settings.service,
                self.settings.target,
                self.membership.agent_table,
            )
        )
        return RequestServer(gateway)

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
            "version": self.parts.store.current.version,
            "mates": {
                str(agent): agent.state
                for agent in self.membership.agent_table.peer_agents.values()
            },
            "flows": flows,
            "closing": len(table) - flows,
            "requests": self.requests.gateway.in_progress
            if self.requests is not None
            else 0,
        }

    async def run(self, stop: Event) -> None:
        """Serve until the event is set."""
        pages = list_pages(self.settings.target, self.ownership.table)
        servers = [
            serve_endpoints(
                self.settings.daemon.control, self.parts.registry, self, pages
            )
        ]
        if self.requests is not None:
            self.requests.listen(self.settings.gateway)
        tasks = [
            create_task(self.parts.instances.run()),
            *self.membership.start(),
            create_task(self.versions.run()),
            create_task(self.ownership.run()),
        ]
        self.parts.start()
        await stop.wait()
        await self.finish_work()
        for task in tasks:
            task.cancel()
        for server in servers:
            server.stop()
        self.parts.close()

    async def finish_work(self) -> None:
        """Take no new work and let all that was begun end.

        The packets of a flow are needed for as long as its answer is under
        way, so flows are waited for as well as requests.
        """
        self.stopping = True
        self.acceptance.is_stopping = True
        self.membership.use_load(NoLoad())
        seconds = self.settings.stop_seconds
        flows = EndingFlows(
            self.parts.clock,
            self.ownership.table,
            self.host,
            self.is_gateway_closed,
        )
        ending = [wait_until(flows.is_done, seconds)]
        if self.requests is not None:
            ending.append(self.requests.stop(seconds))
        await gather(*ending)

    def is_gateway_closed(self) -> bool:
        """Tell whether a gateway of its own has closed all connections."""
        return self.requests is not None and self.requests.is_closed
