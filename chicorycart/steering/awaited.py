"""Flows of which targets were asked that have yet to answer."""

from collections import OrderedDict

from chicorycart.clock import Clock
from chicorycart.steering.flows import SteeredFlow
from chicorycart.steering.limits import LATE_TIMER_SECONDS
from chicorycart.steering.limits import MAX_PARKED
from chicorycart.steering.limits import REMINDER_SECONDS
from chicorycart.steering.limits import RESUME_SECONDS


class AwaitedAnswers:
    """Notes which flows wait for answers of targets, and for how long.

    Parameters
    ----------
    clock : Clock
        Measures the silence of targets.

    Attributes
    ----------
    flows : OrderedDict of bytes to SteeredFlow
        The flows, in the order in which their targets were asked.
    looked_at : float
        Time of the last call of `take_silent`.
    """

    __slots__ = ("clock", "flows", "looked_at")

    def __init__(self, clock: Clock):
        self.clock = clock
        self.flows: OrderedDict[bytes, SteeredFlow] = OrderedDict()
        self.looked_at = 0.0

    def expect(self, state: SteeredFlow) -> None:
        """Note that targets were just asked for a flow."""
        state.answer_due_at = self.clock.now() + REMINDER_SECONDS
        self.flows[state.flow] = state
        self.flows.move_to_end(state.flow)
        if len(self.flows) > MAX_PARKED:
            self.flows.popitem(last=False)

    def count(self) -> int:
        """Return how many targets are expected to answer soon."""
        return sum(len(state.awaited) for state in self.flows.values())

    def take_silent(self) -> list[SteeredFlow]:
        """Return, and remove, the flows whose targets are silent.

        A balancer that is late itself may have their answers still to read,
        so it takes none of them for silent.
        """
        now = self.clock.now()
        is_late = now - self.looked_at > RESUME_SECONDS + LATE_TIMER_SECONDS
        self.looked_at = now
        silent = []
        for state in list(self.flows.values()):
            if now < state.answer_due_at:
                break
            if not state.awaited:
                del self.flows[state.flow]
            elif not is_late:
                del self.flows[state.flow]
                silent.append(state)
        return silent
