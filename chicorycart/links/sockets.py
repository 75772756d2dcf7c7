"""A non-blocking UDP socket that hands on what it reads in batches."""

from collections.abc import Callable
from socket import AF_INET
from socket import SO_RCVBUF
from socket import SOCK_DGRAM
from socket import socket
from socket import SOL_SOCKET
from typing import Protocol

from tornado.ioloop import IOLoop

from chicorycart.address import Address
from chicorycart.defaults import MAX_DATAGRAM_BYTES
from chicorycart.defaults import RECEIVE_BATCH
from chicorycart.defaults import SOCKET_BUFFER_BYTES
from chicorycart.links.errors import LinkError


class DatagramHandler(Protocol):
    """Something that takes datagrams as they come from the socket."""

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Take one datagram; raises nothing."""


class PacketSender(Protocol):
    """A socket that packets leave by."""

    def send(self, data: bytes, destination: Address) -> bool:
        """Send one datagram; return False if it was not taken."""


class OpenSocket(Protocol):
    """A bound datagram socket.

    Attributes
    ----------
    address : Address
        Where it is bound.
    received : int
        Datagrams read so far.
    """

    address: Address
    received: int

    def start(self, datagram_handler: DatagramHandler) -> None:
        """Hand every datagram to the taker."""

    def send(self, data: bytes, destination: Address) -> bool:
        """Send one datagram; return False if it was not taken."""

    def close(self) -> None:
        """Stop reading and release the socket."""


SocketOpener = Callable[[Address], OpenSocket]


class DatagramSocket:
    """A bound UDP socket.

    Parameters
    ----------
    address : Address
        Where to bind; port 0 lets the kernel choose.

    Attributes
    ----------
    received : int
        Datagrams read so far.

    Raises
    ------
    LinkError
        If the address cannot be bound.
    """

    __slots__ = ("socket", "address", "datagram_handler", "received")

    def __init__(self, address: Address):
        self.socket = socket(AF_INET, SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(SOL_SOCKET, SO_RCVBUF, SOCKET_BUFFER_BYTES)
        try:
            self.socket.bind(address)
        except OSError as error:
            self.socket.close()
            raise LinkError(
                f"cannot bind {address}: {error.strerror}"
            ) from error
        self.address = Address(*self.socket.getsockname())
        self.received = 0

    def start(self, datagram_handler: DatagramHandler) -> None:
        """Hand every datagram to the taker, on the running loop."""
        self.datagram_handler = datagram_handler
        IOLoop.current().add_handler(
            self.socket.fileno(), self.read_batch, IOLoop.READ
        )

    def close(self) -> None:
        """Stop reading and release the socket."""
        IOLoop.current().remove_handler(self.socket.fileno())
        self.socket.close()

    def read_batch(self, descriptor: int, events: int) -> None:
        """Take up to one batch of waiting datagrams."""
        for _ in range(RECEIVE_BATCH):
            try:
                data, source = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # A peer's port was closed; the kernel reports it here.
                continue
            self.received += 1
            self.datagram_handler.handle_datagram(data, Address(*source))

    def send(self, data: bytes, destination: Address) -> bool:
        """Send one datagram; return False if the kernel took it not."""
        try:
            self.socket.sendto(data, destination)
        except OSError:
            return False
        return True
