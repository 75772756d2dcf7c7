"""Announces an agent's displaced flows to the other agents of its service.

A flow is displaced if its owner is no longer a candidate of the flow's
bucket in the current or a recently replaced state of the service, so that
the chains that balancers build may not include the owner.
"""

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
    """Finds the buckets of the displaced flows that this agent owns.

    The candidates of replaced states are checked as well, because other
    daemons may still have one of those states in force.

    Parameters
    ----------
    table : FlowTable
        Owned flows.
    service_agents : ServiceAgents
        Knows the candidates of each bucket.
    """

    __slots__ = ("table", "service_agents")

    def __init__(self, table: FlowTable, service_agents: ServiceAgents):
        self.table = table
        self.service_agents = service_agents

    async def find(self) -> frozenset[int]:
        """Return the buckets with displaced flows.

        The flows are scanned in slices, so that other tasks can run.
        """
        is_candidate: dict[int, bool] = {}
        for number, flow in enumerate(self.table.list_flows(), 1):
            bucket = bucket_of(hash_flow(flow))
            if bucket not in is_candidate:
                is_candidate[bucket] = self.service_agents.is_always_candidate(
                    bucket
                )
            if number % SCAN_SLICE_FLOWS == 0:
                await sleep(0)
        return frozenset(
            b
            for b, is_owner_listed in is_candidate.items()
            if not is_owner_listed
        )


class OwnerAnnouncer:
    """Sends an agent's owner record to its peer agents at intervals.

    Parameters
    ----------
    service : int
        Identifier of the service.
    service_agents : ServiceAgents
        The agents to send the record to.
    displaced : DisplacedBuckets
        Finds the buckets to announce.
    incarnation : int
        Greater than that of any earlier process of this agent.
    sender : Sender
        Sends the records.
    clock : Clock
        Limits the rate of answers to one agent.
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
        "has_requested_records",
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
        self.has_requested_records = False
        service_agents.store.subscribe(self)

    def change_configuration(self, configuration: Configuration) -> None:
        """Wake `run` if the targets of the service just changed."""
        if self.service_agents.changed_at == self.clock.now():
            self.changed.set()

    async def run(self) -> None:
        """Announce after each change and at intervals, until cancelled."""
        while True:
            self.changed.clear()
            if not self.has_requested_records:
                self.request_records()
            await self.announce()
            try:
                async with timeout(OWNER_REFRESH_SECONDS):
                    await self.changed.wait()
            except TimeoutError:
                continue

    async def announce(self) -> None:
        """Create a new record and send it to every peer agent.

        Without displaced flows nothing is sent, except that a record
        without buckets withdraws an earlier one that had some.
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
        """Send the encoded record to one agent."""
        self.sent_at[agent] = self.clock.now()
        self.sender.send(MessageKind.OWNER_RECORD, body, agent)

    def answer(self, agent: Address) -> None:
        """Send the record to an agent that requested it.

        At most one record in `OWNER_REPEAT_SECONDS` is sent to an agent.
        """
        sent_at = self.sent_at.get(agent, float("-inf"))
        if self.record is None:
            return
        if self.clock.now() - sent_at < OWNER_REPEAT_SECONDS:
            return
        self.send_record(encode_record(self.record), agent)

    def request_records(self) -> None:
        """Request the record of every peer agent after a start."""
        self.has_requested_records = bool(self.service_agents.list_others())
        body = encode_query(
            OwnerQuery(self.service, self.service_agents.own, None)
        )
        for agent in self.service_agents.list_others():
            self.sender.send(
                MessageKind.OWNER_QUERY, body, unpack_address(agent)
            )
