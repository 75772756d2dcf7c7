"""A small specification of how packets of an open flow find their owner.

A (0) owns one flow since version 1. Version 2 makes B (1) and C (2) its
candidates and drains A, or removes it. Balancers know either the replaced
version as well or, freshly started, only their own.

Lapsing of the history and settling stand for time: they happen only after
what the time is sized for, namely that every daemon has the version and A
has announced its flow.
"""

from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

AGENTS = (0, 1, 2)
OWNER = 0
PEER_AGENTS = (1, 2)
FOUND = "found"
DROPPED = "dropped"
WAITS = "waits"


@dataclass(frozen=True)
class Rules:
    """What the protocol does and what may go wrong."""

    records: bool = True
    orders_records: bool = True
    drops_while_settling: bool = True
    asks_at_start: bool = True
    is_removed: bool = False
    restarts: int = 1
    losses: int = 1
    doubles: int = 1
    pauses: int = 0


class Record(NamedTuple):
    """An owner record on its way."""

    to: int
    sequence: int
    has_flow: bool


class Query(NamedTuple):
    """A request for A's record on its way."""

    source: int


class State(NamedTuple):
    """Everything that the model knows."""

    versions: tuple = (1, 1, 1)
    balancer: int = 1
    has_history: bool = True
    announced: int = 0
    records: tuple = (Record(0, 0, False),) * 3
    settled: tuple = (True, True, True)
    flight: frozenset = frozenset()
    is_paused: bool = False
    has_lapsed: bool = False
    announcements: int = 2
    restarts: int = 0
    losses: int = 0
    doubles: int = 0
    pauses: int = 0


def put(values, index, value):
    """Return the tuple with one value changed."""
    return (*values[:index], value, *values[index + 1 :])


