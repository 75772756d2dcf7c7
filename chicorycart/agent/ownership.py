"""Joins the parts that decide on the ownership of flows at one agent."""

from asyncio import gather
from asyncio import sleep
from random import Random

from prometheus_client import CollectorRegistry

from chicorycart.agent.delivery import Delivery
from chicorycart.agent.opening import Acceptance
from chicorycart.agent.opening import OpeningPlacement
from chicorycart.agent.output import Host
from chicorycart.agent.output import PacketOutput
from chicorycart.agent.recovery import Connections
from chicorycart.agent.recovery import FlowRecovery
from chicorycart.agent.search import OwnerSearch
from chicorycart.clock import Clock
from chicorycart.configuration.model import hash_name
from chicorycart.defaults import FLOW_SWEEP_FLOWS
from chicorycart.defaults import TICK_SECONDS
from chicorycart.flows.announce import DisplacedBuckets
from chicorycart.flows.announce import OwnerAnnouncer
from chicorycart.flows.lookups import OwnerLookups
from chicorycart.flows.openings import OpeningMemory
from chicorycart.flows.receivers import AnswerReceiver
from chicorycart.flows.receivers import QueryReceiver
from chicorycart.flows.receivers import RecordReceiver
from chicorycart.flows.records import OwnerRecords
from chicorycart.flows.service_agents import ServiceAgents
from chicorycart.flows.settling import Settling
from chicorycart.flows.table import FlowTable
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Receiver
from chicorycart.links.datagrams import Sender
from chicorycart.operation.decisions import DecisionLog


class FlowOwnership:
    """The flows of one agent and what it knows of those of its mates.

    Parameters
    ----------
    service_agents : ServiceAgents
        The agents of the service.
    host : Host
        Where owned packets go.
    connections : Connections
        What the host still holds from before a start.
    acceptance : Acceptance
        Decides on opening flows that nobody owns.
    sender : Sender
        Sends to other agents.
    incarnation : int
        Greater than that of any earlier process of this agent, and its
        questions; the time in nanoseconds will do.
    clock : Clock
        Ages everything.
    random : Random
        Shuffles recorded owners and spreads retries.
    decisions : DecisionLog
        Logs where packets went.
    registry : CollectorRegistry
        Where the counters are registered.
    """

    __slots__ = (
        "service",
        "table",
        "recovery",
        "records",
        "memory",
        "settling",
        "owner_lookups",
        "announcer",
        "openings",
        "delivery",
    )

    def __init__(
        self,
        service_agents: ServiceAgents,
        host: Host,
        connections: Connections,
        acceptance: Acceptance,
        sender: Sender,
        incarnation: int,
        clock: Clock,
        random: Random,
        decisions: DecisionLog,
        registry: CollectorRegistry,
    ):
        service = hash_name(service_agents.name)
        table = FlowTable(clock)
        memory = OpeningMemory(clock)
        recovery = FlowRecovery(connections, service_agents, table, random)
        records = OwnerRecords(clock, registry)
        settling = Settling(clock, service_agents)
        output = PacketOutput(
            host, table, service_agents, sender, decisions, registry
        )
        owner_lookups = OwnerLookups(
            service, service_agents, table, memory, clock, sender, incarnation
        )
        self.service = service
        self.table = table
        self.recovery = recovery
        self.records = records
        self.memory = memory
        self.settling = settling
        self.owner_lookups = owner_lookups
        self.announcer = OwnerAnnouncer(
            service,
            service_agents,
            DisplacedBuckets(table, service_agents),
            incarnation,
            sender,
            clock,
        )
        self.openings = OpeningPlacement(
            output,
            service_agents,
            records,
            memory,
            owner_lookups,
            settling,
            acceptance,
        )
        self.delivery = Delivery(
            service,
            service_agents,
            table,
            output,
            self.openings,
            OwnerSearch(
                output,
                service_agents,
                records,
                memory,
                OpeningMemory(clock),
                settling,
                recovery,
                random,
            ),
        )

    def list_receivers(self) -> dict[MessageKind, Receiver]:
        """Return what takes the messages of each kind."""
        service_agents = self.delivery.service_agents
        return {
            MessageKind.FORWARD: self.delivery,
            MessageKind.OWNER_RECORD: RecordReceiver(
                self.service, service_agents, self.records
            ),
            MessageKind.OWNER_QUERY: QueryReceiver(
                self.service,
                service_agents,
                self.owner_lookups,
                self.announcer,
            ),
            MessageKind.OWNER_ANSWER: AnswerReceiver(
                self.service, self.owner_lookups
            ),
        }

    async def run(self) -> None:
        """Announce owned flows and forget old ones, until cancelled."""
        await gather(self.announcer.run(), self.sweep(), self.recover())

    async def recover(self) -> None:
        """Announce at once what was recovered late."""
        if not self.recovery.is_done:
            await self.recovery.run()
            self.announcer.changed.set()

    async def sweep(self) -> None:
        """Forget flows that were silent too long, some at a time."""
        while True:
            self.settling.tick()
            looked_at = self.table.expire(FLOW_SWEEP_FLOWS)
            is_behind = looked_at == FLOW_SWEEP_FLOWS
            await sleep(0 if is_behind else TICK_SECONDS)
