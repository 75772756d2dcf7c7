"""A small specification of how opening packets find one owner.

Three agents A, B, C (0, 1, 2) and one flow. In version 1 its candidates are
A and B; version 2 drains A, strengthens C and makes them C and B. Balancers
send along one of four chains: of version 1, of version 1 while A is
suspected, of version 2, and of version 2 by a balancer that knows no version
before.

Each step takes one message or lets one thing happen. A question times out
only if an answer to it can no longer come in time; messages between agents
take less time than that.
"""

from dataclasses import dataclass
from dataclasses import replace
from typing import NamedTuple

from minicheck import Protocol

AGENTS = (0, 1, 2)
CANDIDATE_COUNT = 2
CANDIDATES = {1: (0, 1), 2: (2, 1)}
OWN_CHAINS = {1: (0, 1), 2: (2, 1, 0)}
ACTIVE = {1: (True, True, True), 2: (False, True, True)}
CHAINS = {
    "old": (1, (0, 1)),
    "old, A suspected": (1, (1, 0)),
    "new": (2, (2, 1, 0)),
    "new, no history": (2, (2, 1)),
}
UNKNOWN = -2
UNDECIDED = -1
RESET = -2
MAX_HOPS = 6


@dataclass(frozen=True)
class Rules:
    """What the protocol does and what may go wrong.

    The first seven are switched off to see the model fail.
    """

    asks: bool = True
    remembers: bool = True
    checks_pause: bool = True
    checks_sequence: bool = True
    tells: bool = True
    yields: bool = True
    numbers: bool = True
    skew: bool = False
    doubles: int = 0
    losses: int = 0
    pauses: int = 0
    cuts: int = 0
    openings: int = 2


class Syn(NamedTuple):
    """An opening packet on its way to an agent."""

    to: int
    chain: str
    source: int = UNKNOWN
    hops: int = 1

    @property
    def placed(self):
        """Whether an earlier agent chose this one."""
        return self.source != UNKNOWN


class Query(NamedTuple):
    """A question on its way."""

    to: int
    source: int
    number: int


class Answer(NamedTuple):
    """An answer on its way; the owner is UNKNOWN if there is none."""

    to: int
    source: int
    number: int
    owner: int


class Waiting(NamedTuple):
    """An opening packet that waits for answers."""

    syn: Syn
    agents: frozenset
    number: int
    is_late: bool


class State(NamedTuple):
    """Everything that the model knows."""

    versions: tuple = (1, 1, 1)
    owns: tuple = (False, False, False)
    memory: tuple = (UNKNOWN, UNKNOWN, UNKNOWN)
    requesters: tuple = (frozenset(), frozenset(), frozenset())
    waiting: tuple = (None, None, None)
    asked: tuple = (0, 0, 0)
    resumed: tuple = (False, False, False)
    flight: frozenset = frozenset()
    paused: int = UNKNOWN
    is_cut: bool = False
    excused: bool = False
    caller: int = UNDECIDED
    ran: frozenset = frozenset()
    has_looped: bool = False
    openings: int = 0
    doubles: int = 0
    losses: int = 0
    pauses: int = 0
    cuts: int = 0


def put(values, index, value):
    """Return the tuple with one value changed."""
    return (*values[:index], value, *values[index + 1 :])


def send(state, message):
    """Put a message on its way, unless the network is cut there."""
    return state._replace(flight=state.flight | {message})


