"""Finds the hosts that vanished from the store and may still be alive."""

from collections.abc import Collection

from chicorycart.steering.limits import HISTORY_PROOF_SECONDS
from chicorycart.steering.limits import MIN_STARTED_HOSTS
from chicorycart.steering.limits import START_SPREAD_SECONDS
from chicorycart.steering.published import ENTRY_REMOVED
from chicorycart.steering.published import ListedState
from chicorycart.steering.published import Listing
from chicorycart.steering.published import ListingChange
from chicorycart.units import MILLISECONDS


class VanishedHosts:
    """The hosts that vanished from the store and may still be alive.

    Attributes
    ----------
    hosts : list of Listing
        Last entries of those whose address is known.
    leaving : list of Listing
        Last entries of those that were draining.
    unlocated : list of str
        Names of those of which only a recent removal is known, so that their
        address is not.
    covers_relisting : bool
        Whether the history goes back far enough: a host whose entry expired
        before it began has had the time to be listed again.
    """

    __slots__ = ("hosts", "leaving", "unlocated", "covers_relisting")

    def __init__(
        self,
        hosts: list[Listing],
        leaving: list[Listing],
        unlocated: list[str],
        covers_relisting: bool,
    ):
        self.hosts = hosts
        self.leaving = leaving
        self.unlocated = unlocated
        self.covers_relisting = covers_relisting

    @property
    def are_all_known(self) -> bool:
        """Whether every live host is listed, or one of those above."""
        return self.covers_relisting and not self.unlocated


def find_vanished_hosts(
    changes: Collection[ListingChange],
    listed: Collection[Listing],
    is_from_start: bool,
) -> VanishedHosts:
    """Return the hosts that may be alive although they are not listed.

    A host whose address now belongs to a host that started later has ended.
    One whose last entry was draining may still serve its flows for a time. One
    whose removal alone is known has ended if it had the time to be listed
    again. An entry that cannot be decoded does not count as a host.

    Parameters
    ----------
    changes : collection of ListingChange
        All changes since some revision, in order.
    listed : collection of Listing
        The entries after these changes.
    is_from_start : bool
        Whether the changes go back to the first one of the store.
    """
    present = {listing.name for listing in listed}
    incarnations = {
        listing.address.host: listing.incarnation for listing in listed
    }
    dated = find_dated_revision(changes, listed)
    removed = {c.name: c.revision for c in changes if c.listing is None}
    hosts = []
    leaving = []
    unlocated = []
    for name, listing in find_last_entries(changes).items():
        if name in present:
            continue
        if listing is None:
            if dated is None or removed[name] > dated:
                unlocated.append(name)
        elif incarnations.get(listing.address.host, 0) > listing.incarnation:
            continue
        elif listing.state is ListedState.DRAINING:
            leaving.append(listing)
        else:
            hosts.append(listing)
    covers_relisting = is_from_start or dated is not None
    return VanishedHosts(hosts, leaving, unlocated, covers_relisting)


def find_last_entries(
    changes: Collection[ListingChange],
) -> dict[str, Listing | None]:
    """Return each host's last entry; None if only its removal is known."""
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


def find_dated_revision(
    changes: Collection[ListingChange], listed: Collection[Listing]
) -> int | None:
    """Return the last revision known to be older than the time for relisting.

    The store keeps no times of its changes. But an entry whose host warms up
    was written soon after the start time that it names, and the latest start
    lies in the past.

    Returns
    -------
    int or None
        A host whose entry was removed before this revision has had the time
        to be listed again; None if no change can be dated that early.
    """
    starts = {
        change.revision: change.listing.incarnation
        for change in changes
        if change.listing is not None
        and change.listing.cold_seconds > 0
        and change.listing.incarnation
    }
    if not starts:
        return None
    present = (listing.incarnation for listing in listed)
    latest = max([*starts.values(), *present])
    earliest = latest - HISTORY_PROOF_SECONDS * MILLISECONDS
    return max(
        (revision for revision, start in starts.items() if start <= earliest),
        default=None,
    )


def is_full_restart(
    changes: Collection[ListingChange],
    listed: Collection[Listing],
    taken_over: int,
    unlocated: Collection[str],
) -> bool:
    """Tell whether all hosts of a deployment have just restarted.

    In that case every host was listed while warming up, all started within
    START_SPREAD_SECONDS, and some have the addresses of former entries that
    were still listed. The vanished hosts are taken for the predecessors of
    the other hosts, provided that there are not more of them.

    Parameters
    ----------
    changes : collection of ListingChange
        The known part of the history.
    listed : collection of Listing
        The present entries.
    taken_over : int
        Ready hosts among them that have the address of a former host.
    unlocated : collection of str
        Names of the hosts of which only the removal is known.
    """
    ready = [
        listing for listing in listed if listing.state is ListedState.READY
    ]
    if taken_over < MIN_STARTED_HOSTS:
        return False
    if len(unlocated) > len(ready) - taken_over:
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
