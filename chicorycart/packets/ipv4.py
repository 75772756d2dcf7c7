"""Parses the fields of IPv4, TCP and UDP headers that placement needs."""

from socket import inet_ntoa
from struct import Struct

from dpkt.ip import IP_PROTO_TCP
from dpkt.ip import IP_PROTO_UDP
from dpkt.tcp import TH_ACK
from dpkt.tcp import TH_FIN
from dpkt.tcp import TH_RST
from dpkt.tcp import TH_SYN

from chicorycart.packets.errors import PacketError

OPENING_FLAGS = TH_SYN | TH_ACK
CLOSING_FLAGS = TH_FIN | TH_RST
IPV4_HEADER = Struct(">BxHxxHxB10x")
IPV4_FIRST_BYTES = range(0x45, 0x50)
HEADER_LENGTH_MASK = 0x0F
FRAGMENT_MASK = 0x3FFF
WORD_BYTES = 4
TCP_HEADER_BYTES = 20
TCP_OFFSET_BYTE = 12
TCP_FLAGS_BYTE = 13
UDP_HEADER_BYTES = 8


class Packet:
    """The parsed fields of one IPv4 packet.

    Attributes
    ----------
    raw : bytes
        The whole IPv4 packet.
    flow : bytes
        Five-tuple of the flow: protocol, source, destination (13 bytes).
    entry : tuple of (str, int, int)
        Destination host, port and protocol.
    is_opening : bool
        Whether it opens a connection (TCP SYN without ACK).
    is_closing : bool
        Whether it closes or resets the caller's side (TCP FIN or RST).
    """

    __slots__ = ("raw", "flow", "entry", "is_opening", "is_closing")

    def __init__(
        self,
        raw: bytes,
        flow: bytes,
        entry: tuple[str, int, int],
        is_opening: bool,
        is_closing: bool,
    ):
        self.raw = raw
        self.flow = flow
        self.entry = entry
        self.is_opening = is_opening
        self.is_closing = is_closing


def parse_packet(raw: bytes) -> Packet:
    """Parse an IPv4 packet that carries TCP or UDP.

    Checksums and options are not checked.

    Raises
    ------
    PacketError
        If it is truncated, a fragment, or carries another protocol.
    """
    if len(raw) < IPV4_HEADER.size:
        raise PacketError("IPv4 packet: header is truncated")
    first_byte, length, fragment, protocol = IPV4_HEADER.unpack_from(raw)
    if first_byte not in IPV4_FIRST_BYTES:
        raise PacketError(
            "IPv4 packet: expected version 4 and a header of 20 to 60 bytes"
        )
    if length != len(raw) or fragment & FRAGMENT_MASK:
        raise PacketError(
            "IPv4 packet: total length differs from the bytes received, or"
            " the packet is a fragment"
        )
    transport_start = (first_byte & HEADER_LENGTH_MASK) * WORD_BYTES
    flags = read_flags(raw, protocol, transport_start)
    flow = (
        raw[9:10]
        + raw[12:16]
        + raw[transport_start : transport_start + 2]
        + raw[16:20]
        + raw[transport_start + 2 : transport_start + 4]
    )
    port = raw[transport_start + 2] << 8 | raw[transport_start + 3]
    return Packet(
        raw,
        flow,
        (inet_ntoa(raw[16:20]), port, protocol),
        flags & OPENING_FLAGS == TH_SYN,
        flags & CLOSING_FLAGS != 0,
    )


def read_flags(raw: bytes, protocol: int, transport_start: int) -> int:
    """Return the TCP flags, or 0 for UDP, after checking header lengths.

    Raises
    ------
    PacketError
        If the transport header is truncated or of another protocol.
    """
    available = len(raw) - transport_start
    if protocol == IP_PROTO_TCP:
        if available < TCP_HEADER_BYTES:
            raise PacketError("TCP header: expected at least 20 bytes")
        size = (raw[transport_start + TCP_OFFSET_BYTE] >> 4) * WORD_BYTES
        if not TCP_HEADER_BYTES <= size <= available:
            raise PacketError(
                "TCP header: data offset is below 20 bytes or beyond the"
                " end of the packet"
            )
        return raw[transport_start + TCP_FLAGS_BYTE]
    if protocol != IP_PROTO_UDP:
        raise PacketError(
            f"IPv4 packet: protocol {protocol}, expected TCP or UDP"
        )
    if available < UDP_HEADER_BYTES:
        raise PacketError("UDP header: expected at least 8 bytes")
    return 0
