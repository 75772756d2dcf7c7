"""Parses flows in the text form that logs and command lines use."""

from socket import inet_aton

from chicorycart.address import Address
from chicorycart.address import AddressError
from chicorycart.address import parse_address
from chicorycart.packets.errors import PacketError

PROTOCOLS = {"tcp": 6, "udp": 17}
PORT_BYTES = 2


class FlowName:
    """The protocol and the two endpoints of a flow.

    Attributes
    ----------
    protocol : int
        IP protocol number.
    source, destination : Address
        Address of the caller and of the entry.
    """

    __slots__ = ("protocol", "source", "destination")

    def __init__(self, protocol: int, source: Address, destination: Address):
        self.protocol = protocol
        self.source = source
        self.destination = destination

    def encode(self) -> bytes:
        """Encode the five-tuple in the form of `Packet.flow`."""
        return bytes((self.protocol,)) + b"".join(
            inet_aton(end.host) + end.port.to_bytes(PORT_BYTES, "big")
            for end in (self.source, self.destination)
        )


def parse_flow(text: str) -> FlowName:
    """Parse ``tcp:A.B.C.D:PORT>E.F.G.H:PORT`` (or ``udp:``).

    Raises
    ------
    PacketError
        If the text has another form.
    """
    protocol, _, ends = text.partition(":")
    source, _, destination = ends.partition(">")
    if protocol not in PROTOCOLS:
        raise PacketError(f"{text!r}: expected tcp: or udp: at the start")
    try:
        return FlowName(
            PROTOCOLS[protocol],
            parse_address(source),
            parse_address(destination),
        )
    except AddressError as error:
        raise PacketError(
            f"{text!r}: expected tcp:SOURCE:PORT>ENTRY:PORT"
        ) from error
