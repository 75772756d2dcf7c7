"""Decides on open flows that no known target seems to hold."""

from collections.abc import Callable

from chicorycart.address import Address
from chicorycart.packets.segment import Segment
from chicorycart.steering.candidates import CandidateChoice
from chicorycart.steering.flows import SteeredFlow
from chicorycart.steering.history import HistoryCheck
from chicorycart.steering.limits import MAX_UNDECIDED_SECONDS
from chicorycart.steering.output import SteererOutput
from chicorycart.steering.undecided import UndecidedFlows

AskMore = Callable[[SteeredFlow, Segment, Address], bool]
"""Asks the next targets, if any is left; the agent was asked last."""


class FlowDecisions:
    """Resets flows that no host holds, and keeps those that may be held.

    Parameters
    ----------
    candidates : CandidateChoice
        Tells which targets were not asked yet.
    undecided : UndecidedFlows
        Flows that cannot be decided on yet.
    output : SteererOutput
        Resets flows.
    history : HistoryCheck
        Finds out from the store's history whether a live target may be
        missing in the list.
    ask_more : callable
        Goes on with a search.
    forget : callable
        Forgets the packets of a flow.

    Attributes
    ----------
    directory : Directory
        Known targets.
    """

    __slots__ = (
        "candidates",
        "undecided",
        "output",
        "history",
        "ask_more",
        "forget",
        "directory",
    )

    def __init__(
        self,
        candidates: CandidateChoice,
        undecided: UndecidedFlows,
        output: SteererOutput,
        history: HistoryCheck,
        ask_more: AskMore,
        forget: Callable[[bytes], None],
    ):
        self.candidates = candidates
        self.undecided = undecided
        self.output = output
        self.history = history
        self.ask_more = ask_more
        self.forget = forget
        self.directory = candidates.directory

    def give_up(self, state: SteeredFlow, segment: Segment) -> None:
        """Reset a flow that no target holds, if that is certain.

        A flow that its caller ends is left if not all targets were asked.
        While the store can't be reached, and shortly after, the live owner
        may be missing in the list of targets, and so may one that was listed
        since the store's last answer. The flow is not reset then: its last
        packet is kept, and the flow is decided on once the list is complete.
        """
        follower = self.output.follower
        if self.candidates.has_unasked(state, segment.entry):
            if segment.is_closing:
                self.output.count("end unheld")
                return
            if self.ask_more(state, segment, state.agent):
                return
        if state.has_lost_owner or follower.knows_all_targets(
            state.arrived_at
        ):
            self.reset(segment, "held by no target")
            return
        self.undecided.keep_until(segment, state.arrived_at)
        self.request_certainty()
        self.output.count("unheld")
        self.output.record(
            "flow_left",
            state.flow,
            "missed={} reason={!r}",
            len(state.non_owners),
            "not all targets may be listed yet",
        )

    def request_history(self) -> None:
        """Have the history read, unless it was read already."""
        if not self.output.follower.is_history_checked:
            self.history.request_check()

    def request_certainty(self) -> None:
        """Have read what decides on flows that no known target holds."""
        self.history.request_check()
        if self.output.follower.is_list_complete():
            self.history.confirmation.request()

    def reset(self, segment: Segment, reason: str) -> None:
        """Reset a flow that no target can hold."""
        self.forget(segment.flow)
        self.output.reset_flow(segment, reason)

    def retry_due(self) -> None:
        """Resume or reset undecided flows whose owners are known better.

        That is so once the list of targets is complete or has changed, which
        includes that leaving targets proved to have ended, or routes have.
        """
        follower = self.output.follower
        if len(self.undecided) and not follower.knows_all_targets(
            self.undecided.until
        ):
            self.request_certainty()
        oldest = self.directory.clock.now() - MAX_UNDECIDED_SECONDS
        changes = (
            self.directory.changes + follower.services.changes,
            follower.is_list_complete(),
            follower.known_until,
        )
        for segment in self.undecided.take_due(changes):
            # FlowCache.find would keep the idle flow from being dropped.
            state = self.output.flows.flows.get(segment.flow)
            if (
                state is None
                or not state.is_open
                or state.last_active_at < oldest
            ):
                self.undecided.drop(segment.flow)
            elif state.is_confirmed:
                self.retry_confirmed(state, segment)
            else:
                self.retry(state, segment)

    def retry_confirmed(self, state: SteeredFlow, segment: Segment) -> None:
        """Reset a flow if its leaving host has ended."""
        if self.directory.vanished.has_ended(state.agent):
            self.reset(segment, "its host has ended")
        elif not self.directory.vanished.is_leaving(state.agent):
            self.undecided.drop(state.flow)

    def retry(self, state: SteeredFlow, segment: Segment) -> None:
        """Resume or reset one undecided flow, if its owner is known better."""
        was_asked = bool(state.candidates)
        self.candidates.drop_gone(state)
        if state.candidates:
            return
        if self.ask_more(state, segment, state.agent):
            if not self.candidates.depends_on_probes(state):
                self.undecided.drop(state.flow)
        elif was_asked or self.output.follower.knows_all_targets(
            state.arrived_at
        ):
            self.give_up(state, segment)
