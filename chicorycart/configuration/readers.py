"""Chooses the few balancers of a failure domain that watch the platform."""

from heapq import nlargest

from xxhash import xxh64_intdigest

from chicorycart.address import Address
from chicorycart.configuration.model import hash_name
from chicorycart.configuration.peers import Peer
from chicorycart.configuration.peers import PeerTable
from chicorycart.defaults import READER_CANDIDATES
from chicorycart.defaults import READER_SILENCE_SECONDS
from chicorycart.defaults import READERS_PER_DOMAIN


class ReaderElection:
    """Ranks the balancers of the own domain by rendezvous hash.

    The first ones read; a later candidate reads while too few of those
    before it answer. Two that disagree both read, which costs calls only.

    Parameters
    ----------
    table : PeerTable
        The peers and when they were heard.
    """

    __slots__ = ("table", "seed", "known", "ranked", "before")

    def __init__(self, table: PeerTable):
        self.table = table
        self.seed = hash_name(table.domain)
        self.known: dict[Address, Peer] | None = None
        self.ranked: list[Peer] = []
        self.before: list[Peer] = []

    def list_ranked(self) -> list[Peer]:
        """Return the first candidates among the peers of the domain."""
        self.rank()
        return self.ranked

    def list_before(self) -> list[Peer] | None:
        """Return the candidates before the own process.

        None if the own process is no candidate.
        """
        self.rank()
        return self.before if len(self.before) < READER_CANDIDATES else None

    def is_reader(self) -> bool:
        """Tell whether the own process watches the platform now."""
        before = self.list_before()
        if before is None:
            return False
        alive = [
            peer
            for peer in before
            if not self.table.is_silent(peer.data, READER_SILENCE_SECONDS)
        ]
        return len(alive) < READERS_PER_DOMAIN

    def rank(self) -> None:
        """Rank the peers anew if their list has changed."""
        if self.known is self.table.peers:
            return
        self.known = self.table.peers
        self.ranked = nlargest(
            READER_CANDIDATES,
            self.table.list_domain(),
            key=lambda peer: self.score(peer.name),
        )
        own = self.score(self.table.own)
        self.before = [p for p in self.ranked if self.score(p.name) > own]

    def score(self, name: str) -> int:
        """Return the rank value of a name; the highest one reads."""
        return xxh64_intdigest(name.encode(), seed=self.seed)
