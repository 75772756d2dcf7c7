"""Tells whether an agent's knowledge of owners may be incomplete."""

from chicorycart.clock import Clock
from chicorycart.defaults import HANDSHAKE_SECONDS
from chicorycart.defaults import PAUSE_SECONDS
from chicorycart.defaults import SETTLING_SECONDS
from chicorycart.flows.service_agents import ServiceAgents


class Settling:
    """The times after a start, a change and a pause.

    Parameters
    ----------
    clock : Clock
        Measures them.
    service_agents : ServiceAgents
        Tells when the service changed.

    Attributes
    ----------
    resumed_at : float
        When the process last started or woke from a pause.
    ticked_at : float
        When the process last showed that it runs.
    """

    __slots__ = ("clock", "service_agents", "resumed_at", "ticked_at")

    def __init__(self, clock: Clock, service_agents: ServiceAgents):
        now = clock.now()
        self.clock = clock
        self.service_agents = service_agents
        self.resumed_at = now
        self.ticked_at = now

    def tick(self) -> None:
        """Note that the process runs; called at short intervals."""
        now = self.clock.now()
        if now - self.ticked_at > PAUSE_SECONDS:
            self.resumed_at = now
        self.ticked_at = now

    def is_settled(self) -> bool:
        """Tell whether records and versions have had time to arrive.

        A process that was paused finds this out here before it acts on
        what it believed before.
        """
        return self.measure_quiet() >= SETTLING_SECONDS

    def is_established(self) -> bool:
        """Tell whether no handshake can have begun before the last change.

        Until then another agent may have accepted, in its turn, an opening
        flow that this agent now gets first.
        """
        return self.measure_quiet() >= HANDSHAKE_SECONDS

    def measure_quiet(self) -> float:
        """Return the time since the last start, change or pause."""
        self.tick()
        since = max(self.resumed_at, self.service_agents.changed_at)
        return self.clock.now() - since
