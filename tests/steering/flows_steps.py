"""Steps on flows that are placed, forwarded and reset."""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep

from behave import given
from behave import then
from behave import when

from chicorycart.address import Address
from chicorycart.links.datagrams import MessageKind
from chicorycart.platform.segments import SYN
from chicorycart.steering.messages import encode_delivery_header
from chicorycart.steering.published import ListedState
from chicorycart.steering.returns import decode_return
from tests.standins.endpoints import ENTRY
from tests.standins.endpoints import make_head
from tests.standins.steered import LINK_PORT
from tests.standins.steered import SERVICE
from tests.standins.steered import SteeredFleet


@given("a fleet of {hosts:d} hosts and {balancers:d} balancers")
def make_fleet(context, hosts, balancers):
    async def make():
        context.fleet = SteeredFleet(hosts, balancers)

    context.run(make())
    context.cleanups.callback(lambda: context.run(context.fleet.close()))
    context.callers = []
    context.flows = []


@given(
    "a network that drops {loss:d} % and duplicates {repeats:d} % of packets"
)
def make_lossy(context, loss, repeats):
    context.fleet.network.loss = loss / 100
    context.fleet.network.repeats = repeats / 100


@given('host "{name}" is silent')
def make_silent(context, name):
    context.fleet.hosts[name].is_silent = True


@given('host "{name}" accepts no flows')
def make_full(context, name):
    context.fleet.hosts[name].max_flows = 0


@when("{count:d} callers ask one after the other")
def ask_in_turn(context, count):
    async def ask():
        await context.fleet.settle()
        for number in range(count):
            caller = context.fleet.make_caller()
            context.callers.append(caller)
            caller.body = b"request-%d-%d" % (number, caller.address.port)
            if await caller.open():
                await caller.ask(caller.body)
                await caller.close()

    context.run(ask())


@then("every caller has the answer to its own request")
def check_answers(context):
    assert context.callers
    for caller in context.callers:
        assert len(caller.answers) == 1, caller.answers
        assert caller.answers[0].endswith(b":" + caller.body)


@then("no host ran a request twice")
def check_once(context):
    ran = [b for host in context.fleet.hosts.values() for b in host.ran]
    assert len(ran) == len(set(ran)) == len(context.callers)


@when("a caller opens a flow at once")
def open_at_once(context):
    async def open_flow():
        context.caller = context.fleet.make_caller()
        context.is_open = await context.caller.open()

    context.run(open_flow())


@then("the flow is open")
def check_open(context):
    assert context.is_open
    assert context.caller.copies == 0


@then("no caller retransmitted its opening packet")
def check_no_copies(context):
    copies = [caller.copies for caller in context.callers]
    assert not any(copies), copies


@then('host "{name}" was offered at most {count:d} flows')
def check_offered(context, name, count):
    tried = context.fleet.hosts[name].socket.received
    assert tried <= count, tried


@given('the agent of "{name}" was down while {count:d} callers asked')
def ask_without_agent(context, name, count):
    context.fleet.kill_agent(name)
    ask_in_turn(context, count)
    check_answers(context)


@when('the agent of "{name}" starts and {seconds:g} s pass')
def start_agent(context, name, seconds):
    async def start():
        host = context.fleet.hosts[name].address.host
        context.fleet.start_agent(name, host, "dispatch")
        await sleep(seconds)

    context.run(start())


@then('host "{name}" ran at least {count:d} requests')
def check_ran(context, name, count):
    ran = len(context.fleet.hosts[name].ran)
    assert ran >= count, ran


@given("{count:d} open flows")
def open_flows(context, count):
    async def open_all():
        await context.fleet.settle()
        for _ in range(count):
            context.flows.append(await context.fleet.open_flow())

    context.run(open_all())


@when('balancer "{name}" is killed')
def kill_balancer(context, name):
    context.fleet.kill_balancer(name)


