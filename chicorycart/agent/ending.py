"""Tells when a stopping agent is needed no more."""

from collections.abc import Callable
from typing import Protocol

from chicorycart.clock import Clock
from chicorycart.defaults import STOP_FLOW_SILENCE_SECONDS
from chicorycart.flows.table import FlowTable


class CountingHost(Protocol):
    """The own instance.

    Attributes
    ----------
    delivered : int
        Packets that it was handed so far.
    """

    delivered: int


class EndingFlows:
    """Watches the flows of a stopping agent come to their end.

    A reset by the own host goes straight to the caller, so the agent never
    sees such a flow close. Once every connection of the gateway is closed, a
    flow whose caller is silent as well has nothing left to deliver.

    Parameters
    ----------
    clock : Clock
        Measures the silence.
    table : FlowTable
        Owned flows.
    host : CountingHost
        Takes the callers' packets.
    is_gateway_closed : callable
        Tells whether all connections of the own gateway are closed; False
        for good where there is no gateway.
    """

    __slots__ = (
        "clock",
        "table",
        "host",
        "is_gateway_closed",
        "seen",
        "since",
    )

    def __init__(
        self,
        clock: Clock,
        table: FlowTable,
        host: CountingHost,
        is_gateway_closed: Callable[[], bool],
    ):
        self.clock = clock
        self.table = table
        self.host = host
        self.is_gateway_closed = is_gateway_closed
        self.seen = host.delivered
        self.since = clock.now()

    def is_done(self) -> bool:
        """Tell whether no flow needs the agent any more."""
        if self.table.count_open() == 0:
            return True
        if self.host.delivered != self.seen or not self.is_gateway_closed():
            self.seen = self.host.delivered
            self.since = self.clock.now()
        return self.clock.now() - self.since >= STOP_FLOW_SILENCE_SECONDS
