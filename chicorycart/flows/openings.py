"""Remembers where opening flows were placed, so that repeats follow."""

from collections import OrderedDict

from chicorycart.clock import Clock
from chicorycart.defaults import HANDSHAKE_SECONDS
from chicorycart.defaults import MAX_OPENINGS


class Opening:
    """Where an opening flow was sent, and until when this is remembered."""

    __slots__ = ("agent", "expiry")

    def __init__(self, agent: int, expiry: float):
        self.agent = agent
        self.expiry = expiry


class OpeningMemory:
    """Placements of opening flows that this agent passed on.

    Parameters
    ----------
    clock : Clock
        Ages the placements.
    """

    __slots__ = ("clock", "openings")

    def __init__(self, clock: Clock):
        self.clock = clock
        self.openings: OrderedDict[bytes, Opening] = OrderedDict()

    def remember(self, flow: bytes, agent: int) -> None:
        """Remember the agent (packed address) that the flow was sent to."""
        expiry = self.clock.now() + HANDSHAKE_SECONDS
        self.openings[flow] = Opening(agent, expiry)
        self.openings.move_to_end(flow)
        while len(self.openings) > MAX_OPENINGS:
            self.openings.popitem(last=False)

    def recall(self, flow: bytes) -> int | None:
        """Return the agent that the flow was sent to, if remembered."""
        opening = self.openings.get(flow)
        if opening is None or opening.expiry <= self.clock.now():
            return None
        return opening.agent
