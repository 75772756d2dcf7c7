"""Records callers' packets on their way to agents, and loses some."""

from collections import defaultdict

from chicorycart.links.datagrams import MessageKind
from chicorycart.steering.messages import decode_delivery
from tests.standins.endpoints import read_head
from tests.standins.steered import LINK_PORT


class DeliveryLog:
    """A fault of a network that records deliveries by their caller.

    Attributes
    ----------
    agents : dict of Address to list of str
        Hosts that each caller's packets were sent to, in order.
    owners : dict of Address to str
        Host to which the first packets of a caller are lost.
    losses : dict of Address to int
        Packets of each caller that are still to be lost.
    """

    def __init__(self, network):
        self.agents = defaultdict(list)
        self.owners = {}
        self.losses = {}
        network.faults.append(self.lose)

    def lose_first(self, caller, host, count):
        """Lose the next packets of a caller to a host."""
        self.owners[caller.address] = host.address.host
        self.losses[caller.address] = count

    def lose(self, source, data, destination):
        """Record a datagram; return whether it is lost."""
        if destination.port != LINK_PORT or data[0] != MessageKind.DELIVERY:
            return False
        _, packet = decode_delivery(data[1:])
        caller, *_ = read_head(packet)
        self.agents[caller].append(destination.host)
        if self.owners.get(caller) != destination.host:
            return False
        self.losses[caller] -= 1
        return self.losses[caller] >= 0
