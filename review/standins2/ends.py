"""The two ends of a flow: hosts beside agents, and clients."""

from asyncio import create_task
from asyncio import DatagramProtocol
from asyncio import Event
from asyncio import get_running_loop
from asyncio import Semaphore
from asyncio import sleep
from asyncio import timeout
from contextlib import suppress
from time import time
from zlib import crc32

from standins2.wire import ACK
from standins2.wire import decode
from standins2.wire import describe
from standins2.wire import encode
from standins2.wire import FIN
from standins2.wire import mark_bounced
from standins2.wire import RST
from standins2.wire import SYN

HEARTBEAT_SECONDS = 0.77
COLD_SECONDS = 2.0
DRAIN_SECONDS = 3.0
WORK_SECONDS = 0.03
SLOTS = 2
RETRANSMIT_SECONDS = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
COPY_SECONDS = (0.2, 0.4, 0.8)
RESET_RANGE = 76_800
PART_BYTES = 1_000


class Inbox(DatagramProtocol):
    """Passes datagrams to a function."""

    def __init__(self, take):
        self.take = take

    def datagram_received(self, data, addr):
        """Pass one datagram on."""
        self.take(data)


async def open_socket(address, take):
    """Open a UDP socket whose datagrams go to a function."""
    transport, _ = await get_running_loop().create_datagram_endpoint(
        lambda: Inbox(take), local_addr=address
    )
    return transport


class HostFlow:
    """A flow at a host.

    Attributes
    ----------
    first, next_seq, expected : int
        Own first sequence number, the next one, and the client's next one.
    is_open, has_ended : bool
        Whether the client's next packet came, and whether the flow ended.
    resend : Task or None
        Repeats the answer until it is acknowledged.
    opened_at : float
        Time at which the flow opened.
    """

    __slots__ = (
        "first",
        "next_seq",
        "expected",
        "is_open",
        "has_ended",
        "resend",
        "opened_at",
    )

    def __init__(self, first, expected):
        self.first = first
        self.next_seq = first + 1
        self.expected = expected
        self.is_open = False
        self.has_ended = False
        self.resend = None
        self.opened_at = 0.0


