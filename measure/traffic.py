"""Builds packets of callers."""

from random import Random

import dpkt

PROTOCOL_TCP = 6
ENTRY_HOST = bytes((198, 51, 100, 1))
ENTRY_PORT = 80
PAYLOAD_BYTES = 512


def make_packet(flow: int, flags: int, payload: bytes = b"") -> bytes:
    """Return a TCP packet of the flow of that number to the entry."""
    tcp = dpkt.tcp.TCP(
        sport=1024 + flow % 60_000,
        dport=ENTRY_PORT,
        flags=flags,
        data=payload,
    )
    source = (10 << 24) + flow // 60_000
    ip = dpkt.ip.IP(
        src=source.to_bytes(4, "big"),
        dst=ENTRY_HOST,
        p=PROTOCOL_TCP,
        data=tcp,
    )
    ip.len = len(ip)
    return bytes(ip)


def make_opening(flow: int) -> bytes:
    """Return the packet that opens a flow."""
    return make_packet(flow, dpkt.tcp.TH_SYN)


def make_data(flow: int, random: Random) -> bytes:
    """Return a packet with data of an open flow."""
    return make_packet(flow, dpkt.tcp.TH_ACK, random.randbytes(PAYLOAD_BYTES))
