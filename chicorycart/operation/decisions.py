"""Logs routing and placement decisions, sampled by flow."""

from collections.abc import Sequence

from logbook import Logger

from chicorycart.packets.flow import describe_flow

HASH_RANGE = 1 << 64
LOGGER = Logger("decision")


class DecisionLog:
    """Writes one line a decision for a settled share of the flows.

    Sampling goes by the hash of the flow, so that every daemon logs the
    same flows and a flow can be followed from one to the next.

    Parameters
    ----------
    share : float
        Share of flows that are logged, 0 to 1.
    """

    __slots__ = ("limit",)

    def __init__(self, share: float):
        self.limit = int(share * HASH_RANGE)

    def covers(self, flow_hash: int) -> bool:
        """Tell whether decisions on the flow are logged."""
        return flow_hash < self.limit

    def record(
        self,
        flow: bytes,
        flow_hash: int,
        version: int,
        chain: Sequence[int],
        choice: str,
        reason: str,
    ) -> None:
        """Log where a packet of the flow went, and why."""
        if not self.covers(flow_hash):
            return
        LOGGER.info(
            "event=decision flow={} version={} chain={} choice={} reason={}",
            describe_flow(flow),
            version,
            ",".join(f"{agent:x}" for agent in chain),
            choice,
            reason,
        )
