"""Decides whether and when a second attempt is sent for a slow first one.

Both uses, requests at the gateway and opening packets at a balancer, take
their decisions here; nothing in this module sends anything.
"""

from bisect import bisect_left
from bisect import insort
from collections import deque
from enum import StrEnum
from typing import Protocol

from chicorycart.clock import Clock

MAX_HEDGE_SHARE = 0.25
"""Highest share of first attempts that settings may allow as hedges. At the
0.95 quantile a twentieth of the attempts calls for one; the rest is for a
part of the targets being slow."""

HEDGE_QUANTILE = 0.95
"""Quantile of the observed times after which a hedge is sent."""

OBSERVED_TIMES = 1_000
"""Times that the quantile is taken from."""

MIN_OBSERVED_TIMES = 100
"""Times before the first hedge; of fewer, the quantile rests on less than
five slow attempts."""

RECENT_TIMES = 100
"""Times whose median shows whether everything has become slow."""

SLOWDOWN_RATIO = 2.0
"""Ratio of the recent median to that of all observed times from which
everything counts as slow."""

JUDGED_HEDGES = 50
"""Hedges whose outcomes show whether hedging helps."""

MIN_WON_SHARE = 0.1
"""Share of these hedges that must win."""

STOP_SECONDS = 5.0
"""Time without hedges after they were found not to help."""

BUDGET_SECONDS = 1.0
"""Length of the sliding window of the budget."""


class HedgeOutcome(StrEnum):
    """Outcome of a call for a hedge, and of a hedge that was sent."""

    SENT = "sent"
    WON = "won"
    LOST = "lost"
    OVER_BUDGET = "over_budget"
    STOPPED = "stopped"


class Count(Protocol):
    """A counter."""

    def inc(self) -> None:
        """Count one more."""


class OutcomeCounter(Protocol):
    """Counts hedges by their outcome."""

    def labels(self, value: str) -> Count:
        """Return the counter of one outcome."""


class RecentTimes:
    """The last observed times, sorted for their quantiles.

    Parameters
    ----------
    limit : int
        Times that are kept; the oldest is dropped first.
    """

    __slots__ = ("limit", "by_age", "by_length")

    def __init__(self, limit: int):
        self.limit = limit
        self.by_age: deque[float] = deque()
        self.by_length: list[float] = []

    def __len__(self) -> int:
        return len(self.by_age)

    def add(self, seconds: float) -> None:
        """Add the newest time."""
        self.by_age.append(seconds)
        insort(self.by_length, seconds)
        if len(self.by_age) > self.limit:
            oldest = self.by_age.popleft()
            del self.by_length[bisect_left(self.by_length, oldest)]

    def find_quantile(self, share: float) -> float:
        """Return the lowest time that at least a share does not exceed."""
        return self.by_length[int(share * (len(self.by_length) - 1))]


class HedgePolicy:
    """Says when to hedge, and allows hedges within a budget.

    Parameters
    ----------
    clock : Clock
        Measures the budget's window and the stops.
    share : float
        Hedges per first attempt, 0 to `MAX_HEDGE_SHARE`. In the second up to
        any moment there are at most that many. So in any other second, too,
        there are at most that share of the first attempts of the second
        that ends with its last hedge.
    outcomes : OutcomeCounter
        Counts hedges by their outcome.

    Attributes
    ----------
    times : RecentTimes
        Observed times of first attempts, in seconds.
    recent : RecentTimes
        The last of them.
    first_attempts, hedges : deque of float
        When those of the last second were sent.
    verdicts : deque of bool
        Whether each of the last hedges won.
    stopped_until : float
        Time until which no hedge is sent.
    """

    __slots__ = (
        "clock",
        "share",
        "outcomes",
        "times",
        "recent",
        "first_attempts",
        "hedges",
        "verdicts",
        "stopped_until",
    )

    def __init__(self, clock: Clock, share: float, outcomes: OutcomeCounter):
        self.clock = clock
        self.share = share
        self.outcomes = outcomes
        self.times = RecentTimes(OBSERVED_TIMES)
        self.recent = RecentTimes(RECENT_TIMES)
        self.first_attempts: deque[float] = deque()
        self.hedges: deque[float] = deque()
        self.verdicts: deque[bool] = deque(maxlen=JUDGED_HEDGES)
        self.stopped_until = float("-inf")

    @property
    def delay_seconds(self) -> float | None:
        """Time after which a first attempt calls for a hedge.

        None while too few times were observed.
        """
        if len(self.times) < MIN_OBSERVED_TIMES:
            return None
        return self.times.find_quantile(HEDGE_QUANTILE)

    def record_first_attempt(self) -> None:
        """Record that a first attempt is sent; it adds to the budget."""
        now = self.clock.now()
        self.first_attempts.append(now)
        drop_before(self.first_attempts, now - BUDGET_SECONDS)

    def record_time(self, seconds: float) -> None:
        """Record how long a first attempt took."""
        self.times.add(seconds)
        self.recent.add(seconds)

    def record_unfinished(self, seconds: float) -> None:
        """Record a first attempt that was given up without an answer.

        Left out, the slowest attempts would be missing from the quantile,
        which would fall with each hedge that wins. One that was given up
        before the quantile says nothing.
        """
        delay = self.delay_seconds
        if delay is not None and seconds >= delay:
            self.record_time(seconds)

    def acquire(self) -> bool:
        """Take a hedge from the budget; False if it must not be sent."""
        now = self.clock.now()
        outcome = self.judge(now)
        if outcome is HedgeOutcome.SENT:
            self.hedges.append(now)
        self.outcomes.labels(outcome).inc()
        return outcome is HedgeOutcome.SENT

    def judge(self, now: float) -> HedgeOutcome:
        """Return whether a hedge may be sent, or why not."""
        if now >= self.stopped_until and self.is_everything_slow:
            self.stopped_until = now + STOP_SECONDS
        if now < self.stopped_until:
            return HedgeOutcome.STOPPED
        drop_before(self.first_attempts, now - BUDGET_SECONDS)
        drop_before(self.hedges, now - BUDGET_SECONDS)
        if len(self.hedges) + 1 > self.share * len(self.first_attempts):
            return HedgeOutcome.OVER_BUDGET
        return HedgeOutcome.SENT

    @property
    def is_everything_slow(self) -> bool:
        """Whether the last times are far above the usual ones."""
        if len(self.recent) < RECENT_TIMES:
            return False
        usual = self.times.find_quantile(0.5)
        return self.recent.find_quantile(0.5) > SLOWDOWN_RATIO * usual

    def record_verdict(self, has_won: bool) -> None:
        """Record whether a hedge won; stop hedging if too few did.

        After the stop, hedges are judged anew.
        """
        outcome = HedgeOutcome.WON if has_won else HedgeOutcome.LOST
        self.outcomes.labels(outcome).inc()
        self.verdicts.append(has_won)
        if len(self.verdicts) < JUDGED_HEDGES:
            return
        if sum(self.verdicts) < MIN_WON_SHARE * JUDGED_HEDGES:
            self.stopped_until = self.clock.now() + STOP_SECONDS
            self.verdicts.clear()


def drop_before(times: deque[float], oldest: float) -> None:
    """Drop the times before some time; they are in ascending order."""
    while times and times[0] < oldest:
        times.popleft()
