"""Asks the store, on demand, for changes that are not known yet."""

from asyncio import Event
from asyncio import sleep

from chicorycart.operation.events import EventLog
from chicorycart.steering.errors import StoreError
from chicorycart.steering.follow import StoreFollower
from chicorycart.steering.limits import ANSWER_SECONDS
from chicorycart.steering.limits import CONFIRMATION_SECONDS
from chicorycart.steering.limits import MAX_CONFIRMATION_SECONDS
from chicorycart.steering.limits import MAX_GATHERED
from chicorycart.steering.published import Changes
from chicorycart.steering.published import PublishedStore


class ChangeConfirmation:
    """Confirms that no change in the store is missing, at a known time.

    Only an answer proves something: all changes are known up to the time at
    which the answered question was asked. A watch that is not answered yet
    proves nothing, since its answer may be under way. So a decision that
    rests on the absence of a target asks for past changes of hosts' entries,
    which the store answers at once. Configurations are not read: one of a
    megabyte, read several times a second, holds up all other changes on a
    thin link.

    Parameters
    ----------
    store : PublishedStore
        Where the changes are read.
    follower : StoreFollower
        Applies the changes; its `known_until` is updated.
    events : EventLog
        Logs calls without a result.

    Attributes
    ----------
    requested : Event
        Set while a decision waits for a confirmation.
    pause_seconds : float
        Time until the next call; it doubles after each failed one.
    """

    __slots__ = (
        "store",
        "follower",
        "events",
        "requested",
        "pause_seconds",
    )

    def __init__(
        self,
        store: PublishedStore,
        follower: StoreFollower,
        events: EventLog,
    ):
        self.store = store
        self.follower = follower
        self.events = events
        self.requested = Event()
        self.pause_seconds = CONFIRMATION_SECONDS

    def request(self) -> None:
        """Ask the store soon, since a decision waits for its answer."""
        self.requested.set()

    async def run(self) -> None:
        """Confirm what is known whenever that is requested."""
        while True:
            await self.requested.wait()
            self.requested.clear()
            await self.confirm()
            await sleep(self.pause_seconds)

    async def confirm(self) -> None:
        """Read the changes since the follower's position and apply them."""
        follower = self.follower
        if follower.unreachable_since is not None or not follower.can_watch:
            return
        position = (follower.era, follower.revision, follower.reachable_since)
        asked_at = follower.clock.now()
        follower.calls += 1
        try:
            changes = await self.store.read_changes(
                follower.revision, ANSWER_SECONDS
            )
        except StoreError as error:
            self.pause_seconds = min(
                2 * self.pause_seconds, MAX_CONFIRMATION_SECONDS
            )
            self.events.record(
                "changes_unconfirmed", "reason={!r}", str(error)
            )
            return
        self.pause_seconds = CONFIRMATION_SECONDS
        if not self.is_usable(changes, position):
            return
        # What the follower has read since may have come by a full read, after
        # which an older change would bring back what was removed.
        if changes.revision > follower.revision:
            for change in changes.listings:
                follower.directory.apply(change)
        if is_whole(changes, position[1]):
            follower.known_until = max(follower.known_until, asked_at)
        else:
            follower.request_call()

    def is_usable(
        self, changes: Changes, position: tuple[int, int, float]
    ) -> bool:
        """Tell whether an answer continues what the follower knows.

        Parameters
        ----------
        changes : Changes
            The answer.
        position : tuple of (int, int, float)
            Era and revision from which the changes were asked for, and the
            time since which the store had been in reach.
        """
        era, revision, reachable_since = position
        return (
            changes.era == self.follower.era == era
            and changes.revision >= revision
            and self.follower.unreachable_since is None
            and self.follower.reachable_since == reachable_since
        )


def is_whole(changes: Changes, revision: int) -> bool:
    """Tell whether an answer names every change in the store.

    Each change raises the revision by one. If some were not of hosts' entries,
    a new configuration may name a service that holds flows; the follower reads
    it with its next watch. A long answer is cut.

    Parameters
    ----------
    changes : Changes
        Changes of hosts' entries.
    revision : int
        Revision after which they were asked for.
    """
    count = len(changes.listings)
    return count < MAX_GATHERED and changes.revision - revision == count
