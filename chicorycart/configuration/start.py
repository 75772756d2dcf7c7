"""Decides from when on a process may serve with the version it has."""

from asyncio import Event
from asyncio import gather
from random import Random

from logbook import Logger

from chicorycart.clock import Clock
from chicorycart.configuration.backoff import Backoff
from chicorycart.configuration.errors import PeerError
from chicorycart.configuration.fetch import VersionFetcher
from chicorycart.configuration.follow import PlatformReader
from chicorycart.configuration.follow import ReadingTurns
from chicorycart.configuration.follow import ReadOutcome
from chicorycart.configuration.peers import Peer
from chicorycart.configuration.peers import PeerPicker
from chicorycart.configuration.version_manager import VersionManager
from chicorycart.defaults import BACKOFF_MAX_SECONDS
from chicorycart.defaults import READERS_PER_DOMAIN
from chicorycart.defaults import START_PEERS
from chicorycart.defaults import START_WAIT_SECONDS

LOGGER = Logger("configuration")


class Answer:
    """The version that a peer has in force."""

    __slots__ = ("peer", "version")

    def __init__(self, peer: Peer, version: int):
        self.peer = peer
        self.version = version


class StartGate:
    """Holds a process back until it knows the highest version around.

    In each round it asks readers of its domain, those who answered before
    and some who were not asked yet; and the platform if it is its own turn
    to read. It serves after a round in which it has in force, at least, the
    highest version that was answered, and in which enough peers answered
    or the longest wait was over. With no version at all it does not serve.

    Parameters
    ----------
    version_manager : VersionManager
        Tells the version in force.
    reader : PlatformReader
        Reads the platform.
    turns : ReadingTurns
        Tells who reads in the own domain.
    fetcher : VersionFetcher
        Asks and reads peers.
    picker : PeerPicker
        Chooses peers besides the readers.
    random : Random
        Spreads the rounds.
    clock : Clock
        Measures the wait.

    Attributes
    ----------
    is_open : bool
        Whether the process may serve.
    opened : Event
        Set once the process could serve for the first time.
    """

    __slots__ = (
        "version_manager",
        "reader",
        "turns",
        "fetcher",
        "picker",
        "random",
        "clock",
        "is_open",
        "opened",
        "resumed",
        "answered",
        "silent",
    )

    def __init__(
        self,
        version_manager: VersionManager,
        reader: PlatformReader,
        turns: ReadingTurns,
        fetcher: VersionFetcher,
        picker: PeerPicker,
        random: Random,
        clock: Clock,
    ):
        self.version_manager = version_manager
        self.reader = reader
        self.turns = turns
        self.fetcher = fetcher
        self.picker = picker
        self.random = random
        self.clock = clock
        self.is_open = False
        self.opened = Event()
        self.resumed = 0
        self.answered: dict[str, Peer] = {}
        self.silent: set[str] = set()

    def close(self) -> None:
        """Make what was answered so far count no longer."""
        self.is_open = False
        self.resumed += 1

    async def run(self) -> None:
        """Ask in rounds until the process may serve."""
        deadline = self.clock.now() + START_WAIT_SECONDS
        self.answered.clear()
        self.silent.clear()
        backoff = Backoff(self.random)
        while not self.is_open:
            resumed = self.resumed
            if not await self.ask_round(deadline):
                left = deadline - self.clock.now()
                await backoff.wait(left if left > 0 else BACKOFF_MAX_SECONDS)
            elif resumed == self.resumed:
                self.is_open = True
        self.opened.set()
        LOGGER.info("event=started version={}", self.version_manager.version)

    async def ask_round(self, deadline: float) -> bool:
        """Ask everybody once; return whether the process may serve."""
        heard = await self.ask_peers()
        outcome = ReadOutcome.NOTHING_LATER
        if self.turns.take_turn():
            outcome = await self.reader.read_once()
        for answer in heard:
            if self.version_manager.is_acceptable(answer.version):
                await self.fetcher.fetch_from(answer.peer)
        highest = heard[0].version if heard else 0
        if (
            not self.version_manager.version
            or self.version_manager.is_acceptable(highest)
        ):
            return False
        is_enough = len(heard) >= min(START_PEERS, self.count_peers())
        if is_enough and outcome is not ReadOutcome.FAILED:
            return True
        return self.clock.now() >= deadline

    async def ask_peers(self) -> list[Answer]:
        """Ask this round's peers; return the answers, highest first."""
        asked = self.choose_peers()
        results = await gather(*(self.ask(peer) for peer in asked))
        heard = [answer for answer in results if answer is not None]
        self.answered = {answer.peer.name: answer.peer for answer in heard}
        self.silent.update(
            peer.name for peer in asked if peer.name not in self.answered
        )
        return sorted(heard, key=lambda a: a.version, reverse=True)

    def choose_peers(self) -> list[Peer]:
        """Return whom to ask: readers, who answered before, and others."""
        known = self.silent.union(self.answered)
        picked = self.picker.pick(START_PEERS + len(known))
        fresh = [peer for peer in picked if peer.name not in known]
        if not fresh:
            # Everybody was asked, so that the silent ones are asked again.
            self.silent.clear()
        chosen = dict(self.answered)
        chosen.update((p.name, p) for p in fresh[:START_PEERS])
        first = self.turns.election.list_ranked()[:READERS_PER_DOMAIN]
        chosen.update((peer.name, peer) for peer in first)
        return list(chosen.values())

    def count_peers(self) -> int:
        """Return how many peers are known."""
        return len(self.turns.election.table.peers)

    async def ask(self, peer: Peer) -> Answer | None:
        """Return a peer's answer, None if it is silent."""
        try:
            version = await self.fetcher.source.fetch_version(peer)
        except PeerError:
            return None
        self.turns.election.table.record_contact(peer.data)
        return Answer(peer, version)
