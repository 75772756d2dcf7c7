"""Steps on hosts that are cold after their start."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import sleep
from collections import defaultdict
from math import isclose

from behave import given
from behave import then
from behave import when
from hypothesis import given as for_all
from hypothesis import strategies
from logbook import TestHandler

from chicorycart.address import Address
from chicorycart.configuration.model import hash_name
from chicorycart.links.datagrams import MessageKind
from chicorycart.operation.events import EventLog
from chicorycart.operation.metrics import Metrics
from chicorycart.platform.segments import PlatformCodec
from chicorycart.platform.segments import SYN
from chicorycart.steering.cold_limit import ColdLimit
from chicorycart.steering.errors import SteeringMessageError
from chicorycart.steering.hosted import HostedFlows
from chicorycart.steering.limits import DEFAULT_AIM_SECONDS
from chicorycart.steering.messages import decode_delivery
from chicorycart.steering.messages import decode_delivery_header
from chicorycart.steering.messages import encode_delivery_header
from chicorycart.steering.messages import NO_COLD_TIME
from chicorycart.steering.messages import SIZE_BYTES
from chicorycart.steering.messages import TargetLoad
from chicorycart.steering.published import ListedState
from chicorycart.steering.relay import Relay
from chicorycart.steering.returns import decode_return
from chicorycart.steering.returns import encode_return
from chicorycart.steering.returns import ReturnReason
from chicorycart.steering.routes import ColdStart
from chicorycart.steering.settings import Bounds
from tests.standins.endpoints import ENTRY
from tests.standins.endpoints import make_head
from tests.standins.endpoints import read_head
from tests.standins.endpoints import StandInHost
from tests.standins.steered import FABRIC_PORT
from tests.standins.steered import HOST_PORT
from tests.standins.steered import LINK_PORT
from tests.standins.steered import OUTBOUND_PORT
from tests.standins.steered import SERVICE
from tests.standins.steered import SteeredFleet
from tests.steering.waves_steps import ask_within

OVER = 1.5
SLACK = 2
START_SECONDS = 4.0
PER_SECOND = 4.0
CALLERS = "100.64.0.7"
LATER_BORN = 2
SETTLE_SECONDS = 1.0
"""Time after which callers begin to ask (`SteeredFleet.settle`)."""

# From the encoder before the header had fields for cold hosts.
WARM_HEADER = bytes.fromhex(
    "002000000000030000000000000002000000d2040000000000000600010000000000"
)


class OpeningLog:
    """A fault of a network that loses nothing and records openings.

    Attributes
    ----------
    openings : dict of str to list of (float, Address)
        Time and caller of each opening packet sent to the host of an address.
    cold_since : dict of str to float
        Time at which the host of an address became cold.
    headers : list of DeliveryHeader
        Headers of the deliveries of opening packets.
    sizes : set of int
        Sizes of the headers of all deliveries.
    """

    def __init__(self, fleet, now):
        self.now = now
        self.openings = defaultdict(list)
        self.cold_since = {}
        self.headers = []
        self.sizes = set()
        fleet.network.faults.append(self.record)

    def record(self, source, data, destination):
        """Record a datagram."""
        if destination.port == HOST_PORT:
            caller, _, flags, *_ = read_head(data)
            if flags & SYN:
                opening = self.now(), caller
                self.openings[destination.host].append(opening)
        elif destination.port == LINK_PORT and data[0] == MessageKind.DELIVERY:
            header, packet = decode_delivery(data[1:])
            self.sizes.add(int.from_bytes(data[1 : 1 + SIZE_BYTES], "big"))
            if read_head(packet)[2] & SYN:
                self.headers.append(header)
        return False

    def find_most(self, host):
        """Return the most flows that were opened in a second while cold."""
        first = {}
        for at, caller in self.openings[host]:
            if at >= self.cold_since[host]:
                first.setdefault(caller, at)
        return count_most(sorted(first.values()))


def count_most(times):
    """Return the most of some sorted times that lie within one second."""
    return max(
        (sum(1 for t in times if at <= t <= at + 1.0) for at in times),
        default=0,
    )


def make_fleet(context, hosts, balancers, over, slack):
    """Start a fleet whose settings have a factor and a slack, or None."""

    async def make():
        bounds = Bounds(3.0, 3.0, 6.0, 60.0, over, slack)
        fleet = SteeredFleet(hosts, balancers, bounds=bounds)
        cold_starts = {SERVICE: ColdStart(START_SECONDS, PER_SECOND)}
        fleet.configure(2, {ENTRY: SERVICE}, cold_starts=cold_starts)
        context.fleet = fleet
        context.errors = []
        get_running_loop().set_exception_handler(
            lambda _, fault: context.errors.append(fault)
        )
        clock = fleet.balancers["b1"].clock
        context.log = OpeningLog(fleet, clock.now)
        await fleet.settle(1.5)

    context.run(make())
    context.cleanups.callback(lambda: context.run(context.fleet.close()))
    context.callers = []


@given(
    "a fleet of {hosts:d} hosts and {balancers:d} balancers that limits cold"
    " hosts"
)
def make_limited(context, hosts, balancers):
    make_fleet(context, hosts, balancers, OVER, SLACK)


@given(
    "a fleet of {hosts:d} hosts and {balancers:d} balancers without {missing}"
)
def make_unlimited(context, hosts, balancers, missing):
    over = None if "coldOver" in missing else OVER
    slack = None if "coldSlack" in missing else SLACK
    make_fleet(context, hosts, balancers, over, slack)


def start_cold(context, name, seconds):
    """List a host as one that has just started; needs a running loop."""
    fleet = context.fleet
    fleet.list_host(name, born=LATER_BORN, cold=seconds)
    context.log.cold_since[fleet.hosts[name].address.host] = context.log.now()


@given('host "{name}" starts and is cold for {seconds:g} s')
def start_one(context, name, seconds):
    async def start():
        start_cold(context, name, seconds)

    context.run(start())


@given("every host starts and is cold for {seconds:g} s")
def start_all(context, seconds):
    async def start():
        for name in context.fleet.hosts:
            start_cold(context, name, seconds)

    context.run(start())


@then("no host got more than {count:d} openings in a second while it was cold")
def check_limit(context, count):
    assert not context.errors, context.errors
    most = {h: context.log.find_most(h) for h in context.log.cold_since}
    assert 0 < max(most.values()) <= count, most


@then("callers waited, no target was suspended and none counted as busy")
def check_waits(context):
    waits = [line for line in context.lines if "event=flow_waits" in line]
    # A host whose slots are in use may be among them, which is rare.
    busy = [line for line in waits if "busy=True" in line]
    assert 20 * len(busy) < len(waits), (len(busy), len(waits))
    assert not any("event=target_suspended" in line for line in context.lines)


@then("the balancers parked at most {count:d} packets")
def check_parked(context, count):
    balancers = context.fleet.balancers.values()
    counts = [b.steerer.output.packets.labels("parked") for b in balancers]
    assert sum(c.value for c in counts) <= count, sum(c.value for c in counts)


@then("each agent returned at most {count:d} packets")
def check_returns(context, count):
    agents = context.fleet.agents.values()
    returned = [a.relay.packets.labels("cold").value for a in agents]
    assert max(returned) <= count, returned


@then("every caller was placed within {seconds:g} s")
def check_placed(context, seconds):
    longest = max(caller.open_seconds for caller in context.callers)
    assert longest <= seconds, longest


@when(
    '{count:d} callers ask within {seconds:g} s and the agent of "{name}"'
    " restarts after {later:g} s"
)
def ask_and_restart(context, count, seconds, name, later):
    async def run():
        await context.fleet.settle()
        asking = create_task(ask_within(context, count, seconds))
        await sleep(later)
        context.fleet.restart_agent(name)
        await asking

    context.run(run())


@when(
    '{count:d} callers ask within {seconds:g} s and "{name}" is down for'
    " {down:g} s and lists itself as cold {later:g} s later"
)
def ask_and_crash(context, count, seconds, name, down, later):
    async def run():
        await context.fleet.settle()
        asking = create_task(ask_within(context, count, seconds))
        await sleep(down / 2)
        host = context.fleet.hosts[name]
        host.is_silent = True
        await sleep(down)
        host.restart()
        host.is_silent = False
        up_since = context.log.now()
        await sleep(later)
        start_cold(context, name, START_SECONDS)
        context.log.cold_since[host.address.host] = up_since
        await asking

    context.run(run())


@when('host "{new}" replaces "{old}" at its address and is cold for {s:g} s')
def replace(context, new, old, s):
    async def run():
        fleet = context.fleet
        address = fleet.hosts[old].address
        fleet.list_host(old, state=ListedState.DRAINING)
        await fleet.settle(1.0)
        fleet.store.remove(old)
        del fleet.hosts[old]
        outbound = address._replace(port=OUTBOUND_PORT)
        fleet.hosts[new] = StandInHost(fleet.network, new, address, outbound)
        start_cold(context, new, s)

    context.run(run())


@given('balancers "{first}" and "{second}" read nothing any more')
def stop_reading(context, first, second):
    for name in (first, second):
        context.fleet.tasks[name][0].cancel()


@given('answers of "{name}" to callers are lost for {seconds:g} s')
def lose_answers(context, name, seconds):
    fleet = context.fleet
    cut = (fleet.hosts[name].address.host, CALLERS)
    fleet.network.cuts.add(cut)

    async def restore():
        await sleep(SETTLE_SECONDS + seconds)
        fleet.network.cuts.remove(cut)

    async def start():
        context.restoring = create_task(restore())

    context.run(start())


@then('host "{name}" ran at least {count:d} of these requests')
def check_share(context, name, count):
    assert context.shares[name] >= count, context.shares


@then('{work:d} requests at "{cold}" cost as much as {other:g} at "{warm}"')
def check_cost(context, work, cold, other, warm):
    async def read():
        choice = context.fleet.balancers["b1"].steerer.placer.choice
        cold_member = choice.directory.members[cold]
        warm_member = choice.directory.members[warm]
        agent = cold_member.target.agent
        choice.health.record_answer(agent, TargetLoad(work, work, 0.0))
        agent = warm_member.target.agent
        choice.health.record_answer(agent, TargetLoad(0, 0, other))
        return [
            choice.compute_cost(member, DEFAULT_AIM_SECONDS)
            for member in (cold_member, warm_member)
        ]

    at_cold, at_warm = context.run(read())
    assert isclose(at_cold[-1], at_warm[-1]), (at_cold, at_warm)
    assert at_warm < at_cold


@when("the store discards its history {seconds:g} s later")
def discard(context, seconds):
    async def run():
        await context.fleet.settle(seconds)
        assert list_cold(context) == {"h1"}
        context.fleet.store.put_unreadable("other")
        context.fleet.store.forget_history()

    context.run(run())


def list_cold(context):
    """Return the names of the targets that are cold to any balancer."""
    balancers = context.fleet.balancers.values()
    return {m.listing.name for b in balancers for m in b.cold.list_cold()}


@then("after {seconds:g} s no target is cold")
def check_warm_later(context, seconds):
    async def run():
        await context.fleet.settle(seconds)
        return list_cold(context)

    assert context.run(run()) == set()


@then("no target is cold")
def check_warm(context):
    check_warm_later(context, 0.0)


@then("every delivery has the header of one to a warm host")
def check_headers(context):
    assert context.log.sizes == {len(WARM_HEADER) - SIZE_BYTES}


@given("a configuration with coldPerS {figure}")
def configure(context, figure):
    per_second = (
        float(figure.replace(",", "")) if figure != "unusable" else None
    )

    async def run():
        context.lines = []
        handler = TestHandler()
        with handler.applicationbound():
            context.fleet.configure(
                3,
                {ENTRY: SERVICE},
                cold_starts={SERVICE: ColdStart(START_SECONDS, per_second)},
            )
            await context.fleet.settle(4.0)
        context.before = [record.message for record in handler.records]

    context.run(run())


@then("the deliveries tell the limit {limit}")
def check_told(context, limit):
    told = {(h.cold_ms > 0, h.cold_per_second) for h in context.log.headers}
    if limit == "none":
        assert told == {(False, 0)}, told
    else:
        assert told == {(True, int(limit.replace(",", "")))}, told
    assert all(h.cold_ms % 100 == 0 for h in context.log.headers)


@then('the log has {count:d} lines "{event}" of version {version:d}')
def check_log(context, count, event, version):
    text = f"event={event} version={version} "
    lines = [x for x in context.before + context.lines if text in x]
    assert len(lines) == count, lines


@then("the header of a delivery to a warm host has the bytes of before")
def check_bytes(context):
    assert encode_delivery_header(1234, 6, True) == WARM_HEADER
    header = decode_delivery_header(WARM_HEADER[SIZE_BYTES:])
    assert (header.cold_ms, header.cold_per_second) == NO_COLD_TIME


@then("that to a cold host is read by agents of this version")
def check_cold_bytes(context):
    data = encode_delivery_header(1234, 6, True, (1_200, 0))
    assert len(data) == len(WARM_HEADER) + 8
    header = decode_delivery_header(data[SIZE_BYTES:])
    assert (header.service, header.limit, header.asks_owner) == (1234, 6, True)
    assert (header.cold_ms, header.cold_per_second) == (1_200, 0)


@then("a return whose reason is not known is refused as malformed")
def check_unknown_reason(context):
    load = TargetLoad(1, 1, 1.0)
    known = encode_return(ReturnReason.COLD, load, b"packet", 20)
    other = encode_return(ReturnReason.STOPPING, load, b"packet", 20)
    header, _ = decode_return(known)
    assert (header.reason, header.retry_ms) == (ReturnReason.COLD, 20)
    (place,) = (n for n, byte in enumerate(known) if byte != other[n])
    later = known[:place] + b"\x63" + known[place + 1 :]
    try:
        decode_return(later)
    except SteeringMessageError:
        return
    raise AssertionError("not refused")


@given('host "{name}" is in failure domain "{domain}"')
def move(context, name, domain):
    context.domain = domain
    context.fleet.list_host(name, domain=domain)


def describe_after(context, seconds):
    """Return the cold targets of the first balancer after some time."""

    async def run():
        await context.fleet.settle(seconds)
        return context.fleet.balancers["b1"].cold.describe()

    return context.run(run())


@when('the domain "{domain}" is marked as cold')
def mark(context, domain):
    assert describe_after(context, 1.0) == {}

    async def run():
        context.fleet.balancers["b1"].cold.mark_domain_cold(domain)

    context.run(run())


@then(
    'only "{name}" is cold, for {seconds:g} s, also if its entry is written'
    " again"
)
def check_marked(context, name, seconds):
    context.fleet.list_host(name, domain=context.domain)
    assert describe_after(context, 1.5) == {name: seconds - 1.5}


@then('the entry of "{name}" counts if it shows {seconds:g} s')
def check_longer(context, name, seconds):
    context.fleet.list_host(name, domain=context.domain, cold=seconds)
    remaining = describe_after(context, 2.0)[name]
    assert seconds - 2.0 <= remaining <= seconds - 1.0, remaining


@then(
    'the status page names "{name}" and the gauge counts {count:d} cold target'
)
def check_status(context, name, count):
    async def read():
        balancer = context.fleet.balancers["b1"]
        gauges = {m.name: m for m in balancer.metrics.metrics}
        gauge = gauges["chicorycart_balancer_cold_targets"]
        return balancer.describe_status()["cold"], gauge.read()

    cold, counted = context.run(read())
    assert list(cold) == [name], cold
    assert counted == count


class SteppedClock:
    """A clock that is moved by hand."""

    def __init__(self):
        self.seconds = 100.0

    def now(self):
        """Return the time."""
        return self.seconds


class LateSocket:
    """A socket of a process that is stopped before each packet leaves."""

    def __init__(self, clock, seconds):
        self.clock = clock
        self.seconds = seconds
        self.sent = []

    def send(self, *message):
        """Keep a packet or message."""
        self.clock.seconds += self.seconds
        self.sent.append(message)


@then(
    "of two openings, the first of them sent {late:g} s late, one passes a"
    " limit of {limit:d}"
)
def check_late(context, late, limit):
    clock = SteppedClock()
    host = LateSocket(clock, late)
    balancer = LateSocket(clock, 0.0)
    relay = Relay(
        SERVICE,
        Address("10.2.0.1", HOST_PORT),
        PlatformCodec(FABRIC_PORT),
        HostedFlows(clock, 60.0),
        balancer,
        host,
        EventLog("agent", clock),
        Metrics(),
        True,
    )
    header = encode_delivery_header(
        hash_name(SERVICE), 0, False, (10_000, limit)
    )
    clock.seconds += 10.0
    for port in (1, 2):
        packet = make_head(Address(CALLERS, port), ENTRY, SYN, sequence=port)
        relay.receive(header + packet, Address("10.1.0.1", LINK_PORT))
        clock.seconds += 0.2
    assert len(host.sent) == 1
    ((kind, body, _),) = balancer.sent
    assert kind == MessageKind.RETURN
    assert decode_return(body)[0].reason is ReturnReason.COLD


STEPS = strategies.lists(
    strategies.tuples(
        # Time since the last step, and who sends an opening packet: 0 does
        # not know that the host is cold, others tell their own limit.
        strategies.sampled_from((0.0, 0.001, 0.05, 0.3, 0.999, 1.0, 1.2)),
        strategies.sampled_from(("opening", "opening", "opening", "restart")),
        strategies.booleans(),
    ),
    max_size=80,
)


@then("for arbitrary arrivals, limits and restarts the limit is kept")
def check_arbitrary(context):
    @for_all(STEPS, strategies.integers(0, 5))
    def check(steps, limit):
        clock = SteppedClock()
        agent = ColdLimit(clock, True)
        passed = []
        clock.seconds += 2.0
        agent.record_notice(10**6, limit)
        for seconds, action, is_told in steps:
            clock.seconds += seconds
            if action == "restart":
                # The first packet after it is of a balancer that knows.
                agent = ColdLimit(clock, True)
                agent.record_notice(10**6, limit)
                continue
            if is_told:
                agent.record_notice(10**6, limit)
            wait = agent.find_wait_seconds()
            if wait:
                assert 0 < wait <= 1.1, wait
                clock.seconds += wait
                # What it told is true: one may pass then, if any may.
                assert not limit or not agent.find_wait_seconds() > 1e-6
            elif limit:
                agent.record_passed()
                passed.append(clock.now())
        assert count_most(passed) <= limit, passed

    check()


@then('host "{name}" alone is cold at every balancer')
def check_cold_alone(context, name):
    async def describe():
        balancers = context.fleet.balancers.values()
        return [list(balancer.cold.describe()) for balancer in balancers]

    found = context.run(describe())
    assert found
    assert all(names == [name] for names in found), found


@then(
    'the agent of "{name}" was told that it is cold, for at most {seconds:g} s'
    " more"
)
def check_told_time(context, name, seconds):
    async def read():
        cold = context.fleet.agents[name].relay.cold
        return bool(cold.limits), cold.cold_until - cold.clock.now()

    was_told, rest = context.run(read())
    assert was_told
    assert rest <= seconds, rest
