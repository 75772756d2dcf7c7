"""Hand the messages of agents to the steerer of a balancer."""

from chicorycart.address import Address
from chicorycart.steering.steerer import Steerer


class ReportReceiver:
    """Takes word of flows that agents' hosts hold.

    Parameters
    ----------
    steerer : Steerer
        Where the word goes.
    """

    __slots__ = ("steerer",)

    def __init__(self, steerer: Steerer):
        self.steerer = steerer

    def receive(self, body: bytes, source: Address) -> None:
        """Take one report."""
        self.steerer.take_report(body, source)


class ReturnReceiver:
    """Takes packets that agents give back.

    Parameters
    ----------
    steerer : Steerer
        Where the packets go.
    """

    __slots__ = ("steerer",)

    def __init__(self, steerer: Steerer):
        self.steerer = steerer

    def receive(self, body: bytes, source: Address) -> None:
        """Take one packet."""
        self.steerer.take_return(body, source)


class LoadReceiver:
    """Takes word of the load of agents that answer a probe or have room.

    Parameters
    ----------
    steerer : Steerer
        Where the word goes.
    """

    __slots__ = ("steerer",)

    def __init__(self, steerer: Steerer):
        self.steerer = steerer

    def receive(self, body: bytes, source: Address) -> None:
        """Take one load."""
        self.steerer.take_load(body, source)
