"""A model of how the packets of an open flow find their owner.

A (0) has owned one flow since version 1. Version 2 makes B (1) and C (2) its
candidates and drains or removes A. Balancers know the replaced version too
or, after a restart, only the current one.

The model has no time. The steps that drop the replaced version ("history
lapses") and end the settling time ("settle") occur only once the events that
these times allow for are over: every daemon has the version and A has
announced its flow.
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
    """The rules of the protocol and the faults that may occur.

    Attributes
    ----------
    records : bool
        A announces its flow by owner records.
    orders_records : bool
        Agents refuse a record that is older than the stored one.
    drops_while_settling : bool
        Packets without a known owner are dropped, not reset, while an
        agent on their way may not know the owner yet.
    asks_at_start : bool
        A restarted agent requests A's record.
    is_removed : bool
        Version 2 removes A instead of draining it.
    restarts, losses, doubles, pauses : int
        Restarts of peer agents, lost messages, duplicated messages and
        pauses of A.
    """

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
    """An owner record in flight, or stored by an agent."""

    to: int
    sequence: int
    has_flow: bool


class Query(NamedTuple):
    """A request for A's owner record in flight."""

    source: int


class State(NamedTuple):
    """The state of the model.

    Attributes
    ----------
    versions, records, settled : tuple
        One value for each agent: its version, the record of A that it
        stores, and whether its settling time has passed.
    balancer : int
        Version of the balancers.
    has_history : bool
        Whether running balancers still have the replaced version.
    announced : int
        Sequence number of A's last record.
    flight : frozenset
        Messages in flight.
    is_paused : bool
        Whether A is paused.
    has_lapsed : bool
        Whether the lease of A's record expired while A was paused, and no
        new record has been received since.
    announcements, restarts, losses, doubles, pauses : int
        How many of these events may still occur.
    """

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
    """The transitions of the model under the given rules."""

    def __init__(self, rules):
        self.rules = rules

    def initial(self):
        """Return the initial state, with an old record still in flight."""
        return State(
            restarts=self.rules.restarts,
            losses=self.rules.losses,
            doubles=self.rules.doubles,
            pauses=self.rules.pauses,
            flight=frozenset({Record(1, 1, False), Record(2, 1, False)}),
            announced=1,
        )

    def protocol(self):
        """Return the model in the form that minicheck expects."""
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
        """Yield every possible step as (label, next state)."""
        yield from self.list_version_steps(state)
        yield from self.list_owner_steps(state)
        for message in state.flight:
            arrived = state._replace(flight=state.flight - {message})
            if isinstance(message, Record) or not state.is_paused:
                yield (
                    ("take", message),
                    self.deliver(arrived, message),
                )
            if state.doubles and isinstance(message, Record):
                kept = state._replace(doubles=state.doubles - 1)
                yield (
                    ("take a copy of", message),
                    self.deliver(kept, message),
                )
            if state.losses:
                lost = arrived._replace(losses=state.losses - 1)
                yield ("lose", message), lost
        for peer_agent in PEER_AGENTS:
            if state.restarts and state.versions[peer_agent] == 2:
                yield ("restart", peer_agent), self.restart(state, peer_agent)
            if not state.settled[peer_agent] and self.may_settle(state):
                settled = put(state.settled, peer_agent, True)
                yield ("settle", peer_agent), state._replace(settled=settled)

    def list_version_steps(self, state):
        """Yield the steps that spread version 2 and drop version 1."""
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
        """Yield the steps of A: its announcements and its pauses."""
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
        """Return whether all daemons have version 2 and A has announced."""
        is_known = min(*state.versions, state.balancer) == 2
        return is_known and state.announcements < 2

    def may_settle(self, state):
        """Return whether the settling time can have passed.

        No message is in flight for that long, except the old record that
        was delayed.
        """
        is_on_its_way = any(
            isinstance(message, Query) or message.has_flow
            for message in state.flight
        )
        return self.is_everywhere(state) and not is_on_its_way

    def announce(self, state):
        """Send A's record to its peer agents."""
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
        """Restart a peer agent, which loses its state and queries A."""
        state = state._replace(
            restarts=state.restarts - 1,
            records=put(state.records, peer_agent, Record(0, 0, False)),
            settled=put(state.settled, peer_agent, False),
        )
        if not self.rules.asks_at_start:
            return state
        return state._replace(flight=state.flight | {Query(peer_agent)})

    def deliver(self, state, message):
        """Handle a message at its receiver."""
        if isinstance(message, Query):
            has_flow = state.versions[0] == 2 and state.announcements < 2
            if not has_flow or not self.rules.records:
                return state
            record = Record(message.source, state.announced, True)
            return state._replace(flight=state.flight | {record})
        stored = state.records[message.to]
        if message.sequence <= stored.sequence and self.rules.orders_records:
            return state
        records = put(state.records, message.to, message)
        is_late = state.has_lapsed and not message.has_flow
        return state._replace(records=records, has_lapsed=is_late)

    def search(self, state, chain):
        """Return the outcome of a packet that is sent along the chain."""
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
        """Return whether an agent may not know the owner yet."""
        is_behind = state.versions[agent] < state.balancer
        return is_behind or not state.settled[agent]

    def lists_owner(self, state, last, is_unsettled):
        """Return whether the last agent of a chain has A as a target."""
        if state.versions[last] == 1:
            return True
        return is_unsettled and not self.rules.is_removed

    def list_chains(self, state):
        """Return the chains of a running and of a restarted balancer."""
        if state.balancer == 1:
            return [(0, 1)]
        return [(1, 2, 0) if state.has_history else (1, 2), (1, 2)]

    def is_safe(self, state):
        """Return whether no packet of the flow is reset."""
        if state.is_paused or state.has_lapsed:
            return True
        outcomes = {self.search(state, c) for c in self.list_chains(state)}
        return "reset" not in outcomes

    def is_found(self, state):
        """Return whether every chain leads to A once no event is pending."""
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
