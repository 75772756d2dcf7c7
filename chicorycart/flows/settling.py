"""Detects that an agent's knowledge of flow owners may be incomplete.

After a start, a change of the service or a pause of the process, an agent
may lack owner records and configuration versions until they have had time
to arrive.
"""

from chicorycart.clock import Clock
from chicorycart.defaults import HANDSHAKE_SECONDS
from chicorycart.defaults import PAUSE_SECONDS
from chicorycart.defaults import SETTLING_SECONDS
from chicorycart.flows.service_agents import ServiceAgents


class Settling:
    """Measures the time since the last start, change or pause.

    Parameters
    ----------
    clock : Clock
        Measures the time.
    service_agents : ServiceAgents
        Records when the service changed.

    Attributes
    ----------
    resumed_at : float
        When the process last started or resumed after a pause.
    ticked_at : float
        When `tick` was last called.
    """

    __slots__ = ("clock", "service_agents", "resumed_at", "ticked_at")

    def __init__(self, clock: Clock, service_agents: ServiceAgents):
        now = clock.now()
        self.clock = clock
        self.service_agents = service_agents
        self.resumed_at = now
        self.ticked_at = now

    def tick(self) -> None:
        """Detect a pause of the process; called every `TICK_SECONDS`.

        A gap above `PAUSE_SECONDS` between two calls means that the process
        did not run in between.
        """
        now = self.clock.now()
        if now - self.ticked_at > PAUSE_SECONDS:
            self.resumed_at = now
        self.ticked_at = now

    def is_settled(self) -> bool:
        """Return whether records and versions have had time to arrive.

        This also detects a pause that ended just now, before the process
        acts on knowledge from before the pause.
        """
        return self.measure_stable_time() >= SETTLING_SECONDS

    def is_established(self) -> bool:
        """Return whether every handshake from before the change has ended.

        Until then, another agent may have accepted a new flow as a
        candidate of the earlier state, and this agent may receive a repeat
        of its opening packet.
        """
        return self.measure_stable_time() >= HANDSHAKE_SECONDS

    def measure_stable_time(self) -> float:
        """Return the time since the last start, change or pause."""
        self.tick()
        since = max(self.resumed_at, self.service_agents.changed_at)
        return self.clock.now() - since
