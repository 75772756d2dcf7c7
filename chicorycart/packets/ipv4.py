"""Reads the caller's IPv4 packet as far as placement needs it."""

from socket import inet_ntoa

import dpkt
from xxhash import xxh64_intdigest

from chicorycart.packets.errors import PacketError

OPENING_FLAGS = dpkt.tcp.TH_SYN | dpkt.tcp.TH_ACK
CLOSING_FLAGS = dpkt.tcp.TH_FIN | dpkt.tcp.TH_RST


class Packet:
    """What placement needs to know of one packet.

    Attributes
    ----------
    raw : bytes
        The whole IPv4 packet.
    flow : bytes
        Five-tuple of the flow: protocol, source, destination; 13 bytes.
    entry : tuple of (str, int, int)
        Destination host, port and protocol.
    is_opening : bool
        Whether it asks for a new connection (a TCP SYN).
    is_closing : bool
        Whether the caller closes or resets its side (TCP FIN or RST).
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
    """Read an IPv4 packet that carries TCP or UDP.

    Raises
    ------
    PacketError
        If it is truncated, a fragment, or of another protocol.
    """
    try:
        ip = dpkt.ip.IP(raw)
        transport = ip.data
        flags = transport.flags if ip.p == dpkt.ip.IP_PROTO_TCP else 0
        ports = (
            transport.sport.to_bytes(2, "big"),
            transport.dport.to_bytes(2, "big"),
        )
    except (dpkt.UnpackError, AttributeError, ValueError) as error:
        raise PacketError(f"not an IPv4 packet: {error!r}") from error
    if ip.p not in (dpkt.ip.IP_PROTO_TCP, dpkt.ip.IP_PROTO_UDP):
        raise PacketError(f"protocol {ip.p} is not carried")
    if ip.len != len(raw) or ip.mf or ip.offset:
        raise PacketError("truncated packet or fragment")
    flow = ip.p.to_bytes(1, "big") + ip.src + ports[0] + ip.dst + ports[1]
    entry = (inet_ntoa(ip.dst), transport.dport, ip.p)
    return Packet(
        raw,
        flow,
        entry,
        flags & OPENING_FLAGS == dpkt.tcp.TH_SYN,
        bool(flags & CLOSING_FLAGS),
    )


def hash_flow(flow: bytes) -> int:
    """Return the 64-bit hash that every instance gives a flow."""
    return xxh64_intdigest(flow)


def describe_flow(flow: bytes) -> str:
    """Return the flow as ``tcp:SOURCE:PORT>DESTINATION:PORT``."""
    protocol = "tcp" if flow[0] == dpkt.ip.IP_PROTO_TCP else "udp"
    source = f"{inet_ntoa(flow[1:5])}:{int.from_bytes(flow[5:7], 'big')}"
    target = f"{inet_ntoa(flow[7:11])}:{int.from_bytes(flow[11:13], 'big')}"
    return f"{protocol}:{source}>{target}"
