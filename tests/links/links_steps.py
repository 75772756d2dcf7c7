"""Steps on links and connections whose path goes silent."""

from asyncio import Event
from asyncio import sleep
from asyncio import timeout

from behave import given
from behave import then
from behave import when
from prometheus_client import CollectorRegistry

from chicorycart.address import Address
from chicorycart.clock import LoopClock
from chicorycart.links.datagrams import DatagramLink
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.errors import SilentLinkError
from chicorycart.links.keepalive import Keepalive
from chicorycart.links.metrics import count_dropped
from chicorycart.links.peers import PeerLinks
from chicorycart.links.sockets import DatagramSocket
from chicorycart.membership.pauses import PauseDetector
from tests.standins.datagrams import AnySource

LOOPBACK = Address("127.0.0.1", 0)
PAUSE_AT_SECONDS = 20
PAUSED_SECONDS = 30
WAIT_SECONDS = 0.01
TRIES = 500


class Echo:
    """A peer that sends each datagram back to its source."""

    def __init__(self):
        self.socket = DatagramSocket(LOOPBACK)
        self.sources = []

    def handle_datagram(self, data, source):
        self.sources.append(source)
        self.socket.send(data, source)


class ReplyCounter:
    """Counts the replies received."""

    def __init__(self):
        self.count = 0

    def receive(self, body, source):
        self.count += 1


@given("a link and a peer on loopback")
def open_link(context):
    async def start():
        context.echo = Echo()
        context.echo.socket.start(context.echo)
        context.opened = []
        main = DatagramSocket(LOOPBACK)
        link = DatagramLink(
            main, AnySource(), count_dropped(CollectorRegistry())
        )
        main.start(link)
        context.link = PeerLinks(link, open_socket)
        context.replies = ReplyCounter()
        context.link.register(MessageKind.HEARTBEAT, context.replies)

    def open_socket():
        context.opened.append(DatagramSocket(LOOPBACK))
        return context.opened[-1]

    async def stop():
        context.link.close()
        context.link.main.socket.close()
        context.echo.socket.close()

    context.run(start())
    context.cleanups.callback(lambda: context.run(stop()))


@when("the link moves to a new port {count:d} times, sending each time")
def move_often(context, count):
    peer = context.echo.socket.address

    async def send():
        expected = context.replies.count + 1
        context.link.send(MessageKind.HEARTBEAT, b"?", peer)
        for _ in range(TRIES):
            if context.replies.count == expected:
                return
            await sleep(WAIT_SECONDS)

    async def move():
        context.link.move(peer)

    context.run(send())
    for _ in range(count):
        context.run(move())
        context.run(send())


@when("the link moves for {count:d} peers")
def move_many(context, count):
    async def move():
        for port in range(1, count + 1):
            context.link.move(Address("127.0.0.1", port))

    context.run(move())


@then("the peer received from {count:d} ports and every reply arrived")
def check_ports(context, count):
    assert len(set(context.echo.sources)) == count
    assert context.replies.count == count


@then("only the published port and the latest one are open")
def check_one_open(context):
    is_open = [socket.socket.fileno() >= 0 for socket in context.opened]
    assert is_open == [False, False, True]


@then("{count:d} ports are open beside the published one")
def check_bound(context, count):
    is_open = [socket.socket.fileno() >= 0 for socket in context.opened]
    assert sum(is_open) == count


@given("a connection whose peer {behaviour}")
def make_connection(context, behaviour):
    context.behaviour = behaviour


class Watched:
    """A connection with a keepalive and a simulated peer."""

    def __init__(self, behaviour):
        self.behaviour = behaviour
        self.clock = LoopClock()
        self.paused = False
        self.keepalive = Keepalive(self.clock, self.send_heartbeat)

    async def send_heartbeat(self):
        if self.behaviour == "takes no heartbeat":
            await Event().wait()
        if self.behaviour != "falls silent":
            self.keepalive.record_contact()

    async def sleep(self, seconds):
        await sleep(seconds)
        is_due = self.clock.now() > PAUSE_AT_SECONDS
        if "pause" in self.behaviour and is_due and not self.paused:
            self.paused = True
            await sleep(PAUSED_SECONDS)

    async def watch(self, seconds):
        """Return when the connection timed out, None if it did not."""
        detector = PauseDetector(self.clock, self.sleep)
        try:
            async with timeout(seconds):
                await self.keepalive.watch(detector)
        except SilentLinkError:
            return self.clock.now()
        except TimeoutError:
            return None


@when("its keepalive runs for {seconds:d} s")
def watch(context, seconds):
    async def run():
        watched = Watched(context.behaviour)
        context.timed_out_at = await watched.watch(seconds)
        context.paused = watched.paused

    context.run(run())


@then("it times out never")
def check_live(context):
    assert context.timed_out_at is None, context.timed_out_at
    assert context.paused or "pause" not in context.behaviour


@then("it times out between {low:d} s and {high:d} s")
def check_timed_out(context, low, high):
    assert low <= context.timed_out_at <= high, context.timed_out_at
