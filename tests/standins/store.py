"""Stands in for a store that is only read, in virtual time."""

from asyncio import Event
from asyncio import sleep
from asyncio import timeout

from chicorycart.steering.errors import HistoryLostError
from chicorycart.steering.errors import StoreError
from chicorycart.steering.published import Changes
from chicorycart.steering.published import ENTRY_REMOVED
from chicorycart.steering.published import ListingChange

ANSWER_SECONDS = 0.004


class MemoryStore:
    """Entries and a configuration with one counter of revisions.

    Attributes
    ----------
    is_down : bool
        Whether every call fails.
    is_silent : bool
        Whether a call that waits hears nothing until it gives up.
    answer_seconds : float
        Time that an answer takes.
    calls, recalls : int
        Calls so far, and those for the history among them.
    """

    def __init__(self):
        self.revision = 1
        self.entries = {}
        self.routes = None
        self.history = []
        self.kept_since = 0
        self.is_down = False
        self.is_silent = False
        self.answer_seconds = ANSWER_SECONDS
        self.calls = 0
        self.recalls = 0
        self.changed = Event()

    def put(self, listing):
        """Write the entry of a host."""
        self.revision += 1
        change = ListingChange(listing.name, self.revision, listing)
        self.entries[listing.name] = change
        self.note(change)

    def put_unreadable(self, name):
        """Write an entry that cannot be read."""
        self.revision += 1
        change = ListingChange(name, self.revision, None, "not JSON")
        self.entries[name] = change
        self.note(change)

    def remove(self, name):
        """Remove the entry of a host."""
        self.revision += 1
        del self.entries[name]
        self.note(ListingChange(name, self.revision, None, ENTRY_REMOVED))

    def configure(self, routes):
        """Write a configuration."""
        self.revision += 1
        self.routes = (self.revision, routes)
        self.note(routes)

    def note(self, change):
        """Keep a change for those that watch."""
        self.history.append((self.revision, change))
        self.changed.set()
        self.changed = Event()

    def forget_history(self):
        """Drop every change, so that watches must read anew."""
        self.history.clear()
        self.kept_since = self.revision
        self.changed.set()
        self.changed = Event()

    async def answer(self, limit):
        """Take the time of a call, or fail."""
        self.calls += 1
        await sleep(min(self.answer_seconds, limit))
        if self.answer_seconds > limit:
            raise StoreError("no answer in time")
        if self.is_down:
            raise StoreError("the store is down")

    async def read_all(self, answer_seconds):
        """Read everything."""
        await self.answer(answer_seconds)
        return Changes(
            self.revision,
            list(self.entries.values()),
            self.routes[1] if self.routes else None,
        )

    async def watch(self, after, seconds, answer_seconds):
        """Wait for changes above a revision."""
        await self.answer(seconds + answer_seconds)
        if after < self.kept_since:
            raise HistoryLostError("history is discarded")
        try:
            async with timeout(seconds):
                while self.revision <= after or self.is_silent:
                    await self.changed.wait()
        except TimeoutError:
            if self.is_silent:
                raise StoreError("no answer") from None
        if after < self.kept_since:
            raise HistoryLostError("history is discarded")
        if self.is_down:
            raise StoreError("the store is down")
        changes = [c for r, c in self.history if r > after]
        routes = [c for c in changes if not isinstance(c, ListingChange)]
        return Changes(
            self.revision,
            [c for c in changes if isinstance(c, ListingChange)],
            routes[-1] if routes else None,
        )

    async def read_changes(self, after, answer_seconds):
        """Return the changes of entries above a revision."""
        self.recalls += 1
        await self.answer(answer_seconds)
        if after < self.kept_since:
            raise HistoryLostError("history is discarded")
        return [
            change
            for revision, change in self.history
            if revision > after and isinstance(change, ListingChange)
        ]
