"""Tells the other agents of a service which displaced flows one owns."""

from asyncio import Event
from asyncio import sleep
from asyncio import timeout

from chicorycart.address import Address
from chicorycart.address import unpack_address
from chicorycart.clock import Clock
from chicorycart.configuration.model import Configuration
from chicorycart.defaults import OWNER_BYTES_PER_SECOND
from chicorycart.defaults import OWNER_LEASE_SECONDS
from chicorycart.defaults import OWNER_REFRESH_SECONDS
from chicorycart.defaults import OWNER_REPEAT_SECONDS
from chicorycart.defaults import SCAN_SLICE_FLOWS
from chicorycart.flows.messages import encode_query
from chicorycart.flows.messages import encode_record
from chicorycart.flows.messages import OwnerQuery
from chicorycart.flows.messages import OwnerRecord
from chicorycart.flows.service_agents import ServiceAgents
from chicorycart.flows.table import FlowTable
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.packets.flow import hash_flow
from chicorycart.placement.chain import bucket_of


class DisplacedBuckets:
    """Finds the buckets of owned flows that some chains do not lead to.

    The chains of replaced states count too, since other daemons may still
    have one of them in force.

    Parameters
    ----------
    table : FlowTable
        Owned flows.
    service_agents : ServiceAgents
        Knows the present candidates of each bucket.
    """

    __slots__ = ("table", "service_agents")

    def __init__(self, table: FlowTable, service_agents: ServiceAgents):
        self.table = table
        self.service_agents = service_agents

    async def find(self) -> frozenset[int]:
        """Go over the owned flows in slices."""
        led_to: dict[int, bool] = {}
        for number, flow in enumerate(self.table.list_flows(), 1):
            bucket = bucket_of(hash_flow(flow))
            if bucket not in led_to:
                led_to[bucket] = self.service_agents.is_always_candidate(
                    bucket
                )
            if number % SCAN_SLICE_FLOWS == 0:
                await sleep(0)
        return frozenset(b for b, is_led_to in led_to.items() if not is_led_to)


class OwnerAnnouncer:
    """Sends the owner record of one agent and keeps it refreshed.

    Parameters
    ----------
    service : int
        Identifier of the service.
    service_agents : ServiceAgents
        The agents that are told.
    displaced : DisplacedBuckets
        Finds what is told.
    incarnation : int
        Greater than that of any earlier process of this agent.
    sender : Sender
        Sends the records.
    clock : Clock
        Spaces the answers to one agent.
    """

    __slots__ = (
        "service",
        "service_agents",
        "displaced",
        "incarnation",
        "sender",
        "clock",
        "sequence",
        "record",
        "sent_at",
        "changed",
        "has_asked",
    )

    def __init__(
        self,
        service: int,
        service_agents: ServiceAgents,
        displaced: DisplacedBuckets,
        incarnation: int,
        sender: Sender,
        clock: Clock,
    ):
        self.service = service
        self.service_agents = service_agents
        self.displaced = displaced
        self.incarnation = incarnation
        self.sender = sender
        self.clock = clock
        self.sequence = 0
        self.record: OwnerRecord | None = None
        self.sent_at: dict[Address, float] = {}
        self.changed = Event()
        self.has_asked = False
        service_agents.store.subscribe(self)

    def change_configuration(self, configuration: Configuration) -> None:
        """Look for displaced flows soon if the service changed."""
        if self.service_agents.changed_at == self.clock.now():
            self.changed.set()

    async def run(self) -> None:
        """Announce at every change and at intervals, until cancelled."""
        while True:
            self.changed.clear()
            if not self.has_asked:
                self.ask_for_records()
            await self.announce()
            try:
                async with timeout(OWNER_REFRESH_SECONDS):
                    await self.changed.wait()
            except TimeoutError:
                continue

    async def announce(self) -> None:
        """Make a new record and send it to every mate.

        Nothing is sent while there is nothing to tell, but once a record
        was sent, one without buckets withdraws it.
        """
        buckets = await self.displaced.find()
        was_empty = self.record is None or not self.record.buckets
        if not buckets and was_empty:
            self.record = None
            return
        self.sequence += 1
        self.record = OwnerRecord(
            self.service,
            self.service_agents.own,
            self.incarnation,
            self.sequence,
            OWNER_LEASE_SECONDS,
            buckets,
        )
        body = encode_record(self.record)
        for agent in self.service_agents.list_others():
            self.send_record(body, unpack_address(agent))
            await sleep(len(body) / OWNER_BYTES_PER_SECOND)

    def send_record(self, body: bytes, agent: Address) -> None:
        """Send the record in wire form to one agent."""
        self.sent_at[agent] = self.clock.now()
        self.sender.send(MessageKind.OWNER_RECORD, body, agent)

    def answer(self, agent: Address) -> None:
        """Send the record to an agent that asked for it."""
        sent_at = self.sent_at.get(agent, float("-inf"))
        if self.record is None:
            return
        if self.clock.now() - sent_at < OWNER_REPEAT_SECONDS:
            return
        self.send_record(encode_record(self.record), agent)

    def ask_for_records(self) -> None:
        """Ask every mate for its record, since this agent knows none."""
        self.has_asked = bool(self.service_agents.list_others())
        body = encode_query(
            OwnerQuery(self.service, self.service_agents.own, None)
        )
        for agent in self.service_agents.list_others():
            self.sender.send(
                MessageKind.OWNER_QUERY, body, unpack_address(agent)
            )
