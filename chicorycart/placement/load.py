"""The load of a target, as agents report it in their heartbeats."""

from typing import Protocol


class Load:
    """The work at one target at one moment.

    Attributes
    ----------
    in_progress : int
        Requests in progress, or open flows of a packet service.
    queued : int
        Requests that wait for a slot.
    capacity : float
        Work that the target completes a second when busy; estimated from
        the published weight until enough work has been measured.
    takes_new_work : bool
        Whether the target accepts new flows.
    """

    __slots__ = ("in_progress", "queued", "capacity", "takes_new_work")

    def __init__(
        self,
        in_progress: int,
        queued: int,
        capacity: float,
        takes_new_work: bool = True,
    ):
        self.in_progress = in_progress
        self.queued = queued
        self.capacity = capacity
        self.takes_new_work = takes_new_work

    @property
    def relative(self) -> float:
        """Work in progress and queued, per unit of capacity."""
        return self.relative_with(0)

    def relative_with(self, added: int) -> float:
        """Return the relative load after adding some flows."""
        return (self.in_progress + self.queued + added) / self.capacity


class LoadSource(Protocol):
    """Returns the load of the agent's own target."""

    def current_load(self) -> Load:
        """Return the current load."""


class PeerAgentLoads(Protocol):
    """Returns the loads of the other targets of the service."""

    def load_of(self, agent: int) -> Load | None:
        """Return the last load that an agent (packed address) reported.

        Every heartbeat gives a new object; between two heartbeats the same
        one is returned. None if no load was received within the lease.
        """
