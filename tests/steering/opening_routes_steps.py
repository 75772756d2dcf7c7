"""Steps on opening flows whose route changes."""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep

from behave import given
from behave import then
from behave import when

from chicorycart.links.datagrams import MessageKind
from chicorycart.platform.segments import ACK
from chicorycart.platform.segments import SYN
from chicorycart.steering.messages import decode_delivery
from chicorycart.steering.published import Changes
from chicorycart.steering.routes import Route
from chicorycart.steering.routes import RouteTable
from chicorycart.steering.routes import ServiceLevel
from tests.standins.endpoints import ENTRY
from tests.standins.endpoints import read_head
from tests.standins.steered import LINK_PORT
from tests.standins.steered import make_entry
from tests.standins.steered import SERVICE
from tests.steering.entry_services_steps import list_hosts
from tests.steering.entry_services_steps import make_routes
from tests.steering.entry_services_steps import publish_split

BALANCER = "b1"
CALLERS_HOST = "100.64.0.7"
CALL_SECONDS = 0.025
END_SECONDS = 4.0
STEP_SECONDS = 0.001
REQUEST_SECONDS = 1.0
AIM_SECONDS = 0.1


class OpeningLog:
    """A fault of a network that judges each opening packet to an agent.

    Attributes
    ----------
    count : int
        Opening packets that were sent to agents.
    misled : list of str
        Those whose service the version in force did not name.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.count = 0
        self.misled = []
        fleet.network.faults.append(self.judge)

    def judge(self, source, data, destination):
        """Judge a datagram; none is lost."""
        if destination.port != LINK_PORT or data[0] != MessageKind.DELIVERY:
            return False
        _, packet = decode_delivery(data[1:])
        caller, _, flags, *_ = read_head(packet)
        if not flags & SYN:
            return False
        self.count += 1
        routes = self.fleet.balancers[BALANCER].follower.routes.current
        route = routes.by_entry.get(make_entry(ENTRY))
        named = {n for n, weight in route.services if weight} if route else ()
        service = next(
            agent.settings.service
            for agent in self.fleet.agents.values()
            if agent.settings.link == destination
        )
        if service not in named:
            self.misled.append(f"{caller} to {service} by {routes.version}")
        return False


class WaitLog:
    """Tells how long flows wait that waited when a version came into force.

    Attributes
    ----------
    waiting : set of bytes
        Flows that waited then.
    seconds : float
        Time until none of them waited by the former version any more.
    """

    def __init__(self, balancer):
        self.balancer = balancer
        self.waiting = set()
        self.seconds = None

    async def watch(self, version):
        """Wait until a version is in force and the waiting flows are gone."""
        parked = self.balancer.steerer.parked.packets
        routes = self.balancer.follower.routes
        began = None
        for _ in range(round(END_SECONDS / STEP_SECONDS)):
            now = get_running_loop().time()
            if routes.current.version < version:
                self.waiting = set(parked)
                began = now
            elif not self.waiting.intersection(parked):
                self.seconds = now - began
                return
            await sleep(STEP_SECONDS)


@given('the host of "{service}" is {times:d} times slower than the others')
def slow_service(context, service, times):
    for name in list_hosts(context, service):
        context.fleet.hosts[name].work *= times


@given('the host of "{service}" is silent')
@given('the hosts of "{service}" are silent')
def silence_service(context, service):
    for name in list_hosts(context, service):
        context.fleet.hosts[name].is_silent = True


@given('the host of "{service}" accepts flows, which no caller sees')
def lose_acceptances(context, service):
    agents = {
        context.fleet.agents[name].settings.outbound.host
        for name in list_hosts(context, service)
    }

    def lose(source, data, destination):
        if source.host not in agents or destination.host != CALLERS_HOST:
            return False
        return read_head(data)[2] == SYN | ACK

    context.fleet.network.faults.append(lose)


@when(
    'callers ask for {seconds:d} s, and the route leads to "{split}" after'
    " {later:g} s"
)
@when(
    'callers ask for {seconds:d} s, and the route leads to "" after'
    " {later:g} s"
)
def ask_during_change(context, seconds, later, split=""):
    fleet = context.fleet

    async def ask():
        caller = fleet.make_caller()
        caller.asked_at = get_running_loop().time() - context.began
        caller.answer = None
        if await caller.open():
            caller.answer = await caller.ask(b"hello", REQUEST_SECONDS)

    async def change(version):
        await sleep(later)
        publish_split(fleet, split)
        await context.waits.watch(version)

    async def run():
        await fleet.settle()
        context.log = OpeningLog(fleet)
        context.waits = WaitLog(fleet.balancers[BALANCER])
        context.began = get_running_loop().time()
        changing = create_task(change(fleet.store.routes[1].version + 1))
        calls = []
        for _ in range(round(seconds / CALL_SECONDS)):
            calls.append(create_task(ask()))
            await sleep(CALL_SECONDS)
        await gather(changing, *calls)

    context.run(run())


@when(
    "{count:d} callers wait and the timeout of their route becomes"
    " {seconds:g} s"
)
def shorten_timeout(context, count, seconds):
    fleet = context.fleet

    async def run():
        await fleet.settle()
        context.waits = WaitLog(fleet.balancers[BALANCER])
        calls = [create_task(fleet.make_caller().open()) for _ in range(count)]
        await sleep(seconds)
        level = ServiceLevel(AIM_SECONDS, seconds, 1)
        route = Route(make_entry(ENTRY), ((SERVICE, 1.0),), level)
        version = fleet.store.routes[1].version + 1
        fleet.store.configure(RouteTable(version, [route]))
        await context.waits.watch(version)
        await gather(*calls)

    context.run(run())


@when(
    "{count:d} callers open flows and the route leads to"
    ' "{split}" {milliseconds:d} ms later'
)
def open_during_change(context, count, split, milliseconds):
    fleet = context.fleet

    async def run():
        await fleet.settle()
        context.log = OpeningLog(fleet)
        opening = [
            create_task(fleet.make_caller().open()) for _ in range(count)
        ]
        await sleep(milliseconds / 1000)
        follower = fleet.balancers[BALANCER].follower
        changes = Changes(1, follower.revision, [], make_routes(fleet, split))
        follower.activate_routes(changes)
        await gather(*opening)

    context.run(run())


@then('{count:d} flows are open at hosts of "{service}"')
def check_open(context, count, service):
    hosts = [context.fleet.hosts[n] for n in list_hosts(context, service)]
    assert sum(len(host.opened) for host in hosts) == count


@then(
    "no opening packet went to a service that the version in force did not"
    " name"
)
def check_followed(context):
    assert context.log.count
    assert not context.log.misled, context.log.misled


@then(
    'every caller that asked after {seconds:g} s was answered by "{service}"'
)
def check_served(context, seconds, service):
    hosts = list_hosts(context, service)
    late = [
        caller
        for caller in context.fleet.callers.values()
        if caller.asked_at > seconds
    ]
    assert late
    for caller in late:
        assert caller.answer is not None, (caller.asked_at, caller.resets)
        assert caller.answer.partition(b":")[0].decode() in hosts


@then(
    "no flow waited longer than {seconds:g} s after the version came into"
    " force"
)
def check_waits(context, seconds):
    assert context.waits.waiting
    assert context.waits.seconds is not None
    sampled = seconds + STEP_SECONDS
    assert context.waits.seconds <= sampled, context.waits.seconds
