"""Hosts and callers that check promises as packets come."""

from asyncio import sleep

from chicorycart.platform.segments import FIN
from chicorycart.platform.segments import RST
from chicorycart.platform.segments import SYN
from tests.standins.endpoints import read_head
from tests.standins.endpoints import StandInCaller
from tests.standins.endpoints import StandInHost


class SoakHost(StandInHost):
    """A host that checks what it is offered, and can be paused.

    Attributes
    ----------
    service : str
        Service that it runs.
    place : int
        Which address it is at.
    """

    def __init__(self, network, name, address, outbound, work, promises):
        super().__init__(network, name, address, outbound, work=work)
        self.promises = promises
        self.service = ""
        self.place = 0
        self.is_paused = False
        self.is_gone = False
        self.held = []

    def handle_datagram(self, data, source):
        """Take a packet, or let it wait while paused."""
        if self.is_paused:
            self.held.append((super().handle_datagram, (data, source)))
            return
        super().handle_datagram(data, source)

    def send(self, data):
        """Send a packet, or let it wait while paused."""
        if self.is_gone:
            return
        if self.is_paused:
            self.held.append((super().send, (data,)))
            return
        super().send(data)

    def accept(self, flow, data, sequence):
        """Accept a flow if it may come here."""
        self.promises.check_opening(self, flow[1])
        super().accept(flow, data, sequence)

    def end(self):
        """Leave for good."""
        self.is_gone = True
        self.socket.close()

    async def pause(self, seconds):
        """Do nothing for some time, then all that waited."""
        self.is_paused = True
        await sleep(seconds)
        self.is_paused = False
        held, self.held = self.held, []
        for call, arguments in held:
            call(*arguments)


class SoakCaller(StandInCaller):
    """A caller that checks what it gets.

    Attributes
    ----------
    bodies : set of bytes
        Requests that it sent.
    """

    def __init__(self, testbed, address, port, entry):
        super().__init__(testbed.fleet.network, testbed, address, port, entry)
        self.testbed = testbed
        self.bodies = set()
        self.is_closed = False

    def handle_datagram(self, data, source):
        """Check a packet and take it."""
        _, _, flags, _, _, body = read_head(data)
        promises = self.testbed.promises
        if flags & RST and not self.is_closed:
            promises.check_reset(self, self.testbed.find_owner(self))
        elif body and not flags & (SYN | FIN):
            promises.check_answer(self, body)
        super().handle_datagram(data, source)

    async def ask(self, body, seconds=3.0):
        """Send a request; return its answer, or None."""
        self.bodies.add(body)
        return await super().ask(body, seconds)

    async def close(self):
        """Close the flow."""
        self.is_closed = True
        await super().close()
