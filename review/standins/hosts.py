"""Stand-in of a host that serves the requests of its flows."""

from asyncio import create_task
from asyncio import DatagramProtocol
from asyncio import get_running_loop
from asyncio import sleep
from collections import deque
from random import randrange
from time import monotonic
from time import time

from standins.packets import ACK
from standins.packets import BOUNCED
from standins.packets import decode
from standins.packets import encode
from standins.packets import FIN
from standins.packets import Flow
from standins.packets import has_valid_sum
from standins.packets import mark_bounced
from standins.packets import Packet
from standins.packets import RST
from standins.packets import SYN

HEARTBEAT_SECONDS = 0.77
EXPIRY_BEATS = 3
SLOTS = 4
WORK_SECONDS = 0.02
MAX_SEQUENCE = 1 << 31


class HostedFlow:
    """One flow at a host."""

    def __init__(self, packet: Packet):
        self.first = randrange(1 << 20, MAX_SEQUENCE)
        self.expected = packet.sequence + 1
        self.sent = self.first + 1
        self.is_open = False
        self.answers = {}


class Host(DatagramProtocol):
    """A host beside an agent, with its entry in the store.

    Attributes
    ----------
    ran : list of (float, str, Flow)
        Time, id and flow of each request that it worked on.
    opened : list of (float, Flow)
        Opening packets that it took.
    """

    def __init__(self, name, service, address, outbound, store, record):
        self.name = name
        self.service = service
        self.address = address
        self.outbound = outbound
        self.store = store
        self.record = record
        self.state = "ready"
        self.born = int(time() * 1000)
        self.flows = {}
        self.ran = []
        self.opened = []
        self.forged = 0
        self.queue = deque()
        self.running = 0
        self.transport = None
        self.beats = None

    async def start(self) -> None:
        """Take packets and write the own entry."""
        self.transport, _ = await get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )
        self.register()

    def register(self) -> None:
        """Write the own entry; heartbeats that change nothing are no change.

        The stand-in of the store keeps the entry while this host lives.
        """
        self.store.put_json(f"servers/{self.name}", self.describe())

    def describe(self) -> dict:
        """Return the own entry."""
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "zone-a",
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "coldRemainingMs": 0,
            "seq": 1,
            "born": self.born,
        }

    def drain(self) -> float:
        """Report that it leaves; return the time of the acknowledgement."""
        self.state = "draining"
        self.register()
        return monotonic()

    def withdraw(self) -> None:
        """Remove the own entry; open flows are served on for a time."""
        self.store.remove(f"servers/{self.name}")

    def datagram_received(self, data: bytes, address: tuple) -> None:
        """Take a packet from the agent."""
        packet = decode(data)
        flow = Flow(
            packet.source,
            packet.source_port,
            packet.destination,
            packet.destination_port,
        )
        if not has_valid_sum(data) or packet.flags & BOUNCED:
            self.forged += 1
            self.record.write(f"host {self.name}: forged packet of {flow}")
            return
        if packet.flags & SYN:
            self.accept(flow, packet)
            return
        state = self.flows.get(flow)
        if state is not None and packet.acknowledged == state.first + 1:
            state.is_open = True
        if state is None or not state.is_open:
            self.transport.sendto(mark_bounced(data), self.outbound)
        elif packet.flags & RST:
            del self.flows[flow]
        else:
            self.take(flow, state, packet)

    def accept(self, flow: Flow, packet: Packet) -> None:
        """Answer an opening packet."""
        state = self.flows.get(flow)
        if state is None:
            state = self.flows[flow] = HostedFlow(packet)
            self.opened.append((monotonic(), flow))
        self.send(flow, SYN | ACK, state.first, packet.sequence + 1)

    def take(self, flow: Flow, state: HostedFlow, packet: Packet) -> None:
        """Take data or the end of a flow."""
        if packet.sequence in state.answers:
            answer = state.answers[packet.sequence]
            if answer is not None:
                self.send(flow, ACK, answer[0], state.expected, answer[1])
        elif packet.data and packet.sequence == state.expected:
            state.expected += len(packet.data)
            state.answers[packet.sequence] = None
            self.queue.append((flow, state, packet))
            self.run_next()
        elif packet.flags & FIN:
            self.send(flow, ACK | FIN, state.sent, packet.sequence + 1)
            del self.flows[flow]

    def run_next(self) -> None:
        """Start waiting requests while slots are free."""
        while self.queue and self.running < SLOTS:
            self.running += 1
            task = create_task(self.run(*self.queue.popleft()))
            task.add_done_callback(lambda _: self.run_next())

    async def run(self, flow, state, packet) -> None:
        """Work on one request and answer it."""
        request_id = read_request_id(packet.data)
        self.ran.append((monotonic(), request_id, flow))
        self.record.write(f"host {self.name}: runs {request_id} of {flow}")
        await sleep(WORK_SECONDS)
        self.running -= 1
        body = f"{self.name} answers {request_id}".encode()
        answer = (
            b"HTTP/1.1 200 OK\r\nResponse-Stamp: "
            + request_id.encode()
            + b"\r\nContent-Length: %d\r\n\r\n" % len(body)
            + body
        )
        state.answers[packet.sequence] = (state.sent, answer)
        self.send(flow, ACK, state.sent, state.expected, answer)
        state.sent += len(answer)
        if self.state == "draining":
            # A host that leaves closes each flow after its next answer.
            self.send(flow, ACK | FIN, state.sent, state.expected)

    def send(self, flow, flags, sequence, acknowledged, data=b"") -> None:
        """Send a packet to the client, by the agent."""
        raw = encode(
            (flow.route, flow.route_port),
            (flow.client, flow.client_port),
            flags,
            sequence,
            acknowledged,
            data,
        )
        self.transport.sendto(raw, self.outbound)


def read_request_id(data: bytes) -> str:
    """Return the id that a request names."""
    for line in data.decode().split("\r\n"):
        if line.startswith("Request-Id: "):
            return line.partition(": ")[2]
    return "none"
