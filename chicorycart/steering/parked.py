"""Packets that wait until a target that may take them is heard again."""

from collections import Counter
from collections import OrderedDict

from chicorycart.clock import Clock
from chicorycart.packets.segment import Segment
from chicorycart.steering.limits import FRESH_SECONDS
from chicorycart.steering.limits import MAX_PARKED
from chicorycart.steering.limits import PARKED_SECONDS


class ParkedPacket:
    """The last packet of a flow that waits.

    Attributes
    ----------
    segment : Segment
        The packet.
    since : float
        Time from which its flow waits.
    service : str or None
        Service that an opening packet waits for.
    until : float
        Time at which it is dropped.
    """

    __slots__ = ("segment", "since", "service", "until")

    def __init__(self, segment: Segment, since: float, service: str | None):
        self.segment = segment
        self.since = since
        self.service = service
        self.until = since + PARKED_SECONDS

    def rank(self, now: float) -> tuple[bool, int, float]:
        """Return where the packet stands in the order to send them on."""
        waited = now - self.since
        copies = self.segment.copies if self.segment.is_opening else 0
        if copies == 0 and waited < FRESH_SECONDS:
            return False, 0, -waited
        return True, copies, waited


class ParkedPackets:
    """Keeps one packet a flow for a short time.

    Parameters
    ----------
    clock : Clock
        Measures the time.
    """

    __slots__ = ("clock", "packets", "openings")

    def __init__(self, clock: Clock):
        self.clock = clock
        self.packets: OrderedDict[bytes, ParkedPacket] = OrderedDict()
        self.openings: Counter[str | None] = Counter()

    def __len__(self) -> int:
        return len(self.packets)

    def put(
        self, segment: Segment, since: float, service: str | None = None
    ) -> None:
        """Keep a packet in place of an earlier one of its flow.

        Parameters
        ----------
        segment : Segment
            The packet.
        since : float
            Time from which its flow waits.
        service : str, optional
            Service that an opening packet waits for.
        """
        self.drop(segment.flow)
        self.packets[segment.flow] = ParkedPacket(segment, since, service)
        self.openings[service] += 1
        if len(self.packets) > MAX_PARKED:
            next(iter(self.packets.values())).until = 0.0

    def is_waiting(self, flow: bytes) -> bool:
        """Tell whether a packet of a flow waits."""
        return flow in self.packets

    def drop(self, flow: bytes) -> None:
        """Keep the packet of a flow no longer."""
        packet = self.packets.pop(flow, None)
        if packet is not None:
            self.openings[packet.service] -= 1

    def has_openings(self, service: str) -> bool:
        """Tell whether opening packets wait for a service."""
        return self.openings[service] > 0

    def list_waiting(self) -> list[Segment]:
        """Return the packets that wait, in the order to send them on.

        The first to come goes first as long as it can be answered in time.
        Those that waited for longer stand behind, the latest first: while
        not all of them can be served before they give up, some are.
        """
        now = self.clock.now()
        waiting = sorted(self.packets.values(), key=lambda p: p.rank(now))
        return [packet.segment for packet in waiting]

    def take_expired(self) -> list[Segment]:
        """Return the packets that waited too long, and drop them."""
        now = self.clock.now()
        expired = [p.segment for p in self.packets.values() if now > p.until]
        for segment in expired:
            self.drop(segment.flow)
        return expired