@when(
    "every balancer is replaced while {joining:d} hosts join and {leaving:d}"
    " others drain"
)
def replace_balancers(context, joining, leaving):
    async def replace():
        fleet = context.fleet
        names = list(fleet.balancers)
        hosts = list(fleet.hosts)
        for step, name in enumerate(names):
            fleet.add_balancer(f"b{step + 101}")
            await sleep(0.5)
            for number in range(joining // len(names)):
                fleet.add_host(f"h{100 + 10 * step + number}", "dispatch")
            for draining in hosts[step :: len(names)][: leaving // len(names)]:
                fleet.list_host(draining, state=ListedState.DRAINING)
            fleet.kill_balancer(name)
            await sleep(0.5)
            await ask_open_flows(context)

    context.run(replace())


async def ask_open_flows(context, seconds=3.0):
    """Send a request on every open flow.

    Returns
    -------
    list of bool
        Whether each flow got the answer of its own host in time.
    """

    async def ask(caller, host):
        body = b"again-%d-%d" % (caller.address.port, len(caller.answers))
        answer = await caller.ask(body, seconds)
        return answer == host.encode() + b":" + body

    return await gather(*(ask(*flow) for flow in context.flows))


@then("every open flow gets an answer from its host")
def check_flows(context):
    assert context.flows
    results = context.run(ask_open_flows(context))
    assert all(results), results


@then("no caller was reset")
def check_no_resets(context):
    resets = [c.resets for c in context.fleet.callers.values()]
    assert resets
    assert not any(resets), resets


@when("every agent is restarted")
def restart_agents(context):
    async def restart():
        for name in list(context.fleet.agents):
            context.fleet.restart_agent(name)

    context.run(restart())


@when("every host loses its flows")
def lose_flows(context):
    for host in context.fleet.hosts.values():
        host.restart()


@then("every open flow is reset within {seconds:g} s of its next request")
def check_reset_in_time(context, seconds):
    results = context.run(ask_open_flows(context, seconds))
    assert not any(results), results
    assert all(caller.resets for caller, _ in context.flows)


@when('every host is silent and balancer "{name}" is replaced')
def silence_hosts(context, name):
    async def replace():
        for host in context.fleet.hosts.values():
            host.is_silent = True
        context.fleet.kill_balancer(name)
        context.fleet.add_balancer(name)
        await context.fleet.settle()

    context.run(replace())


@when("every open flow asks for {seconds:g} s")
def ask_for(context, seconds):
    results = context.run(ask_open_flows(context, seconds))
    assert len(results) == len(context.flows)


@then("every open flow gets an answer once the hosts respond")
def check_responding(context):
    for host in context.fleet.hosts.values():
        host.is_silent = False
    check_flows(context)


@when(
    'the entry of "{lapsed}" lapses, the store goes down and balancer "{name}"'
    " forgets its flows"
)
def lose_store(context, lapsed, name):
    async def lose():
        context.fleet.store.remove(lapsed)
        context.fleet.network.dark.add("10.2.0.1")
        await sleep(4.0)
        context.fleet.store.is_down = True
        context.fleet.store.put_unreadable("noise")
        await sleep(2.0)
        context.fleet.balancers[name].flows.flows.clear()

    context.run(lose())


@when(
    'the entry of "{lapsed}" is gone for 5 s and balancer "{name}" forgets its'
    " flows"
)
def lose_entry(context, lapsed, name):
    async def lose():
        context.fleet.store.remove(lapsed)
        await sleep(5.0)
        context.fleet.balancers[name].flows.flows.clear()

    context.run(lose())
    assert any(host == lapsed for _, host in context.flows)


@given("a caller whose flow both hosts accept")
def open_on_both_hosts(context):
    async def open_twice():
        fleet = context.fleet
        await fleet.settle()
        caller = context.caller = fleet.make_caller()
        delayed = fleet.network
        delayed.delay = 0.03
        assert await caller.open()
        await sleep(0.3)
        delayed.delay = 0.001
        context.holders = [host for host in fleet.hosts.values() if host.flows]

    context.run(open_twice())
    assert len(context.holders) == 2


@when("the caller continues with the host whose acceptance came last")
def continue_with_last(context):
    caller = context.caller
    first = caller.host_sequence
    (context.chosen,) = [
        host for host in context.holders if first not in host.flows.values()
    ]
    (caller.host_sequence,) = context.chosen.flows.values()
    context.answer = context.run(caller.ask(b"mine"))


@then("that host answers it")
def check_chosen(context):
    assert context.answer == context.chosen.name.encode() + b":mine"


@given("messages of agents to balancers that take {seconds:g} s")
def delay_agents(context, seconds):
    network = context.fleet.network
    for agent in context.fleet.agents.values():
        for balancer in context.fleet.balancers.values():
            pair = (agent.settings.link, balancer.settings.link)
            network.delays[pair] = seconds


@then("every flow in a balancer's cache is confirmed")
def check_confirmed(context):
    context.run(sleep(0.1))
    for balancer in context.fleet.balancers.values():
        states = list(balancer.flows.flows.values())
        assert states
        assert all(state.is_confirmed for state in states)


@when("a caller opens a flow")
def open_one(context):
    open_to(context, ENTRY)


@when("a caller opens a flow to an entry without a route")
def open_unrouted(context):
    open_to(context, Address("198.18.0.9", 443))


def open_to(context, entry):
    """Open a flow to an entry; measure the time until it is reset."""

    async def open_flow():
        await context.fleet.settle()
        context.caller = context.fleet.make_caller(entry)
        began = get_running_loop().time()
        opening = create_task(context.caller.open())
        await context.caller.wait(lambda: context.caller.resets, 3.0)
        context.seconds = get_running_loop().time() - began
        assert not await opening

    context.run(open_flow())


@then("the caller is reset within {seconds:g} s")
def check_refused(context, seconds):
    assert context.caller.resets == 1
    assert context.seconds <= seconds, context.seconds


@when("an agent gets an opening packet for another service")
def send_other(context):
    async def send():
        fleet = context.fleet
        context.returned = []

        class DatagramHandler:
            def handle_datagram(self, data, source):
                context.returned.append(data)

        socket = fleet.network.open(Address("10.1.0.99", LINK_PORT))
        socket.start(DatagramHandler())
        packet = make_head(Address("100.64.0.7", 5), ENTRY, SYN, sequence=7)
        header = encode_delivery_header(12345, 0)
        kind = bytes((MessageKind.DELIVERY,))
        agent = fleet.agents["h1"].settings.link
        socket.send(kind + header + packet, agent)
        await sleep(0.1)
        context.packet = packet

    context.run(send())


@then("its host was offered at most {count:d} flows")
def check_none_offered(context, count):
    check_offered(context, "h1", count)


@then('the packet was returned with reason "{reason}"')
def check_returned(context, reason):
    (data,) = context.returned
    assert data[0] == MessageKind.RETURN
    header, packet = decode_return(data[1:])
    assert header.reason == reason
    assert packet == context.packet


@when('the agent of "{name}" is stopping')
def stop_agent(context, name):
    context.fleet.agents[name].relay.is_stopping = True


@when(
    "the idle timeout is {idle:g} s and 1 flow sends requests for"
    " {seconds:d} s"
)
def let_others_idle(context, idle, seconds):
    async def send_requests():
        context.fleet.configure(2, {ENTRY: SERVICE}, idle)
        caller, _ = context.flows[0]
        for number in range(seconds):
            assert await caller.ask(b"more-%d" % number) is not None
            await sleep(1.0)

    context.run(send_requests())


@then('balancer "{name}" has {count:d} flows in its cache')
def check_cached(context, name, count):
    flows = len(context.fleet.balancers[name].flows)
    assert flows == count, flows


@when('every entry lapses and balancer "{new}" starts in place of "{old}"')
def start_after_lapse(context, new, old):
    async def lapse():
        fleet = context.fleet
        for name in fleet.hosts:
            fleet.store.remove(name)
        # One host is listed again at once, so that the new balancer has a
        # target to send the flows to.
        fleet.list_host("h1")
        fleet.kill_balancer(old)
        fleet.add_balancer(new)
        await fleet.settle(0.1)

    context.run(lapse())


@when("every open flow asks while the entries come back within 2 s")
def ask_while_back(context):
    async def come_back():
        for name in ("h2", "h3"):
            await sleep(0.9)
            context.fleet.list_host(name)

    async def ask():
        back = create_task(come_back())
        await gather(*(caller.ask(b"early") for caller, _ in context.flows))
        await back

    context.run(ask())


@when("the callers do nothing for {seconds:g} s")
def do_nothing(context, seconds):
    context.run(sleep(seconds))


@when("every balancer has parked the opening packets of the flows")
def park_openings(context):
    async def park():
        for balancer in context.fleet.balancers.values():
            (route, *_) = balancer.follower.routes.current.by_entry.values()
            for flow in list(balancer.flows.flows):
                balancer.flows.add(flow, route)

    context.run(park())
