"""Stand-ins of the platform's routers and of clients behind them."""

from asyncio import create_task
from asyncio import DatagramProtocol
from asyncio import Event
from asyncio import gather
from asyncio import get_running_loop
from asyncio import open_connection
from asyncio import sleep
from asyncio import timeout
from random import randrange
from time import monotonic
from zlib import crc32

from standins.packets import ACK
from standins.packets import decode
from standins.packets import encode
from standins.packets import FIN
from standins.packets import Flow
from standins.packets import has_valid_sum
from standins.packets import RST
from standins.packets import SYN

COPY_SECONDS = (0.2, 0.4, 0.8)
RESEND_SECONDS = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6)
READY_SECONDS = 0.5
MISSES = 2
MAX_SEQUENCE = 1 << 31
RESET_WINDOW = 76_800
SEQUENCES = 1 << 32


class Routers(DatagramProtocol):
    """Forwards clients' packets to the balancers in rotation.

    Attributes
    ----------
    misses : dict of str to int
        Answers to `GET /ready` that were missed in a row, by balancer.
    """

    def __init__(self, host, data_port, ready_port, balancers, record):
        self.host = host
        self.data_port = data_port
        self.ready_port = ready_port
        self.misses = dict.fromkeys(balancers, 0)
        self.record = record
        self.clients = {}
        self.transport = None
        self.tasks = []

    async def start(self) -> None:
        """Forward packets and ask who is ready."""
        self.transport, _ = await get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.data_port)
        )
        self.tasks = [create_task(self.check(b)) for b in self.misses]

    async def stop(self) -> None:
        """End the checks."""
        for task in self.tasks:
            task.cancel()
        await gather(*self.tasks, return_exceptions=True)

    async def check(self, balancer: str) -> None:
        """Ask one balancer twice a second whether it is ready."""
        while True:
            await sleep(READY_SECONDS)
            is_ready = await self.is_ready(balancer)
            before = self.misses[balancer] < MISSES
            self.misses[balancer] = (
                0 if is_ready else self.misses[balancer] + 1
            )
            if before != (self.misses[balancer] < MISSES):
                word = "out of" if before else "in"
                self.record.write(f"routers: {balancer} is {word} rotation")

    async def is_ready(self, balancer: str) -> bool:
        """Call `GET /ready` of a balancer."""
        try:
            async with timeout(READY_SECONDS):
                reader, writer = await open_connection(
                    balancer, self.ready_port
                )
                writer.write(
                    b"GET /ready HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: close\r\n\r\n"
                )
                try:
                    line = await reader.readline()
                finally:
                    writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def choose(self, flow: Flow) -> str:
        """Return the balancer of a flow: a hash modulo their number."""
        ready = [b for b, n in self.misses.items() if n < MISSES]
        if 2 * len(ready) < len(self.misses):
            ready = list(self.misses)
        return ready[crc32(repr(flow).encode()) % len(ready)]

    def forward(self, flow: Flow, raw: bytes, balancer: str | None) -> None:
        """Forward a packet, or send it to one balancer directly."""
        self.transport.sendto(
            raw, (balancer or self.choose(flow), self.data_port)
        )

    def datagram_received(self, data: bytes, address: tuple) -> None:
        """Hand a packet to the client that it is for."""
        packet = decode(data)
        flow = Flow(
            packet.destination,
            packet.destination_port,
            packet.source,
            packet.source_port,
        )
        client = self.clients.get(flow)
        if client is not None:
            client.take(packet, data)


class Client:
    """One flow of a client.

    Attributes
    ----------
    reset_by : str or None
        Who reset the flow: "system" or "host"; None while nobody did.
    foreign : list of str
        Answers to other requests than its own.
    """

    def __init__(self, routers, record, port, route, balancer=None):
        self.routers = routers
        self.record = record
        self.flow = Flow(routers.host, port, *route)
        self.balancer = balancer
        self.first = randrange(1 << 20, MAX_SEQUENCE)
        self.sequence = self.first + 1
        self.expected = None
        self.reset_by = None
        self.answer = None
        self.foreign = []
        self.changed = Event()
        routers.clients[self.flow] = self

    def take(self, packet, raw: bytes) -> None:
        """Take a packet of the own flow."""
        if packet.flags & RST:
            self.take_reset(packet, raw)
        elif not has_valid_sum(raw):
            self.foreign.append("a packet that its sender did not write so")
        elif packet.flags & SYN:
            if self.expected is None:
                self.expected = packet.sequence + 1
        elif packet.data and packet.sequence == self.expected:
            self.expected += len(packet.data)
            self.answer = packet.data
        elif packet.flags & FIN and packet.sequence == self.expected:
            self.expected += 1
            self.send(ACK | FIN, self.sequence, self.expected)
        self.changed.set()
        self.changed = Event()

    def take_reset(self, packet, raw: bytes) -> None:
        """Take a reset; on an open flow its number has to be close."""
        if self.expected is not None:
            ahead = (packet.sequence - self.expected) % SEQUENCES
            if min(ahead, SEQUENCES - ahead) > RESET_WINDOW:
                return
        is_host = packet.sum and has_valid_sum(raw)
        self.reset_by = "host" if is_host else "system"
        self.record.write(f"client {self.flow}: reset by {self.reset_by}")

    async def open(self) -> bool:
        """Open the flow; tell whether a host accepted it."""
        for copies, seconds in enumerate(COPY_SECONDS):
            self.send(SYN, self.first, copies)
            if await self.wait(
                lambda: self.expected is not None or self.reset_by, seconds
            ):
                break
        return self.expected is not None and self.reset_by is None

    async def ask(self, request_id: str, seconds: float = 5.0) -> bool:
        """Send a request; tell whether its own answer came."""
        self.record.write(f"client {self.flow}: sends {request_id}")
        self.answer = None
        data = f"GET /x HTTP/1.1\r\nRequest-Id: {request_id}\r\n\r\n".encode()
        until = monotonic() + seconds
        for wait in RESEND_SECONDS:
            self.send(ACK, self.sequence, self.expected, data)
            left = min(wait, until - monotonic())
            if left <= 0 or await self.wait(
                lambda: self.answer is not None or self.reset_by, left
            ):
                break
        self.sequence += len(data)
        is_own = self.answer is not None and (
            f"Response-Stamp: {request_id}\r\n".encode() in self.answer
        )
        if self.answer is not None and not is_own:
            self.foreign.append(f"an answer that is not for {request_id}")
        outcome = "answered" if is_own else "not answered"
        self.record.write(f"client {self.flow}: {request_id} {outcome}")
        return is_own

    def close(self) -> None:
        """Close the flow."""
        if self.expected is not None and self.reset_by is None:
            self.send(ACK | FIN, self.sequence, self.expected)

    def send(self, flags, sequence, acknowledged, data=b"") -> None:
        """Send a packet of the flow."""
        raw = encode(
            (self.flow.client, self.flow.client_port),
            (self.flow.route, self.flow.route_port),
            flags,
            sequence,
            acknowledged,
            data,
        )
        self.routers.forward(self.flow, raw, self.balancer)

    async def wait(self, is_done, seconds: float) -> bool:
        """Wait for at most some seconds; tell whether it is done."""
        try:
            async with timeout(seconds):
                while not is_done():
                    await self.changed.wait()
        except TimeoutError:
            return False
        return True
