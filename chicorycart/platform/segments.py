"""Codec of the platform's packets: a fixed header and its payload."""

from socket import inet_ntoa
import struct
from struct import Struct

from chicorycart.address import Address
from chicorycart.packets.errors import PacketError
from chicorycart.packets.segment import Segment

HEADER = Struct(">4sHH4sBHIIII")
"""dst, sport, dport, src, flags, len, seq, ack, echo, sum; without `pad`."""

MAX_PAYLOAD_BYTES = 1_200
PROTOCOL_BYTE = b"\x06"

ACK = 1
RST = 4
BOUNCED = 8
SYN = 32
FIN = 128


class PlatformCodec:
    """Decodes and encodes the platform's packets.

    Parameters
    ----------
    caller_port : int
        Port on which every caller receives packets.
    """

    __slots__ = ("caller_port",)

    def __init__(self, caller_port: int):
        self.caller_port = caller_port

    def decode_inbound(self, raw: bytes) -> Segment:
        """Decode a packet on its way from a caller to a target."""
        return self.decode(raw, raw[8:12] + raw[4:6], raw[0:4] + raw[6:8])

    def decode_outbound(self, raw: bytes) -> Segment:
        """Decode a host's packet: an answer or a returned packet."""
        if len(raw) >= HEADER.size and raw[12] & BOUNCED:
            return self.decode_inbound(raw)
        return self.decode(raw, raw[0:4] + raw[6:8], raw[8:12] + raw[4:6])

    def decode(self, raw: bytes, caller: bytes, entry: bytes) -> Segment:
        """Decode a packet, given the caller's address and the entry.

        Raises
        ------
        PacketError
            If the header is truncated or its length field is wrong.
        """
        try:
            _, _, _, _, flags, size, sequence, acknowledged, _, _ = (
                HEADER.unpack_from(raw)
            )
        except struct.error as error:
            raise PacketError(
                f"packet of {len(raw)} bytes is shorter than its header"
            ) from error
        if size != len(raw) - HEADER.size or size > MAX_PAYLOAD_BYTES:
            raise PacketError(
                f"{size} is a wrong payload length in a packet of {len(raw)}"
            )
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
        """Return a packet that a host returned in the form the caller sent."""
        raw = segment.raw
        return raw[:12] + bytes((raw[12] & ~BOUNCED,)) + raw[13:]

    def build_reset(self, segment: Segment) -> bytes:
        """Build a reset of the flow of a caller's packet.

        Its sequence number is the one that the caller acknowledged last, so
        that a caller with an open flow accepts it.
        """
        destination, source_port, port, source = HEADER.unpack_from(
            segment.raw
        )[:4]
        sequence = 0 if segment.is_opening else segment.acknowledged
        return HEADER.pack(
            source, port, source_port, destination, RST, 0, sequence, 0, 0, 0
        )

    def find_caller(self, flow: bytes) -> Address:
        """Return the address for packets to the caller of a flow."""
        return Address(inet_ntoa(flow[1:5]), self.caller_port)