class Host:
    """A host that runs requests of one packet each.

    Attributes
    ----------
    flows : dict
        Flows by client and entry.
    ran : list of bytes
        Requests that ran.
    resets : set
        Flows that the host itself reset.
    born_at : float
        Time of its start by the clock of its machine.
    work : float
        Time that the host works on a request, in seconds.
    taken : list of tuple
        Flow, number of the copy and time of each opening packet that came.
    """

    def __init__(
        self, name, service, app, outbound, store, record, zone, ahead=0.0
    ):
        self.name = name
        self.service = service
        self.app = app
        self.outbound = outbound
        self.store = store
        self.record = record
        self.zone = zone
        self.flows = {}
        self.ran = []
        self.resets = set()
        self.state = "ready"
        self.started_at = time()
        self.born_at = self.started_at + ahead
        self.socket = None
        self.tasks = set()
        self.seq = 0
        self.beat_at = 0.0
        self.work = WORK_SECONDS
        self.places = Semaphore(SLOTS)
        self.written = None
        self.taken = []
        self.next_first = crc32(name.encode()) & 0xFFFFFFF

    async def start(self):
        """Take packets and register."""
        self.socket = await open_socket(self.app, self.take)
        self.spawn(self.beat())

    def spawn(self, work):
        """Run a task until the host ends."""
        task = create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def beat(self):
        """Write the entry every heartbeat."""
        while True:
            self.register()
            await sleep(HEARTBEAT_SECONDS)

    def register(self):
        """Write the entry; it changes if more than `seq` changes."""
        self.seq += 1
        self.beat_at = time()
        cold = max(0.0, COLD_SECONDS - (time() - self.started_at))
        entry = {
            "service": self.service,
            "address": f"{self.app[0]}:{self.app[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "coldRemainingMs": int(cold * 1000),
            "born": int(self.born_at * 1000),
        }
        if entry != self.written:
            self.written = entry
            self.store.put(f"servers/{self.name}", {**entry, "seq": self.seq})

    async def expire(self):
        """Remove the entry after three heartbeats of silence."""
        due = self.beat_at + 3 * HEARTBEAT_SECONDS
        await sleep(max(0.0, due - time()))
        self.store.remove(f"servers/{self.name}")

    async def drain(self):
        """Leave: drain, go on serving for a time, end."""
        self.state = "draining"
        self.register()
        self.record.note(f"{self.name} drains")
        await sleep(DRAIN_SECONDS + 0.5)
        self.end()
        self.store.remove(f"servers/{self.name}")
        self.record.note(f"{self.name} has ended")

    def end(self):
        """End; the entry is removed by the caller, or expires."""
        for task in list(self.tasks):
            task.cancel()
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def send(self, data):
        """Send a packet to the agent."""
        if self.socket is not None:
            self.socket.sendto(data, self.outbound)

    def take(self, raw):
        """Take a packet from the agent."""
        packet = decode(raw)
        if not packet.is_genuine:
            self.record.fault("UNASKED", f"{self.name}: a forged packet")
            return
        flow = self.flows.get(packet.flow)
        if packet.flags & SYN:
            self.accept(packet)
        elif flow is None or not self.is_open(flow, packet):
            self.send(mark_bounced(raw))
        elif flow.has_ended:
            self.answer_ended(flow, packet)
        else:
            self.take_open(flow, packet)

    def is_open(self, flow, packet):
        """Tell whether a flow is open, or opens with this packet."""
        if not flow.is_open and packet.ack == flow.first + 1:
            flow.is_open = True
            flow.opened_at = get_running_loop().time()
            self.record.note(f"{self.name} opened {describe(packet.flow)}")
        return flow.is_open

    def accept(self, packet):
        """Accept a flow."""
        now = get_running_loop().time()
        self.taken.append((packet.flow, packet.ack, now))
        flow = self.flows.get(packet.flow)
        if flow is None:
            self.next_first += 7_919
            flow = HostFlow(self.next_first, packet.seq + 1)
            self.flows[packet.flow] = flow
        self.reply(packet, SYN | ACK, flow.first, flow.expected)

    def reply(self, packet, flags, seq, ack, body=b""):
        """Send a packet to the client of a packet."""
        self.send(encode(packet.target, packet.source, flags, seq, ack, body))

    def answer_ended(self, flow, packet):
        """Answer a packet on a flow that has ended here."""
        if packet.flags & FIN:
            self.reply(packet, ACK, flow.next_seq, packet.seq + 1)
        elif packet.body:
            self.resets.add(packet.flow)
            self.reply(packet, RST | ACK, flow.next_seq, flow.expected)

    def take_open(self, flow, packet):
        """Take a packet of an open flow."""
        if flow.resend is not None and packet.ack == flow.next_seq:
            flow.resend.cancel()
            flow.resend = None
        if packet.flags & RST:
            flow.has_ended = True
        elif packet.flags & FIN:
            flow.has_ended = True
            self.reply(packet, FIN | ACK, flow.next_seq, packet.seq + 1)
        elif packet.body and packet.seq == flow.expected:
            flow.expected += len(packet.body)
            self.spawn(self.run(flow, packet))
        elif packet.body and packet.seq != flow.expected:
            self.reply(packet, ACK, flow.next_seq, flow.expected)

    async def run(self, flow, packet):
        """Work on a request and answer it in two packets."""
        request = packet.body.split(b"Request-Id: ")[1].split(b"\r\n")[0]
        async with self.places:
            self.record.note(f"{self.name} runs {request.decode()}")
            self.ran.append(request)
            await sleep(self.work)
        head = (
            b"HTTP/1.1 200 OK\r\nResponse-Stamp: %s/%s\r\n"
            b"Content-Length: %d\r\n\r\n"
        ) % (self.name.encode(), request, 2 * PART_BYTES)
        start = flow.next_seq
        answer = head + b"x" * 2 * PART_BYTES
        flow.next_seq += len(answer)
        parts = [
            (start + at, answer[at : at + PART_BYTES + len(head)])
            for at in range(0, len(answer), PART_BYTES + len(head))
        ]
        flow.resend = self.spawn(self.deliver(flow, packet, parts))
        if self.state == "draining":
            self.reply(packet, FIN | ACK, flow.next_seq, flow.expected)

    async def deliver(self, flow, packet, parts):
        """Send an answer until it is acknowledged."""
        for pause in (*RETRANSMIT_SECONDS, 0):
            for seq, part in parts:
                self.reply(packet, ACK, seq, flow.expected, part)
            await sleep(pause)


