"""A model of how the opening packets of one flow get exactly one owner.

There are three agents A, B, C (0, 1, 2) and one flow. In version 1 its
candidates are A and B. Version 2 drains A and raises the weight of C, which
makes the candidates C and B. Balancers send along one of four chains: that of
version 1, that of version 1 while A is suspected, that of version 2, and that
of version 2 by a balancer that has no earlier version.

Each step handles one message or applies one other event. A lookup times out
only if no answer to it can arrive any more, because messages between agents
take less time than the timeout.

The labels of the steps and the names in them decide the order in which a
random walk chooses, so changing them changes the walk of each seed.
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
    """The rules of the protocol and the faults that may occur.

    Switching off one of the first seven must make the model fail. The
    others set which faults occur and how often.

    Attributes
    ----------
    asks : bool
        Agents query the others before they accept a flow.
    remembers : bool
        Agents remember where they placed a flow and who queried for it.
    checks_pause : bool
        An agent that was paused doesn't act on a lookup from before.
    checks_sequence : bool
        A host resets a request whose sequence numbers it doesn't know.
    tells : bool
        An agent tells the requesters about flows it accepted or placed.
    yields : bool
        Of two agents that query each other, one gives up.
    numbers : bool
        Answers are matched to queries by their number.
    skew : bool
        Version 2 exists and reaches the agents one by one.
    doubles, losses, pauses, cuts : int
        Duplicated messages, lost messages, pauses of A, partitions of A.
    openings : int
        Opening packets that the caller sends.
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
    """An opening packet that is being sent to an agent."""

    to: int
    chain: str
    source: int = UNKNOWN
    hops: int = 1

    @property
    def placed(self):
        """Whether another agent chose the receiver for the flow."""
        return self.source != UNKNOWN


class Query(NamedTuple):
    """An owner query in flight."""

    to: int
    source: int
    number: int


class Answer(NamedTuple):
    """An owner answer in flight; the owner is UNKNOWN if there is none."""

    to: int
    source: int
    number: int
    owner: int


class Waiting(NamedTuple):
    """An opening packet that waits for the answers of an owner lookup."""

    syn: Syn
    agents: frozenset
    number: int
    is_late: bool


class State(NamedTuple):
    """The state of the model.

    Attributes
    ----------
    versions, owns, memory, requesters, waiting, asked, resumed : tuple
        One value for each agent: its version, whether it owns the flow,
        the agent it placed the flow at, the requesters with the number of
        their query, the opening packet in a lookup, the number of its last
        query, and whether it resumed after a pause.
    flight : frozenset
        Messages in flight.
    paused : int
        The paused agent or UNKNOWN.
    is_cut : bool
        Whether A is partitioned from the others.
    is_exempt : bool
        Whether a fault occurred after which the protocol guarantees neither
        one owner nor that the flow isn't reset.
    caller : int
        The agent whose answer the caller got, UNDECIDED or RESET.
    ran : frozenset
        Agents on whose hosts the request ran.
    has_looped : bool
        Whether a packet exceeded MAX_HOPS.
    openings, doubles, losses, pauses, cuts : int
        How many of these events may still occur.
    """

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
    is_exempt: bool = False
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
    """Add a message to those in flight."""
    return state._replace(flight=state.flight | {message})


