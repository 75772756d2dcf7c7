"""Takes back the flows that an earlier process of the agent owned."""

from random import Random
from typing import Protocol

from logbook import Logger

from chicorycart.agent.errors import HostError
from chicorycart.configuration.backoff import Backoff
from chicorycart.configuration.model import Configuration
from chicorycart.flows.service_agents import ServiceAgents
from chicorycart.flows.table import FlowTable

LOGGER = Logger("agent")


class Connections(Protocol):
    """Knows the open connections of the agent's own instance."""

    def list_flows(self, entry: tuple[str, int, int]) -> list[bytes]:
        """Return the flows of callers at an entry.

        Raises
        ------
        HostError
            If the instance does not tell them now.
        """


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
    random : Random
        Spreads the retries.

    Attributes
    ----------
    is_done : bool
        Whether the flows were recovered. Until then, a flow that the table
        lacks may be one of them.
    """

    __slots__ = ("connections", "service_agents", "table", "random", "is_done")

    def __init__(
        self,
        connections: Connections,
        service_agents: ServiceAgents,
        table: FlowTable,
        random: Random,
    ):
        self.connections = connections
        self.service_agents = service_agents
        self.table = table
        self.random = random
        self.is_done = False
        service_agents.store.subscribe(self)
        self.change_configuration(service_agents.store.current)

    def change_configuration(self, configuration: Configuration) -> None:
        """Recover the flows with the first version that has the service."""
        self.recover()

    async def run(self) -> None:
        """Retry until the flows are recovered."""
        backoff = Backoff(self.random)
        while not self.is_done:
            await backoff.wait()
            self.recover()

    def recover(self) -> None:
        """Take the flows that the own instance holds, unless that is done."""
        if self.is_done or self.service_agents.service is None:
            return
        try:
            flows = self.connections.list_flows(
                self.service_agents.service.entry.key
            )
        except HostError as error:
            LOGGER.warning("event=recovery_failed error={!r}", str(error))
            return
        self.is_done = True
        for flow in flows:
            if not self.table.is_full():
                self.table.touch(flow, is_closing=False)
        LOGGER.info("event=recovered flows={}", len(flows))
