"""Selects the least loaded candidate for a new flow."""

from collections.abc import Iterable
from math import inf

from chicorycart.defaults import CHOICE_HYSTERESIS
from chicorycart.defaults import SENT_FLOW_WEIGHT
from chicorycart.placement.load import Load
from chicorycart.placement.load import LoadSource
from chicorycart.placement.load import PeerAgentLoads


class RecentForwards:
    """Counts the flows forwarded to a peer agent since its last heartbeat.

    Attributes
    ----------
    load : Load
        The load that the heartbeat reported.
    flows : int
        Flows forwarded to the peer agent since then.
    """

    __slots__ = ("load", "flows")

    def __init__(self, load: Load):
        self.load = load
        self.flows = 0


class LoadChoice:
    """Chooses between the agent's own target and the other candidates.

    The load of a peer agent is as old as its last heartbeat. Each flow
    forwarded to it since then is added to its load with the weight
    `SENT_FLOW_WEIGHT`, because other agents forward flows to it as well.
    Without this, one heartbeat of an idle target would attract every new
    flow until the next heartbeat.

    An idle own target always keeps the flow: if its capacity was measured
    too low, only new work can correct the measurement.

    Parameters
    ----------
    source : LoadSource
        Returns the load of the own target.
    peer_agent_loads : PeerAgentLoads
        Returns the last reported loads of the other targets.
    hysteresis : float
        Share by which a peer agent must be less loaded than the own target
        to get the flow.
    """

    __slots__ = ("source", "peer_agent_loads", "hysteresis", "recent_forwards")

    def __init__(
        self,
        source: LoadSource,
        peer_agent_loads: PeerAgentLoads,
        hysteresis: float = CHOICE_HYSTERESIS,
    ):
        self.source = source
        self.peer_agent_loads = peer_agent_loads
        self.hysteresis = hysteresis
        self.recent_forwards: dict[int, RecentForwards] = {}

    def choose(self, candidates: Iterable[int]) -> int | None:
        """Return the peer agent that gets a new flow; None keeps it here.

        Parameters
        ----------
        candidates : iterable of int
            Packed addresses of the peer agents that may get the flow.
        """
        best = None
        limit = self.own_limit()
        for agent in candidates:
            relative = self.relative_load_of(agent)
            if relative is not None and relative < limit:
                best, limit = agent, relative
        if best is not None:
            self.recent_forwards[best].flows += 1
        return best

    def own_limit(self) -> float:
        """Return the relative load below which a peer agent gets the flow."""
        own = self.source.current_load()
        if not own.takes_new_work or own.capacity <= 0:
            return inf
        if own.in_progress + own.queued == 0:
            return 0.0
        return own.relative_with(1) / (1 + self.hysteresis)

    def relative_load_of(self, agent: int) -> float | None:
        """Return the relative load of a peer agent with the flow added.

        None if its load is unknown, its capacity isn't positive or it takes
        no new work.
        """
        load = self.peer_agent_loads.load_of(agent)
        if load is None:
            self.recent_forwards.pop(agent, None)
            return None
        if not load.takes_new_work or load.capacity <= 0:
            return None
        recent = self.recent_forwards.get(agent)
        if recent is None or recent.load is not load:
            recent = self.recent_forwards[agent] = RecentForwards(load)
        return load.relative_with(1 + SENT_FLOW_WEIGHT * recent.flows)
