"""The messages that processes of the system exchange over UDP."""

from enum import IntEnum
from typing import Protocol

from chicorycart.address import Address
from chicorycart.defaults import DATAGRAM_HEADER_BYTES
from chicorycart.errors import ChicorycartError
from chicorycart.links.sockets import DatagramSocket

KIND_BYTES = 1


class MessageKind(IntEnum):
    """The first byte of every datagram between processes."""

    FORWARD = 1
    HEARTBEAT = 2
    SUSPICION = 3
    OWNER_RECORD = 4
    OWNER_QUERY = 5
    VERSION_PUSH = 6
    VERSION_DIGEST = 7
    SUBSCRIPTION = 8
    SERVICE_UPDATE = 9
    OWNER_ANSWER = 10
    DELIVERY = 11
    FLOW_REPORT = 12
    RETURN = 13
    PROBE = 14
    PROBE_ANSWER = 15


class OneCounter(Protocol):
    """A number that only grows."""

    def inc(self) -> None:
        """Add one."""


class LabelledCounter(Protocol):
    """Counters by the value of one label."""

    def labels(self, value: str) -> OneCounter:
        """Return the counter of one value."""


class Receiver(Protocol):
    """Something that takes the messages of one kind."""

    def receive(self, body: bytes, source: Address) -> None:
        """Take one message without its kind byte."""


class SourceFilter(Protocol):
    """Decides whose datagrams are taken."""

    def is_known(self, host: str) -> bool:
        """Tell whether an instance of the system has this address."""


class Sender(Protocol):
    """Something that sends messages to other processes."""

    def send(
        self, kind: MessageKind, body: bytes, destination: Address
    ) -> None:
        """Send one message; it may be lost without notice."""


def measure_datagram(body: bytes) -> int:
    """Return the bytes that a message takes on the wire, headers included."""
    return DATAGRAM_HEADER_BYTES + KIND_BYTES + len(body)


class DatagramLink:
    """Sends and receives messages over one UDP socket.

    Parameters
    ----------
    socket : DatagramSocket
        The socket to use.
    sources : SourceFilter
        Whose datagrams are taken; others are counted and dropped.
    dropped : LabelledCounter
        Counts what is not taken, by reason.
    """

    __slots__ = ("socket", "sources", "receivers", "dropped")

    def __init__(
        self,
        socket: DatagramSocket,
        sources: SourceFilter,
        dropped: LabelledCounter,
    ):
        self.socket = socket
        self.sources = sources
        self.receivers: dict[int, Receiver] = {}
        self.dropped = dropped

    def register(self, kind: MessageKind, receiver: Receiver) -> None:
        """Hand the messages of one kind to the receiver."""
        self.receivers[kind] = receiver

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Hand one datagram to its receiver, or count why not."""
        if not self.sources.is_known(source.host):
            self.dropped.labels("foreign").inc()
            return
        receiver = self.receivers.get(data[0]) if data else None
        if receiver is None:
            self.dropped.labels("unknown kind").inc()
            return
        try:
            receiver.receive(data[1:], source)
        except ChicorycartError:
            self.dropped.labels("malformed").inc()

    def send(
        self, kind: MessageKind, body: bytes, destination: Address
    ) -> None:
        """Send one message; count it if the kernel has no room."""
        if not self.socket.send(bytes((kind,)) + body, destination):
            self.dropped.labels("not sent").inc()
