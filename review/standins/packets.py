"""Packets of the platform: a head of 31 bytes and up to 1,200 of data."""

from socket import inet_aton
from socket import inet_ntoa
from struct import Struct
from typing import NamedTuple
from zlib import crc32

HEAD = Struct(">4sHH4sBHIIII")
FLAGS_AT = 12
KEY = b"known to clients and hosts only"

ACK = 1
RST = 4
BOUNCED = 8
SYN = 32
FIN = 128


class Flow(NamedTuple):
    """Addresses and ports of a client and of the route that it calls."""

    client: str
    client_port: int
    route: str
    route_port: int


class Packet(NamedTuple):
    """One packet, decoded."""

    source: str
    source_port: int
    destination: str
    destination_port: int
    flags: int
    sequence: int
    acknowledged: int
    sum: int
    data: bytes


def compute_sum(head: tuple, data: bytes) -> int:
    """Return the keyed sum over all fields but `echo` and BOUNCED."""
    fields = (*head[:4], head[4] & ~BOUNCED, *head[5:])
    return crc32(repr(fields).encode() + data + KEY)


def encode(
    source: tuple[str, int],
    destination: tuple[str, int],
    flags: int,
    sequence: int,
    acknowledged: int,
    data: bytes = b"",
) -> bytes:
    """Return a packet with its sum."""
    head = (
        inet_aton(destination[0]),
        source[1],
        destination[1],
        inet_aton(source[0]),
        flags,
        len(data),
        sequence,
        acknowledged,
    )
    return HEAD.pack(*head, 0, compute_sum(head, data)) + data


def decode(raw: bytes) -> Packet:
    """Return the fields of a packet."""
    to, sport, dport, by, flags, _, sequence, ack, _, total = HEAD.unpack_from(
        raw
    )
    return Packet(
        inet_ntoa(by),
        sport,
        inet_ntoa(to),
        dport,
        flags,
        sequence,
        ack,
        total,
        raw[HEAD.size :],
    )


def has_valid_sum(raw: bytes) -> bool:
    """Tell whether a packet is as its sender wrote it."""
    *head, _, total = HEAD.unpack_from(raw)
    return total == compute_sum(tuple(head), raw[HEAD.size :])


def mark_bounced(raw: bytes) -> bytes:
    """Return a packet with BOUNCED set."""
    flags = raw[FLAGS_AT] | BOUNCED
    return raw[:FLAGS_AT] + bytes((flags,)) + raw[FLAGS_AT + 1 :]
