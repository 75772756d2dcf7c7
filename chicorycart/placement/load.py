"""How busy a target is, as agents tell each other."""

from typing import Protocol


class Load:
    """The work at one target at one moment.

    Attributes
    ----------
    in_progress : int
        Requests, or open flows of a packet service, that it works on.
    queued : int
        Requests that wait for a slot.
    capacity : float
        Work that the target gets done a second when busy, as measured, or
        as derived from the published weight until enough is measured.
    takes_new_work : bool
        Whether the target accepts opening flows.
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
        """Work in progress and queued for each unit of strength."""
        return self.relative_with(0)

    def relative_with(self, added: int) -> float:
        """Return the relative load with some flows added."""
        return (self.in_progress + self.queued + added) / self.capacity


class LoadSource(Protocol):
    """Something that knows the load of the agent's own target."""

    def current_load(self) -> Load:
        """Return the load at this moment."""


class PeerAgentLoads(Protocol):
    """Knows the loads of the other targets of the service."""

    def load_of(self, agent: int) -> Load | None:
        """Return the last load heard from an agent (packed address).

        Every heartbeat gives a new object; between two heartbeats the same
        one is returned. None if none was heard within the lease.
        """
