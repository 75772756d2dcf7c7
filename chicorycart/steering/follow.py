"""Keeps targets and routes up to date: reads the store, then watches it."""

from asyncio import Event
from asyncio import sleep
from asyncio import timeout

from logbook import Logger

from chicorycart.clock import Clock
from chicorycart.configuration.backoff import Backoff
from chicorycart.steering.directory import Directory
from chicorycart.steering.entry_services import EntryServices
from chicorycart.steering.errors import HistoryLostError
from chicorycart.steering.errors import StoreError
from chicorycart.steering.errors import StoreRestoredError
from chicorycart.steering.errors import StoreSilentError
from chicorycart.steering.evacuation import EvacuatedDomains
from chicorycart.steering.limits import ANSWER_SECONDS
from chicorycart.steering.limits import GATHER_SECONDS
from chicorycart.steering.limits import MAX_GATHERED
from chicorycart.steering.limits import MIN_GATHER_SECONDS
from chicorycart.steering.limits import RELISTING_SECONDS
from chicorycart.steering.limits import SILENCE_PAUSE_SECONDS
from chicorycart.steering.limits import WATCH_SECONDS
from chicorycart.steering.overlap import choose_answer_seconds
from chicorycart.steering.overlap import OverlappingCalls
from chicorycart.steering.published import Changes
from chicorycart.steering.published import PublishedStore
from chicorycart.steering.routes import RoutesInForce

LOGGER = Logger("store")
FIRST_ERA = 1
"""Era of a store that was never restored from a copy."""


