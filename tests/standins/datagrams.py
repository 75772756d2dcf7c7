"""A network in memory that loses, delays and repeats datagrams."""

from asyncio import Event
from asyncio import get_running_loop
from asyncio import sleep
from collections import Counter
from random import Random

from chicorycart.address import Address
from chicorycart.defaults import DATAGRAM_HEADER_BYTES
from chicorycart.errors import ChicorycartError

KIND_BYTES = 1


class MemoryNetwork:
    """Carries datagrams between links on the loop's time.

    Attributes
    ----------
    links : dict of Address to MemoryLink
        Links that are up.
    sides : dict of Address to int
        Sides of a partition; datagrams between two sides are lost.
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
        self.links: dict[Address, MemoryLink] = {}
        self.sides: dict[Address, int] = {}
        self.severed: set[tuple[Address, Address]] = set()
        self.is_recorded = False
        self.journal = []
        self.copies = 1
        self.delay_seconds = 0.001
        self.jitter_seconds = 0.0

    def carry(self, kind, body, source, destination):
        """Deliver a datagram unless it is lost."""
        if self.is_recorded:
            self.journal.append((kind, body, source, destination))
        if (source, destination) in self.severed:
            return
        if self.sides.get(source, 0) != self.sides.get(destination, 0):
            return
        for _ in range(self.copies):
            late = self.random.random() * self.jitter_seconds
            get_running_loop().call_later(
                self.delay_seconds + late,
                self.deliver,
                kind,
                body,
                source,
                destination,
            )

    def replay(self):
        """Deliver every recorded datagram once more."""
        for datagram in self.journal:
            self.deliver(*datagram)

    def deliver(self, kind, body, source, destination):
        """Hand a datagram to its link, if that is still there."""
        if destination in self.links:
            self.links[destination].take(kind, body, source)


class MemoryLink:
    """A link whose process can be paused: it then neither reads nor wakes.

    Attributes
    ----------
    sent_bytes : int
        Bytes sent, headers included.
    refused : int
        Messages that the receiver refused.
    kinds : Counter
        Messages sent, by kind.
    """

    def __init__(self, network: MemoryNetwork, address: Address):
        self.network = network
        self.address = address
        self.receivers = {}
        self.sent_bytes = 0
        self.refused = 0
        self.kinds = Counter()
        self.waiting = []
        self.running = Event()
        self.running.set()
        network.links[address] = self

    def register(self, kind, receiver):
        """Hand the messages of one kind to the receiver."""
        self.receivers[kind] = receiver

    def send(self, kind, body, destination):
        """Send one message."""
        self.kinds[kind] += 1
        self.sent_bytes += DATAGRAM_HEADER_BYTES + KIND_BYTES + len(body)
        self.network.carry(kind, body, self.address, destination)

    def take(self, kind, body, source):
        """Take one message, after the pause if there is one."""
        if not self.running.is_set():
            self.waiting.append((kind, body, source))
            return
        try:
            self.receivers[kind].receive(body, source)
        except ChicorycartError:
            self.refused += 1

    async def sleep(self, seconds):
        """Wait, and longer if the process is paused."""
        await sleep(seconds)
        await self.running.wait()

    def pause(self):
        """Stop the process."""
        self.running.clear()

    def wake(self, is_deaf=False):
        """Let the process go on and read what has arrived meanwhile.

        A deaf one finds nothing, as if its buffers had been too small.
        """
        self.running.set()
        waiting, self.waiting = self.waiting, []
        for message in [] if is_deaf else waiting:
            self.take(*message)
