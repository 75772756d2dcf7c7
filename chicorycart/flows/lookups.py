"""Queries the other agents of a service for the owner of a flow."""

from asyncio import get_running_loop
from asyncio import TimerHandle
from collections.abc import Iterable
from typing import Protocol

from chicorycart.address import unpack_address
from chicorycart.clock import Clock
from chicorycart.defaults import CLAIM_REPEAT_SECONDS
from chicorycart.defaults import CLAIM_TIMEOUT_SECONDS
from chicorycart.defaults import MAX_PENDING_OPENINGS
from chicorycart.defaults import PAUSE_SECONDS
from chicorycart.flows.messages import encode_answer
from chicorycart.flows.messages import encode_query
from chicorycart.flows.messages import OwnerAnswer
from chicorycart.flows.messages import OwnerQuery
from chicorycart.flows.openings import OpeningMemory
from chicorycart.flows.service_agents import ServiceAgents
from chicorycart.flows.table import FlowTable
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender


class LookupClient(Protocol):
    """Receives the outcome of an owner lookup; one method is called once."""

    def handle_owner(self, owner: int) -> None:
        """Handle the agent (packed address) that owns the flow."""

    def handle_no_owner(self) -> None:
        """Handle that no agent that answered in time owns the flow."""

    def give_up(self, reason: str) -> None:
        """Handle that the lookup ended without a result.

        Another agent, or the next packet of the flow, continues.
        """


class PendingLookup:
    """A lookup that not every queried agent has answered yet.

    Attributes
    ----------
    client : LookupClient
        Receives the outcome.
    waiting : set of int
        Packed addresses of the agents that have not answered.
    number : int
        Number of the query, which the answers repeat.
    asked_at : float
        When the query was sent.
    timer : TimerHandle
        Repeats the query after `CLAIM_REPEAT_SECONDS`, then ends the lookup
        after `CLAIM_TIMEOUT_SECONDS`.
    """

    __slots__ = ("client", "waiting", "number", "asked_at", "timer")

    def __init__(
        self,
        client: LookupClient,
        waiting: set[int],
        number: int,
        asked_at: float,
        timer: TimerHandle,
    ):
        self.client = client
        self.waiting = waiting
        self.number = number
        self.asked_at = asked_at
        self.timer = timer


