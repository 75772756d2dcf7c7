"""Finds the host of an open flow that a balancer has no state for."""

from collections.abc import Collection

from chicorycart.address import Address
from chicorycart.packets.segment import Segment
from chicorycart.steering.candidates import CandidateChoice
from chicorycart.steering.choice import TargetChoice
from chicorycart.steering.deciding import FlowDecisions
from chicorycart.steering.entry_services import record_owner
from chicorycart.steering.flows import SteeredFlow
from chicorycart.steering.health import HealthTable
from chicorycart.steering.held import HeldPackets
from chicorycart.steering.history import HistoryCheck
from chicorycart.steering.limits import MIN_REPETITION_SECONDS
from chicorycart.steering.output import join_agents
from chicorycart.steering.output import SteererOutput
from chicorycart.steering.parked import ParkedPackets
from chicorycart.steering.undecided import UndecidedFlows


class OwnerSearch:
    """Finds the owner of an open flow by offering one of its packets.

    A host returns packets of flows that it does not hold, so a target that
    returns nothing is the owner, or is unresponsive, or a packet was lost.
    Only a return proves that a target is not the owner: until then it stays
    a candidate, which also gets what the caller repeats.

    Targets are asked in groups, the most likely ones first. The next group is
    asked once all of the last one returned the packet, or the caller repeats
    it. Other packets of the flow wait, so that a search costs one packet for
    each target.

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
    candidates : CandidateChoice
        Chooses which targets are asked next.
    directory : Directory
        Known targets.
    held : HeldPackets
        Packets of the flows whose owners are searched for.
    undecided : UndecidedFlows
        Flows that only unlisted targets may hold.
    decisions : FlowDecisions
        Decides on flows that no known target seems to hold.
    """

    __slots__ = (
        "candidates",
        "directory",
        "health",
        "parked",
        "output",
        "history",
        "held",
        "undecided",
        "decisions",
    )

    def __init__(
        self,
        choice: TargetChoice,
        health: HealthTable,
        parked: ParkedPackets,
        output: SteererOutput,
        history: HistoryCheck,
    ):
        self.candidates = CandidateChoice(choice, health, output.follower)
        self.directory = choice.directory
        self.health = health
        self.parked = parked
        self.output = output
        self.history = history
        self.held = HeldPackets()
        self.undecided = UndecidedFlows()
        self.decisions = FlowDecisions(
            self.candidates,
            self.undecided,
            output,
            history,
            self.add_and_ask,
            self.forget,
        )

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
        self.forget(segment.flow)
        state = output.flows.add(segment.flow, route)
        state.is_open = True
        if not self.add_candidates(state, segment):
            output.flows.drop(segment.flow)
            output.count("no target")
            return None
        output.record(
            "flow_unknown",
            segment.flow,
            "service={} closing={} agents={}",
            state.service,
            segment.is_closing,
            join_agents(state.candidates),
        )
        return state

    def forget(self, flow: bytes) -> None:
        """Forget the packets of an earlier flow with the same five-tuple."""
        self.held.drop(flow)
        self.undecided.drop(flow)

    def add_candidates(
        self, state: SteeredFlow, segment: Segment
    ) -> list[Address]:
        """Add the next group of targets to the candidates of a flow.

        Returns
        -------
        list of Address
            The added targets; empty if every possible owner was asked.
        """
        added = self.candidates.add(state, segment)
        if state.non_owners and not self.candidates.has_remaining(state):
            # If the last ones return it too, what decides is known by then.
            self.decisions.request_history()
            if added:
                self.history.confirmation.request()
        return added

    def forward(self, state: SteeredFlow, segment: Segment) -> None:
        """Send a caller's packet of an open flow to the flow's owner.

        While the owner is searched for, the packet is offered to the
        candidates, or waits.
        """
        is_repetition = state.is_repetition(segment)
        state.record_sequence(segment)
        if state.is_confirmed:
            self.send_to_owner(state, segment)
            return
        if not self.held.has_seen(segment):
            # Whoever holds the flow was listed before its caller sent this.
            state.arrived_at = self.health.clock.now()
        if self.has_lost_candidates(state):
            self.held.add(segment)
            self.ask_next(state, segment, state.agent)
            return
        waited = self.health.clock.now() - state.asked_at
        if is_repetition and waited >= MIN_REPETITION_SECONDS:
            self.widen(state, segment, "the caller repeats its packets")
        elif (
            len(state.candidates) > 1
            and self.held.has_question(state.flow)
            and waited < MIN_REPETITION_SECONDS
        ):
            self.held.add(segment)
            self.output.count("held")
            return
        if not state.candidates and state.agent in state.non_owners:
            self.decisions.give_up(state, segment)
            return
        self.ask(state, segment, state.candidates or [state.agent])

    def has_lost_candidates(self, state: SteeredFlow) -> bool:
        """Drop candidates that have ended; tell whether none is left of some.

        They would get the packets of the flow until its caller gives up.
        """
        had_candidates = bool(state.candidates)
        self.candidates.drop_gone(state)
        return had_candidates and not state.candidates

    def send_to_owner(self, state: SteeredFlow, segment: Segment) -> None:
        """Send a packet to the confirmed owner, unless its host has ended.

        In that case the others are asked before the flow is reset, since its
        caller may have used the five-tuple for another flow.
        """
        if self.directory.vanished.has_ended(state.agent):
            state.non_owners.add(state.agent)
            self.lose_owner(state, segment, state.agent)
            return
        if self.directory.vanished.is_leaving(state.agent):
            self.undecided.keep(segment)
        self.output.count("forwarded")
        self.output.deliver(state, segment.raw, [state.agent])

    def ask(
        self, state: SteeredFlow, segment: Segment, agents: Collection[Address]
    ) -> None:
        """Send a packet of an open flow to agents whose hosts may hold it."""
        state.asked_at = self.health.clock.now()
        self.held.set_probe(segment)
        vanished = self.directory.vanished
        for agent in agents:
            vanished.record_question(agent, segment.has_contents)
        if all(map(self.health.is_suspended, agents)):
            self.parked.put_data(segment, state)
        if self.candidates.depends_on_probes(state):
            self.undecided.keep(segment)
        self.output.count("forwarded")
        self.output.ask(state, segment.raw, agents, asks_owner=True)

    def resume(self, state: SteeredFlow, segment: Segment) -> None:
        """Send a packet that waited until a candidate is responsive."""
        agents = state.candidates or [state.agent]
        self.output.ask(state, segment.raw, agents, asks_owner=True)

    def can_resume(self, state: SteeredFlow) -> bool:
        """Tell whether one of the agents of a flow seems responsive."""
        agents = state.candidates or [state.agent]
        return not all(map(self.health.is_suspended, agents))

    def widen(self, state: SteeredFlow, segment: Segment, reason: str) -> None:
        """Add candidates, since the present ones may not hold a flow."""
        if not state.candidates and state.agent not in state.non_owners:
            state.candidates[state.agent] = None
        unanswered = list(state.candidates)
        added = self.add_candidates(state, segment)
        # An owner that is not listed may be in the history.
        self.decisions.request_history()
        self.output.record(
            "flow_doubted",
            state.flow,
            "agents={} before={} reason={!r}",
            join_agents(added),
            join_agents(unanswered),
            reason,
        )

    def handle_return(
        self, state: SteeredFlow, segment: Segment, agent: Address
    ) -> None:
        """Note that an agent's host does not hold a flow; try others."""
        state.non_owners.add(agent)
        if agent in state.candidates:
            state.drop_candidate(agent)
            if not state.awaited:
                self.ask_next(state, segment, agent)
            elif len(state.candidates) == 1:
                self.send_waiting(state)
            if state.candidates and self.candidates.depends_on_probes(state):
                probe = self.held.find(state.flow).probe
                self.undecided.keep(probe or segment)
        elif agent == state.agent and not state.candidates:
            self.lose_owner(state, segment, agent)
        elif not state.is_confirmed:
            self.held.add(segment)
        elif self.held.find(state.flow).mark_seen(segment):
            self.send_to_owner(state, segment)

    def ask_again(
        self, state: SteeredFlow, segment: Segment, agent: Address
    ) -> None:
        """Ask an agent once more that did not offer a packet to its host."""
        if state.is_confirmed and state.agent == agent:
            record_owner(state, self.directory, agent)
        elif state.is_confirmed or not state.is_possible_owner(agent):
            return
        self.output.ask(state, segment.raw, [agent], asks_owner=True)

    def lose_owner(
        self, state: SteeredFlow, segment: Segment, agent: Address
    ) -> None:
        """Search for a flow whose supposed owner does not hold it."""
        state.has_lost_owner |= state.is_confirmed
        state.is_confirmed = False
        self.ask_next(state, segment, agent)

    def ask_next(
        self, state: SteeredFlow, segment: Segment, before: Address
    ) -> None:
        """Ask the next targets, or give the flow up if none is left."""
        if self.add_and_ask(state, segment, before):
            return
        if not state.candidates:
            self.decisions.give_up(state, segment)
        elif len(state.candidates) == 1:
            self.send_waiting(state)

    def send_waiting(self, state: SteeredFlow) -> None:
        """Send the packets that waited to the only candidate that is left."""
        for packet in self.held.take_waiting(state.flow):
            self.output.ask(state, packet.raw, state.candidates)

    def add_and_ask(
        self, state: SteeredFlow, segment: Segment, before: Address
    ) -> bool:
        """Ask the next targets, if any is left.

        Parameters
        ----------
        state : SteeredFlow
            The flow.
        segment : Segment
            Packet to send if the flow has no probe, or one that ends it.
        before : Address
            Agent that returned the flow last.
        """
        probe = self.held.choose_probe(segment)
        added = self.add_candidates(state, probe)
        if not added:
            return False
        self.output.record(
            "flow_moved",
            state.flow,
            "agents={} before={} missed={}",
            join_agents(added),
            before,
            len(state.non_owners),
        )
        self.ask(state, probe, added)
        return True

    def handle_found(self, state: SteeredFlow, agent: Address) -> None:
        """Record the agent that reported that its host holds a flow."""
        record_owner(state, self.directory, agent)
        self.release(state)

    def release(self, state: SteeredFlow) -> None:
        """Send the packets that waited to the confirmed owner of a flow."""
        for packet in self.held.take_waiting(state.flow):
            self.send_to_owner(state, packet)
        self.held.drop_packets(state.flow)
