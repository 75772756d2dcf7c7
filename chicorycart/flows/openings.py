"""Remembers at which agent a new flow was placed.

Callers repeat the opening packet of a flow until they get an answer. Each
copy must reach the agent that the first one was sent to.
"""

from collections import OrderedDict

from chicorycart.clock import Clock
from chicorycart.defaults import HANDSHAKE_SECONDS
from chicorycart.defaults import MAX_OPENINGS


class Opening:
    """The placement of one new flow and the queries for its owner.

    Attributes
    ----------
    agent : int or None
        Packed address of the agent that the flow was placed at, or None.
    requesters : dict of int to int
        Packed addresses of agents that queried for the owner, with the
        number of their last query. One of them may have accepted the flow.
    expiry : float
        Time at which this entry expires.
    """

    __slots__ = ("agent", "requesters", "expiry")

    def __init__(self, agent: int | None, expiry: float):
        self.agent = agent
        self.requesters: dict[int, int] = {}
        self.expiry = expiry


class OpeningMemory:
    """Placements of new flows at other agents, for a limited time.

    Parameters
    ----------
    clock : Clock
        Expires the placements.
    """

    __slots__ = ("clock", "openings")

    def __init__(self, clock: Clock):
        self.clock = clock
        self.openings: OrderedDict[bytes, Opening] = OrderedDict()

    def remember(self, flow: bytes, agent: int | None) -> None:
        """Store the agent (packed address) that the flow was sent to.

        The oldest entries are dropped above `MAX_OPENINGS`.
        """
        expiry = self.clock.now() + HANDSHAKE_SECONDS
        self.openings[flow] = Opening(agent, expiry)
        self.openings.move_to_end(flow)
        while len(self.openings) > MAX_OPENINGS:
            self.openings.popitem(last=False)

    def find(self, flow: bytes) -> Opening | None:
        """Return the entry of the flow unless it has expired."""
        opening = self.openings.get(flow)
        if opening is None or opening.expiry <= self.clock.now():
            return None
        return opening

    def recall(self, flow: bytes) -> int | None:
        """Return the agent that the flow was placed at, if known."""
        opening = self.find(flow)
        return opening.agent if opening else None

    def record_query(self, flow: bytes, requester: int, number: int) -> None:
        """Record an owner query; its sender may accept the flow."""
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
        """Return the agents that queried and may have accepted the flow."""
        opening = self.find(flow)
        return sorted(opening.requesters) if opening else []

    def pop_requesters(self, flow: bytes) -> dict[int, int]:
        """Remove and return the requesters with their query numbers."""
        opening = self.find(flow)
        if opening is None or opening.agent is not None:
            return {}
        del self.openings[flow]
        return opening.requesters
