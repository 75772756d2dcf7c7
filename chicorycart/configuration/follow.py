"""Reads versions from the platform."""

from asyncio import sleep
from enum import Enum
from functools import partial
from random import Random

from logbook import Logger

from chicorycart.clock import Clock
from chicorycart.configuration.backoff import Backoff
from chicorycart.configuration.errors import PlatformError
from chicorycart.configuration.errors import RefusedVersionError
from chicorycart.configuration.peers import PeerTable
from chicorycart.configuration.platform import PlatformClient
from chicorycart.configuration.readers import ReaderElection
from chicorycart.configuration.version_manager import VersionManager
from chicorycart.defaults import PEER_SILENCE_SECONDS
from chicorycart.defaults import PLATFORM_ALONE_SECONDS
from chicorycart.defaults import PLATFORM_WATCH_SECONDS
from chicorycart.defaults import READER_CHECK_SECONDS

LOGGER = Logger("configuration")
EARLY_SHARE = 0.5


class ReadOutcome(Enum):
    """What became of a read of the platform."""

    TAKEN = "taken"
    REFUSED = "refused"
    NOTHING_LATER = "nothing later"
    FAILED = "failed"


class PlatformReader:
    """Reads versions from the platform and hands them to the keeper.

    Parameters
    ----------
    client : PlatformClient
        Reads the platform.
    version_manager : VersionManager
        Takes each later version.
    backoff : Backoff
        Spaces the tries after a failure.
    clock : Clock
        Tells a watch that was answered too early.
    """

    __slots__ = ("client", "version_manager", "backoff", "clock")

    def __init__(
        self,
        client: PlatformClient,
        version_manager: VersionManager,
        backoff: Backoff,
        clock: Clock,
    ):
        self.client = client
        self.version_manager = version_manager
        self.backoff = backoff
        self.clock = clock

    async def watch_once(self) -> None:
        """Wait for one change; back off if that was of no use.

        A watch that is answered at once without a later version, as by a
        stale platform, counts as a failure.
        """
        began = self.clock.now()
        version = self.version_manager.version
        outcome = await self.run(self.client.watch_configuration)
        is_early = (
            self.clock.now() - began < EARLY_SHARE * PLATFORM_WATCH_SECONDS
        )
        is_useless = (
            outcome is ReadOutcome.NOTHING_LATER
            and self.version_manager.version == version
        )
        if outcome is ReadOutcome.FAILED or (is_useless and is_early):
            await self.backoff.wait()
        else:
            self.backoff.reset()

    async def read_once(self) -> ReadOutcome:
        """Read without waiting for a change."""
        return await self.run(self.client.read_configuration)

    async def read_service(self, name: str) -> ReadOutcome:
        """Read one service only, without waiting for a change."""
        return await self.run(partial(self.client.read_service, name))

    async def run(self, read) -> ReadOutcome:
        """Take what a read gives; log and count why it gives nothing."""
        try:
            configuration = await read(self.version_manager.store)
        except RefusedVersionError as error:
            self.version_manager.refuse(error)
            return ReadOutcome.REFUSED
        except PlatformError as error:
            LOGGER.warning("event=read_failed error={!r}", str(error))
            self.version_manager.metrics.failed.labels("platform").inc()
            return ReadOutcome.FAILED
        if configuration is None or not self.version_manager.activate(
            configuration
        ):
            return ReadOutcome.NOTHING_LATER
        return ReadOutcome.TAKEN


class AloneTurns:
    """Lets a process that hears of no peer read now and then.

    Parameters
    ----------
    table : PeerTable
        Tells who was heard.
    clock : Clock
        Measures the silence.
    random : Random
        Spreads the reads of processes that hear nobody.
    """

    __slots__ = ("table", "clock", "random", "due_at")

    def __init__(self, table: PeerTable, clock: Clock, random: Random):
        self.table = table
        self.clock = clock
        self.random = random
        self.due_at: float | None = None

    def take_turn(self) -> bool:
        """Tell whether the process may read once now."""
        now = self.clock.now()
        if self.table.has_heard_any(PEER_SILENCE_SECONDS):
            self.due_at = None
            return False
        if self.due_at is None:
            wait = self.random.uniform(0, PLATFORM_ALONE_SECONDS)
            self.due_at = now + PEER_SILENCE_SECONDS + wait
        if now < self.due_at:
            return False
        self.due_at = now + PLATFORM_ALONE_SECONDS
        return True


class ReadingTurns:
    """Tells when a balancer may call the platform.

    Readers may always do so, at their own rate; any other balancer takes
    a turn while it hears of no peer.

    Parameters
    ----------
    election : ReaderElection
        Tells who reads.
    alone : AloneTurns
        Gives turns to a balancer that hears nobody.
    """

    __slots__ = ("election", "alone")

    def __init__(self, election: ReaderElection, alone: AloneTurns):
        self.election = election
        self.alone = alone

    def take_turn(self) -> bool:
        """Tell whether the own process may read once now."""
        return self.election.is_reader() or self.alone.take_turn()


async def follow_platform(
    reader: PlatformReader, turns: ReadingTurns, random: Random
) -> None:
    """Read or watch when it is the own turn, for as long as it runs."""
    while True:
        if turns.election.is_reader():
            await reader.watch_once()
        elif turns.alone.take_turn():
            await reader.read_once()
        else:
            await sleep(random.uniform(0.5, 1.5) * READER_CHECK_SECONDS)
