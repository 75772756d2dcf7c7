"""Entries of hosts that were removed, or of starts that have ended."""

from collections import OrderedDict
from collections.abc import Mapping
from copy import copy

from chicorycart.steering.limits import MAX_REMOVED
from chicorycart.steering.members import Member
from chicorycart.steering.published import ListedState
from chicorycart.steering.published import Listing
from chicorycart.steering.published import ListingChange


class FormerEntries:
    """Remembers which entries must not be used again as they were.

    Attributes
    ----------
    removed_revisions : OrderedDict of str to int
        Revision of the removal of each target that was removed, by name.
    retired_incarnations : OrderedDict of str to int
        Last incarnation of each target that was seen to drain or lost its
        address to another, by name. A copy of the store may list it as ready.
    copied_revision : int
        Revision up to which entries may be those of a copy; 0 if the store
        was not restored.
    """

    __slots__ = (
        "removed_revisions",
        "retired_incarnations",
        "copied_revision",
    )

    def __init__(self):
        self.removed_revisions: OrderedDict[str, int] = OrderedDict()
        self.retired_incarnations: OrderedDict[str, int] = OrderedDict()
        self.copied_revision = 0

    def record_removed(self, name: str, revision: int) -> None:
        """Remember the revision before which changes of a target are stale."""
        self.removed_revisions[name] = revision
        self.removed_revisions.move_to_end(name)
        if len(self.removed_revisions) > MAX_REMOVED:
            self.removed_revisions.popitem(last=False)

    def correct_state(self, listing: Listing, revision: int) -> Listing:
        """Return an entry, as draining if it is the copy of a retired one."""
        if listing.state is ListedState.DRAINING:
            self.record_retired(listing)
        elif self.is_retired(listing):
            if revision <= self.copied_revision:
                listing = copy(listing)
                listing.state = ListedState.DRAINING
            else:
                del self.retired_incarnations[listing.name]
        return listing

    def record_retired(self, listing: Listing) -> None:
        """Remember that an incarnation of a target drained or ended."""
        if listing.incarnation:
            self.retired_incarnations[listing.name] = listing.incarnation
            self.retired_incarnations.move_to_end(listing.name)
        if len(self.retired_incarnations) > MAX_REMOVED:
            self.retired_incarnations.popitem(last=False)

    def drop_outdated(
        self, changes: list[ListingChange], known: Mapping[str, Member]
    ) -> list[ListingChange]:
        """Return the entries that are not of an earlier start than known.

        Parameters
        ----------
        changes : list of ListingChange
            The entries of a copy.
        known : Mapping of str to Member
            The listed targets by name.
        """
        return [
            change
            for change in changes
            if not self.is_outdated(change, known.get(change.name))
        ]

    def is_outdated(self, change: ListingChange, known: Member | None) -> bool:
        """Tell whether an entry is of an earlier start than the known one.

        Parameters
        ----------
        change : ListingChange
            The changed entry.
        known : Member or None
            The target of this name.
        """
        if change.listing is None:
            return False
        latest = self.retired_incarnations.get(change.name, 0)
        if known is not None:
            latest = max(latest, known.listing.incarnation)
        return 0 < change.listing.incarnation < latest

    def is_retired(self, listing: Listing) -> bool:
        """Tell whether this incarnation of a target drained or ended."""
        retired = self.retired_incarnations.get(listing.name)
        return retired is not None and retired == listing.incarnation
