"""Remembers which forwarded requests an agent has already taken."""

from collections.abc import Callable
from heapq import heappop
from heapq import heappush

from chicorycart.defaults import MAX_DEADLINE_SECONDS
from chicorycart.defaults import MAX_SEEN_REQUESTS
from chicorycart.requests.errors import NotRunError
from chicorycart.requests.errors import OutcomeUnknownError


class DuplicateFilter:
    """Identifiers of forwarded requests, each kept until its deadline.

    A copy that comes after the deadline is refused for being late, so an
    identifier need not be remembered any longer than that.

    Parameters
    ----------
    wall_clock : callable
        Returns the time in seconds since the epoch.
    """

    __slots__ = ("wall_clock", "identifiers", "expiry")

    def __init__(self, wall_clock: Callable[[], float]):
        self.wall_clock = wall_clock
        self.identifiers: set[str] = set()
        self.expiry: list[tuple[float, str]] = []

    def admit(self, identifier: str, deadline: float) -> None:
        """Take a request that has not been taken before.

        Raises
        ------
        NotRunError
            If it is late, or too many are remembered to take another.
        OutcomeUnknownError
            If it was taken before.
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
        """Forget the requests whose deadline has passed."""
        while self.expiry and self.expiry[0][0] <= now:
            self.identifiers.discard(heappop(self.expiry)[1])
