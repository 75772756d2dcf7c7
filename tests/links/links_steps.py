"""Steps on links that go silent."""

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
    """A peer that answers each datagram to where it came from."""

    def __init__(self):
        self.socket = DatagramSocket(LOOPBACK)
        self.sources = []

    def handle_datagram(self, data, source):
        self.sources.append(source)
        self.socket.send(data, source)


class Answers:
    """Counts answers."""

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
        context.answers = Answers()
        context.link.register(MessageKind.HEARTBEAT, context.answers)

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
        expected = context.answers.count + 1
        context.link.send(MessageKind.HEARTBEAT, b"?", peer)
        for _ in range(TRIES):
            if context.answers.count == expected:
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


@then("the peer saw {count:d} ports and every answer arrived")
def check_ports(context, count):
    assert len(set(context.echo.sources)) == count
    assert context.answers.count == count


@then("only the published port and the last one are open")
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
    """A connection with a keepalive, whose peer behaves as it is told."""

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
        """Return when the connection was given up, None if it was not."""
        detector = PauseDetector(self.clock, self.sleep)
        try:
            async with timeout(seconds):
                await self.keepalive.watch(detector)
        except SilentLinkError:
            return self.clock.now()
        except TimeoutError:
            return None


@when("it is watched for {seconds:d} s")
def watch(context, seconds):
    async def run():
        watched = Watched(context.behaviour)
        context.given_up_at = await watched.watch(seconds)
        context.paused = watched.paused

    context.run(run())


@then("it is given up never")
def check_kept(context):
    assert context.given_up_at is None, context.given_up_at
    assert context.paused or "pause" not in context.behaviour


@then("it is given up between {low:d} s and {high:d} s")
def check_given_up(context, low, high):
    assert low <= context.given_up_at <= high, context.given_up_at
