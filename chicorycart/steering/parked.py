"""Packets that wait until a target that may take them is heard again."""

from collections import OrderedDict

from chicorycart.clock import Clock
from chicorycart.packets.segment import Segment
from chicorycart.steering.limits import MAX_PARKED
from chicorycart.steering.limits import PARKED_SECONDS


class ParkedPacket:
    """The last packet of a flow that waits.

    Attributes
    ----------
    segment : Segment
        The packet.
    until : float
        Time at which it is dropped.
    """

    __slots__ = ("segment", "until")

    def __init__(self, segment: Segment, until: float):
        self.segment = segment
        self.until = until


class ParkedPackets:
    """Keeps one packet a flow for a short time.

    Parameters
    ----------
    clock : Clock
        Measures the time.
    """

    __slots__ = ("clock", "packets")

    def __init__(self, clock: Clock):
        self.clock = clock
        self.packets: OrderedDict[bytes, ParkedPacket] = OrderedDict()

    def __len__(self) -> int:
        return len(self.packets)

    def put(self, segment: Segment, since: float) -> None:
        """Keep a packet in place of an earlier one of its flow.

        Parameters
        ----------
        segment : Segment
            The packet.
        since : float
            Time from which its flow waits.
        """
        until = since + PARKED_SECONDS
        self.packets[segment.flow] = ParkedPacket(segment, until)
        if len(self.packets) > MAX_PARKED:
            next(iter(self.packets.values())).until = 0.0

    def is_waiting(self, flow: bytes) -> bool:
        """Tell whether a packet of a flow waits."""
        return flow in self.packets

    def drop(self, flow: bytes) -> None:
        """Keep the packet of a flow no longer."""
        self.packets.pop(flow, None)

    def list_waiting(self) -> list[Segment]:
        """Return the packets that wait, in the order to send them on.

        Those whose callers have sent the fewest copies come first, and the
        latest among them: while not all can be answered in time, these can.
        """
        waiting = [packet.segment for packet in self.packets.values()]
        waiting.reverse()
        waiting.sort(key=count_copies)
        return waiting

    def take_expired(self) -> list[Segment]:
        """Return the packets that waited too long, and drop them."""
        now = self.clock.now()
        expired = [p.segment for p in self.packets.values() if now > p.until]
        for segment in expired:
            del self.packets[segment.flow]
        return expired


def count_copies(segment: Segment) -> int:
    """Return the copies of an opening packet; open flows count as none."""
    return segment.copies if segment.is_opening else 0
