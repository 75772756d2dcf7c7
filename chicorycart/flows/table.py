"""The flows that one agent owns."""

from chicorycart.clock import Clock
from chicorycart.defaults import CLOSED_FLOW_SECONDS
from chicorycart.defaults import FLOW_IDLE_SECONDS
from chicorycart.defaults import FLOW_TICK_SECONDS
from chicorycart.defaults import MAX_OWNED_FLOWS

CLOSING_BIT = 1


class FlowTable:
    """Owned flows, each with the tick after which it is forgotten.

    A deadline is one integer: its tick, doubled, and the lowest bit set if
    the flow is closing. Flows touched within one tick share the integer.
    A wheel lists the flows by the tick in which their deadline is next
    looked at, so that no step goes over the whole table.

    Parameters
    ----------
    clock : Clock
        Measures silence.
    limit : int
        Flows owned at once. An owned flow never gives way to a new one.

    Attributes
    ----------
    deadlines : dict of bytes to int
        Deadline of each flow.
    wheel : dict of int to list of bytes
        Flows to look at, by tick.
    closing : int
        Flows of the table that are closing.
    swept : int
        First tick whose flows have not all been looked at.
    """

    __slots__ = (
        "clock",
        "limit",
        "deadlines",
        "wheel",
        "swept",
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
        self.swept = self.tick

    def __len__(self) -> int:
        return len(self.deadlines)

    def count_open(self) -> int:
        """Return how many owned flows are not closing."""
        return len(self.deadlines) - self.closing

    def is_full(self) -> bool:
        """Tell whether no other flow can be owned."""
        return len(self.deadlines) >= self.limit

    def owns(self, flow: bytes) -> bool:
        """Tell whether this agent owns the flow."""
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
        """Own the flow from now on.

        A closing flow is owned for a short time after each of its packets,
        until another connection opens with the same five-tuple.
        """
        self.advance()
        deadline = self.deadlines.get(flow)
        was_closing = deadline is not None and deadline & CLOSING_BIT
        if is_closing or (was_closing and not is_opening):
            self.set_deadline(flow, self.closing_deadline)
        else:
            self.set_deadline(flow, self.idle_deadline)

    def set_deadline(self, flow: bytes, deadline: int) -> None:
        """Change the deadline; list the flow if it comes earlier."""
        before = self.deadlines.get(flow)
        self.deadlines[flow] = deadline
        was_closing = before is not None and before & CLOSING_BIT
        self.closing += (deadline & CLOSING_BIT) - int(was_closing)
        if before is None or deadline >> 1 < before >> 1:
            self.wheel.setdefault(deadline >> 1, []).append(flow)

    def advance(self) -> None:
        """Take over the time; deadlines are made once a tick."""
        tick = int(self.clock.now() // FLOW_TICK_SECONDS)
        if tick == self.tick:
            return
        self.tick = tick
        self.idle_deadline = make_deadline(tick, FLOW_IDLE_SECONDS)
        closing = make_deadline(tick, CLOSED_FLOW_SECONDS)
        self.closing_deadline = closing | CLOSING_BIT

    def expire(self, limit: int) -> int:
        """Forget flows that were silent too long.

        Parameters
        ----------
        limit : int
            Flows to look at in this call.

        Returns
        -------
        int
            Flows looked at; fewer than the limit if none are left.
        """
        self.advance()
        looked_at = 0
        while looked_at < limit and self.swept <= self.tick:
            flows = self.wheel.get(self.swept)
            if not flows:
                self.wheel.pop(self.swept, None)
                self.swept += 1
                continue
            self.look_at(flows.pop())
            looked_at += 1
        return looked_at

    def look_at(self, flow: bytes) -> None:
        """Forget the flow, or list it at its present deadline."""
        deadline = self.deadlines.get(flow)
        if deadline is None:
            return
        if deadline >> 1 <= self.tick:
            del self.deadlines[flow]
            self.closing -= deadline & CLOSING_BIT
        else:
            self.wheel.setdefault(deadline >> 1, []).append(flow)


def make_deadline(tick: int, seconds: float) -> int:
    """Return the deadline of a flow that is silent from this tick on."""
    return (tick + 1 + int(seconds // FLOW_TICK_SECONDS)) << 1