class StoreFollower:
    """Applies the store's entries to the directory and the routes.

    A store that was restored from a copy gives out revisions anew. So a
    position is an era and a revision, and after a change of the era, in either
    direction, everything is read anew. The first answer ends all other calls,
    so no answer is older than the one before.

    Parameters
    ----------
    store : PublishedStore
        Where targets and routes are published.
    directory : Directory
        Receives the entries of hosts.
    routes : RoutesInForce
        Receives the configuration's routes.
    backoff : Backoff
        Delays the next call after a failed one.
    clock : Clock
        Measures how long the store was unreachable.
    watch_seconds : float, optional
        Time for which the store may hold one watch open.
    gather_seconds : float, optional
        Longest pause between two watches, in which changes gather.
    evacuated : EvacuatedDomains, optional
        Receives the evacuations.

    Attributes
    ----------
    services : EntryServices
        Services that the versions read so far named for each entry.
    era, revision : int
        Position in the store up to which all changes were read.
    restored_at : float or None
        Time at which the last restore of the store was noticed, or of the
        first answer of a store that had been restored before.
    loaded : Event
        Set once the targets and a configuration were read.
    unreachable_since : float or None
        Time of the first failed call after the last answer; None while the
        store answers.
    last_contact_at : float or None
        Time of the store's last answer.
    reachable_since : float
        Time of the first answer, or of the first one after a failed call.
    known_until : float
        Time up to which all changes in the store are known: that at which the
        last call was sent whose answer was not cut.
    call_requested : Event
        Ends the present pause.
    overlapping : OverlappingCalls
        The calls under way.
    is_history_checked, is_proven_complete : bool
        Whether the store's history was read, or tried to be read, since
        `reachable_since`, and whether it proved that every live target is
        known.
    failed_calls, calls : int
        Number of failed calls and of all calls so far.
    failed_before : int
        Number of calls that had failed when the store was last lost.
    """

    __slots__ = (
        "store",
        "directory",
        "routes",
        "services",
        "backoff",
        "clock",
        "watch_seconds",
        "gather_seconds",
        "evacuated",
        "era",
        "revision",
        "restored_at",
        "can_watch",
        "unreachable_since",
        "last_contact_at",
        "reachable_since",
        "known_until",
        "call_requested",
        "overlapping",
        "is_history_checked",
        "is_proven_complete",
        "loaded",
        "failed_calls",
        "failed_before",
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
        gather_seconds: float = GATHER_SECONDS,
        evacuated: EvacuatedDomains | None = None,
    ):
        self.store = store
        self.directory = directory
        self.routes = routes
        self.services = EntryServices(
            clock, routes, directory.vanished.flow_ttl_seconds
        )
        self.backoff = backoff
        self.clock = clock
        self.watch_seconds = watch_seconds
        self.gather_seconds = gather_seconds
        self.evacuated = evacuated or EvacuatedDomains(clock)
        self.era = 0
        self.revision = 0
        self.restored_at: float | None = None
        self.can_watch = False
        self.unreachable_since: float | None = None
        self.last_contact_at: float | None = None
        self.reachable_since = 0.0
        self.known_until = 0.0
        self.call_requested = Event()
        self.overlapping = OverlappingCalls(self.call)
        self.is_history_checked = False
        self.is_proven_complete = False
        self.loaded = Event()
        self.failed_calls = 0
        self.failed_before = 0
        self.calls = 0

    async def run(self) -> None:
        """Read and watch the store as long as the process runs."""
        try:
            while True:
                await self.run_once()
        finally:
            self.overlapping.drop_patient()

    async def run_once(self) -> None:
        """Read the store once, and wait after a failure."""
        try:
            await self.read_once()
        except (HistoryLostError, StoreRestoredError) as error:
            self.can_watch = False
            self.overlapping.drop_patient()
            LOGGER.warning(
                "event=history_lost era={} revision={} reason={!r}",
                self.era,
                self.revision,
                str(error),
            )
        except StoreSilentError as error:
            # After a first silence a new connection may be all that is needed.
            if self.unreachable_since is not None:
                self.overlapping.start_patient()
            self.record_failure(error)
            await self.backoff.wait(SILENCE_PAUSE_SECONDS)
        except StoreError as error:
            self.record_failure(error)
            await self.backoff.wait()

    async def read_once(self) -> None:
        """Read all entries, or wait for the next changes."""
        is_watch = self.can_watch
        changes = await self.overlapping.find_first_answer(
            choose_answer_seconds(
                self.unreachable_since is not None, self.backoff.random
            )
        )
        if is_watch:
            self.apply_watched(changes)
        else:
            self.replace_all(changes)
        self.record_contact()
        self.era = changes.era
        self.revision = changes.revision
        if self.routes.current.version > 0:
            self.loaded.set()
        if not (is_watch and len(changes.listings) >= MAX_GATHERED):
            self.known_until = max(self.known_until, changes.asked_at)
            await self.pause()

    async def call(self, answer_seconds: float) -> Changes:
        """Send one call: a full read, or a watch.

        While the store seems unreachable, a watch asks for past changes only,
        so that its answer shows at once that the store is back.
        """
        self.calls += 1
        asked_at = self.clock.now()
        if not self.can_watch:
            changes = await self.store.read_all(answer_seconds)
        else:
            is_away = self.unreachable_since is not None
            changes = await self.store.watch(
                self.revision,
                0.0 if is_away else self.watch_seconds,
                answer_seconds,
            )
        changes.asked_at = asked_at
        return changes

    def apply_watched(self, changes: Changes) -> None:
        """Apply the changes of a watch.

        Raises
        ------
        StoreRestoredError
            If they are those of a store that was restored meanwhile.
        """
        if self.is_restored(changes):
            raise StoreRestoredError(
                f"watched era {self.era}, found era {changes.era} at"
                f" revision {changes.revision}"
            )
        self.apply_changes(changes)

    def apply_changes(self, changes: Changes) -> None:
        """Apply changes of the era that is followed; old ones do no harm."""
        self.activate_routes(changes)
        for change in changes.listings:
            self.directory.apply(change)
        self.evacuated.apply(changes)

    def replace_all(self, changes: Changes) -> None:
        """Replace what is known by a full read."""
        is_restored = self.is_restored(changes)
        if is_restored:
            self.record_restore(changes)
        elif self.last_contact_at is None and changes.era > FIRST_ERA:
            # It may have been restored just before this process started.
            self.restored_at = self.clock.now()
        self.activate_routes(changes)
        self.directory.replace(changes.listings, changes.revision, is_restored)
        self.evacuated.replace(changes, is_restored)
        # Before the operator's first write there is no configuration to
        # watch, so everything is read again each time.
        self.can_watch = (
            changes.routes is not None or self.routes.current.version > 0
        )

    async def pause(self) -> None:
        """Let changes gather until the next call, or until it is requested.

        While lapsed entries come back, the pause is short, since open flows
        wait for them.
        """
        is_relisting = (
            self.clock.now() - self.reachable_since <= RELISTING_SECONDS
        )
        seconds = GATHER_SECONDS if is_relisting else self.gather_seconds
        self.call_requested.clear()
        await sleep(MIN_GATHER_SECONDS)
        try:
            async with timeout(seconds - MIN_GATHER_SECONDS):
                await self.call_requested.wait()
        except TimeoutError:
            return

    def request_call(self) -> None:
        """End the present pause, since a decision waits for the changes."""
        self.call_requested.set()

    def is_restored(self, changes: Changes) -> bool:
        """Tell whether an answer is of a store restored since the last one."""
        return self.last_contact_at is not None and changes.is_restored_since(
            self.era, self.revision
        )

    def activate_routes(self, changes: Changes) -> None:
        """Put the routes that were read in force, or log why they are not.

        The services that they name come before the entries that were read
        with them.
        """
        if changes.fault:
            LOGGER.error(
                "event=refused version_in_force={} reason={!r}",
                self.routes.current.version,
                changes.fault,
            )
        if changes.routes is not None:
            self.routes.activate(changes.routes)
            self.services.record(changes.routes)
            self.directory.add_services(changes.routes.services)

    @property
    def seconds_since_contact(self) -> float:
        """Time since the store's last answer."""
        return self.clock.now() - (self.last_contact_at or 0.0)

    def knows_all_services(self) -> bool:
        """Tell whether all services are known that may hold open flows."""
        return self.unreachable_since is None and self.services.is_complete(
            self.reachable_since
        )

    def knows_all_targets(self, until: float) -> bool:
        """Tell whether every target is known that was live at a time."""
        return self.is_list_complete() and self.known_until >= until

    def is_list_complete(self) -> bool:
        """Tell whether every live target was known at the last answer.

        Entries that expired while the store was unreachable, possibly for
        others only, may be missing for RELISTING_SECONDS after the first
        answer, unless the store's history proves that none is. Hosts whose
        entries expired earlier are known only from the history.
        """
        if self.unreachable_since is not None or not self.is_history_checked:
            return False
        return (
            self.is_proven_complete
            or self.clock.now() - self.reachable_since > RELISTING_SECONDS
        )

    def record_failure(self, error: StoreError) -> None:
        """Log and count a failed call; targets and routes stay in force."""
        self.failed_calls += 1
        if self.unreachable_since is None:
            self.unreachable_since = self.clock.now()
            self.failed_before = self.failed_calls - 1
            LOGGER.warning(
                "event=store_lost reason={!r} version={} revision={}",
                str(error),
                self.routes.current.version,
                self.revision,
            )

    def record_restore(self, changes: Changes) -> None:
        """Record that the store was restored from a copy.

        Writes of the time since the copy are in no history.
        """
        LOGGER.warning(
            "event=store_restored era={} before={} revision={}"
            " before_revision={}",
            changes.era,
            self.era,
            changes.revision,
            self.revision,
        )
        self.restored_at = self.reachable_since = self.clock.now()
        self.is_history_checked = self.is_proven_complete = False

    def is_relisting(self) -> bool:
        """Tell whether entries that a restore lost may still be missing."""
        return self.restored_at is not None and (
            self.clock.now() - self.restored_at <= RELISTING_SECONDS
        )

    def record_contact(self) -> None:
        """Record an answer of the store and reset the delays of retries."""
        now = self.clock.now()
        if self.last_contact_at is None or self.unreachable_since is not None:
            self.reachable_since = now
            self.is_history_checked = self.is_proven_complete = False
        self.last_contact_at = now
        self.backoff.reset()
        self.overlapping.drop_patient()
        if self.unreachable_since is not None:
            LOGGER.info(
                "event=store_regained away_seconds={:.1f} failed_calls={}"
                " patient={}",
                self.last_contact_at - self.unreachable_since,
                self.failed_calls - self.failed_before,
                self.overlapping.answer_seconds > ANSWER_SECONDS,
            )
            self.unreachable_since = None
