"""Incarnation numbers, which order the restarts of a process."""

REFUTATION_BITS = 16
MILLISECONDS_PER_SECOND = 1_000


class Incarnation:
    """The incarnation number of the own process.

    The high bits are the start time of the process in milliseconds, so that
    a restarted process has a higher number without any stored state. The low
    `REFUTATION_BITS` bits count the suspicions that it refuted.

    Parameters
    ----------
    started_seconds : float
        Wall-clock time of the start, in seconds since the epoch.
    """

    __slots__ = ("number",)

    def __init__(self, started_seconds: float):
        milliseconds = int(started_seconds * MILLISECONDS_PER_SECOND)
        self.number = milliseconds << REFUTATION_BITS

    def refute(self, suspected: int) -> bool:
        """Raise the number above a suspected incarnation.

        Returns
        -------
        bool
            False if the number was already higher.
        """
        if suspected < self.number:
            return False
        if is_restart(self.number, suspected):
            # The wall clock was set back between two starts, so the number
            # of the earlier process is higher than the own one.
            start = suspected >> REFUTATION_BITS
            self.number = (start + 1) << REFUTATION_BITS
        else:
            self.number = suspected + 1
        return True


def is_restart(before: int, after: int) -> bool:
    """Return whether two incarnations belong to different processes."""
    return before >> REFUTATION_BITS != after >> REFUTATION_BITS
