"""Packets of flows whose owners are searched for."""

from collections import OrderedDict

from xxhash import xxh64_intdigest

from chicorycart.packets.segment import Segment
from chicorycart.steering.limits import MAX_HELD_PACKETS
from chicorycart.steering.limits import MAX_PARKED
from chicorycart.steering.limits import MAX_SEEN_PACKETS


class HeldFlow:
    """Packets of one flow.

    Attributes
    ----------
    probe : Segment or None
        Packet that is sent to the targets that may hold the flow; None once
        the owner is known.
    waiting : list of Segment
        Packets that the owner gets once it is known, oldest first.
    seen : dict of int to None
        Hashes of these packets and of former ones, oldest first.
    """

    __slots__ = ("probe", "waiting", "seen")

    def __init__(self):
        self.probe: Segment | None = None
        self.waiting: list[Segment] = []
        self.seen: dict[int, None] = {}

    def mark_seen(self, segment: Segment) -> bool:
        """Remember a packet; return whether it was not known yet."""
        key = xxh64_intdigest(segment.raw)
        if key in self.seen:
            return False
        self.seen[key] = None
        if len(self.seen) > MAX_SEEN_PACKETS:
            del self.seen[next(iter(self.seen))]
        return True


class HeldPackets:
    """Packets of each flow whose owner is searched for, or was lately.

    The flows that were used last are kept.
    """

    __slots__ = ("flows",)

    def __init__(self):
        self.flows: OrderedDict[bytes, HeldFlow] = OrderedDict()

    def find(self, flow: bytes) -> HeldFlow:
        """Return the packets of a flow; adds an entry if it has none."""
        held = self.flows.setdefault(flow, HeldFlow())
        self.flows.move_to_end(flow)
        if len(self.flows) > MAX_PARKED:
            self.flows.popitem(last=False)
        return held

    def set_probe(self, segment: Segment) -> None:
        """Use a packet as the probe of its flow.

        A packet without contents replaces none that has some, since its
        receiver does not answer it.
        """
        held = self.find(segment.flow)
        held.mark_seen(segment)
        if held.probe is None or segment.has_contents:
            held.probe = segment

    def choose_probe(self, segment: Segment) -> Segment:
        """Return the probe of a packet's flow, or the packet itself.

        The end of a flow goes to a part of the targets, so it stands for no
        packet that goes to all of them.
        """
        probe = self.find(segment.flow).probe
        if probe is None or (probe.is_closing and not segment.is_closing):
            return segment
        return probe

    def has_question(self, flow: bytes) -> bool:
        """Tell whether a flow's probe has to be answered by its receivers."""
        probe = self.find(flow).probe
        return probe is not None and probe.has_contents

    def has_seen(self, segment: Segment) -> bool:
        """Tell whether a packet is the copy of a known one of its flow."""
        held = self.flows.get(segment.flow)
        return held is not None and xxh64_intdigest(segment.raw) in held.seen

    def add(self, segment: Segment) -> None:
        """Keep a packet for the owner of its flow, unless it is known."""
        held = self.find(segment.flow)
        if held.mark_seen(segment) and len(held.waiting) < MAX_HELD_PACKETS:
            held.waiting.append(segment)

    def take_waiting(self, flow: bytes) -> list[Segment]:
        """Remove and return the waiting packets of a flow, oldest first."""
        held = self.flows.get(flow)
        if held is None:
            return []
        waiting, held.waiting = held.waiting, []
        return waiting

    def drop_packets(self, flow: bytes) -> None:
        """Drop the packets of a flow, but go on recognising their copies."""
        held = self.flows.get(flow)
        if held is not None:
            held.probe = None
            held.waiting.clear()

    def drop(self, flow: bytes) -> None:
        """Forget a flow."""
        self.flows.pop(flow, None)
