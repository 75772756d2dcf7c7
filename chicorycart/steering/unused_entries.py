"""Entries in the store that name no target."""

from collections.abc import Container

from chicorycart.operation.events import EventLog
from chicorycart.steering.published import Listing


class UnusedEntry:
    """An entry in the store that names no target.

    Attributes
    ----------
    revision : int
        Revision of the store at which it was last written.
    reason : str
        Why it is not used.
    listing : Listing or None
        The entry, if it can be read. It names a target once its service is
        configured.
    """

    __slots__ = ("revision", "reason", "listing")

    def __init__(self, revision: int, reason: str, listing: Listing | None):
        self.revision = revision
        self.reason = reason
        self.listing = listing


class UnusedEntries:
    """Table of the entries that name no target.

    Parameters
    ----------
    events : EventLog
        Logs why each of them is not used.

    Attributes
    ----------
    by_name : dict of str to UnusedEntry
        The entries by the names of their hosts.
    changes : int
        Counts the changes of the table.
    """

    __slots__ = ("events", "by_name", "changes")

    def __init__(self, events: EventLog):
        self.events = events
        self.by_name: dict[str, UnusedEntry] = {}
        self.changes = 0

    def __len__(self) -> int:
        return len(self.by_name)

    def record(
        self, name: str, revision: int, reason: str, listing: Listing | None
    ) -> None:
        """Keep an entry, and log a new reason."""
        self.changes += 1
        before = self.by_name.get(name)
        self.by_name[name] = UnusedEntry(revision, reason, listing)
        if before is None or before.reason != reason:
            self.events.record(
                "entry_unused",
                "entry={!r} reason={!r} revision={}",
                name,
                reason,
                revision,
            )

    def discard(self, name: str) -> UnusedEntry | None:
        """Forget an entry and return it, if it was known."""
        entry = self.by_name.pop(name, None)
        self.changes += entry is not None
        return entry

    def list_missing(self, present: Container[str]) -> list[str]:
        """Return the names of the entries that are not among some."""
        return [name for name in self.by_name if name not in present]

    def clear(self) -> None:
        """Forget all entries."""
        self.changes += 1
        self.by_name.clear()

    def list_readable(self) -> list[UnusedEntry]:
        """Return the entries that can be read."""
        return [e for e in self.by_name.values() if e.listing is not None]
