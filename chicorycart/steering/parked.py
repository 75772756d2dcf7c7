"""Packets that wait until a target is available again or has room."""

from collections import Counter
from collections import OrderedDict

from chicorycart.clock import Clock
from chicorycart.packets.segment import Segment
from chicorycart.steering.flows import SteeredFlow
from chicorycart.steering.limits import MAX_PARKED
from chicorycart.steering.limits import MAX_PARKED_SECONDS
from chicorycart.steering.limits import PROMPT_WAIT_SHARE
from chicorycart.steering.routes import ServiceLevel


class ParkedPacket:
    """Last packet of a waiting flow.

    Attributes
    ----------
    segment : Segment
        The packet.
    waiting_since : float
        Time since which its flow has waited.
    service : str or None
        Service that an opening packet waits for; None for data.
    level : ServiceLevel
        Latency objective, timeout and priority of the flow's route.
    expires_at : float
        Time after which it is dropped.
    """

    __slots__ = ("segment", "waiting_since", "service", "level", "expires_at")

    def __init__(
        self,
        segment: Segment,
        since: float,
        service: str | None,
        level: ServiceLevel,
    ):
        self.segment = segment
        self.waiting_since = since
        self.service = service
        self.level = level
        # The latency objective is the time allowed for the answer itself: a
        # request that waits longer than this is answered past its timeout.
        useful = level.timeout_seconds - level.aim_seconds
        self.expires_at = since + min(MAX_PARKED_SECONDS, max(useful, 0.0))

    def rank(self, now: float) -> tuple[bool, int, int, float]:
        """Return the sort key by which waiting packets are sent."""
        waited = now - self.waiting_since
        copies = self.segment.copies if self.segment.is_opening else 0
        priority = self.level.priority
        if copies == 0 and waited < PROMPT_WAIT_SHARE * self.level.aim_seconds:
            return False, priority, 0, -waited
        return True, priority, copies, waited


class ParkedPackets:
    """Keeps the last packet of each waiting flow for a short time.

    Parameters
    ----------
    clock : Clock
        Measures waiting times.

    Attributes
    ----------
    packets : dict of bytes to ParkedPacket
        Waiting packets by flow, in the order in which they were parked.
    openings : Counter of str
        Number of waiting opening packets of each service.
    """

    __slots__ = ("clock", "packets", "openings")

    def __init__(self, clock: Clock):
        self.clock = clock
        self.packets: OrderedDict[bytes, ParkedPacket] = OrderedDict()
        self.openings: Counter[str | None] = Counter()

    def __len__(self) -> int:
        return len(self.packets)

    def put_opening(self, segment: Segment, state: SteeredFlow) -> None:
        """Park an opening packet; replaces an earlier one of its flow."""
        self.put(
            ParkedPacket(segment, state.arrived_at, state.service, state.level)
        )

    def put_data(self, segment: Segment, state: SteeredFlow) -> None:
        """Park a packet of an open flow; replaces an earlier one."""
        self.put(ParkedPacket(segment, self.clock.now(), None, state.level))

    def put(self, packet: ParkedPacket) -> None:
        """Park a packet; expires the oldest one if there are too many."""
        flow = packet.segment.flow
        self.drop(flow)
        self.packets[flow] = packet
        self.openings[packet.service] += 1
        if len(self.packets) > MAX_PARKED:
            next(iter(self.packets.values())).expires_at = 0.0

    def is_waiting(self, flow: bytes) -> bool:
        """Tell whether a packet of a flow is parked."""
        return flow in self.packets

    def drop(self, flow: bytes) -> None:
        """Remove the packet of a flow, if there is one."""
        packet = self.packets.pop(flow, None)
        if packet is not None:
            self.openings[packet.service] -= 1

    def has_openings(self, service: str) -> bool:
        """Tell whether opening packets wait for a service."""
        return self.openings[service] > 0

    def find_next(self, service: str) -> Segment | None:
        """Return the opening packet of a service to offer next, if any."""
        if not self.has_openings(service):
            return None
        now = self.clock.now()
        waiting = [p for p in self.packets.values() if p.service == service]
        return min(waiting, key=lambda p: p.rank(now)).segment

    def list_waiting(self) -> list[Segment]:
        """Return the waiting packets in the order to send them.

        Packets that were not retransmitted and can still be answered within
        their latency objective go first, by priority and then in the order
        of arrival. The others follow by priority, then fewest
        retransmissions, then latest arrival first: under overload, some
        callers are answered in time instead of all too late.
        """
        now = self.clock.now()
        waiting = sorted(self.packets.values(), key=lambda p: p.rank(now))
        return [packet.segment for packet in waiting]

    def pop_expired(self) -> list[Segment]:
        """Remove and return the packets that have waited too long."""
        now = self.clock.now()
        expired = [
            p.segment for p in self.packets.values() if now > p.expires_at
        ]
        for segment in expired:
            self.drop(segment.flow)
        return expired
