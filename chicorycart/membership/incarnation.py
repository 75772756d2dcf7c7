"""Numbers that order the lives of one process and its refutations."""

REFUTATION_BITS = 16
MILLISECONDS_PER_SECOND = 1_000


class Incarnation:
    """The incarnation of the own process.

    The high bits are the time at which the process started, so that a
    restarted one is newer without remembering anything. The low bits count
    the suspicions that it refuted.

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
        """Rise above a suspected incarnation.

        Returns
        -------
        bool
            False if the own incarnation was above it before.
        """
        if suspected < self.number:
            return False
        if is_restart(self.number, suspected):
            # The wall clock went back between two starts.
            start = suspected >> REFUTATION_BITS
            self.number = (start + 1) << REFUTATION_BITS
        else:
            self.number = suspected + 1
        return True


def is_restart(before: int, after: int) -> bool:
    """Tell whether two incarnations belong to different processes."""
    return before >> REFUTATION_BITS != after >> REFUTATION_BITS
