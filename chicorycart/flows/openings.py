"""Remembers where opening flows were placed, so that repeats follow."""

from collections import OrderedDict

from chicorycart.clock import Clock
from chicorycart.defaults import HANDSHAKE_SECONDS
from chicorycart.defaults import MAX_OPENINGS


class Opening:
    """What is remembered of an opening flow, and until when.

    Attributes
    ----------
    agent : int or None
        Packed address of the agent it was placed at, if it was placed.
    requesters : dict of int to int
        Packed addresses of agents that asked for its owner, with the number
        of the question; one of them may have accepted it since.
    expiry : float
        When this is forgotten.
    """

    __slots__ = ("agent", "requesters", "expiry")

    def __init__(self, agent: int | None, expiry: float):
        self.agent = agent
        self.requesters: dict[int, int] = {}
        self.expiry = expiry


class OpeningMemory:
    """Placements of opening flows that went to other agents.

    Parameters
    ----------
    clock : Clock
        Ages the placements.
    """

    __slots__ = ("clock", "openings")

    def __init__(self, clock: Clock):
        self.clock = clock
        self.openings: OrderedDict[bytes, Opening] = OrderedDict()

    def remember(self, flow: bytes, agent: int | None) -> None:
        """Remember the agent (packed address) that the flow was sent to."""
        expiry = self.clock.now() + HANDSHAKE_SECONDS
        self.openings[flow] = Opening(agent, expiry)
        self.openings.move_to_end(flow)
        while len(self.openings) > MAX_OPENINGS:
            self.openings.popitem(last=False)

    def find(self, flow: bytes) -> Opening | None:
        """Return what is remembered of the flow."""
        opening = self.openings.get(flow)
        if opening is None or opening.expiry <= self.clock.now():
            return None
        return opening

    def recall(self, flow: bytes) -> int | None:
        """Return the agent that the flow was sent to, if remembered."""
        opening = self.find(flow)
        return opening.agent if opening else None

    def note_query(self, flow: bytes, requester: int, number: int) -> None:
        """Remember that another agent may take the flow."""
        if self.recall(flow) is not None:
            return
        opening = self.find(flow)
        requesters = opening.requesters if opening else {}
        self.remember(flow, None)
        last = requesters.get(requester, number)
        self.openings[flow].requesters = {
            **requesters,
            requester: max(last, number),
        }

    def list_requesters(self, flow: bytes) -> list[int]:
        """Return the agents that may have taken the flow."""
        opening = self.find(flow)
        return sorted(opening.requesters) if opening else []

    def pop_requesters(self, flow: bytes) -> dict[int, int]:
        """Return and forget who asked, with the number of the question."""
        opening = self.find(flow)
        if opening is None or opening.agent is not None:
            return {}
        del self.openings[flow]
        return opening.requesters
