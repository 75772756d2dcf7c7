"""Asks the other agents of a service whether one of them owns a flow."""

from asyncio import get_running_loop
from asyncio import TimerHandle
from collections.abc import Iterable
from typing import Protocol

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.address import unpack_address
from chicorycart.clock import Clock
from chicorycart.defaults import CLAIM_TIMEOUT_SECONDS
from chicorycart.defaults import MAX_PENDING_OPENINGS
from chicorycart.defaults import PAUSE_SECONDS
from chicorycart.flows.mates import ServiceMates
from chicorycart.flows.messages import encode_answer
from chicorycart.flows.messages import encode_query
from chicorycart.flows.messages import OwnerAnswer
from chicorycart.flows.messages import OwnerQuery
from chicorycart.flows.openings import OpeningMemory
from chicorycart.flows.table import FlowTable
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender


class Claimant(Protocol):
    """What waits for the outcome of a question."""

    def take_claim(self, owner: int) -> None:
        """Learn which agent owns the flow."""

    def take_no_claim(self) -> None:
        """Learn that no agent that answered in time owns it."""

    def give_up(self) -> None:
        """Learn that the outcome came too late to be relied on."""


class PendingClaim:
    """A question that not every agent has answered yet."""

    __slots__ = ("claimant", "waiting", "asked_at", "timer")

    def __init__(
        self,
        claimant: Claimant,
        waiting: set[int],
        asked_at: float,
        timer: TimerHandle,
    ):
        self.claimant = claimant
        self.waiting = waiting
        self.asked_at = asked_at
        self.timer = timer


class Claims:
    """Questions on owners, asked and answered by one agent.

    Of two agents that ask each other at the same time, the one with the
    lower address takes the flow.

    Parameters
    ----------
    service : int
        Identifier of the service.
    mates : ServiceMates
        The agents of the service.
    table : FlowTable
        Flows that this agent owns.
    memory : OpeningMemory
        Flows that it placed elsewhere.
    clock : Clock
        Shows whether an outcome came too late.
    sender : Sender
        Sends questions and answers.
    """

    __slots__ = (
        "service",
        "mates",
        "table",
        "memory",
        "clock",
        "sender",
        "pending",
    )

    def __init__(
        self,
        service: int,
        mates: ServiceMates,
        table: FlowTable,
        memory: OpeningMemory,
        clock: Clock,
        sender: Sender,
    ):
        self.service = service
        self.mates = mates
        self.table = table
        self.memory = memory
        self.clock = clock
        self.sender = sender
        self.pending: dict[bytes, PendingClaim] = {}

    def is_pending(self, flow: bytes) -> bool:
        """Tell whether the owner of the flow is being asked for."""
        return flow in self.pending

    def is_full(self) -> bool:
        """Tell whether no further question can wait."""
        return len(self.pending) >= MAX_PENDING_OPENINGS

    def ask(
        self, flow: bytes, agents: Iterable[int], claimant: Claimant
    ) -> None:
        """Ask the agents (packed addresses) who owns the flow."""
        waiting = set(agents)
        timer = get_running_loop().call_later(
            CLAIM_TIMEOUT_SECONDS, self.time_out, flow
        )
        self.pending[flow] = PendingClaim(
            claimant, waiting, self.clock.now(), timer
        )
        body = encode_query(OwnerQuery(self.service, flow))
        for agent in sorted(waiting):
            self.sender.send(
                MessageKind.OWNER_QUERY, body, unpack_address(agent)
            )

    def take_query(self, flow: bytes, source: Address) -> None:
        """Answer the question of another agent."""
        asker = pack_address(source)
        answer = OwnerAnswer(self.service, flow, self.find_owner(flow, asker))
        if answer.owner is None:
            self.memory.note_query(flow)
        self.sender.send(
            MessageKind.OWNER_ANSWER, encode_answer(answer), source
        )

    def find_owner(self, flow: bytes, asker: int) -> int | None:
        """Return the agent that owns the flow, as far as is known here."""
        own = self.mates.own
        if self.table.owns(flow):
            return own
        if self.is_pending(flow):
            return own if own < asker else None
        remembered = self.memory.recall(flow)
        return remembered if remembered != asker else None

    def take_answer(self, answer: OwnerAnswer, source: Address) -> None:
        """Take the answer of another agent to the question asked."""
        pending = self.pending.get(answer.flow)
        agent = pack_address(source)
        if pending is None or agent not in pending.waiting:
            return
        if self.is_claim(answer.owner):
            self.close(answer.flow)
            pending.claimant.take_claim(answer.owner)
            return
        pending.waiting.discard(agent)
        if not pending.waiting:
            self.close(answer.flow)
            pending.claimant.take_no_claim()

    def is_claim(self, owner: int | None) -> bool:
        """Tell whether the flow can be sent to the owner named."""
        if owner is None or owner == self.mates.own:
            return False
        return self.mates.is_known(owner)

    def time_out(self, flow: bytes) -> None:
        """Go on without the answers that are missing.

        After a pause the missing answers, and what was decided elsewhere
        in the meantime, may still wait unread.
        """
        pending = self.close(flow)
        if self.clock.now() - pending.asked_at > PAUSE_SECONDS:
            pending.claimant.give_up()
        else:
            pending.claimant.take_no_claim()

    def close(self, flow: bytes) -> PendingClaim:
        """Stop waiting for answers."""
        pending = self.pending.pop(flow)
        pending.timer.cancel()
        return pending
