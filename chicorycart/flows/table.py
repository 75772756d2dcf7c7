"""The table of flows that one agent owns, with idle expiry."""

from chicorycart.clock import Clock
from chicorycart.defaults import CLOSED_FLOW_SECONDS
from chicorycart.defaults import FLOW_IDLE_SECONDS
from chicorycart.defaults import FLOW_TICK_SECONDS
from chicorycart.defaults import MAX_OWNED_FLOWS

CLOSING_BIT = 1


class FlowTable:
    """Owned flows, each with the tick after which it expires.

    A deadline is one integer: the tick shifted left by one bit, with the
    lowest bit set if the flow is closing. Flows touched within one tick
    share the integer object. A timer wheel lists the flows by the tick in
    which their deadline is checked next, so that no step scans the whole
    table.

    Parameters
    ----------
    clock : Clock
        Measures how long a flow has been idle.
    limit : int
        Maximum number of owned flows. When the table is full, owned flows
        are never evicted for new ones.

    Attributes
    ----------
    deadlines : dict of bytes to int
        Deadline of each flow.
    wheel : dict of int to list of bytes
        Flows to check, by tick.
    closing : int
        Number of flows that are closing.
    next_sweep_tick : int
        First tick whose flows have not all been checked.
    """

    __slots__ = (
        "clock",
        "limit",
        "deadlines",
        "wheel",
        "next_sweep_tick",
        "tick",
        "idle_deadline",
        "closing_deadline",
        "closing",
    )

    def __init__(self, clock: Clock, limit: int = MAX_OWNED_FLOWS):
        self.clock = clock
        self.limit = limit
        self.deadlines: dict[bytes, int] = {}
        self.wheel: dict[int, list[bytes]] = {}
        self.closing = 0
        self.tick = -1
        self.advance()
        self.next_sweep_tick = self.tick

    def __len__(self) -> int:
        return len(self.deadlines)

    def count_open(self) -> int:
        """Return the number of owned flows that are not closing."""
        return len(self.deadlines) - self.closing

    def is_full(self) -> bool:
        """Return whether the table has no room for another flow."""
        return len(self.deadlines) >= self.limit

    def owns(self, flow: bytes) -> bool:
        """Return whether the flow is in the table and not expired."""
        deadline = self.deadlines.get(flow)
        if deadline is None:
            return False
        self.advance()
        return deadline >> 1 > self.tick

    def list_flows(self) -> list[bytes]:
        """Return the owned flows."""
        return list(self.deadlines)

    def touch(
        self, flow: bytes, is_closing: bool, is_opening: bool = False
    ) -> None:
        """Add the flow, or extend its deadline after a packet.

        A closing flow expires `CLOSED_FLOW_SECONDS` after its last packet,
        unless another connection opens with the same five-tuple.
        """
        self.advance()
        deadline = self.deadlines.get(flow)
        was_closing = deadline is not None and deadline & CLOSING_BIT
        if is_closing or (was_closing and not is_opening):
            self.set_deadline(flow, self.closing_deadline)
        else:
            self.set_deadline(flow, self.idle_deadline)

    def set_deadline(self, flow: bytes, deadline: int) -> None:
        """Set the deadline and count closing flows.

        The flow is added to the wheel only if the deadline becomes earlier.
        A later deadline is found when the earlier one is checked.
        """
        before = self.deadlines.get(flow)
        self.deadlines[flow] = deadline
        was_closing = before is not None and before & CLOSING_BIT
        self.closing += (deadline & CLOSING_BIT) - int(was_closing)
        if before is None or deadline >> 1 < before >> 1:
            self.wheel.setdefault(deadline >> 1, []).append(flow)

    def advance(self) -> None:
        """Update the current tick and, if it changed, the new deadlines."""
        tick = int(self.clock.now() // FLOW_TICK_SECONDS)
        if tick == self.tick:
            return
        self.tick = tick
        self.idle_deadline = make_deadline(tick, FLOW_IDLE_SECONDS)
        closing = make_deadline(tick, CLOSED_FLOW_SECONDS)
        self.closing_deadline = closing | CLOSING_BIT

    def expire(self, limit: int) -> int:
        """Remove flows whose deadline has passed.

        Parameters
        ----------
        limit : int
            Maximum number of flows to check in this call.

        Returns
        -------
        int
            Flows checked; fewer than the limit if no more are due.
        """
        self.advance()
        checked = 0
        while checked < limit and self.next_sweep_tick <= self.tick:
            flows = self.wheel.get(self.next_sweep_tick)
            if not flows:
                self.wheel.pop(self.next_sweep_tick, None)
                self.next_sweep_tick += 1
                continue
            self.check_deadline(flows.pop())
            checked += 1
        return checked

    def check_deadline(self, flow: bytes) -> None:
        """Remove the flow if it expired, else requeue it at its deadline."""
        deadline = self.deadlines.get(flow)
        if deadline is None:
            return
        if deadline >> 1 <= self.tick:
            del self.deadlines[flow]
            self.closing -= deadline & CLOSING_BIT
        else:
            self.wheel.setdefault(deadline >> 1, []).append(flow)


def make_deadline(tick: int, seconds: float) -> int:
    """Return the deadline of a flow that is idle from this tick on."""
    return (tick + 1 + int(seconds // FLOW_TICK_SECONDS)) << 1
