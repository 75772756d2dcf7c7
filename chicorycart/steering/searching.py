"""Finds the host of an open flow that a balancer has no state for."""

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
    """Sends the packets of an open flow to a few targets at a time.

    A host returns packets of flows that it does not hold, so a target that
    returns nothing is the owner or is unresponsive. The search begins with
    the targets on which the flow was most likely placed.

    Parameters
    ----------
    choice : TargetChoice
        Ranks the possible owners of a flow.
    health : HealthTable
        Tells which targets are suspended.
    parked : ParkedPackets
        Keeps packets for targets that are suspended.
    output : SteererOutput
        Sends packets.
    history : HistoryCheck
        Finds out from the store's history whether a live target may be
        missing in the list.

    Attributes
    ----------
    undecided : dict of bytes to Segment
        Last packet of each flow that no known target holds and that can't
        be reset yet, since a live target may be missing in the list.
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
        """Start the search for the owner of an open flow.

        Returns
        -------
        SteeredFlow or None
            State of the flow; None if its entry has no route or its service
            has no target.
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
        """Select the next targets that the packets of a flow are sent to.

        Returns
        -------
        bool
            False if every target has returned the flow.
        """
        remaining = list_remaining_owners(state)
        if not remaining:
            # Targets may have been listed since the last ranking.
            state.possible_owners = self.choice.list_possible_owners(
                state.service, state.flow
            )
            remaining = list_remaining_owners(state)
        state.candidates.clear()
        if not remaining:
            return False
        if all(agent in state.unresponsive for agent in remaining):
            state.unresponsive.clear()
        remaining = [
            agent for agent in remaining if agent not in state.unresponsive
        ]
        remaining.sort(key=self.health.is_suspended)
        state.candidates = remaining[:MAX_SEARCH_CANDIDATES]
        state.agent = state.candidates[0]
        if state.agent in state.first_candidates:
            state.first_candidates.remove(state.agent)
        state.first_candidates.append(state.agent)
        state.is_confirmed = False
        return True

    def skip_unresponsive(self, state: SteeredFlow, segment: Segment) -> None:
        """Select other targets if a caller repeats unanswered data."""
        if not segment.payload_bytes:
            return
        if segment.sequence == state.last_sequence:
            before = list(state.candidates) or [state.agent]
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
        """Send a packet of an open flow to its agent or to all candidates."""
        self.output.count("forwarded")
        if not state.is_confirmed and self.health.is_suspended(state.agent):
            self.parked.put_data(segment, state)
        self.output.deliver(state, segment.raw)

    def handle_return(
        self, state: SteeredFlow, segment: Segment, agent: Address
    ) -> None:
        """Note that an agent's host does not hold a flow; try others."""
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
            # The packet was sent before the present candidates were
            # selected, so none of them has it. Of the copies that earlier
            # candidates return, only that of the first one is forwarded.
            self.forward_segment(state, segment)

    def try_next(
        self, state: SteeredFlow, segment: Segment, before: Address
    ) -> None:
        """Try the next targets, or give the flow up if none is left."""
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
        """Reset a flow that no target holds, if that is certain.

        While the store can't be reached, and shortly after, the live owner
        may be missing in the list of targets. The flow is not reset then:
        its last packet is kept, and the flow is decided on once the list is
        complete.
        """
        if state.has_lost_owner or self.output.follower.knows_all_targets():
            self.undecided.pop(state.flow, None)
            self.output.reset_flow(segment, "held by no target")
            return
        self.history.request_check()
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
        """Resume or reset undecided flows once the list is complete."""
        if not self.undecided:
            return
        if not self.output.follower.knows_all_targets():
            self.history.request_check()
            return
        undecided, self.undecided = self.undecided, OrderedDict()
        for flow, segment in undecided.items():
            state = self.output.flows.find(flow)
            if state is None or state.is_confirmed:
                continue
            if self.advance(state):
                self.forward_segment(state, segment)
            else:
                self.give_up(state, segment)


def list_remaining_owners(state: SteeredFlow) -> list[Address]:
    """Return the agents that have not returned a flow."""
    return [
        agent
        for agent in state.possible_owners
        if agent not in state.non_owners
    ]
