"""Packets of the platform, as clients and hosts of the review write them."""

from socket import inet_aton
from socket import inet_ntoa
from struct import Struct
from zlib import crc32

HEAD = Struct(">4sHH4sBHIIII")
ACK = 1
RST = 4
BOUNCED = 8
SYN = 32
FIN = 128
KEY = b"known to clients and hosts only"
MASK = 0xFFFFFFFF
FLAGS_AT = 12


class Packet:
    """One packet, decoded.

    Attributes
    ----------
    source, target : tuple of (str, int)
        Ends of the flow.
    flags, seq, ack, total : int
        Fields of the head; the total is the keyed sum.
    body : bytes
        The data.
    """

    __slots__ = ("source", "target", "flags", "seq", "ack", "total", "body")

    def __init__(self, source, target, flags, seq, ack, total, body):
        self.source = source
        self.target = target
        self.flags = flags
        self.seq = seq
        self.ack = ack
        self.total = total
        self.body = body

    @property
    def flow(self):
        """Client and entry, in the order of a client's packet."""
        return self.source, self.target

    @property
    def is_genuine(self):
        """Whether a client or a host wrote the packet as it is."""
        head = self.source, self.target, self.flags & ~BOUNCED
        return self.total == sum_fields(*head, self.seq, self.ack, self.body)


def sum_fields(source, target, flags, seq, ack, body):
    """Return the keyed sum of a packet."""
    text = repr((source, target, flags, seq, ack)).encode()
    return crc32(KEY + text + body) or 1


def encode(source, target, flags, seq, ack, body=b""):
    """Return the bytes of a packet."""
    seq &= MASK
    ack &= MASK
    return (
        HEAD.pack(
            inet_aton(target[0]),
            source[1],
            target[1],
            inet_aton(source[0]),
            flags,
            len(body),
            seq,
            ack,
            0,
            sum_fields(source, target, flags, seq, ack, body),
        )
        + body
    )


def decode(raw):
    """Return the packet that some bytes hold."""
    to, sport, dport, by, flags, _, seq, ack, _, total = HEAD.unpack_from(raw)
    return Packet(
        (inet_ntoa(by), sport),
        (inet_ntoa(to), dport),
        flags,
        seq,
        ack,
        total,
        raw[HEAD.size :],
    )


def mark_bounced(raw):
    """Return a packet with the flag of a returned one."""
    flags = bytes((raw[FLAGS_AT] | BOUNCED,))
    return raw[:FLAGS_AT] + flags + raw[FLAGS_AT + 1 :]


def describe(flow):
    """Return a flow as the logs of the daemons write it."""
    (client, port), (entry, number) = flow
    return f"tcp:{client}:{port}>{entry}:{number}"
