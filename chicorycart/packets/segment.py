"""The packet fields that steering needs, independent of the wire format."""

from typing import Protocol

from chicorycart.address import Address


class Segment:
    """One packet, decoded as far as steering needs it.

    Attributes
    ----------
    raw : bytes
        The packet as received.
    flow : bytes
        Five-tuple in the order protocol, caller, entry, whichever of the
        two sent the packet (13 bytes).
    entry : bytes
        Address and port of the entry, 6 bytes.
    is_opening : bool
        Whether the caller opens a flow (SYN).
    is_accepting : bool
        Whether a target accepts a flow (SYN and ACK).
    is_closing : bool
        Whether the sender closes or resets its side (FIN or RST).
    is_reset : bool
        Whether the sender resets the flow (RST).
    is_returned : bool
        Whether the host returned the packet without processing it.
    sequence, acknowledged : int
        Sequence and acknowledgement number of the sender. An opening
        packet acknowledges nothing, so there the second is `copies`.
    payload_bytes : int
        Bytes of data after the header.
    """

    __slots__ = (
        "raw",
        "flow",
        "entry",
        "is_opening",
        "is_accepting",
        "is_closing",
        "is_reset",
        "is_returned",
        "sequence",
        "acknowledged",
        "payload_bytes",
    )

    def __init__(
        self,
        raw: bytes,
        flow: bytes,
        entry: bytes,
        is_opening: bool,
        is_accepting: bool,
        is_closing: bool,
        is_reset: bool,
        is_returned: bool,
        sequence: int,
        acknowledged: int,
        payload_bytes: int,
    ):
        self.raw = raw
        self.flow = flow
        self.entry = entry
        self.is_opening = is_opening
        self.is_accepting = is_accepting
        self.is_closing = is_closing
        self.is_reset = is_reset
        self.is_returned = is_returned
        self.sequence = sequence
        self.acknowledged = acknowledged
        self.payload_bytes = payload_bytes

    @property
    def has_contents(self) -> bool:
        """Whether its receiver acknowledges the packet: data, or an end."""
        return self.payload_bytes > 0 or self.is_closing

    @property
    def copies(self) -> int:
        """How often the caller sent this opening packet before."""
        return self.acknowledged


class SegmentCodec(Protocol):
    """Decodes and encodes the packets of one wire format."""

    def decode_inbound(self, raw: bytes) -> Segment:
        """Decode a packet from a caller to a target.

        Raises
        ------
        PacketError
            If it is truncated or has invalid values.
        """

    def decode_outbound(self, raw: bytes) -> Segment:
        """Decode a packet from a host: an answer or a returned packet.

        Raises
        ------
        PacketError
            If it is truncated or has invalid values.
        """

    def restore(self, segment: Segment) -> bytes:
        """Return a returned packet in the form in which the caller sent it."""

    def build_reset(self, segment: Segment) -> bytes:
        """Build a packet that resets the flow of a caller's packet."""

    def find_caller(self, flow: bytes) -> Address:
        """Return the address that packets to the caller are sent to."""
