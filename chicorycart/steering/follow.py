"""Follows the store: reads it whole once, then watches it."""

from asyncio import Event
from asyncio import sleep

from logbook import Logger

from chicorycart.clock import Clock
from chicorycart.configuration.backoff import Backoff
from chicorycart.steering.directory import Directory
from chicorycart.steering.errors import HistoryLostError
from chicorycart.steering.errors import StoreError
from chicorycart.steering.limits import ANSWER_SECONDS
from chicorycart.steering.limits import GATHER_SECONDS
from chicorycart.steering.limits import MAX_ANSWER_SECONDS
from chicorycart.steering.limits import RELISTING_SECONDS
from chicorycart.steering.limits import WATCH_SECONDS
from chicorycart.steering.published import Changes
from chicorycart.steering.published import PublishedStore
from chicorycart.steering.routes import NO_ROUTES
from chicorycart.steering.routes import RouteTable

LOGGER = Logger("store")


class RoutesInForce:
    """The routes of the highest version that was seen.

    Attributes
    ----------
    current : RouteTable
        The routes in force; versions only go upwards.
    """

    __slots__ = ("current",)

    def __init__(self):
        self.current: RouteTable = NO_ROUTES

    def take(self, routes: RouteTable) -> None:
        """Put a later version in force."""
        if routes.version <= self.current.version:
            return
        LOGGER.info(
            "event=in_force version={} before={} routes={}",
            routes.version,
            self.current.version,
            len(routes.by_entry),
        )
        self.current = routes


class StoreFollower:
    """Keeps the directory and the routes as the store has them.

    Parameters
    ----------
    store : PublishedStore
        Where everything is published.
    directory : Directory
        Takes the entries of hosts.
    routes : RoutesInForce
        Takes the configuration.
    backoff : Backoff
        Spaces the tries after a failure.
    clock : Clock
        Measures how long the store was away.
    watch_seconds : float, optional
        Time for which one watch may wait.

    Attributes
    ----------
    serving : Event
        Set once a configuration and the targets are known.
    lost_at : float or None
        Time since when the store has not answered; None while it does.
    last_contact_at : float or None
        Time of its last answer.
    regained_at : float
        Time of the first answer, or of the first after a failure.
    is_checked, is_complete : bool
        Whether the store's history was read since then, if it could be, and
        whether it proved that every live target is known.
    failed, calls : int
        Calls so far that failed, and all of them.
    """

    __slots__ = (
        "store",
        "directory",
        "routes",
        "backoff",
        "clock",
        "watch_seconds",
        "answer_seconds",
        "revision",
        "is_whole",
        "lost_at",
        "last_contact_at",
        "regained_at",
        "is_checked",
        "is_complete",
        "serving",
        "failed",
        "calls",
    )

    def __init__(
        self,
        store: PublishedStore,
        directory: Directory,
        routes: RoutesInForce,
        backoff: Backoff,
        clock: Clock,
        watch_seconds: float = WATCH_SECONDS,
    ):
        self.store = store
        self.directory = directory
        self.routes = routes
        self.backoff = backoff
        self.clock = clock
        self.watch_seconds = watch_seconds
        self.answer_seconds = ANSWER_SECONDS
        self.revision = 0
        self.is_whole = False
        self.lost_at: float | None = None
        self.last_contact_at: float | None = None
        self.regained_at = 0.0
        self.is_checked = False
        self.is_complete = False
        self.serving = Event()
        self.failed = 0
        self.calls = 0

    async def run(self) -> None:
        """Follow the store for as long as the process runs."""
        while True:
            try:
                await self.read_once()
            except HistoryLostError as error:
                self.is_whole = False
                LOGGER.warning(
                    "event=history_lost revision={} reason={!r}",
                    self.revision,
                    str(error),
                )
            except StoreError as error:
                self.note_lost(error)
                await self.backoff.wait()

    async def read_once(self) -> None:
        """Read everything, or wait for the next changes."""
        self.calls += 1
        if self.is_whole:
            changes = await self.store.watch(
                self.revision, self.watch_seconds, self.answer_seconds
            )
            for change in changes.listings:
                self.directory.apply(change)
        else:
            changes = await self.store.read_all(self.answer_seconds)
            self.directory.replace(changes.listings, changes.revision)
            # Until the operator's first write there is nothing to watch.
            self.is_whole = (
                changes.routes is not None or self.routes.current.version > 0
            )
        self.record_contact()
        self.take_routes(changes)
        self.revision = max(self.revision, changes.revision)
        if self.routes.current.version > 0:
            self.serving.set()
        await sleep(GATHER_SECONDS)

    def take_routes(self, changes: Changes) -> None:
        """Put the configuration of a read in force."""
        if changes.fault:
            LOGGER.error(
                "event=refused version_in_force={} reason={!r}",
                self.routes.current.version,
                changes.fault,
            )
        if changes.routes is not None:
            self.routes.take(changes.routes)

    @property
    def silent_seconds(self) -> float:
        """Time since the store was heard."""
        return self.clock.now() - (self.last_contact_at or 0.0)

    def lists_all(self) -> bool:
        """Tell whether every live target is known by now.

        Entries that lapsed while the store was away, also for others, may
        still be missing for a short time after the first answer, unless the
        store's history proves that none is. Hosts that lapsed before are only
        known from the history.
        """
        if self.lost_at is not None or not self.is_checked:
            return False
        return (
            self.is_complete
            or self.clock.now() - self.regained_at > RELISTING_SECONDS
        )

    def note_lost(self, error: StoreError) -> None:
        """Log and count a failed call; what is known stays in force."""
        self.failed += 1
        # On a slow link a large answer needs more time than a short one.
        self.answer_seconds = min(2 * self.answer_seconds, MAX_ANSWER_SECONDS)
        if self.lost_at is None:
            self.lost_at = self.clock.now()
            LOGGER.warning(
                "event=store_lost reason={!r} version={} revision={}",
                str(error),
                self.routes.current.version,
                self.revision,
            )

    def record_contact(self) -> None:
        """Take note of an answer."""
        now = self.clock.now()
        if self.last_contact_at is None or self.lost_at is not None:
            self.regained_at = now
            self.is_checked = self.is_complete = False
        self.last_contact_at = now
        self.backoff.reset()
        self.answer_seconds = ANSWER_SECONDS
        if self.lost_at is not None:
            LOGGER.info(
                "event=store_regained away_seconds={:.1f}",
                self.last_contact_at - self.lost_at,
            )
            self.lost_at = None
