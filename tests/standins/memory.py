"""Carries datagrams in memory, in virtual time, with loss and cuts."""

from asyncio import get_running_loop
from random import Random

from chicorycart.address import Address

DELAY_SECONDS = 0.001
MAX_WAITING = 1_000


class MemoryNetwork:
    """Sockets by address, and what goes wrong between them.

    Attributes
    ----------
    dark : set of str
        Hosts that nothing reaches and that reach nobody.
    cuts : set of (str, str)
        Pairs of hosts, sender first, between which nothing passes.
    delays : dict of (Address, Address) to float
        Delays in seconds between two sockets, where they are not the usual.
    loss : float
        Share of datagrams that are lost.
    repeats : float
        Share of datagrams that arrive twice.
    jitters : dict of (Address, Address) to float
        Longest time in seconds by which datagrams between two sockets are
        late; they stay in order.
    faults : list of callable
        Each gets source, data and destination of every datagram; it is lost
        if one of them returns True.
    """

    def __init__(self, seed=1, delay=DELAY_SECONDS):
        self.random = Random(seed)
        self.delay = delay
        self.delays = {}
        self.sockets = {}
        self.dark = set()
        self.cuts = set()
        self.loss = 0.0
        self.repeats = 0.0
        self.jitters = {}
        self.arrivals = {}
        self.faults = []

    def open(self, address):
        """Return a socket, in place of any earlier one at the address."""
        socket = MemorySocket(self, address)
        self.sockets[address] = socket
        return socket

    def send(self, source, data, destination):
        """Carry one datagram, unless it is lost."""
        passes = not {source.host, destination.host} & self.dark
        if (source.host, destination.host) in self.cuts:
            passes = False
        for fault in self.faults:
            if fault(source, data, destination):
                passes = False
        delay = self.delays.get((source, destination), self.delay)
        copies = 1 + (self.random.random() < self.repeats)
        for copy in range(copies):
            if passes and self.random.random() >= self.loss:
                get_running_loop().call_at(
                    self.find_arrival(source, destination, delay * (1 + copy)),
                    self.arrive,
                    source,
                    data,
                    destination,
                )

    def find_arrival(self, source, destination, delay):
        """Return when a datagram that is sent now arrives."""
        at = get_running_loop().time() + delay
        pair = (source, destination)
        if pair in self.jitters:
            at += self.random.random() * self.jitters[pair]
            at = max(at, self.arrivals.get(pair, 0.0))
            self.arrivals[pair] = at
        return at

    def arrive(self, source, data, destination):
        """Hand a datagram to the socket that is there by now."""
        socket = self.sockets.get(destination)
        if socket is not None and destination.host not in self.dark:
            socket.arrive(data, source)


class MemorySocket:
    """One socket; what comes before it is read waits."""

    def __init__(self, network, address):
        self.network = network
        self.address = Address(*address)
        self.datagram_handler = None
        self.received = 0
        self.waiting = []
        self.frozen = False

    def start(self, datagram_handler):
        """Hand every datagram to the taker, those that wait first."""
        self.datagram_handler = datagram_handler
        self.flush()

    def arrive(self, data, source):
        """Take one datagram from the network."""
        if len(self.waiting) < MAX_WAITING:
            self.waiting.append((data, source))
        if self.datagram_handler is not None and not self.frozen:
            self.flush()

    def flush(self):
        """Hand on what waits."""
        waiting, self.waiting = self.waiting, []
        for data, source in waiting:
            self.received += 1
            self.datagram_handler.handle_datagram(data, source)

    def send(self, data, destination):
        """Send one datagram."""
        self.network.send(self.address, data, Address(*destination))
        return True

    def close(self):
        """Leave the network."""
        if self.network.sockets.get(self.address) is self:
            del self.network.sockets[self.address]
