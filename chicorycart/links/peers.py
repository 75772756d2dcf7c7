"""Moves the datagrams to one peer to another source port."""

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
    """Something that can send to a peer from another port."""

    def move(self, peer: Address) -> None:
        """Go on to the peer from a new source port."""


class PeerLinks:
    """A link that leaves ports whose path to a peer has gone silent.

    A device between two processes may lose track of one pair of addresses
    and ports for good while it lets new pairs pass. Each peer that was
    moved has a socket of its own, whose datagrams are taken as those of the
    main one are.

    Parameters
    ----------
    main : DatagramLink
        The link on the published port.
    open_socket : callable
        Opens a socket on a new port of the own host.
    """

    __slots__ = ("main", "open_socket", "moved")

    def __init__(
        self, main: DatagramLink, open_socket: Callable[[], OpenSocket]
    ):
        self.main = main
        self.open_socket = open_socket
        self.moved: OrderedDict[Address, OpenSocket] = OrderedDict()

    def register(self, kind: MessageKind, receiver: Receiver) -> None:
        """Hand the messages of one kind to the receiver."""
        self.main.register(kind, receiver)

    def send(
        self, kind: MessageKind, body: bytes, destination: Address
    ) -> None:
        """Send one message on the path in use to its destination."""
        socket = self.moved.get(destination)
        if socket is None:
            self.main.send(kind, body, destination)
        elif not socket.send(bytes((kind,)) + body, destination):
            self.main.dropped.labels("not sent").inc()

    def move(self, peer: Address) -> None:
        """Go on to the peer from a new source port."""
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
        """Release every socket that was opened."""
        for peer in list(self.moved):
            self.release(peer)
