"""Chooses by real load which candidate takes an opening flow."""

from collections.abc import Iterable
from math import inf

from chicorycart.defaults import CHOICE_HYSTERESIS
from chicorycart.defaults import SENT_FLOW_WEIGHT
from chicorycart.placement.load import Load
from chicorycart.placement.load import LoadSource
from chicorycart.placement.load import PeerAgentLoads


class SentSince:
    """Flows passed on to a mate since a load was heard from it.

    Attributes
    ----------
    load : Load
        The load that was heard.
    flows : int
        Flows passed on to the mate since then.
    """

    __slots__ = ("load", "flows")

    def __init__(self, load: Load):
        self.load = load
        self.flows = 0


class LoadChoice:
    """Chooses between the agent's own target and the other candidates.

    The load of a mate is as old as its last heartbeat. What was passed on
    to it since then counts as work in progress there, and more than once,
    since other agents pass on flows to it too. So one heartbeat of an idle
    target does not draw every flow until the next one.

    An idle target keeps its flows, so that a strength measured too low is
    measured again.

    Parameters
    ----------
    source : LoadSource
        Knows the load of the own target.
    peer_agent_loads : PeerAgentLoads
        Knows the loads of the other targets, as they were last heard.
    hysteresis : float
        Share by which a mate must be less loaded to get the flow.
    """

    __slots__ = ("source", "peer_agent_loads", "hysteresis", "sent")

    def __init__(
        self,
        source: LoadSource,
        peer_agent_loads: PeerAgentLoads,
        hysteresis: float = CHOICE_HYSTERESIS,
    ):
        self.source = source
        self.peer_agent_loads = peer_agent_loads
        self.hysteresis = hysteresis
        self.sent: dict[int, SentSince] = {}

    def choose(self, candidates: Iterable[int]) -> int | None:
        """Return the mate that gets an opening flow, or None to keep it.

        Parameters
        ----------
        candidates : iterable of int
            Packed addresses of the mates that may get it.
        """
        best = None
        limit = self.own_limit()
        for agent in candidates:
            relative = self.relative_of(agent)
            if relative is not None and relative < limit:
                best, limit = agent, relative
        if best is not None:
            self.sent[best].flows += 1
        return best

    def own_limit(self) -> float:
        """Return the load below which a mate gets the flow."""
        own = self.source.current_load()
        if not own.takes_new_work or own.capacity <= 0:
            return inf
        if own.in_progress + own.queued == 0:
            return 0.0
        return own.relative_with(1) / (1 + self.hysteresis)

    def relative_of(self, agent: int) -> float | None:
        """Return the load of a mate with the flow added.

        None if the load is not known, says nothing, or the mate takes no
        new work.
        """
        load = self.peer_agent_loads.load_of(agent)
        if load is None:
            self.sent.pop(agent, None)
            return None
        if not load.takes_new_work or load.capacity <= 0:
            return None
        sent = self.sent.get(agent)
        if sent is None or sent.load is not load:
            sent = self.sent[agent] = SentSince(load)
        return load.relative_with(1 + SENT_FLOW_WEIGHT * sent.flows)
