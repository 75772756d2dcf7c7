"""Pushes each later version to a few peers as soon as it is in force."""

from prometheus_client import Counter

from chicorycart.address import Address
from chicorycart.configuration.delta import DeltaHistory
from chicorycart.configuration.errors import DeltaMismatchError
from chicorycart.configuration.fetch import VersionFetcher
from chicorycart.configuration.messages import decode_delta
from chicorycart.configuration.messages import decode_version_push
from chicorycart.configuration.messages import Delta
from chicorycart.configuration.messages import encode_delta
from chicorycart.configuration.messages import encode_version_push
from chicorycart.configuration.messages import VersionPush
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.peers import PeerPicker
from chicorycart.configuration.peers import PeerTable
from chicorycart.configuration.version_manager import VersionManager
from chicorycart.defaults import MAX_ENCODED_PUSHES
from chicorycart.defaults import MAX_PUSH_BYTES
from chicorycart.defaults import MAX_PUSHED_SERVICES
from chicorycart.defaults import PUSH_FANOUT
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.pace import TokenBucket

DATAGRAM_OVERHEAD_BYTES = 29


class PacedSender:
    """Sends datagrams within a budget of bytes.

    What is held back is not sent later, since the comparison of versions
    with peers makes up for it.

    Parameters
    ----------
    sender : Sender
        Sends to other processes.
    bucket : TokenBucket
        Holds the bytes that may be sent.
    events : Counter
        Counts what was held back.
    """

    __slots__ = ("sender", "bucket", "events")

    def __init__(self, sender: Sender, bucket: TokenBucket, events: Counter):
        self.sender = sender
        self.bucket = bucket
        self.events = events

    def send(
        self, kind: MessageKind, body: bytes, destination: Address
    ) -> None:
        """Send one message if the budget allows it."""
        if not self.bucket.try_acquire(len(body) + DATAGRAM_OVERHEAD_BYTES):
            self.events.labels("held back").inc()
            return
        self.sender.send(kind, body, destination)


class VersionPusher:
    """Sends and takes rumours.

    Each process pushes each version once, to a few peers; the comparison
    of versions reaches those whom no push reached.

    Parameters
    ----------
    version_manager : VersionManager
        Takes later versions.
    history : DeltaHistory
        Makes the deltas.
    fetcher : VersionFetcher
        Fetches a version whose delta was too large or did not fit.
    table : PeerTable
        Is told who was heard.
    picker : PeerPicker
        Chooses whom to push to.
    sender : PacedSender
        Sends to peers.
    """

    __slots__ = (
        "version_manager",
        "history",
        "fetcher",
        "table",
        "picker",
        "sender",
        "encoded",
    )

    def __init__(
        self,
        version_manager: VersionManager,
        history: DeltaHistory,
        fetcher: VersionFetcher,
        table: PeerTable,
        picker: PeerPicker,
        sender: PacedSender,
    ):
        self.version_manager = version_manager
        self.history = history
        self.fetcher = fetcher
        self.table = table
        self.picker = picker
        self.sender = sender
        self.encoded: dict[int, bytes] = {}

    def change_configuration(self, configuration: Configuration) -> None:
        """Push the version that came into force."""
        self.encoded.clear()
        steps = self.history.steps
        base = steps[-1].base if steps else 0
        for peer in self.picker.pick(PUSH_FANOUT):
            self.push_version(base, peer.data)

    def push_version(self, base: int, destination: Address) -> None:
        """Send the version in force to a peer that has the base."""
        body = self.encoded.get(base)
        if body is None:
            body = self.encode(base)
            if len(self.encoded) >= MAX_ENCODED_PUSHES:
                self.encoded.clear()
            self.encoded[base] = body
        self.sender.send(MessageKind.VERSION_PUSH, body, destination)

    def encode(self, base: int) -> bytes:
        """Return a rumour, with the delta if that is small."""
        delta = self.history.make_delta(base)
        packed = b""
        if may_be_pushed(delta):
            packed = encode_delta(delta)
        if len(packed) > MAX_PUSH_BYTES:
            packed = b""
        return encode_version_push(VersionPush(delta.version, packed))

    def receive(self, body: bytes, source: Address) -> None:
        """Take one rumour; fetch the version if it brings no fit delta."""
        version_push = decode_version_push(body)
        self.table.record_contact(source)
        if not self.version_manager.is_acceptable(version_push.version):
            return
        if version_push.delta and self.take_delta(
            decode_delta(version_push.delta)
        ):
            return
        self.fetcher.notice(version_push.version, self.table.find(source))

    def take_delta(self, delta: Delta) -> bool:
        """Take a pushed delta; False if the version must be fetched."""
        if delta.base > self.version_manager.version:
            return False
        try:
            self.version_manager.activate_delta(delta)
        except DeltaMismatchError:
            self.version_manager.metrics.failed.labels("mismatch").inc()
            return False
        return True


def may_be_pushed(delta: Delta) -> bool:
    """Tell whether a delta may be small enough once it is compressed."""
    return 0 < delta.base < delta.version and (
        len(delta.changed) <= MAX_PUSHED_SERVICES
    )
