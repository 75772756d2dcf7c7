"""Changes the source port of the datagrams to one peer."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from logbook import Logger

from chicorycart.address import Address
from chicorycart.defaults import MAX_MOVED_PEERS
from chicorycart.links.datagrams import DatagramLink
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Receiver
from chicorycart.links.errors import LinkError
from chicorycart.links.sockets import OpenSocket

LOGGER = Logger("links")


class PathMigrator(Protocol):
    """Sender that can change its source port for one peer."""

    def move(self, peer: Address) -> None:
        """Send to the peer from a new source port from now on."""


class PeerLinks:
    """A link that sends to chosen peers from source ports of their own.

    A network device with connection tracking may drop one pair of addresses
    and ports for good while it passes new pairs. So a peer whose path is
    dead gets a socket on a new port. What this socket receives is handled
    as on the main one.

    Parameters
    ----------
    main : DatagramLink
        The link on the published port, used for all other peers.
    open_socket : callable
        Opens a socket on a new port of the own host.

    Attributes
    ----------
    moved : OrderedDict
        Sockets of moved peers by address, the earliest moved first. At
        `MAX_MOVED_PEERS`, that one goes back to the published port.
    """

    __slots__ = ("main", "open_socket", "moved")

    def __init__(
        self, main: DatagramLink, open_socket: Callable[[], OpenSocket]
    ):
        self.main = main
        self.open_socket = open_socket
        self.moved: OrderedDict[Address, OpenSocket] = OrderedDict()

    def register(self, kind: MessageKind, receiver: Receiver) -> None:
        """Set the receiver of the messages of one kind, on every port."""
        self.main.register(kind, receiver)

    def send(
        self, kind: MessageKind, body: bytes, destination: Address
    ) -> None:
        """Send one message from the source port in use for its destination."""
        socket = self.moved.get(destination)
        if socket is None:
            self.main.send(kind, body, destination)
        elif not socket.send(bytes((kind,)) + body, destination):
            self.main.dropped.labels("not sent").inc()

    def move(self, peer: Address) -> None:
        """Send to the peer from a new source port from now on."""
        try:
            socket = self.open_socket()
        except LinkError as error:
            LOGGER.error("event=move_failed error={!r}", str(error))
            return
        socket.start(self.main)
        self.release(peer)
        self.moved[peer] = socket
        if len(self.moved) > MAX_MOVED_PEERS:
            self.release(next(iter(self.moved)))
        LOGGER.info("event=path_moved peer={} port={}", peer, socket.address)

    def release(self, peer: Address) -> None:
        """Send to the peer from the published port again."""
        socket = self.moved.pop(peer, None)
        if socket is not None:
            socket.close()

    def close(self) -> None:
        """Close every socket of a moved peer."""
        for peer in list(self.moved):
            self.release(peer)
