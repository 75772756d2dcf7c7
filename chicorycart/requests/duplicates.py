"""Rejects a forwarded request that an agent has already accepted."""

from collections.abc import Callable
from heapq import heappop
from heapq import heappush

from chicorycart.defaults import MAX_DEADLINE_SECONDS
from chicorycart.defaults import MAX_SEEN_REQUESTS
from chicorycart.requests.errors import NotRunError
from chicorycart.requests.errors import OutcomeUnknownError


class DuplicateFilter:
    """Identifiers of accepted forwarded requests, until their deadlines.

    A duplicate past the deadline is rejected for being late, so identifiers
    are not needed for longer.

    Parameters
    ----------
    wall_clock : callable
        Returns the time in seconds since the epoch.

    Attributes
    ----------
    expiry : list
        Heap of deadlines (seconds since the epoch) and identifiers.
    """

    __slots__ = ("wall_clock", "identifiers", "expiry")

    def __init__(self, wall_clock: Callable[[], float]):
        self.wall_clock = wall_clock
        self.identifiers: set[str] = set()
        self.expiry: list[tuple[float, str]] = []

    def admit(self, identifier: str, deadline: float) -> None:
        """Accept a request, unless it is a duplicate.

        Raises
        ------
        NotRunError
            If its deadline has passed or is too far ahead, or if
            `MAX_SEEN_REQUESTS` identifiers are held.
        OutcomeUnknownError
            If it was accepted before and may have been run.
        """
        now = self.wall_clock()
        self.expire(now)
        if not now < deadline <= now + MAX_DEADLINE_SECONDS:
            raise NotRunError("the forwarded request is past its deadline")
        if identifier in self.identifiers:
            raise OutcomeUnknownError("the request was taken before")
        if len(self.identifiers) >= MAX_SEEN_REQUESTS:
            raise NotRunError("too many forwarded requests")
        self.identifiers.add(identifier)
        heappush(self.expiry, (deadline, identifier))

    def expire(self, now: float) -> None:
        """Remove the identifiers whose deadline has passed."""
        while self.expiry and self.expiry[0][0] <= now:
            self.identifiers.discard(heappop(self.expiry)[1])
