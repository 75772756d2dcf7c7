"""Finds the owner of an open flow that a balancer does not know."""

from collections import OrderedDict

from chicorycart.address import Address
from chicorycart.packets.segment import Segment
from chicorycart.steering.choice import TargetChoice
from chicorycart.steering.flows import SteeredFlow
from chicorycart.steering.health import HealthTable
from chicorycart.steering.history import HistoryCheck
from chicorycart.steering.limits import MAX_PARKED
from chicorycart.steering.limits import MAX_SEARCH_CANDIDATES
from chicorycart.steering.output import join_agents
from chicorycart.steering.output import SteererOutput
from chicorycart.steering.parked import ParkedPackets


class OwnerSearch:
    """Offers the packets of an open flow to a few targets after the others.

    A host gives back what it does not hold, so the one that does not is the
    owner, unless it is silent. The search begins where the flow was most
    likely placed.

    Parameters
    ----------
    choice : TargetChoice
        Ranks the targets of a flow.
    health : HealthTable
        Tells which are silent.
    parked : ParkedPackets
        Keeps packets for targets that are silent for now.
    output : SteererOutput
        Sends packets.
    history : HistoryCheck
        Asked whether a live target may be unlisted.

    Attributes
    ----------
    undecided : dict of bytes to Segment
        Last packets of the flows that no known target holds, until every
        live target is known.
    """

    __slots__ = (
        "choice",
        "health",
        "parked",
        "output",
        "history",
        "undecided",
    )

    def __init__(
        self,
        choice: TargetChoice,
        health: HealthTable,
        parked: ParkedPackets,
        output: SteererOutput,
        history: HistoryCheck,
    ):
        self.choice = choice
        self.health = health
        self.parked = parked
        self.output = output
        self.history = history
        self.undecided: OrderedDict[bytes, Segment] = OrderedDict()

    def begin(self, segment: Segment) -> SteeredFlow | None:
        """Begin to look for the owner of a flow.

        Returns
        -------
        SteeredFlow or None
            None if no target may hold the flow.
        """
        output = self.output
        routes = output.follower.routes.current
        route = routes.by_entry.get(segment.entry)
        if route is None:
            output.count("no route")
            return None
        self.parked.drop(segment.flow)
        state = output.flows.add(segment.flow, route)
        state.is_open = True
        if not self.advance(state):
            output.flows.drop(segment.flow)
            output.count("no target")
            return None
        output.record(
            "flow_unknown",
            segment.flow,
            "service={} agents={}",
            state.service,
            join_agents(state.candidates),
        )
        return state

    def advance(self, state: SteeredFlow) -> bool:
        """Go on to the next targets that may hold a flow.

        Returns
        -------
        bool
            False if every target told that it does not hold the flow.
        """
        left = list_remaining_owners(state)
        if not left:
            # Others may have been listed since the search began.
            state.possible_owners = self.choice.list_possible_owners(
                state.service, state.flow
            )
            left = list_remaining_owners(state)
        state.candidates.clear()
        if not left:
            return False
        if all(agent in state.unresponsive for agent in left):
            state.unresponsive.clear()
        left = [agent for agent in left if agent not in state.unresponsive]
        left.sort(key=self.health.is_suspended)
        state.candidates = left[:MAX_SEARCH_CANDIDATES]
        state.agent = state.candidates[0]
        if state.agent in state.first_candidates:
            state.first_candidates.remove(state.agent)
        state.first_candidates.append(state.agent)
        state.is_confirmed = False
        return True

    def skip_unresponsive(self, state: SteeredFlow, segment: Segment) -> None:
        """Go on to the next targets if a caller repeats unanswered data."""
        if not segment.payload_bytes:
            return
        if segment.sequence == state.last_sequence:
            before = state.candidates or [state.agent]
            state.unresponsive += before
            self.advance(state)
            self.output.record(
                "flow_doubted",
                state.flow,
                "agents={} before={} reason={!r}",
                join_agents(state.candidates),
                join_agents(before),
                "the caller repeats its data",
            )

    def forward_segment(self, state: SteeredFlow, segment: Segment) -> None:
        """Send a packet of an open flow to its agent, or to all asked."""
        self.output.count("forwarded")
        if not state.is_confirmed and self.health.is_suspended(state.agent):
            self.parked.put_data(segment, state)
        self.output.deliver(state, segment.raw)

    def handle_return(
        self, state: SteeredFlow, segment: Segment, agent: Address
    ) -> None:
        """Look elsewhere, since an agent's host does not hold the flow."""
        if agent not in state.non_owners:
            state.non_owners.append(agent)
        if agent in state.candidates:
            state.candidates.remove(agent)
            if not state.candidates:
                self.try_next(state, segment, agent)
        elif agent == state.agent:
            if state.is_confirmed:
                state.has_lost_owner = True
            self.try_next(state, segment, agent)
        elif agent in state.first_candidates[:-1]:
            # Sent before the present targets were asked; one copy will do.
            self.forward_segment(state, segment)

    def try_next(
        self, state: SteeredFlow, segment: Segment, before: Address
    ) -> None:
        """Ask the next targets, or give the flow up if none is left."""
        if not self.advance(state):
            self.give_up(state, segment)
            return
        self.output.record(
            "flow_moved",
            state.flow,
            "agents={} before={} missed={}",
            join_agents(state.candidates),
            before,
            len(state.non_owners),
        )
        self.forward_segment(state, segment)

    def give_up(self, state: SteeredFlow, segment: Segment) -> None:
        """Reset a flow that every target told not to hold.

        While the store is away, and shortly after, a live owner that was
        never heard of may be missing in the list. The flow is left to its
        caller then until the list is known to be complete.
        """
        if state.has_lost_owner or self.output.follower.lists_all():
            self.undecided.pop(state.flow, None)
            self.output.reset_flow(segment, "held by no target")
            return
        self.history.ask()
        self.undecided[state.flow] = segment
        if len(self.undecided) > MAX_PARKED:
            self.undecided.popitem(last=False)
        self.output.count("unheld")
        self.output.record(
            "flow_left",
            state.flow,
            "missed={} reason={!r}",
            len(state.non_owners),
            "not all targets may be listed yet",
        )

    def retry_undecided(self) -> None:
        """Decide on the flows that were left, once every target is known."""
        if not self.undecided:
            return
        if not self.output.follower.lists_all():
            self.history.ask()
            return
        left, self.undecided = self.undecided, OrderedDict()
        for flow, segment in left.items():
            state = self.output.flows.find(flow)
            if state is None or state.is_confirmed:
                continue
            if self.advance(state):
                self.forward_segment(state, segment)
            else:
                self.give_up(state, segment)


def list_remaining_owners(state: SteeredFlow) -> list[Address]:
    """Return the agents that may still hold a flow."""
    return [
        agent
        for agent in state.possible_owners
        if agent not in state.non_owners
    ]
