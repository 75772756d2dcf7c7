"""Asks the other agents of a service whether one of them owns a flow."""

from asyncio import get_running_loop
from asyncio import TimerHandle
from collections.abc import Iterable
from typing import Protocol

from chicorycart.address import unpack_address
from chicorycart.clock import Clock
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
    """What waits for the outcome of a question."""

    def handle_owner(self, owner: int) -> None:
        """Learn which agent owns the flow."""

    def handle_no_owner(self) -> None:
        """Learn that no agent that answered in time owns it."""

    def give_up(self, reason: str) -> None:
        """Learn that the flow is left to its next packet or another agent."""


class PendingLookup:
    """A question that not every agent has answered yet."""

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
    """Questions on owners, asked and answered by one agent.

    Of two agents that ask each other at the same time, the one with the
    lower address goes on and the other gives up.

    Parameters
    ----------
    service : int
        Identifier of the service.
    service_agents : ServiceAgents
        The agents of the service.
    table : FlowTable
        Flows that this agent owns.
    memory : OpeningMemory
        Flows that it placed elsewhere.
    clock : Clock
        Shows whether an outcome came too late.
    sender : Sender
        Sends questions and answers.
    number : int
        Greater than that of any question of an earlier process.
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
        """Tell whether the owner of the flow is being asked for."""
        return flow in self.pending

    def is_full(self) -> bool:
        """Tell whether no further question can wait."""
        return len(self.pending) >= MAX_PENDING_OPENINGS

    def ask(
        self, flow: bytes, agents: Iterable[int], client: LookupClient
    ) -> None:
        """Ask the agents (packed addresses) who owns the flow."""
        waiting = set(agents)
        self.number += 1
        timer = get_running_loop().call_later(
            CLAIM_TIMEOUT_SECONDS, self.time_out, flow
        )
        self.pending[flow] = PendingLookup(
            client, waiting, self.number, self.clock.now(), timer
        )
        own = self.service_agents.own
        query = OwnerQuery(self.service, own, flow, self.number)
        body = encode_query(query)
        for agent in sorted(waiting):
            self.sender.send(
                MessageKind.OWNER_QUERY, body, unpack_address(agent)
            )

    def handle_query(self, query: OwnerQuery) -> None:
        """Answer the question of another agent."""
        flow = query.flow
        owner = self.find_owner(flow, query.requester)
        if owner is None:
            self.memory.note_query(flow, query.requester, query.number)
            if self.is_pending(flow):
                self.close(flow).client.give_up("left to another agent")
        self.answer(query.requester, flow, owner, query.number)

    def announce(self, flow: bytes) -> None:
        """Tell the agents that asked for a flow that it is owned here now.

        One that still waits for others would accept it otherwise.
        """
        own = self.service_agents.own
        for requester, number in self.memory.pop_requesters(flow).items():
            self.answer(requester, flow, own, number)

    def answer(
        self, requester: int, flow: bytes, owner: int | None, number: int
    ) -> None:
        """Tell an agent who owns a flow."""
        own = self.service_agents.own
        answer = OwnerAnswer(self.service, own, flow, owner, number)
        self.sender.send(
            MessageKind.OWNER_ANSWER,
            encode_answer(answer),
            unpack_address(requester),
        )

    def find_owner(self, flow: bytes, requester: int) -> int | None:
        """Return the agent that owns the flow, as far as is known here."""
        own = self.service_agents.own
        if self.table.owns(flow):
            return own
        if self.is_pending(flow):
            return own if own < requester else None
        return self.memory.recall(flow)

    def handle_answer(self, answer: OwnerAnswer) -> None:
        """Take the answer of another agent to the question asked."""
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
        """Tell whether the flow can be sent to the owner named."""
        if owner is None or owner == self.service_agents.own:
            return False
        return self.service_agents.is_known(owner)

    def time_out(self, flow: bytes) -> None:
        """Go on without the answers that are missing."""
        pending = self.close(flow)
        if self.is_late(pending):
            pending.client.give_up("asked too long ago")
        else:
            pending.client.handle_no_owner()

    def is_late(self, pending: PendingLookup) -> bool:
        """Tell whether this process was paused since it asked.

        Others may have decided on the flow in the meantime.
        """
        return self.clock.now() - pending.asked_at > PAUSE_SECONDS

    def abandon(self, flow: bytes) -> None:
        """Stop asking, since another agent placed the flow here."""
        self.close(flow).client.give_up("placed here")

    def close(self, flow: bytes) -> PendingLookup:
        """Stop waiting for answers."""
        pending = self.pending.pop(flow)
        pending.timer.cancel()
        return pending
