"""Tells from the store's history whether a live target may be unlisted."""

from asyncio import Event
from collections.abc import Collection

from logbook import Logger

from chicorycart.steering.directory import Directory
from chicorycart.steering.errors import HistoryLostError
from chicorycart.steering.errors import StoreError
from chicorycart.steering.follow import StoreFollower
from chicorycart.steering.limits import HISTORY_CALLS
from chicorycart.steering.limits import HISTORY_PROOF_SECONDS
from chicorycart.steering.limits import HISTORY_STEP
from chicorycart.steering.limits import MIN_STARTED_HOSTS
from chicorycart.steering.limits import START_SPREAD_SECONDS
from chicorycart.steering.published import ENTRY_REMOVED
from chicorycart.steering.published import ListedState
from chicorycart.steering.published import Listing
from chicorycart.steering.published import ListingChange
from chicorycart.steering.published import PublishedStore
from chicorycart.units import MILLISECONDS

LOGGER = Logger("store")
STEP_GROWTH = 4
"""Times by which each step back in the history is longer than the last."""


class VanishedHosts:
    """The hosts that vanished from the store and may live.

    Attributes
    ----------
    hosts : list of Listing
        Those whose address is known.
    unknown : list of str
        Names of those whose address no change tells.
    covers_relisting : bool
        Whether any other host that lapsed has had the time to come back.
    """

    __slots__ = ("hosts", "unknown", "covers_relisting")

    def __init__(
        self, hosts: list[Listing], unknown: list[str], covers_relisting: bool
    ):
        self.hosts = hosts
        self.unknown = unknown
        self.covers_relisting = covers_relisting

    @property
    def are_all_known(self) -> bool:
        """Whether no live target is unlisted but the hosts named here."""
        return self.covers_relisting and not self.unknown


def find_vanished_hosts(
    changes: Collection[ListingChange],
    listed: Collection[Listing],
    is_from_start: bool,
) -> VanishedHosts:
    """Return which hosts may live although they are not listed.

    A host that left after draining is gone, and so is one whose address a
    younger host has. An entry that cannot be read names no host.

    Parameters
    ----------
    changes : collection of ListingChange
        All changes since some revision, in their order.
    listed : collection of Listing
        The entries after them.
    is_from_start : bool
        Whether the changes go back to the store's first one.
    """
    present = {listing.name for listing in listed}
    youngest = {
        listing.address.host: listing.incarnation for listing in listed
    }
    hosts = []
    unknown = []
    for name, listing in find_last_entries(changes).items():
        if name in present:
            continue
        if listing is None:
            unknown.append(name)
        elif listing.state is not ListedState.DRAINING and (
            youngest.get(listing.address.host, 0) <= listing.incarnation
        ):
            hosts.append(listing)
    covers_relisting = is_from_start or covers_relisting_time(changes, listed)
    return VanishedHosts(hosts, unknown, covers_relisting)


def find_last_entries(
    changes: Collection[ListingChange],
) -> dict[str, Listing | None]:
    """Return what was told last of each host; None if only its removal was."""
    last: dict[str, Listing | None] = {}
    unreadable = set()
    for change in changes:
        if change.listing is not None:
            last[change.name] = change.listing
        elif change.reason != ENTRY_REMOVED:
            unreadable.add(change.name)
        elif change.name not in unreadable:
            last.setdefault(change.name, None)
    return last


def covers_relisting_time(
    changes: Collection[ListingChange], listed: Collection[Listing]
) -> bool:
    """Tell whether changes go back beyond the time for lapsed hosts to return.

    The store does not date its changes. But an entry that tells that its
    host warms up was written soon after the start that it tells as well, and
    the latest start is in the past.
    """
    starts = [
        change.listing.incarnation
        for change in changes
        if change.listing is not None
        and change.listing.cold_seconds > 0
        and change.listing.incarnation
    ]
    if not starts:
        return False
    latest = max([*starts, *(listing.incarnation for listing in listed)])
    return latest - min(starts) >= HISTORY_PROOF_SECONDS * MILLISECONDS


