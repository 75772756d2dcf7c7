"""Open flows that only unlisted targets may hold."""

from collections import deque
from collections import OrderedDict

from chicorycart.packets.segment import Segment
from chicorycart.steering.limits import MAX_PARKED
from chicorycart.steering.limits import RETRY_BATCH


class UndecidedFlows:
    """Keeps the last packet of each flow that cannot be decided on yet.

    Either it went to leaving targets, or a live one may be missing in the
    list. The flows that were kept last stay if there are too many.

    Attributes
    ----------
    packets : dict of bytes to Segment
        Last packet of each flow.
    until : float
        Latest time up to which all targets must be known for a decision.
    due : deque of bytes
        Flows to look at again.
    last_changes : tuple of (int, bool, float)
        What was known of the targets when `due` was filled: the number of
        changes of the list and of the routes, whether it was complete, and
        as of which time.
    """

    __slots__ = ("packets", "until", "due", "last_changes")

    def __init__(self):
        self.packets: OrderedDict[bytes, Segment] = OrderedDict()
        self.until = 0.0
        self.due: deque[bytes] = deque()
        self.last_changes = (0, False, 0.0)

    def __len__(self) -> int:
        return len(self.packets)

    def keep(self, segment: Segment) -> None:
        """Keep a flow's last packet until the flow can be decided on.

        A flow that its caller ends needs no decision.
        """
        if segment.is_closing:
            self.drop(segment.flow)
            return
        self.packets[segment.flow] = segment
        if len(self.packets) > MAX_PARKED:
            self.packets.popitem(last=False)

    def keep_until(self, segment: Segment, until: float) -> None:
        """Keep a flow until all targets are known up to some time."""
        self.keep(segment)
        self.until = max(self.until, until)

    def drop(self, flow: bytes) -> None:
        """Forget a flow."""
        self.packets.pop(flow, None)

    def take_due(self, changes: tuple[int, bool, float]) -> list[Segment]:
        """Return the packets of the next flows to look at again.

        Every flow is looked at once after each change.

        Parameters
        ----------
        changes : tuple of (int, bool, float)
            What is known of the targets now, see `last_changes`.
        """
        if not self.due and changes != self.last_changes:
            self.last_changes = changes
            self.due.extend(self.packets)
        count = min(len(self.due), RETRY_BATCH)
        flows = [self.due.popleft() for _ in range(count)]
        return [self.packets[flow] for flow in flows if flow in self.packets]
