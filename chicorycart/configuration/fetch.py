"""Fetches versions that others were heard to have."""

from asyncio import Event
from asyncio import Lock
from collections import deque
from random import Random
from typing import Protocol

from logbook import Logger

from chicorycart.clock import Clock
from chicorycart.configuration.backoff import Backoff
from chicorycart.configuration.errors import DeltaMismatchError
from chicorycart.configuration.errors import MessageError
from chicorycart.configuration.errors import PeerError
from chicorycart.configuration.messages import Delta
from chicorycart.configuration.peers import Peer
from chicorycart.configuration.peers import PeerPicker
from chicorycart.configuration.version_manager import VersionManager
from chicorycart.defaults import FETCH_TRIES
from chicorycart.defaults import FETCHES_BURST
from chicorycart.defaults import FETCHES_PER_SECOND
from chicorycart.pace import TokenBucket

LOGGER = Logger("configuration")


class DeltaSource(Protocol):
    """Reads from peers."""

    async def fetch_delta(self, peer: Peer, after: int) -> Delta | None:
        """Return what leads from a version to the peer's own.

        None if the peer has nothing later.

        Raises
        ------
        PeerError
            If the peer did not answer.
        """

    async def fetch_version(self, peer: Peer) -> int:
        """Return the version that a peer has in force, 0 for none.

        Raises
        ------
        PeerError
            If the peer did not answer.
        """


class VersionFetcher:
    """Fetches later versions from peers, one after the other.

    An announced version that nobody hands out after some tries is dropped
    until it is announced again, so that a false announcement ends.

    Parameters
    ----------
    version_manager : VersionManager
        Takes what was fetched.
    source : DeltaSource
        Reads from peers.
    picker : PeerPicker
        Gives peers to ask when no announcer answers.
    random : Random
        Spreads the tries.
    clock : Clock
        Paces the fetches.
    """

    __slots__ = (
        "version_manager",
        "source",
        "picker",
        "backoff",
        "pace",
        "wanted",
        "holders",
        "noticed",
        "whole",
        "lock",
    )

    def __init__(
        self,
        version_manager: VersionManager,
        source: DeltaSource,
        picker: PeerPicker,
        random: Random,
        clock: Clock,
    ):
        self.version_manager = version_manager
        self.source = source
        self.picker = picker
        self.backoff = Backoff(random)
        self.pace = TokenBucket(clock, FETCHES_PER_SECOND, FETCHES_BURST)
        self.wanted = 0
        self.holders: deque[Peer] = deque(maxlen=FETCH_TRIES)
        self.noticed = Event()
        self.whole = False
        self.lock = Lock()

    def notice(self, version: int, holder: Peer | None) -> None:
        """Want a version that is later than the one in force."""
        if not self.version_manager.is_acceptable(version):
            return
        self.wanted = max(self.wanted, version)
        if holder is not None and holder not in self.holders:
            self.holders.append(holder)
        self.noticed.set()

    async def run(self) -> None:
        """Fetch whatever is wanted for as long as the process runs."""
        while True:
            await self.noticed.wait()
            self.noticed.clear()
            await self.catch_up()

    async def catch_up(self) -> None:
        """Fetch until the wanted version is in force or the tries end."""
        self.backoff.reset()
        for _ in range(FETCH_TRIES):
            # The jitter lets a push that is under way arrive first.
            await self.backoff.wait()
            if self.wanted <= self.version_manager.version:
                break
            peer = self.next_peer()
            if peer is None:
                break
            await self.pace.acquire(1)
            await self.fetch_from(peer)
        if not self.noticed.is_set():
            self.wanted = 0
            self.holders.clear()

    def next_peer(self) -> Peer | None:
        """Return the next announcer, or any peer when there is none."""
        if self.holders:
            return self.holders.popleft()
        picked = self.picker.pick(1)
        return picked[0] if picked else None

    async def fetch_from(self, peer: Peer) -> bool:
        """Ask one peer; return whether a later version came into force.

        After a delta that did not fit, whole versions are asked for until
        one came into force.
        """
        async with self.lock:
            return await self.fetch_delta(peer)

    async def fetch_delta(self, peer: Peer) -> bool:
        """Ask one peer while no other fetch is under way."""
        after = 0 if self.whole else self.version_manager.version
        try:
            delta = await self.source.fetch_delta(peer, after)
            if (
                delta is None
                or not await self.version_manager.activate_fetched(delta)
            ):
                return False
        except DeltaMismatchError as error:
            LOGGER.warning(
                "event=mismatch peer={} error={!r}", peer.name, str(error)
            )
            self.version_manager.metrics.failed.labels("mismatch").inc()
            self.whole = True
            return False
        except (PeerError, MessageError) as error:
            LOGGER.info(
                "event=fetch_failed peer={} error={!r}", peer.name, str(error)
            )
            self.version_manager.metrics.failed.labels("peer").inc()
            return False
        self.whole = False
        return True