def is_full_restart(
    changes: Collection[ListingChange],
    listed: Collection[Listing],
    taken_over: int,
    absent: Collection[str],
) -> bool:
    """Tell whether a deployment has just started again as a whole.

    Every host has been seen warming up then, they started together, and
    former entries still stood at the addresses of some. Those that vanished
    before are the former hosts of the others, if there are not more of them.

    Parameters
    ----------
    changes : collection of ListingChange
        What is known of the history.
    listed : collection of Listing
        The entries now.
    taken_over : int
        Ready hosts among them that took over the address of a former one.
    absent : collection of str
        Names of those that vanished and of which nothing else is known.
    """
    ready = [
        listing for listing in listed if listing.state is ListedState.READY
    ]
    if taken_over < MIN_STARTED_HOSTS:
        return False
    if len(absent) > len(ready) - taken_over:
        return False
    warming = {listing.name for listing in ready if listing.cold_seconds > 0}
    for change in changes:
        if change.listing is not None and change.listing.cold_seconds > 0:
            warming.add(change.name)
    starts = [listing.incarnation for listing in ready]
    spread = max(starts) - min(starts)
    return spread <= START_SPREAD_SECONDS * MILLISECONDS and all(
        listing.name in warming for listing in ready
    )


class HistoryCheck:
    """Reads the store's history when a flow seems to be held by no host.

    Parameters
    ----------
    store : PublishedStore
        Where the history is read.
    directory : Directory
        Takes the hosts that may live although they are not listed.
    follower : StoreFollower
        Told once every live target is known.

    Attributes
    ----------
    changes : list of ListingChange
        What was read last.
    is_from_start : bool
        Whether that goes back to the store's first change.
    """

    __slots__ = (
        "store",
        "directory",
        "follower",
        "check_requested",
        "changes",
        "is_from_start",
    )

    def __init__(
        self,
        store: PublishedStore,
        directory: Directory,
        follower: StoreFollower,
    ):
        self.store = store
        self.directory = directory
        self.follower = follower
        self.check_requested = Event()
        self.changes: list[ListingChange] = []
        self.is_from_start = False

    def request_check(self) -> None:
        """Judge anew, by the history as read since the store's return."""
        if not self.follower.is_history_checked:
            self.check_requested.set()
        elif not self.follower.is_proven_complete:
            self.evaluate()

    async def run(self) -> None:
        """Read the history as often as it is asked for."""
        while True:
            await self.check_requested.wait()
            self.check_requested.clear()
            if not self.follower.is_history_checked:
                await self.check()

    async def check(self) -> None:
        """Look for hosts that vanished, as far back as the store knows."""
        follower = self.follower
        reachable_since = follower.reachable_since
        revision = follower.revision
        try:
            after, self.changes = await self.read_history(revision)
        except StoreError as error:
            after, self.changes = revision, []
            LOGGER.warning(
                "event=history_unread revision={} reason={!r}",
                revision,
                str(error),
            )
        self.is_from_start = after == 0
        if reachable_since != follower.reachable_since:
            # What was read held before the store was lost again.
            return
        follower.is_history_checked = True
        vanished = self.evaluate()
        for listing in vanished.hosts:
            self.directory.record_vanished(listing)
        LOGGER.info(
            "event=history_read after={} revision={} changes={} absent={}"
            " unknown={} complete={}",
            after,
            revision,
            len(self.changes),
            ",".join(listing.name for listing in vanished.hosts),
            ",".join(vanished.unknown),
            follower.is_proven_complete,
        )

    def evaluate(self) -> VanishedHosts:
        """Tell the follower if every live target is known."""
        present = self.directory.list_present()
        listed = [member.listing for member in present]
        vanished = find_vanished_hosts(
            self.changes, listed, self.is_from_start
        )
        # The directory followed the others to their end.
        vanished.unknown = [
            name
            for name in vanished.unknown
            if not self.directory.was_known(name)
        ]
        taken_over = sum(
            m.took_over_address and m.takes_new_work for m in present
        )
        self.follower.is_proven_complete = (
            vanished.are_all_known
            or is_full_restart(
                self.changes, listed, taken_over, vanished.unknown
            )
        )
        return vanished

    async def read_history(
        self, revision: int
    ) -> tuple[int, list[ListingChange]]:
        """Return the earliest revision found that changes are known since.

        The steps back begin small, since most of what matters has just
        happened, and go on to where the store knows no more: a host that
        vanished before is missed otherwise.

        Raises
        ------
        StoreError
            If the store does not answer.
        """
        known, discarded = revision, -1
        changes: list[ListingChange] = []
        step = HISTORY_STEP
        for _ in range(HISTORY_CALLS):
            if known - discarded <= 1:
                break
            after = max(known - step, (known + discarded) // 2)
            step *= STEP_GROWTH
            self.follower.calls += 1
            try:
                changes = await self.store.read_changes(
                    after, self.follower.answer_seconds
                )
                known = after
            except HistoryLostError:
                discarded = after
        return known, changes
