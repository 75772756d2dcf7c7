"""Logs events of one part, each kind within a budget of its own."""

from logbook import Logger

from chicorycart.clock import Clock
from chicorycart.pace import TokenBucket

LINES_PER_SECOND = 50.0
"""Lines of one kind a second; at 300 bytes a line, 15 KB/s a kind."""

LINES_BURST = 200.0
"""Lines of one kind at once; four seconds of the rate."""


class EventLog:
    """Writes events as lines of ``key=value``.

    Frequent kinds are cut at their rate, so that they crowd out no rare
    ones. The next line of a kind tells how many were left out.

    Parameters
    ----------
    part : str
        Part of the program that the lines name.
    clock : Clock
        Refills the budgets.
    """

    __slots__ = ("logger", "clock", "budgets", "omitted", "total_omitted")

    def __init__(self, part: str, clock: Clock):
        self.logger = Logger(part)
        self.clock = clock
        self.budgets: dict[str, TokenBucket] = {}
        self.omitted: dict[str, int] = {}
        self.total_omitted = 0

    def record(self, kind: str, text: str, *values: object) -> None:
        """Write one event, or count it where the budget is spent.

        Parameters
        ----------
        kind : str
            Name of the event.
        text : str
            The other fields, with braces for the values.
        """
        budget = self.budgets.get(kind)
        if budget is None:
            budget = TokenBucket(self.clock, LINES_PER_SECOND, LINES_BURST)
            self.budgets[kind] = budget
        if not budget.try_acquire(1):
            self.omitted[kind] = self.omitted.get(kind, 0) + 1
            self.total_omitted += 1
            return
        omitted = self.omitted.pop(kind, 0)
        if omitted:
            text += " omitted={}"
            values = (*values, omitted)
        self.logger.info("event={} " + text, kind, *values)
