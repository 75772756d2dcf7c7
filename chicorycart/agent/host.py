"""Hands packets to the kernel of the agent's own instance."""

from chicorycart.address import Address
from chicorycart.links.sockets import DatagramSocket


class DecapsulatingHost:
    """The own instance, which unpacks IP in UDP as Linux ``fou`` does.

    Parameters
    ----------
    socket : DatagramSocket
        Sends the packets.
    address : Address
        The decapsulation port of the instance.

    Attributes
    ----------
    delivered : int
        Packets sent so far.
    """

    __slots__ = ("socket", "address", "delivered")

    def __init__(self, socket: DatagramSocket, address: Address):
        self.socket = socket
        self.address = address
        self.delivered = 0

    def deliver(self, packet: bytes) -> None:
        """Send an IPv4 packet to the decapsulation port."""
        self.delivered += 1
        self.socket.send(packet, self.address)
