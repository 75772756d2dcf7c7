"""Limits the openings that an agent passes on to a host that warms up.

It stands apart from `cold`, so that agents load no module of balancers.
"""

from collections import deque

from chicorycart.clock import Clock
from chicorycart.steering.limits import COLD_WINDOW_SECONDS
from chicorycart.steering.limits import ENTRY_DELAY_SECONDS
from chicorycart.steering.limits import JOINT_START_SECONDS
from chicorycart.steering.limits import LIMIT_MEMORY_SECONDS
from chicorycart.steering.limits import RESTART_SILENCE_SECONDS
from chicorycart.steering.messages import MAX_COUNT
from chicorycart.units import MILLISECONDS


class ColdLimit:
    """Limits the openings that an agent passes on to its cold host.

    The agent alone sees the packets of all balancers, so it decides. Openings
    are counted while the host is warm too: a host that starts at an address
    may become cold at any time.

    A host that was silent may have restarted. Until balancers have read its
    new entry, they send it as much as before, so it gets no openings for
    ENTRY_DELAY_SECONDS, unless a balancer tells its cold time. A host that is
    silent while its agent has just started has started with it, and balancers
    have read nothing of its predecessor.

    Parameters
    ----------
    clock : Clock
        Measures the window and the cold time.
    is_on : bool
        Whether the settings call for limits.

    Attributes
    ----------
    started_at : float
        Start of the agent. What its predecessor passed on is not known.
    cold_until : float
        Latest end of the cold time that a balancer told.
    unknown_until : float
        Time until which a host that was silent may be cold although no
        balancer tells so.
    limits : deque of (float, int)
        Limits that balancers told, with the time: each is lower than all
        after it, so that the first is the lowest. The last one stays.
    passed : deque of float
        Times of the openings passed on within the window. At most MAX_COUNT
        are kept, the highest limit.
    """

    __slots__ = (
        "clock",
        "is_on",
        "started_at",
        "cold_until",
        "unknown_until",
        "limits",
        "passed",
    )

    def __init__(self, clock: Clock, is_on: bool):
        self.clock = clock
        self.is_on = is_on
        self.started_at = clock.now()
        self.cold_until = self.started_at
        self.unknown_until = self.started_at
        self.limits: deque[tuple[float, int]] = deque()
        self.passed: deque[float] = deque(maxlen=MAX_COUNT)

    def record_notice(self, cold_ms: int, per_second: int) -> None:
        """Record what a balancer told of the cold host.

        Parameters
        ----------
        cold_ms : int
            Rest of the cold time in milliseconds; 0 if the balancer does not
            take the host as cold.
        per_second : int
            Openings that the host may get in a second.
        """
        if not cold_ms:
            return
        now = self.clock.now()
        self.cold_until = max(self.cold_until, now + cold_ms / MILLISECONDS)
        while self.limits and self.limits[-1][1] >= per_second:
            self.limits.pop()
        self.limits.append((now, per_second))

    def record_contact(self, silent_seconds: float) -> None:
        """Record that the host was heard.

        Parameters
        ----------
        silent_seconds : float
            Time for which it had left an opening packet unanswered.
        """
        if not self.is_on or silent_seconds < RESTART_SILENCE_SECONDS:
            return
        now = self.clock.now()
        if now - self.started_at >= JOINT_START_SECONDS:
            self.unknown_until = now + ENTRY_DELAY_SECONDS

    def record_passed(self) -> None:
        """Record that an opening was passed on.

        It is called after the packet was sent, so that a process that was
        stopped between the two does not count the packet too early.
        """
        now = self.clock.now()
        self.drop_old(now)
        self.passed.append(now)

    def find_wait_seconds(self) -> float:
        """Return the time until another opening may pass; 0 if it may now."""
        now = self.clock.now()
        if now >= self.cold_until:
            return max(0.0, self.unknown_until - now)
        self.drop_old(now)
        window = self.started_at + COLD_WINDOW_SECONDS - now
        if window <= 0:
            limit = self.find_limit(now)
            if len(self.passed) < limit:
                return 0.0
            window = COLD_WINDOW_SECONDS
            if limit:
                window += self.passed[-limit] - now
        return min(window, self.cold_until - now)

    def find_limit(self, now: float) -> int:
        """Return the lowest limit told within LIMIT_MEMORY_SECONDS.

        A balancer that has not read the host's entry tells none; then the
        last one holds.
        """
        while (
            len(self.limits) > 1
            and now - self.limits[0][0] > LIMIT_MEMORY_SECONDS
        ):
            self.limits.popleft()
        return self.limits[0][1]

    def drop_old(self, now: float) -> None:
        """Drop the openings that have fallen out of the window."""
        while self.passed and now - self.passed[0] >= COLD_WINDOW_SECONDS:
            self.passed.popleft()
