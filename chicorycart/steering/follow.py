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

    def activate(self, routes: RouteTable) -> None:
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
    loaded : Event
        Set once a configuration and the targets are known.
    unreachable_since : float or None
        Time since when the store has not answered; None while it does.
    last_contact_at : float or None
        Time of its last answer.
    reachable_since : float
        Time of the first answer, or of the first after a failure.
    is_history_checked, is_proven_complete : bool
        Whether the store's history was read since then, if it could be, and
        whether it proved that every live target is known.
    failed_calls, calls : int
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
        "can_watch",
        "unreachable_since",
        "last_contact_at",
        "reachable_since",
        "is_history_checked",
        "is_proven_complete",
        "loaded",
        "failed_calls",
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
        self.can_watch = False
        self.unreachable_since: float | None = None
        self.last_contact_at: float | None = None
        self.reachable_since = 0.0
        self.is_history_checked = False
        self.is_proven_complete = False
        self.loaded = Event()
        self.failed_calls = 0
        self.calls = 0

    async def run(self) -> None:
        """Follow the store for as long as the process runs."""
        while True:
            try:
                await self.read_once()
            except HistoryLostError as error:
                self.can_watch = False
                LOGGER.warning(
                    "event=history_lost revision={} reason={!r}",
                    self.revision,
                    str(error),
                )
            except StoreError as error:
                self.record_failure(error)
                await self.backoff.wait()

    async def read_once(self) -> None:
        """Read everything, or wait for the next changes."""
        self.calls += 1
        if self.can_watch:
            changes = await self.store.watch(
                self.revision, self.watch_seconds, self.answer_seconds
            )
            for change in changes.listings:
                self.directory.apply(change)
        else:
            changes = await self.store.read_all(self.answer_seconds)
            self.directory.replace(changes.listings, changes.revision)
            # Until the operator's first write there is nothing to watch.
            self.can_watch = (
                changes.routes is not None or self.routes.current.version > 0
            )
        self.record_contact()
        self.activate_routes(changes)
        self.revision = max(self.revision, changes.revision)
        if self.routes.current.version > 0:
            self.loaded.set()
        await sleep(GATHER_SECONDS)

    def activate_routes(self, changes: Changes) -> None:
        """Put the configuration of a read in force."""
        if changes.fault:
            LOGGER.error(
                "event=refused version_in_force={} reason={!r}",
                self.routes.current.version,
                changes.fault,
            )
        if changes.routes is not None:
            self.routes.activate(changes.routes)

    @property
    def seconds_since_contact(self) -> float:
        """Time since the store was heard."""
        return self.clock.now() - (self.last_contact_at or 0.0)

    def knows_all_targets(self) -> bool:
        """Tell whether every live target is known by now.

        Entries that lapsed while the store was away, also for others, may
        still be missing for a short time after the first answer, unless the
        store's history proves that none is. Hosts that lapsed before are only
        known from the history.
        """
        if self.unreachable_since is not None or not self.is_history_checked:
            return False
        return (
            self.is_proven_complete
            or self.clock.now() - self.reachable_since > RELISTING_SECONDS
        )

    def record_failure(self, error: StoreError) -> None:
        """Log and count a failed call; what is known stays in force."""
        self.failed_calls += 1
        # On a slow link a large answer needs more time than a short one.
        self.answer_seconds = min(2 * self.answer_seconds, MAX_ANSWER_SECONDS)
        if self.unreachable_since is None:
            self.unreachable_since = self.clock.now()
            LOGGER.warning(
                "event=store_lost reason={!r} version={} revision={}",
                str(error),
                self.routes.current.version,
                self.revision,
            )

    def record_contact(self) -> None:
        """Take note of an answer."""
        now = self.clock.now()
        if self.last_contact_at is None or self.unreachable_since is not None:
            self.reachable_since = now
            self.is_history_checked = self.is_proven_complete = False
        self.last_contact_at = now
        self.backoff.reset()
        self.answer_seconds = ANSWER_SECONDS
        if self.unreachable_since is not None:
            LOGGER.info(
                "event=store_regained away_seconds={:.1f}",
                self.last_contact_at - self.unreachable_since,
            )
            self.unreachable_since = None
