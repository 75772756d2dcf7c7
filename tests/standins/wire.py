"""A network in memory: late, lost, doubled and cut datagrams on purpose."""

from asyncio import get_running_loop
from random import Random

from prometheus_client import CollectorRegistry

from chicorycart.address import Address
from chicorycart.links.datagrams import DatagramLink
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.metrics import count_dropped

DELAY_SECONDS = 0.001


class EverySource:
    """Takes datagrams from everybody."""

    def is_known(self, host):
        """Return True."""
        return True


class MemorySocket:
    """A socket on the network in memory."""

    def __init__(self, wire, address):
        self.wire = wire
        self.address = address

    def send(self, data, destination):
        """Send one datagram."""
        self.wire.send(self.address, data, destination)
        return True


class MemoryWire:
    """Carries datagrams between links.

    Attributes
    ----------
    sides : dict of Address to int
        Addresses with different numbers cannot reach each other.
    paused : dict of Address to list
        Datagrams that wait for a paused process.
    loss, duplication : float
        Share of datagrams that are lost or doubled.
    moves_ports : bool
        Whether datagrams come from other ports than the published ones.
    control_bytes : int
        Bytes sent in other messages than forwarded packets.
    """

    def __init__(self, random: Random):
        self.random = random
        self.links: dict[Address, DatagramLink] = {}
        self.sides: dict[Address, int] = {}
        self.paused: dict[Address, list] = {}
        self.loss = 0.0
        self.duplication = 0.0
        self.moves_ports = False
        self.control_bytes = 0

    def connect(self, address: Address) -> DatagramLink:
        """Return a new link in place of any earlier one at the address."""
        socket = MemorySocket(self, address)
        link = DatagramLink(
            socket, EverySource(), count_dropped(CollectorRegistry())
        )
        self.links[address] = link
        return link

    def send(self, source, data, destination):
        """Carry one datagram."""
        if self.moves_ports:
            source = Address(source.host, source.port + 1)
        if data[0] != MessageKind.FORWARD:
            self.control_bytes += len(data)
        copies = 1 + (self.random.random() < self.duplication)
        for number in range(copies):
            if self.random.random() >= self.loss:
                get_running_loop().call_later(
                    DELAY_SECONDS * (1 + number),
                    self.arrive,
                    source,
                    data,
                    destination,
                )

    def arrive(self, source, data, destination):
        """Hand a datagram to its link, unless the network is cut."""
        if self.sides.get(source, 0) != self.sides.get(destination, 0):
            return
        if destination in self.paused:
            self.paused[destination].append((source, data, destination))
        elif destination in self.links:
            self.links[destination].handle_datagram(data, source)