class OpeningModel:
    """The transitions under some rules."""

    def __init__(self, rules):
        self.rules = rules

    def protocol(self):
        """Return the model in the form of the checker."""
        initial = State(
            openings=self.rules.openings,
            doubles=self.rules.doubles,
            losses=self.rules.losses,
            pauses=self.rules.pauses,
            cuts=self.rules.cuts,
        )
        return Protocol(
            name="opening",
            candidate=False,
            fields=State._fields,
            initial=initial,
            transitions=lambda state: list(self.list_steps(State(*state))),
            invariants={
                "one owner": lambda d: sum(d["owns"]) <= 1 or d["excused"],
                "runs once": lambda d: len(d["ran"]) <= 1,
                "no loop": lambda d: not d["has_looped"],
                "placed in the end": self.is_placed,
                "not reset": lambda d: d["caller"] != RESET or d["excused"],
            },
        )

    def is_placed(self, state):
        """Tell whether the flow has an owner once all is quiet."""
        is_quiet = not state["flight"] and not any(state["waiting"])
        has_opened = state["openings"] < self.rules.openings
        is_faulty = state["excused"] or state["pauses"] < self.rules.pauses
        return not (is_quiet and has_opened) or is_faulty or any(state["owns"])

    def list_steps(self, state):
        """Return every (label, next state)."""
        yield from self.list_caller_steps(state)
        yield from self.list_fault_steps(state)
        for message in state.flight:
            if message.to == state.paused:
                continue
            taken = state._replace(flight=state.flight - {message})
            if self.is_cut_off(state, message):
                yield ("cut", message), taken
                continue
            yield ("take", message), self.take(taken, message)
            if state.doubles:
                kept = state._replace(doubles=state.doubles - 1)
                yield ("take a copy of", message), self.take(kept, message)
            if state.losses:
                lost = taken._replace(losses=state.losses - 1, excused=True)
                yield ("lose", message), lost
        for agent in AGENTS:
            if self.can_time_out(state, agent):
                yield ("time out", agent), self.time_out(state, agent)

    def list_caller_steps(self, state):
        """Return what the caller may do."""
        for name, (version, chain) in CHAINS.items():
            if version == 2 and not self.rules.skew:
                continue
            if "suspected" in name and state.paused != 0 and not state.is_cut:
                continue
            if state.openings and state.caller == UNDECIDED:
                syn = Syn(chain[0], name)
                opened = state._replace(openings=state.openings - 1)
                yield ("open", name), send(opened, syn)
            if state.caller >= 0:
                yield ("ask", name), self.ask_request(state, chain)
        for agent in AGENTS:
            if state.owns[agent] and state.caller == UNDECIDED:
                yield ("answered by", agent), state._replace(caller=agent)

    def ask_request(self, state, chain):
        """Send a request along a chain to the first that owns the flow."""
        for agent in chain:
            is_cut_off = state.is_cut and (agent == 0) != (chain[0] == 0)
            if agent == state.paused or is_cut_off:
                return state
            if not state.owns[agent]:
                continue
            if agent == state.caller or not self.rules.checks_sequence:
                return state._replace(ran=state.ran | {agent})
            return state._replace(caller=RESET)
        return state

    def list_fault_steps(self, state):
        """Return what may happen to the daemons."""
        for agent in AGENTS if self.rules.skew else ():
            if state.versions[agent] == 1 and agent != state.paused:
                versions = put(state.versions, agent, 2)
                yield ("learn", agent), state._replace(versions=versions)
        if state.pauses and state.paused == UNKNOWN:
            yield ("pause", 0), self.pause(state)
        if state.paused == 0:
            resumed = put(state.resumed, 0, True)
            yield (
                ("wake", 0),
                state._replace(paused=UNKNOWN, resumed=resumed),
            )
        if state.cuts and not state.is_cut:
            yield (
                ("cut off", 0),
                state._replace(is_cut=True, cuts=0, excused=True),
            )
        if state.is_cut:
            yield ("heal", 0), state._replace(is_cut=False)

    def pause(self, state):
        """Stop A; what it owned already it cannot defend."""
        waiting = state.waiting[0]
        if waiting is not None:
            waiting = waiting._replace(is_late=True)
        return state._replace(
            paused=0,
            pauses=state.pauses - 1,
            excused=state.excused or state.owns[0],
            waiting=put(state.waiting, 0, waiting),
        )

    def is_cut_off(self, state, message):
        """Tell whether the message crosses the cut between A and others."""
        source = getattr(message, "source", message.to)
        return state.is_cut and (source == 0) != (message.to == 0)

    def take(self, state, message):
        """Let an agent take a message."""
        if isinstance(message, Syn):
            return self.handle_syn(state, message)
        if isinstance(message, Query):
            return self.handle_query(state, message)
        return self.handle_answer(state, message)

    def handle_syn(self, state, syn):
        """Place an opening packet."""
        agent = syn.to
        if state.owns[agent]:
            return state
        if state.waiting[agent] is not None:
            if not syn.placed:
                return state
            state = state._replace(waiting=put(state.waiting, agent, None))
        remembered = state.memory[agent]
        if (
            remembered >= 0
            and remembered != syn.source
            and self.rules.remembers
        ):
            return self.place_at(state, syn, remembered)
        if syn.placed:
            if ACTIVE[state.versions[agent]][agent]:
                return self.accept(state, agent)
            return self.decide(state, syn)
        if self.may_decide_alone(state, syn) or not self.rules.asks:
            return self.decide(state, syn)
        return self.ask(state, syn)

    def is_settled(self, state, agent):
        """Tell whether the agent relies on what it knows."""
        is_resumed = state.resumed[agent] and self.rules.checks_pause
        return state.versions[agent] == 1 and not is_resumed

    def may_decide_alone(self, state, syn):
        """Tell whether no other agent can have accepted the flow."""
        return (
            CANDIDATES[state.versions[syn.to]][0] == syn.to
            and self.is_settled(state, syn.to)
            and not (self.rules.remembers and state.requesters[syn.to])
        )

    def ask(self, state, syn):
        """Ask every agent that may own the flow."""
        agents = {*CHAINS[syn.chain][1], *OWN_CHAINS[state.versions[syn.to]]}
        if not self.is_settled(state, syn.to) or state.requesters[syn.to]:
            agents |= set(AGENTS)
        if self.rules.remembers:
            agents |= {requester for requester, _ in state.requesters[syn.to]}
        agents.discard(syn.to)
        number = state.asked[syn.to] + 1
        waiting = Waiting(syn, frozenset(agents), number, False)
        state = state._replace(
            waiting=put(state.waiting, syn.to, waiting),
            asked=put(state.asked, syn.to, number),
        )
        for other in sorted(agents):
            state = send(state, Query(other, syn.to, number))
        return state

    def handle_query(self, state, query):
        """Answer who owns the flow."""
        agent = query.to
        owner = UNKNOWN
        if state.owns[agent]:
            owner = agent
        elif state.waiting[agent] is not None:
            owner = agent if agent < query.source else UNKNOWN
            if owner == UNKNOWN and self.rules.yields:
                waiting = put(state.waiting, agent, None)
                state = state._replace(waiting=waiting)
        elif state.memory[agent] >= 0 and self.rules.remembers:
            owner = state.memory[agent] if self.rules.tells else UNKNOWN
        if owner == UNKNOWN and state.memory[agent] == UNKNOWN:
            requesters = dict(sorted(state.requesters[agent]))
            last = requesters.get(query.source, 0)
            requesters[query.source] = max(last, query.number)
            requesters = frozenset(requesters.items())
            state = state._replace(
                requesters=put(state.requesters, agent, requesters)
            )
        return send(state, Answer(query.source, agent, query.number, owner))

    def handle_answer(self, state, answer):
        """Go on when the owner is known or everybody has answered."""
        agent = answer.to
        waiting = state.waiting[agent]
        is_claim = answer.owner not in (UNKNOWN, agent)
        if waiting is None:
            return state
        if answer.source not in waiting.agents and not is_claim:
            return state
        if answer.number != waiting.number and self.rules.numbers:
            return state
        closed = state._replace(waiting=put(state.waiting, agent, None))
        if waiting.is_late and self.rules.checks_pause:
            return closed
        if is_claim:
            return self.place_at(closed, waiting.syn, answer.owner)
        agents = waiting.agents - {answer.source}
        if agents:
            left = waiting._replace(agents=agents)
            return state._replace(waiting=put(state.waiting, agent, left))
        return self.close(closed, waiting)

    def close(self, state, waiting):
        """Decide after a question, unless it took too long."""
        if waiting.is_late and self.rules.checks_pause:
            return state
        return self.decide(state, waiting.syn)

    def can_time_out(self, state, agent):
        """Tell whether an answer is missing that cannot come any more."""
        waiting = state.waiting[agent]
        if waiting is None or agent == state.paused:
            return False
        if waiting.is_late:
            return True
        return not any(
            self.is_outstanding(state, message, agent)
            for message in state.flight
        )

    def is_outstanding(self, state, message, agent):
        """Tell whether the message leads to an answer to the agent."""
        if message.to == state.paused:
            return False
        if isinstance(message, Syn):
            return message.placed
        if isinstance(message, Query):
            return message.source == agent
        return message.to == agent

    def time_out(self, state, agent):
        """Go on without the missing answers."""
        waiting = state.waiting[agent]
        closed = state._replace(waiting=put(state.waiting, agent, None))
        return self.close(closed, waiting)

    def decide(self, state, syn):
        """Accept the flow or place it elsewhere."""
        agent = syn.to
        version = state.versions[agent]
        is_behind = CHAINS[syn.chain][0] > version
        is_candidate = agent in CANDIDATES[version]
        if (is_behind or is_candidate) and ACTIVE[version][agent]:
            return self.accept(state, agent)
        others = [other for other in CANDIDATES[version] if other != agent]
        return self.place_at(state, syn, others[0])

    def place_at(self, state, syn, other):
        """Send the packet to the agent that is to own the flow."""
        state = state._replace(
            memory=put(state.memory, syn.to, other),
            requesters=put(state.requesters, syn.to, frozenset()),
        )
        if syn.hops >= MAX_HOPS:
            return state._replace(has_looped=True)
        return send(state, Syn(other, syn.chain, syn.to, syn.hops + 1))

    def accept(self, state, agent):
        """Own the flow and tell those who asked."""
        requesters = state.requesters[agent] if self.rules.tells else ()
        for requester, number in requesters:
            state = send(state, Answer(requester, agent, number, agent))
        return state._replace(
            owns=put(state.owns, agent, True),
            requesters=put(state.requesters, agent, frozenset()),
        )


def break_rules(rules, **changes):
    """Return the rules with some of them changed."""
    return replace(rules, **changes)
