"""Takes back the flows that an earlier process of the agent owned."""

from typing import Protocol

from logbook import Logger

from chicorycart.agent.errors import HostError
from chicorycart.configuration.model import Configuration
from chicorycart.flows.service_agents import ServiceAgents
from chicorycart.flows.table import FlowTable

LOGGER = Logger("agent")


class Connections(Protocol):
    """Knows the open connections of the agent's own instance."""

    def list_flows(self, entry: tuple[str, int, int]) -> list[bytes]:
        """Return the flows of callers at an entry."""


class FlowRecovery:
    """Owns again, once after a start, what the own instance still holds.

    Parameters
    ----------
    connections : Connections
        What the instance holds.
    service_agents : ServiceAgents
        Tells the entry, once the service is known.
    table : FlowTable
        Takes the flows.
    """

    __slots__ = ("connections", "service_agents", "table", "is_done")

    def __init__(
        self,
        connections: Connections,
        service_agents: ServiceAgents,
        table: FlowTable,
    ):
        self.connections = connections
        self.service_agents = service_agents
        self.table = table
        self.is_done = False
        service_agents.store.subscribe(self)
        self.change_configuration(service_agents.store.current)

    def change_configuration(self, configuration: Configuration) -> None:
        """Recover the flows with the first version that has the service."""
        if self.is_done or self.service_agents.service is None:
            return
        self.is_done = True
        try:
            flows = self.connections.list_flows(
                self.service_agents.service.entry.key
            )
        except HostError as error:
            LOGGER.warning("event=recovery_failed error={!r}", str(error))
            return
        for flow in flows:
            if not self.table.is_full():
                self.table.touch(flow, is_closing=False)
        LOGGER.info("event=recovered flows={}", len(flows))
