"""A network in memory that loses, delays and repeats datagrams."""

from asyncio import Event
from asyncio import get_running_loop
from asyncio import sleep
from collections import Counter
from itertools import count
from random import Random

from chicorycart.address import Address
from chicorycart.defaults import DATAGRAM_HEADER_BYTES

FIRST_NEW_PORT = 40_000


class MemoryNetwork:
    """Carries datagrams between sockets on the loop's time.

    Attributes
    ----------
    sockets : dict of Address to MemorySocket
        Open sockets.
    sides : dict of str to int
        Sides of a partition by host; datagrams between two sides are lost.
    cut_hosts : set of tuple of str
        Pairs of hosts; datagrams from the first to the second are lost.
    severed : set of tuple of Address
        Pairs of source and destination whose datagrams are lost.
    journal : list
        Every datagram sent while ``is_recorded`` is set.
    copies : int
        How often each datagram arrives.
    delay_seconds, jitter_seconds : float
        Time that a datagram takes, at least, and what may be added.
    """

    def __init__(self, random: Random):
        self.random = random
        self.sockets: dict[Address, MemorySocket] = {}
        self.sides: dict[str, int] = {}
        self.cut_hosts: set[tuple[str, str]] = set()
        self.severed: set[tuple[Address, Address]] = set()
        self.ports = count(FIRST_NEW_PORT)
        self.is_recorded = False
        self.journal = []
        self.copies = 1
        self.delay_seconds = 0.001
        self.jitter_seconds = 0.0

    def open_new(self, host):
        """Return a socket on a new port of a host."""
        return MemorySocket(self, Address(host, next(self.ports)))

    def carry(self, data, source, destination):
        """Deliver a datagram unless it is lost."""
        if self.is_recorded:
            self.journal.append((data, source, destination))
        if (source, destination) in self.severed:
            return
        if (source.host, destination.host) in self.cut_hosts:
            return
        if self.sides.get(source.host) != self.sides.get(destination.host):
            return
        for _ in range(self.copies):
            late = self.random.random() * self.jitter_seconds
            get_running_loop().call_later(
                self.delay_seconds + late,
                self.deliver,
                data,
                source,
                destination,
            )

    def replay(self):
        """Deliver every recorded datagram once more."""
        for datagram in self.journal:
            self.deliver(*datagram)

    def deliver(self, data, source, destination):
        """Hand a datagram to its socket, if that is still open."""
        if destination in self.sockets:
            self.sockets[destination].handle_datagram(data, source)


class MemorySocket:
    """A socket whose process can be paused: it then neither reads nor wakes.

    Attributes
    ----------
    sent_bytes : int
        Bytes sent, headers included.
    kind_bytes : Counter
        Bytes sent, by the first byte of the datagrams.
    """

    def __init__(self, network: MemoryNetwork, address: Address):
        self.network = network
        self.address = address
        self.datagram_handler = None
        self.sent_bytes = 0
        self.kind_bytes = Counter()
        self.waiting = []
        self.running = Event()
        self.running.set()

    def start(self, datagram_handler):
        """Hand every datagram to the taker."""
        self.datagram_handler = datagram_handler
        self.network.sockets[self.address] = self

    def close(self):
        """Stop taking datagrams."""
        del self.network.sockets[self.address]

    def send(self, data, destination):
        """Send one datagram."""
        size = DATAGRAM_HEADER_BYTES + len(data)
        self.kind_bytes[data[0]] += size
        self.sent_bytes += size
        self.network.carry(data, self.address, destination)
        return True

    def handle_datagram(self, data, source):
        """Take one datagram, after the pause if there is one."""
        if self.running.is_set():
            self.datagram_handler.handle_datagram(data, source)
        else:
            self.waiting.append((data, source))

    async def sleep(self, seconds):
        """Wait, and longer if the process is paused."""
        await sleep(seconds)
        await self.running.wait()

    def pause(self):
        """Stop the process."""
        self.running.clear()

    def wake(self, drops_incoming=False):
        """Let the process go on and read what has arrived meanwhile.

        A deaf one finds nothing, as if its buffers had been too small.
        """
        self.running.set()
        waiting, self.waiting = self.waiting, []
        for datagram in [] if drops_incoming else waiting:
            self.handle_datagram(*datagram)


class AnySource:
    """Lets every datagram in."""

    def is_known(self, host):
        """Return True."""
        return True
