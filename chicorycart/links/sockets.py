"""Non-blocking UDP sockets on the event loop."""

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
    """Callback for received datagrams."""

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Handle one datagram; must not raise."""


class PacketSender(Protocol):
    """Socket that sends packets."""

    def send(self, data: bytes, destination: Address) -> bool:
        """Send one datagram; return False if it was not accepted."""


class OpenSocket(Protocol):
    """A bound datagram socket.

    Attributes
    ----------
    address : Address
        Local address.
    received : int
        Datagrams received so far.
    """

    address: Address
    received: int

    def start(self, datagram_handler: DatagramHandler) -> None:
        """Pass every received datagram to the handler."""

    def send(self, data: bytes, destination: Address) -> bool:
        """Send one datagram; return False if it was not accepted."""

    def close(self) -> None:
        """Stop reading and close the socket."""


SocketOpener = Callable[[Address], OpenSocket]


class DatagramSocket:
    """A bound UDP socket.

    Parameters
    ----------
    address : Address
        Local address; with port 0 the kernel chooses one.

    Attributes
    ----------
    received : int
        Datagrams received so far.

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
                f"cannot bind UDP socket to {address}: {error.strerror}"
            ) from error
        self.address = Address(*self.socket.getsockname())
        self.received = 0

    def start(self, datagram_handler: DatagramHandler) -> None:
        """Pass received datagrams to the handler, on the running loop."""
        self.datagram_handler = datagram_handler
        IOLoop.current().add_handler(
            self.socket.fileno(), self.read_batch, IOLoop.READ
        )

    def close(self) -> None:
        """Stop reading and close the socket."""
        IOLoop.current().remove_handler(self.socket.fileno())
        self.socket.close()

    def read_batch(self, descriptor: int, events: int) -> None:
        """Read waiting datagrams, at most `RECEIVE_BATCH`.

        The limit gives other work of the event loop its turn.
        """
        for _ in range(RECEIVE_BATCH):
            try:
                data, source = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # The kernel reports here that an earlier datagram met a closed
                # port (ICMP); received datagrams may still wait.
                continue
            self.received += 1
            self.datagram_handler.handle_datagram(data, Address(*source))

    def send(self, data: bytes, destination: Address) -> bool:
        """Send one datagram; return False if the kernel rejected it."""
        try:
            self.socket.sendto(data, destination)
        except OSError:
            return False
        return True
