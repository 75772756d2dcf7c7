"""Finds out from the store's history whether a live host may be unlisted."""

from asyncio import Event
from asyncio import sleep

from logbook import Logger

from chicorycart.operation.events import EventLog
from chicorycart.steering.confirmation import ChangeConfirmation
from chicorycart.steering.directory import Directory
from chicorycart.steering.errors import StoreError
from chicorycart.steering.errors import StoreRestoredError
from chicorycart.steering.follow import StoreFollower
from chicorycart.steering.history_reader import History
from chicorycart.steering.history_reader import HistoryReader
from chicorycart.steering.limits import GATHER_SECONDS
from chicorycart.steering.published import ListingChange
from chicorycart.steering.published import PublishedStore
from chicorycart.steering.vanished_hosts import find_last_entries
from chicorycart.steering.vanished_hosts import find_vanished_hosts
from chicorycart.steering.vanished_hosts import is_full_restart
from chicorycart.steering.vanished_hosts import VanishedHosts

LOGGER = Logger("store")


class HistoryCheck:
    """Checks by the store's history whether all live targets are known.

    It is read when a flow seems to be held by no host.

    Parameters
    ----------
    store : PublishedStore
        Where the history is read.
    directory : Directory
        Records the hosts that may be alive although they are not listed.
    follower : StoreFollower
        Its `is_proven_complete` is set once every live target is known.

    Attributes
    ----------
    confirmation : ChangeConfirmation
        Confirms that no change since is missing.
    changes : list of ListingChange
        The part of the history that was read last.
    is_from_start : bool
        Whether it goes back to the first change of the store.
    evaluated : tuple of (int, bool) or None
        Number of the directory's changes, and whether lost entries might be
        missing, when the present entries were last compared with it.
    """

    __slots__ = (
        "reader",
        "confirmation",
        "directory",
        "follower",
        "check_requested",
        "changes",
        "is_from_start",
        "evaluated",
    )

    def __init__(
        self,
        store: PublishedStore,
        directory: Directory,
        follower: StoreFollower,
    ):
        self.reader = HistoryReader(store, follower)
        self.confirmation = ChangeConfirmation(
            store, follower, EventLog("store", follower.clock)
        )
        self.directory = directory
        self.follower = follower
        self.check_requested = Event()
        self.changes: list[ListingChange] = []
        self.is_from_start = False
        self.evaluated: tuple[int, bool] | None = None

    def request_check(self) -> None:
        """Check again whether all live targets are known.

        The history is read at most once after each return of the store; then
        only the present entries are compared with it.
        """
        if not self.follower.is_history_checked:
            self.check_requested.set()
        elif not self.follower.is_proven_complete:
            known = (self.directory.changes, self.follower.is_relisting())
            if known != self.evaluated:
                self.evaluated = known
                self.evaluate()

    async def run(self) -> None:
        """Read the history whenever a check is requested."""
        while True:
            await self.check_requested.wait()
            self.check_requested.clear()
            if not self.follower.is_history_checked:
                await self.check()

    async def check(self) -> None:
        """Look for vanished hosts as far back as the store has its history."""
        follower = self.follower
        reachable_since = follower.reachable_since
        revision = follower.revision
        try:
            history = await self.reader.read(revision)
        except StoreRestoredError as error:
            LOGGER.warning(
                "event=history_unread revision={} reason={!r}",
                revision,
                str(error),
            )
            # The follower has yet to read everything anew.
            await sleep(GATHER_SECONDS)
            return
        except StoreError as error:
            history = History(revision, [])
            LOGGER.warning(
                "event=history_unread revision={} reason={!r}",
                revision,
                str(error),
            )
        self.changes = [self.screen(change) for change in history.changes]
        self.is_from_start = history.after == 0
        if reachable_since != follower.reachable_since:
            # The store was unreachable or restored meanwhile, so the result
            # is outdated.
            return
        follower.is_history_checked = True
        self.evaluated = None
        vanished = self.evaluate()
        for listing in vanished.hosts:
            self.directory.record_vanished(listing)
        for listing in vanished.leaving:
            self.directory.record_vanished(listing, was_draining=True)
        self.record_unconfigured(history.changes)
        LOGGER.info(
            "event=history_read after={} revision={} changes={} absent={}"
            " leaving={} unknown={} complete={}",
            history.after,
            revision,
            len(self.changes),
            ",".join(listing.name for listing in vanished.hosts),
            ",".join(listing.name for listing in vanished.leaving),
            ",".join(vanished.unlocated),
            follower.is_proven_complete,
        )

    def record_unconfigured(self, changes: list[ListingChange]) -> None:
        """Record the unlisted hosts of services that are not configured."""
        directory = self.directory
        directory.unconfigured.admit()
        for name, listing in find_last_entries(changes).items():
            if (
                listing is not None
                and listing.service not in directory.configured_services
                and name not in directory.members
                and name not in directory.unused.by_name
            ):
                directory.unconfigured.record_removed(listing)

    def screen(self, change: ListingChange) -> ListingChange:
        """Return a change, without its entry if that names no target."""
        reason = self.directory.find_fault(change)
        if change.listing is None or not reason:
            return change
        return ListingChange(change.name, change.revision, None, reason)

    def evaluate(self) -> VanishedHosts:
        """Update the follower's `is_proven_complete`.

        Just after a restore, hosts that are in no history may be unlisted.

        Returns
        -------
        VanishedHosts
            The hosts that may be alive although they are not listed.
        """
        present = self.directory.list_present()
        listed = [member.listing for member in present]
        vanished = find_vanished_hosts(
            self.changes, listed, self.is_from_start
        )
        # A host that the directory knew was handled at its removal.
        vanished.unlocated = [
            name
            for name in vanished.unlocated
            if not self.directory.was_known(name)
        ]
        taken_over = sum(
            m.took_over_address and m.takes_new_work for m in present
        )
        has_restarted = is_full_restart(
            self.changes, listed, taken_over, vanished.unlocated
        )
        is_proven = vanished.are_all_known or has_restarted
        self.follower.is_proven_complete = (
            is_proven and not self.follower.is_relisting()
        )
        return vanished
