"""Compares versions with peers, so that lost pushes are made up for."""

from asyncio import sleep
from random import Random

from logbook import Logger

from chicorycart.address import Address
from chicorycart.configuration.fetch import VersionFetcher
from chicorycart.configuration.messages import decode_digest
from chicorycart.configuration.messages import Digest
from chicorycart.configuration.messages import encode_digest
from chicorycart.configuration.peers import PeerPicker
from chicorycart.configuration.peers import PeerTable
from chicorycart.configuration.pusher import PacedSender
from chicorycart.configuration.pusher import VersionPusher
from chicorycart.configuration.readers import ReaderElection
from chicorycart.configuration.version_manager import VersionManager
from chicorycart.defaults import DIGEST_SECONDS
from chicorycart.defaults import READER_PROBE_SECONDS
from chicorycart.links.datagrams import MessageKind

LOGGER = Logger("configuration")


class DigestExchange:
    """Anti-entropy: sends digests and answers those of others.

    Whichever side is behind learns of it: the receiver pushes what the
    sender lacks, or fetches what it lacks itself.

    Parameters
    ----------
    version_manager : VersionManager
        Tells the version in force.
    pusher : VersionPusher
        Sends what a peer lacks.
    fetcher : VersionFetcher
        Fetches what is lacked here.
    table : PeerTable
        Is told who was heard.
    picker : PeerPicker
        Chooses the peers.
    sender : PacedSender
        Sends to peers.
    """

    __slots__ = (
        "version_manager",
        "pusher",
        "fetcher",
        "table",
        "picker",
        "sender",
    )

    def __init__(
        self,
        version_manager: VersionManager,
        pusher: VersionPusher,
        fetcher: VersionFetcher,
        table: PeerTable,
        picker: PeerPicker,
        sender: PacedSender,
    ):
        self.version_manager = version_manager
        self.pusher = pusher
        self.fetcher = fetcher
        self.table = table
        self.picker = picker
        self.sender = sender

    async def run(self, random: Random) -> None:
        """Send digests for as long as the process runs."""
        while True:
            await sleep(random.uniform(0.5, 1.5) * DIGEST_SECONDS)
            for peer in self.picker.pick(1):
                self.send_digest(peer.data)

    async def probe(self, election: ReaderElection, random: Random) -> None:
        """Ask the candidates before the own process for sign of life."""
        while True:
            await sleep(random.uniform(0.5, 1.5) * READER_PROBE_SECONDS)
            for peer in election.list_before() or ():
                self.send_digest(peer.data, wants_reply=True)

    def send_digest(
        self, destination: Address, wants_reply: bool = False
    ) -> None:
        """Tell a peer the version in force."""
        current = self.version_manager.store.current
        digest = Digest(current.version, current.fingerprint, wants_reply)
        self.sender.send(
            MessageKind.VERSION_DIGEST, encode_digest(digest), destination
        )

    def receive(self, body: bytes, source: Address) -> None:
        """Bring the side that is behind up to date."""
        digest = decode_digest(body)
        self.table.record_contact(source)
        current = self.version_manager.store.current
        if digest.version > current.version:
            peer = self.table.find(source)
            self.fetcher.notice(digest.version, peer)
        elif digest.version < current.version:
            self.pusher.push_version(digest.version, source)
        elif digest.fingerprint != current.fingerprint:
            self.report_difference(digest, source)
        if digest.wants_reply:
            self.send_digest(source)

    def report_difference(self, digest: Digest, source: Address) -> None:
        """Log and count two contents under one number."""
        LOGGER.error(
            "event=differs version={} peer={}", digest.version, source
        )
        self.version_manager.metrics.events.labels("differs").inc()
