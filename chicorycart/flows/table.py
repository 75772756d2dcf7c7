"""The flows that one agent owns."""

from chicorycart.clock import Clock
from chicorycart.defaults import CLOSED_FLOW_SECONDS
from chicorycart.defaults import FLOW_IDLE_SECONDS


class FlowTable:
    """Owned flows, each with the time at which it is forgotten.

    Parameters
    ----------
    clock : Clock
        Measures silence.
    """

    __slots__ = ("clock", "expiry", "closing")

    def __init__(self, clock: Clock):
        self.clock = clock
        self.expiry: dict[bytes, float] = {}
        self.closing: set[bytes] = set()

    def __len__(self) -> int:
        return len(self.expiry)

    def owns(self, flow: bytes) -> bool:
        """Tell whether this agent owns the flow."""
        expiry = self.expiry.get(flow)
        return expiry is not None and expiry > self.clock.now()

    def touch(self, flow: bytes, is_closing: bool) -> None:
        """Own the flow from now on; a closing one only for a short time.

        Packets that follow the close do not make the flow last longer.
        """
        if flow in self.closing:
            return
        if is_closing:
            self.closing.add(flow)
        lifetime = CLOSED_FLOW_SECONDS if is_closing else FLOW_IDLE_SECONDS
        self.expiry[flow] = self.clock.now() + lifetime

    def expire(self) -> int:
        """Forget flows that were silent too long; return their count."""
        now = self.clock.now()
        silent = [f for f, expiry in self.expiry.items() if expiry <= now]
        for flow in silent:
            del self.expiry[flow]
            self.closing.discard(flow)
        return len(silent)
