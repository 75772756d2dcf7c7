"""Messages between processes of the system, over UDP."""

from enum import IntEnum
from typing import Protocol

from chicorycart.address import Address
from chicorycart.defaults import DATAGRAM_HEADER_BYTES
from chicorycart.errors import ChicorycartError
from chicorycart.links.sockets import DatagramSocket

KIND_BYTES = 1


class MessageKind(IntEnum):
    """Type of a message: the first byte of its datagram."""

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
    EVACUATION = 16


class EventCounter(Protocol):
    """A counter of metrics."""

    def inc(self) -> None:
        """Add one."""


class LabelledCounter(Protocol):
    """A counter of metrics with one label."""

    def labels(self, value: str) -> EventCounter:
        """Return the counter of one value of the label."""


class Receiver(Protocol):
    """Handler of the messages of one kind."""

    def receive(self, body: bytes, source: Address) -> None:
        """Handle one message, given without its kind byte.

        Raises
        ------
        ChicorycartError
            If the message is malformed; the link counts and drops it.
        """


class SourceFilter(Protocol):
    """Filter of datagrams by their source address."""

    def is_known(self, host: str) -> bool:
        """Tell whether an instance of the system has this address."""


class Sender(Protocol):
    """Sender of messages to other processes."""

    def send(
        self, kind: MessageKind, body: bytes, destination: Address
    ) -> None:
        """Send one message, which may be lost without an error."""


def measure_datagram(body: bytes) -> int:
    """Return the size of a message in bytes, IPv4 and UDP headers included."""
    return DATAGRAM_HEADER_BYTES + KIND_BYTES + len(body)


class DatagramLink:
    """Sends and receives messages over one UDP socket.

    Parameters
    ----------
    socket : DatagramSocket
        The socket to use.
    sources : SourceFilter
        Filter of received datagrams; the others are counted and dropped.
    dropped : LabelledCounter
        Counts datagrams that are dropped or not sent, by reason.
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
        """Set the receiver of the messages of one kind."""
        self.receivers[kind] = receiver

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Pass a datagram to its receiver, or count why it is dropped."""
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
        """Send one message; count it if the kernel does not accept it."""
        if not self.socket.send(bytes((kind,)) + body, destination):
            self.dropped.labels("not sent").inc()
