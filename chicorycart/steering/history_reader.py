"""Reads the history of hosts' entries as far back as the store has it."""

from chicorycart.steering.errors import HistoryLostError
from chicorycart.steering.errors import StoreRestoredError
from chicorycart.steering.follow import StoreFollower
from chicorycart.steering.limits import HISTORY_CALLS
from chicorycart.steering.limits import HISTORY_STEP
from chicorycart.steering.published import ListingChange
from chicorycart.steering.published import PublishedStore

STEP_GROWTH = 8
"""Factor by which each step back in the history is longer than the last."""

MAX_GAP_DIVISOR = 8
"""Part of the length of the history, as a divisor, that may be left unread at
its discarded end, which moves on with each change anyway."""

UNKNOWN = -1


class History:
    """A part of the store's history.

    Attributes
    ----------
    after : int
        Revision after which it begins.
    changes : list of ListingChange
        All changes of hosts' entries after it, in order.
    """

    __slots__ = ("after", "changes")

    def __init__(self, after: int, changes: list[ListingChange]):
        self.after = after
        self.changes = changes


class HistoryReader:
    """Reads the store's history.

    An answer of the store holds a bounded number of changes, the first ones
    after the revision that was asked for, and its own revision is where the
    next one goes on.

    Parameters
    ----------
    store : PublishedStore
        Where the history is read.
    follower : StoreFollower
        Its era is the one to be read, and it counts the calls.

    Attributes
    ----------
    calls_left : int
        Calls that the present reading may still make.
    """

    __slots__ = ("store", "follower", "calls_left")

    def __init__(self, store: PublishedStore, follower: StoreFollower):
        self.store = store
        self.follower = follower
        self.calls_left = 0

    async def read(self, revision: int) -> History:
        """Return the changes since the earliest revision that is found.

        The first steps back are small, since most relevant changes are
        recent. The search goes on to about where the store has discarded its
        history, so that hosts that vanished earlier are found too.

        Parameters
        ----------
        revision : int
            Revision up to which the changes are known to the follower.

        Returns
        -------
        History
            The changes up to that revision at least; none if they take more
            than HISTORY_CALLS calls.

        Raises
        ------
        StoreRestoredError
            If an answer is of another era than the one followed, or the store
            has not reached the revision.
        StoreError
            If the store does not answer.
        """
        self.calls_left = HISTORY_CALLS
        history = History(revision, [])
        discarded = UNKNOWN
        step = HISTORY_STEP
        while self.calls_left and not is_early_enough(
            history.after, discarded, revision
        ):
            if discarded == UNKNOWN:
                after = max(0, history.after - step)
                step *= STEP_GROWTH
            else:
                after = (history.after + discarded) // 2
            try:
                found = await self.read_range(after, history.after)
            except HistoryLostError:
                discarded = after
                continue
            if found is None:
                break
            history = History(after, join_changes(found, history.changes))
        return history

    async def read_range(
        self, after: int, end: int
    ) -> list[ListingChange] | None:
        """Return the changes after a revision, at least up to another one.

        Returns
        -------
        list of ListingChange or None
            None if no call is left.
        """
        era = self.follower.era
        changes: list[ListingChange] = []
        position = after
        while position < end:
            if not self.calls_left:
                return None
            self.calls_left -= 1
            self.follower.calls += 1
            found = await self.store.read_changes(
                position, self.follower.overlapping.answer_seconds
            )
            # A store that was restored may name no era.
            if found.era != era or found.revision <= position:
                raise StoreRestoredError(
                    f"era {era} at revision {end} is followed, found era"
                    f" {found.era} at revision {found.revision}"
                )
            changes += found.listings
            position = found.revision
        return changes


def is_early_enough(after: int, discarded: int, revision: int) -> bool:
    """Tell whether a history goes back about as far as the store has it.

    Parameters
    ----------
    after : int
        Revision after which the history begins.
    discarded : int
        Latest revision after which the store has discarded changes, as far as
        is known; UNKNOWN if none is.
    revision : int
        Last revision of the history.
    """
    if after <= 0:
        return True
    gap = after - discarded
    return discarded != UNKNOWN and gap <= max(
        1, (revision - after) // MAX_GAP_DIVISOR
    )


def join_changes(
    earlier: list[ListingChange], later: list[ListingChange]
) -> list[ListingChange]:
    """Join two ranges of changes of which the first may overlap the second."""
    if not later:
        return earlier
    first = later[0].revision
    return [*(c for c in earlier if c.revision < first), *later]