class FindingModel:
    """The transitions under some rules."""

    def __init__(self, rules):
        self.rules = rules

    def initial(self):
        """Return the first state; an old record is still on its way."""
        return State(
            restarts=self.rules.restarts,
            losses=self.rules.losses,
            doubles=self.rules.doubles,
            pauses=self.rules.pauses,
            flight=frozenset({Record(1, 1, False), Record(2, 1, False)}),
            announced=1,
        )

    def protocol(self):
        """Return the model in the form of the checker."""
        return Protocol(
            name="finding",
            candidate=False,
            fields=State._fields,
            initial=self.initial(),
            transitions=lambda state: list(self.list_steps(State(*state))),
            invariants={
                "never reset": lambda d: self.is_safe(State(**d)),
                "found once settled": lambda d: self.is_found(State(**d)),
            },
        )

    def list_steps(self, state):
        """Return every (label, next state)."""
        yield from self.list_version_steps(state)
        yield from self.list_owner_steps(state)
        for message in state.flight:
            taken = state._replace(flight=state.flight - {message})
            if isinstance(message, Record) or not state.is_paused:
                yield ("take", message), self.take(taken, message)
            if state.doubles and isinstance(message, Record):
                kept = state._replace(doubles=state.doubles - 1)
                yield ("take a copy of", message), self.take(kept, message)
            if state.losses:
                lost = taken._replace(losses=state.losses - 1)
                yield ("lose", message), lost
        for peer_agent in PEER_AGENTS:
            if state.restarts and state.versions[peer_agent] == 2:
                yield ("restart", peer_agent), self.restart(state, peer_agent)
            if not state.settled[peer_agent] and self.may_settle(state):
                settled = put(state.settled, peer_agent, True)
                yield ("settle", peer_agent), state._replace(settled=settled)

    def list_version_steps(self, state):
        """Return the spreading of version 2 and the end of version 1."""
        for agent in AGENTS:
            if state.versions[agent] == 1:
                yield (
                    ("learn", agent),
                    state._replace(
                        versions=put(state.versions, agent, 2),
                        settled=put(state.settled, agent, False),
                    ),
                )
        if state.balancer == 1:
            yield ("learn", "balancer"), state._replace(balancer=2)
        if state.has_history and self.is_everywhere(state):
            yield ("history lapses", 0), state._replace(has_history=False)

    def list_owner_steps(self, state):
        """Return what A does and suffers."""
        if state.is_paused:
            yield ("wake", 0), state._replace(is_paused=False)
            yield (
                ("lease lapses", 0),
                state._replace(
                    has_lapsed=True, records=(Record(0, 0, False),) * 3
                ),
            )
            return
        if state.announcements and state.versions[0] == 2:
            yield ("announce", 0), self.announce(state)
        if state.pauses:
            paused = state._replace(is_paused=True, pauses=state.pauses - 1)
            yield ("pause", 0), paused

    def is_everywhere(self, state):
        """Tell whether version 2 is in force and A has announced."""
        is_known = min(*state.versions, state.balancer) == 2
        return is_known and state.announcements < 2

    def may_settle(self, state):
        """Tell whether the settling time can have passed.

        No message takes that long, but for one that was delayed.
        """
        is_on_its_way = any(
            isinstance(message, Query) or message.has_flow
            for message in state.flight
        )
        return self.is_everywhere(state) and not is_on_its_way

    def announce(self, state):
        """Send A's record to its mates."""
        sequence = state.announced + 1
        state = state._replace(
            announced=sequence,
            announcements=state.announcements - 1,
        )
        if not self.rules.records:
            return state
        sent = {
            Record(peer_agent, sequence, True) for peer_agent in PEER_AGENTS
        }
        return state._replace(flight=state.flight | sent)

    def restart(self, state, peer_agent):
        """Let a mate forget everything and ask A."""
        state = state._replace(
            restarts=state.restarts - 1,
            records=put(state.records, peer_agent, Record(0, 0, False)),
            settled=put(state.settled, peer_agent, False),
        )
        if not self.rules.asks_at_start:
            return state
        return state._replace(flight=state.flight | {Query(peer_agent)})

    def take(self, state, message):
        """Let an agent take a message."""
        if isinstance(message, Query):
            has_flow = state.versions[0] == 2 and state.announcements < 2
            if not has_flow or not self.rules.records:
                return state
            record = Record(message.source, state.announced, True)
            return state._replace(flight=state.flight | {record})
        held = state.records[message.to]
        if message.sequence <= held.sequence and self.rules.orders_records:
            return state
        records = put(state.records, message.to, message)
        is_late = state.has_lapsed and not message.has_flow
        return state._replace(records=records, has_lapsed=is_late)

    def search(self, state, chain):
        """Return how a packet sent along the chain fares."""
        chain = list(chain)
        is_unsettled = False
        for agent in chain:
            if agent == OWNER:
                return WAITS if state.is_paused else FOUND
            is_unsettled |= self.is_unsettled(state, agent)
            if state.records[agent].has_flow and OWNER not in chain:
                chain.append(OWNER)
        if self.lists_owner(state, chain[-1], is_unsettled):
            return WAITS if state.is_paused else FOUND
        if is_unsettled and self.rules.drops_while_settling:
            return DROPPED
        return "reset"

    def is_unsettled(self, state, agent):
        """Tell whether an agent may not know the owner yet."""
        is_behind = state.versions[agent] < state.balancer
        return is_behind or not state.settled[agent]

    def lists_owner(self, state, last, is_unsettled):
        """Tell whether the last agent of a chain knows A as a target."""
        if state.versions[last] == 1:
            return True
        return is_unsettled and not self.rules.is_removed

    def list_chains(self, state):
        """Return the chains of an old and of a fresh balancer."""
        if state.balancer == 1:
            return [(0, 1)]
        return [(1, 2, 0) if state.has_history else (1, 2), (1, 2)]

    def is_safe(self, state):
        """Tell whether no packet of the flow is reset."""
        if state.is_paused or state.has_lapsed:
            return True
        outcomes = {self.search(state, c) for c in self.list_chains(state)}
        return "reset" not in outcomes

    def is_found(self, state):
        """Tell whether every balancer leads to A once all has settled."""
        is_settled = (
            self.is_everywhere(state)
            and all(state.settled[peer_agent] for peer_agent in PEER_AGENTS)
            and not state.flight
            and not state.is_paused
            and not state.has_lapsed
        )
        if not is_settled:
            return True
        chains = self.list_chains(state)
        return all(self.search(state, chain) == FOUND for chain in chains)