class Client:
    """One flow of a client, with a request now and then.

    Attributes
    ----------
    answered : list of str
        Requests that got their whole answer.
    is_reset, is_closing : bool
        Whether the flow was reset, by whomever, and whether its host closes
        it after the last answer.
    sent : dict of int to tuple
        Time and balancer of each copy of the opening packet.
    """

    def __init__(self, fabric, port, entry, record):
        self.fabric = fabric
        self.address = (fabric.client_ip, port)
        self.entry = entry
        self.record = record
        self.first = port * 100_003
        self.next_seq = self.first + 1
        self.expected = None
        self.asked = []
        self.answered = []
        self.received = b""
        self.is_reset = False
        self.has_ended = False
        self.is_closing = False
        self.sent = {}
        self.changed = Event()
        self.opened_at = 0.0
        self.active_at = 0.0
        fabric.clients[self.address] = self

    @property
    def flow(self):
        """Client and entry."""
        return self.address, self.entry

    def send(self, flags, seq, ack, body=b""):
        """Send a packet through the fabric."""
        self.active_at = get_running_loop().time()
        self.fabric.send(
            self.flow,
            encode(self.address, self.entry, flags, seq, ack, body),
        )

    async def wait(self, is_done, seconds):
        """Wait until something is so, for at most some seconds."""
        with suppress(TimeoutError):
            async with timeout(seconds):
                while not is_done():
                    await self.changed.wait()
        return is_done()

    async def open(self):
        """Open the flow; tell whether a host accepted it."""
        for copies, pause in enumerate(COPY_SECONDS):
            now = get_running_loop().time()
            self.sent[copies] = (now, self.fabric.choose(self.flow))
            self.send(SYN, self.first, copies)
            if await self.wait(self.is_settled, pause):
                break
        if self.expected is None:
            self.has_ended = True
        return self.expected is not None

    def is_settled(self):
        """Tell whether a host accepted the flow or it was reset."""
        return self.expected is not None or self.is_reset

    async def ask(self, number, deadline):
        """Send a request until it is answered; tell whether it was."""
        name = f"{self.address[1]}-{number}"
        self.asked.append(name)
        body = (
            f"GET /feed HTTP/1.1\r\nHost: review\r\nRequest-Id: {name}\r\n\r\n"
        ).encode()
        seq = self.next_seq
        self.next_seq += len(body)
        self.record.note(f"client sends {name}")
        with suppress(TimeoutError):
            async with timeout(deadline):
                for pause in RETRANSMIT_SECONDS:
                    self.send(ACK, seq, self.expected, body)
                    if await self.wait(
                        lambda: name in self.answered or self.is_reset, pause
                    ):
                        break
        is_answered = name in self.answered
        if not is_answered:
            self.record.note(f"client: no answer to {name}")
        return is_answered

    def close(self):
        """Close the flow."""
        if not self.has_ended:
            self.has_ended = True
            self.send(FIN | ACK, self.next_seq, self.expected)

    def take(self, packet):
        """Take a packet for this flow."""
        if packet.flags & RST:
            self.take_reset(packet)
        elif not packet.is_genuine:
            self.record.fault("MIXED", f"forged: {describe(self.flow)}")
        elif packet.flags & SYN:
            if self.expected is None:
                self.expected = packet.seq + 1
                self.opened_at = get_running_loop().time()
        elif packet.body:
            self.take_data(packet)
        elif packet.flags & FIN:
            self.is_closing = True
        self.changed.set()
        self.changed = Event()

    def take_reset(self, packet):
        """Take a reset: any before the flow is open, else one in range."""
        if self.has_ended or self.is_reset:
            return
        distance = abs(packet.seq - (self.expected or packet.seq))
        if distance > RESET_RANGE:
            self.record.note(f"client ignores a reset {describe(self.flow)}")
            return
        self.is_reset = True
        whose = "host" if packet.is_genuine else "system"
        self.fabric.note_reset(self, whose)

    def take_data(self, packet):
        """Take a part of an answer; acknowledge every second packet."""
        if packet.seq != self.expected:
            self.send(ACK, self.next_seq, self.expected)
            return
        self.expected += len(packet.body)
        self.received += packet.body
        head, _, body = self.received.partition(b"\r\n\r\n")
        if len(body) < 2 * PART_BYTES:
            return
        self.received = b""
        self.send(ACK, self.next_seq, self.expected)
        name = head.split(b"Response-Stamp: ")[1].split(b"\r\n")[0]
        request = name.decode().partition("/")[2]
        if request not in self.asked:
            self.record.fault("MIXED", f"{self.address}: answer of {name}")
        self.answered.append(request)
