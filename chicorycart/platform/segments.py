"""The platform's packets: one datagram of a fixed head and its data."""

from socket import inet_ntoa
import struct
from struct import Struct

from chicorycart.address import Address
from chicorycart.packets.errors import PacketError
from chicorycart.packets.segment import Segment

HEADER = Struct(">4sHH4sBHIIII")
"""dst, sport, dport, src, flags, len, seq, ack, echo, sum; no `pad`."""

MAX_PAYLOAD_BYTES = 1_200
PROTOCOL_BYTE = b"\x06"

ACK = 1
RST = 4
BOUNCED = 8
SYN = 32
FIN = 128


class PlatformCodec:
    """Reads and writes the platform's packets.

    Parameters
    ----------
    caller_port : int
        Port at which every caller's address takes packets.
    """

    __slots__ = ("caller_port",)

    def __init__(self, caller_port: int):
        self.caller_port = caller_port

    def decode_inbound(self, raw: bytes) -> Segment:
        """Read a packet on its way from a caller to a target."""
        return self.decode(raw, raw[8:12] + raw[4:6], raw[0:4] + raw[6:8])

    def decode_outbound(self, raw: bytes) -> Segment:
        """Read what a host sent: an answer, or a packet given back."""
        if len(raw) >= HEADER.size and raw[12] & BOUNCED:
            return self.decode_inbound(raw)
        return self.decode(raw, raw[0:4] + raw[6:8], raw[8:12] + raw[4:6])

    def decode(self, raw: bytes, caller: bytes, entry: bytes) -> Segment:
        """Read a packet between a caller's end and an entry."""
        try:
            _, _, _, _, flags, size, sequence, acknowledged, _, _ = (
                HEADER.unpack_from(raw)
            )
        except struct.error as error:
            raise PacketError(f"head of {len(raw)} bytes") from error
        if size != len(raw) - HEADER.size or size > MAX_PAYLOAD_BYTES:
            raise PacketError(f"{size} bytes of data in {len(raw)}")
        has_syn = bool(flags & SYN)
        return Segment(
            raw,
            PROTOCOL_BYTE + caller + entry,
            entry,
            has_syn and not flags & ACK,
            has_syn and bool(flags & ACK),
            bool(flags & (FIN | RST)),
            bool(flags & RST),
            bool(flags & BOUNCED),
            sequence,
            acknowledged,
            size,
        )

    def restore(self, segment: Segment) -> bytes:
        """Return a packet that a host gave back as the caller sent it."""
        raw = segment.raw
        return raw[:12] + bytes((raw[12] & ~BOUNCED,)) + raw[13:]

    def build_reset(self, segment: Segment) -> bytes:
        """Return a reset of the flow of a caller's packet.

        Its sequence number is what the caller acknowledged last, which a
        caller with an open flow takes.
        """
        destination, source_port, port, source = HEADER.unpack_from(
            segment.raw
        )[:4]
        sequence = 0 if segment.is_opening else segment.acknowledged
        return HEADER.pack(
            source, port, source_port, destination, RST, 0, sequence, 0, 0, 0
        )

    def find_caller(self, flow: bytes) -> Address:
        """Return where packets for the caller of a flow are sent."""
        return Address(inet_ntoa(flow[1:5]), self.caller_port)