class OwnerLookups:
    """Sends, and answers, queries for the owners of flows.

    If two agents query each other for the same flow at the same time, the
    one with the lower address continues and the other gives up.

    Parameters
    ----------
    service : int
        Identifier of the service.
    service_agents : ServiceAgents
        The agents of the service.
    table : FlowTable
        Flows that this agent owns.
    memory : OpeningMemory
        Flows that this agent placed at other agents.
    clock : Clock
        Detects that an answer is read too late.
    sender : Sender
        Sends queries and answers.
    number : int
        Number before the first query; greater than that of any query of an
        earlier process.
    """

    __slots__ = (
        "service",
        "service_agents",
        "table",
        "memory",
        "clock",
        "sender",
        "number",
        "pending",
    )

    def __init__(
        self,
        service: int,
        service_agents: ServiceAgents,
        table: FlowTable,
        memory: OpeningMemory,
        clock: Clock,
        sender: Sender,
        number: int,
    ):
        self.service = service
        self.service_agents = service_agents
        self.table = table
        self.memory = memory
        self.clock = clock
        self.sender = sender
        self.number = number
        self.pending: dict[bytes, PendingLookup] = {}

    def is_pending(self, flow: bytes) -> bool:
        """Return whether a lookup for the flow is in progress."""
        return flow in self.pending

    def is_full(self) -> bool:
        """Return whether the limit of concurrent lookups is reached."""
        return len(self.pending) >= MAX_PENDING_OPENINGS

    def ask(
        self, flow: bytes, agents: Iterable[int], client: LookupClient
    ) -> None:
        """Query the agents (packed addresses) for the owner of the flow."""
        waiting = set(agents)
        self.number += 1
        timer = get_running_loop().call_later(
            CLAIM_REPEAT_SECONDS, self.repeat, flow
        )
        pending = PendingLookup(
            client, waiting, self.number, self.clock.now(), timer
        )
        self.pending[flow] = pending
        self.send_query(flow, pending)

    def repeat(self, flow: bytes) -> None:
        """Query the agents that have not answered once more.

        The query or its answer may be lost. For a receiver this is a
        duplicate of the first query.
        """
        pending = self.pending[flow]
        pending.timer = get_running_loop().call_later(
            CLAIM_TIMEOUT_SECONDS - CLAIM_REPEAT_SECONDS, self.time_out, flow
        )
        self.send_query(flow, pending)

    def send_query(self, flow: bytes, pending: PendingLookup) -> None:
        """Query every agent that has not answered."""
        own = self.service_agents.own
        query = OwnerQuery(self.service, own, flow, pending.number)
        body = encode_query(query)
        for agent in sorted(pending.waiting):
            self.sender.send(
                MessageKind.OWNER_QUERY, body, unpack_address(agent)
            )

    def handle_query(self, query: OwnerQuery) -> None:
        """Answer the query of another agent."""
        flow = query.flow
        owner = self.find_owner(flow, query.requester)
        if owner is None:
            self.memory.record_query(flow, query.requester, query.number)
            if self.is_pending(flow):
                self.close(flow).client.give_up("left to another agent")
        self.answer(query.requester, flow, owner, query.number)

    def announce(self, flow: bytes) -> None:
        """Answer earlier queries again, now that this agent owns the flow.

        A requester that still waits for other agents would otherwise accept
        the flow too.
        """
        own = self.service_agents.own
        for requester, number in self.memory.pop_requesters(flow).items():
            self.answer(requester, flow, own, number)

    def answer(
        self, requester: int, flow: bytes, owner: int | None, number: int
    ) -> None:
        """Send an agent the owner of a flow; None if it isn't known."""
        own = self.service_agents.own
        answer = OwnerAnswer(self.service, own, flow, owner, number)
        self.sender.send(
            MessageKind.OWNER_ANSWER,
            encode_answer(answer),
            unpack_address(requester),
        )

    def find_owner(self, flow: bytes, requester: int) -> int | None:
        """Return the owner of the flow, as far as this agent knows.

        During a lookup of its own, this agent names itself if its address is
        lower than that of the requester.
        """
        own = self.service_agents.own
        if self.table.owns(flow):
            return own
        if self.is_pending(flow):
            return own if own < requester else None
        return self.memory.recall(flow)

    def handle_answer(self, answer: OwnerAnswer) -> None:
        """Handle another agent's answer to a query of this agent."""
        pending = self.pending.get(answer.flow)
        if pending is None or answer.number != pending.number:
            return
        is_usable_owner = self.is_usable_owner(answer.owner)
        if answer.agent not in pending.waiting and not is_usable_owner:
            return
        if self.is_late(pending):
            self.close(answer.flow).client.give_up("asked too long ago")
            return
        if is_usable_owner:
            self.close(answer.flow)
            pending.client.handle_owner(answer.owner)
            return
        pending.waiting.discard(answer.agent)
        if not pending.waiting:
            self.close(answer.flow)
            pending.client.handle_no_owner()

    def is_usable_owner(self, owner: int | None) -> bool:
        """Return whether the owner is another agent that is known here."""
        if owner is None or owner == self.service_agents.own:
            return False
        return self.service_agents.is_known(owner)

    def time_out(self, flow: bytes) -> None:
        """End a lookup without the answers that are missing."""
        pending = self.close(flow)
        if self.is_late(pending):
            pending.client.give_up("asked too long ago")
        else:
            pending.client.handle_no_owner()

    def is_late(self, pending: PendingLookup) -> bool:
        """Return whether this process was paused after it sent the query.

        If so, another agent may have accepted the flow in the meantime.
        """
        return self.clock.now() - pending.asked_at > PAUSE_SECONDS

    def abandon(self, flow: bytes) -> None:
        """End a lookup because another agent placed the flow here."""
        self.close(flow).client.give_up("placed here")

    def close(self, flow: bytes) -> PendingLookup:
        """Remove a lookup, stop its timer and return it."""
        pending = self.pending.pop(flow)
        pending.timer.cancel()
        return pending