class OpeningModel:
    """The transitions of the model under the given rules."""

    def __init__(self, rules):
        self.rules = rules

    def protocol(self):
        """Return the model in the form that minicheck expects."""
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
                "one owner": lambda d: sum(d["owns"]) <= 1 or d["is_exempt"],
                "runs once": lambda d: len(d["ran"]) <= 1,
                "no loop": lambda d: not d["has_looped"],
                "placed in the end": self.is_placed,
                "not reset": lambda d: d["caller"] != RESET or d["is_exempt"],
            },
        )

    def is_placed(self, state):
        """Return whether the flow has an owner once no event is pending."""
        is_quiet = not state["flight"] and not any(state["waiting"])
        has_opened = state["openings"] < self.rules.openings
        is_faulty = state["is_exempt"] or state["pauses"] < self.rules.pauses
        return not (is_quiet and has_opened) or is_faulty or any(state["owns"])

    def list_steps(self, state):
        """Yield every possible step as (label, next state)."""
        yield from self.list_caller_steps(state)
        yield from self.list_fault_steps(state)
        for message in state.flight:
            if message.to == state.paused:
                continue
            arrived = state._replace(flight=state.flight - {message})
            if self.is_cut_off(state, message):
                yield ("cut", message), arrived
                continue
            yield ("take", message), self.deliver(arrived, message)
            if state.doubles:
                kept = state._replace(doubles=state.doubles - 1)
                yield (
                    ("take a copy of", message),
                    self.deliver(kept, message),
                )
            if state.losses:
                lost = arrived._replace(
                    losses=state.losses - 1, is_exempt=True
                )
                yield ("lose", message), lost
        for agent in AGENTS:
            if self.can_time_out(state, agent):
                yield ("time out", agent), self.time_out(state, agent)

    def list_caller_steps(self, state):
        """Yield the steps of the caller."""
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
        """Send a request along a chain to the first owner of the flow."""
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
        """Yield new versions and faults of the daemons."""
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
                state._replace(is_cut=True, cuts=0, is_exempt=True),
            )
        if state.is_cut:
            yield ("heal", 0), state._replace(is_cut=False)

    def pause(self, state):
        """Pause A; while paused it cannot answer for flows that it owns."""
        waiting = state.waiting[0]
        if waiting is not None:
            waiting = waiting._replace(is_late=True)
        return state._replace(
            paused=0,
            pauses=state.pauses - 1,
            is_exempt=state.is_exempt or state.owns[0],
            waiting=put(state.waiting, 0, waiting),
        )

    def is_cut_off(self, state, message):
        """Return whether the message crosses the partition around A."""
        source = getattr(message, "source", message.to)
        return state.is_cut and (source == 0) != (message.to == 0)

    def deliver(self, state, message):
        """Handle a message at its receiver."""
        if isinstance(message, Syn):
            return self.handle_syn(state, message)
        if isinstance(message, Query):
            return self.handle_query(state, message)
        return self.handle_answer(state, message)

    def handle_syn(self, state, syn):
        """Handle an opening packet: accept, forward or look up the owner."""
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
        """Return whether the agent's knowledge of owners is complete."""
        is_resumed = state.resumed[agent] and self.rules.checks_pause
        return state.versions[agent] == 1 and not is_resumed

    def may_decide_alone(self, state, syn):
        """Return whether no other agent can have accepted the flow."""
        return (
            CANDIDATES[state.versions[syn.to]][0] == syn.to
            and self.is_settled(state, syn.to)
            and not (self.rules.remembers and state.requesters[syn.to])
        )

    def ask(self, state, syn):
        """Query every agent that may own the flow."""
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
        """Answer a query with the owner of the flow, if it is known."""
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
        """Continue when the owner is known or every agent has answered."""
        agent = answer.to
        waiting = state.waiting[agent]
        is_usable_owner = answer.owner not in (UNKNOWN, agent)
        if waiting is None:
            return state
        if answer.source not in waiting.agents and not is_usable_owner:
            return state
        if answer.number != waiting.number and self.rules.numbers:
            return state
        closed = state._replace(waiting=put(state.waiting, agent, None))
        if waiting.is_late and self.rules.checks_pause:
            return closed
        if is_usable_owner:
            return self.place_at(closed, waiting.syn, answer.owner)
        agents = waiting.agents - {answer.source}
        if agents:
            remaining = waiting._replace(agents=agents)
            return state._replace(waiting=put(state.waiting, agent, remaining))
        return self.close(closed, waiting)

    def close(self, state, waiting):
        """Decide after a lookup, unless the agent was paused during it."""
        if waiting.is_late and self.rules.checks_pause:
            return state
        return self.decide(state, waiting.syn)

    def can_time_out(self, state, agent):
        """Return whether a missing answer can no longer arrive."""
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
        """Return whether the message can lead to an answer to the agent."""
        if message.to == state.paused:
            return False
        if isinstance(message, Syn):
            return message.placed
        if isinstance(message, Query):
            return message.source == agent
        return message.to == agent

    def time_out(self, state, agent):
        """End the lookup without the missing answers."""
        waiting = state.waiting[agent]
        closed = state._replace(waiting=put(state.waiting, agent, None))
        return self.close(closed, waiting)

    def decide(self, state, syn):
        """Accept the flow or place it at another agent."""
        agent = syn.to
        version = state.versions[agent]
        is_behind = CHAINS[syn.chain][0] > version
        is_candidate = agent in CANDIDATES[version]
        if (is_behind or is_candidate) and ACTIVE[version][agent]:
            return self.accept(state, agent)
        others = [other for other in CANDIDATES[version] if other != agent]
        return self.place_at(state, syn, others[0])

    def place_at(self, state, syn, other):
        """Send the packet to the agent that shall own the flow."""
        state = state._replace(
            memory=put(state.memory, syn.to, other),
            requesters=put(state.requesters, syn.to, frozenset()),
        )
        if syn.hops >= MAX_HOPS:
            return state._replace(has_looped=True)
        return send(state, Syn(other, syn.chain, syn.to, syn.hops + 1))

    def accept(self, state, agent):
        """Accept the flow and notify the agents that queried for it."""
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
