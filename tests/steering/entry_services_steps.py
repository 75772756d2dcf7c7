"""Steps on open flows of routes whose services change."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from collections import Counter
from unittest.mock import patch

from behave import given
from behave import step
from behave import then
from behave import when

from chicorycart.address import Address
from chicorycart.operation.stopping import wait_until
from chicorycart.packets.flow import hash_flow
from chicorycart.placement.chain import bucket_of
from chicorycart.placement.rendezvous import rank_targets
from chicorycart.platform.segments import ACK
from chicorycart.steering import choice
from chicorycart.steering.published import ListedState
from chicorycart.steering.published import Listing
from chicorycart.steering.routes import Route
from chicorycart.steering.routes import RouteTable
from tests.standins.deliveries import DeliveryLog
from tests.standins.endpoints import ENTRY
from tests.standins.steered import DOMAIN
from tests.standins.steered import make_entry
from tests.standins.steered import OTHER_SERVICE
from tests.standins.steered import SERVICE
from tests.steering.flows_steps import ask_open_flows

LEARN_SECONDS = 2.0
REPLACE_SECONDS = 1.0
USE_SECONDS = 10.0
RESET_SECONDS = 5.0
REQUEST_SECONDS = 0.1
FIRST_TARGETS = 4
SUCCESSOR = "h90"
PROGRAM = "exporter"
PROGRAM_PORT = 9300
PROGRAM_START = 9
PORT = slice(5, 7)
"""The caller's port in a five-tuple."""


def make_routes(fleet, split, configured=(SERVICE, OTHER_SERVICE)):
    """Return the next version, in which the entry has these services."""
    pairs = (part.split() for part in split.split(",") if part)
    services = tuple((name, float(weight)) for name, weight in pairs)
    routes = [Route(make_entry(ENTRY), services)] if services else []
    version = fleet.store.routes[1].version + 1
    return RouteTable(version, routes, services=configured)


def publish_split(fleet, split, configured=(SERVICE, OTHER_SERVICE)):
    """Publish the next version, in which the entry has these services."""
    fleet.store.configure(make_routes(fleet, split, configured))


def find_callers(context, service):
    """Return the callers whose flows hosts of a service hold."""
    agents = context.fleet.agents
    return [
        caller
        for caller, name in context.flows
        if agents[name].settings.service == service
    ]


async def use_flows(context, seconds):
    """Send a request on each open flow every USE_SECONDS."""
    while seconds > 0:
        await sleep(min(seconds, USE_SECONDS))
        seconds -= USE_SECONDS
        results = await ask_open_flows(context)
        assert all(results), results


@given('{count:d} hosts of service "{service}"')
def add_hosts(context, count, service):
    async def add():
        for number in range(count):
            context.fleet.add_host(f"h{100 + number}", service)

    context.run(add())


@step('the route leads to "{split}"')
def change_split(context, split):
    async def change():
        publish_split(context.fleet, split)
        await sleep(LEARN_SECONDS)

    context.run(change())


@step('the route leads to "{split}" and no other service is configured')
def narrow_split(context, split):
    async def change():
        publish_split(context.fleet, split, ())
        await sleep(LEARN_SECONDS)

    context.run(change())


@step('the route leads to ""')
def drop_route(context):
    change_split(context, "")


@step("{seconds:d} s in which the flows are used")
def pass_time(context, seconds):
    context.run(use_flows(context, seconds))


@step("{seconds:d} s in which the store is down")
def pass_outage(context, seconds):
    async def pass_seconds():
        context.fleet.store.is_down = True
        await use_flows(context, seconds)
        context.fleet.store.is_down = False
        await sleep(LEARN_SECONDS)

    context.run(pass_seconds())


@given("a copy of the store")
def copy_store(context):
    context.copy = context.fleet.store.copy_state()


@when("the store is restored from the copy")
def restore_store(context):
    async def restore():
        context.fleet.store.restore(context.copy)
        await sleep(LEARN_SECONDS)

    context.run(restore())


@when(
    'balancer "{name}" is replaced and the route leads to "{split}"'
    " {milliseconds:d} ms later"
)
def replace_during_change(context, name, split, milliseconds):
    async def replace():
        context.fleet.kill_balancer(name)
        context.fleet.add_balancer(name)
        await sleep(milliseconds / 1000)
        publish_split(context.fleet, split)
        await sleep(LEARN_SECONDS)

    context.run(replace())


@when(
    'balancer "{name}" has read the history and makes a pause of {seconds:d} s'
    ' after the route leads to "{split}"'
)
def pause_calls(context, name, seconds, split):
    balancer = context.fleet.balancers[name]
    balancer.history.request_check()
    context.follower = balancer.follower
    usual = context.follower.gather_seconds
    context.follower.gather_seconds = seconds
    change_split(context, split)
    context.calls = context.follower.calls
    context.follower.gather_seconds = usual


@when('{count:d} flows open through "{name}"')
def open_through(context, count, name):
    async def open_all():
        fleet = context.fleet
        fleet.in_rotation[:] = [name]
        context.flows = await gather(
            *(fleet.open_flow() for _ in range(count))
        )

    context.run(open_all())
    assert len(find_callers(context, OTHER_SERVICE)) == count


@when('balancer "{name}" has called the store')
def wait_for_call(context, name):
    follower = context.follower
    assert follower.calls == context.calls

    async def wait():
        await wait_until(lambda: follower.calls > context.calls, USE_SECONDS)
        await sleep(LEARN_SECONDS)

    context.run(wait())
    assert follower.calls > context.calls


def list_hosts(context, service):
    """Return the names of the hosts of a service."""
    agents = context.fleet.agents
    return [n for n, a in agents.items() if a.settings.service == service]


@when("the store forgets its history")
def forget_history(context):
    context.fleet.store.forget_history()
    context.run(sleep(LEARN_SECONDS))


@when('the hosts of "{service}" write their entries again')
def write_again(context, service):
    async def write():
        for name in list_hosts(context, service):
            context.fleet.list_host(name, service)
        await sleep(LEARN_SECONDS)

    context.run(write())


@when('an entry of another program is written for each machine of "{service}"')
def list_programs(context, service):
    async def write():
        for name in list_hosts(context, service):
            address = context.fleet.hosts[name].address.host
            put_program(context.fleet, f"program-{name}", address)
        await sleep(LEARN_SECONDS)

    context.run(write())


@when('an entry of another program precedes that of each host of "{service}"')
def list_programs_first(context, service):
    list_programs(context, service)
    store = context.fleet.store
    store.entries = dict(reversed(store.entries.items()))


@when('the address of "{name}" goes to a host of "{service}"')
def take_over_address(context, name, service):
    async def take_over():
        fleet = context.fleet
        address = fleet.hosts[name].address.host
        fleet.kill_agent(name)
        fleet.add_host(SUCCESSOR, service, address)
        fleet.store.remove(name)
        await sleep(LEARN_SECONDS)

    context.run(take_over())


@then("some flows are at the host that took over the address")
def check_taken_over(context):
    assert any(name == SUCCESSOR for _, name in context.flows)


@when("{count:d} entries of other programs name machines that never answer")
def list_absent(context, count):
    for number in range(count):
        put_program(context.fleet, f"program-{number}", f"10.2.9.{number + 1}")


def put_program(fleet, name, address):
    """Write the entry of a program that is no host, as a host does."""
    fleet.store.put(
        Listing(
            name,
            PROGRAM,
            Address(address, PROGRAM_PORT),
            DOMAIN,
            1,
            ListedState.READY,
            PROGRAM_START,
            0.0,
        )
    )


@when(
    'the agents of "{service}" are down for {seconds:g} s while the callers'
    " ask"
)
def restart_agents(context, service, seconds):
    async def restart():
        fleet = context.fleet
        names = list_hosts(context, service)
        for name in names:
            fleet.kill_agent(name)
        asking = create_task(ask_open_flows(context, seconds))
        await sleep(seconds)
        await asking
        for name in names:
            host = fleet.hosts[name].address.host
            fleet.start_agent(name, host, service)
        await sleep(LEARN_SECONDS)

    context.run(restart())


@then(
    "every caller is reset within {first:g} s, and the next ones within"
    " {later:g} s"
)
def check_reset_soon(context, first, later):
    callers = [caller for caller, _ in context.flows]
    half = len(callers) // 2
    for group, seconds in ((callers[:half], first), (callers[half:], later)):

        async def ask(group=group, seconds=seconds):
            await gather(*(caller.ask(b"late", seconds) for caller in group))

        context.run(ask())
        assert [caller.resets for caller in group] == [1] * len(group)


@when('the hosts of "{service}" {end} and their entries are removed')
def remove_hosts(context, service, end):
    async def remove():
        fleet = context.fleet
        names = list_hosts(context, service)
        if end == "drain":
            for name in names:
                fleet.list_host(name, service, ListedState.DRAINING)
            await sleep(LEARN_SECONDS)
        for name in names:
            fleet.store.remove(name)
        await sleep(LEARN_SECONDS)

    context.run(remove())


@then(
    "every open flow gets an answer while at most {count:d} hosts of"
    ' "{service}" get packets'
)
def check_asked(context, count, service):
    fleet = context.fleet
    names = list_hosts(context, service)
    links = {fleet.agents[name].settings.link for name in names}
    asked = set()

    def record(source, data, destination):
        if destination in links:
            asked.add(destination)
        return False

    async def ask():
        fleet.network.faults.append(record)
        results = await ask_open_flows(context)
        await sleep(LEARN_SECONDS)
        return results

    assert all(context.run(ask()))
    assert len(asked) <= count, len(asked)


@when("{milliseconds:d} ms pass")
def pass_milliseconds(context, milliseconds):
    context.run(sleep(milliseconds / 1000))


@when("each caller sends {count:d} packets {gap:d} ms apart")
def send_often(context, count, gap):
    async def send():
        for number in range(count):
            for caller, _ in context.flows:
                caller.sequence += 1
                caller.send(ACK, b"%d" % (number % 10))
            await sleep(gap / 1000)
        await sleep(RESET_SECONDS)

    context.run(send())


@when("every caller closes its flow and repeats that")
def close_all(context):
    context.log = DeliveryLog(context.fleet.network)

    async def close():
        for _ in range(2):
            await gather(*(caller.close() for caller, _ in context.flows))
            await sleep(RESET_SECONDS)

    context.run(close())


@then("hosts of both services hold flows")
def check_both(context):
    assert find_callers(context, SERVICE)
    assert find_callers(context, OTHER_SERVICE)


@then('the cache of "{name}" names the service of each flow\'s host')
def check_states(context, name):
    fleet = context.fleet
    flows = fleet.balancers[name].flows.flows.values()
    hosts = {agent.settings.link: agent for agent in fleet.agents.values()}
    assert len(flows) == len(context.flows)
    for state in flows:
        assert state.service == hosts[state.agent].settings.service


@then("no request is delivered")
def check_undelivered(context):
    log = DeliveryLog(context.fleet.network)
    results = context.run(ask_open_flows(context, USE_SECONDS))
    assert results
    assert not any(results)
    assert not log.agents


@then('{count:d} new flows are opened on hosts of "{service}"')
def check_new(context, count, service):
    async def open_all():
        flows = (context.fleet.open_flow() for _ in range(count))
        context.flows = await gather(*flows)

    context.run(open_all())
    assert len(find_callers(context, service)) == count


@then(
    "every caller is reset after each of {count:d} targets got its packet once"
)
def check_reset(context, count):
    log = DeliveryLog(context.fleet.network)
    callers = [caller for caller, _ in context.flows]

    async def ask():
        for caller in callers:
            await caller.ask(b"late", RESET_SECONDS)
        await sleep(RESET_SECONDS)

    context.run(ask())
    assert callers
    for caller in callers:
        assert caller.resets == 1, caller.resets
        asked = Counter(log.agents[caller.address])
        assert len(asked) == count, asked
        assert set(asked.values()) == {1}, asked


@then("each of these packets went to {count:d} targets")
def check_closing(context, count):
    assert context.flows
    for caller, _ in context.flows:
        asked = context.log.agents[caller.address]
        assert len(asked) == len(set(asked)) == count, asked


@then(
    'the next request of each flow of "{service}" goes to the first four'
    " targets of its service"
)
def check_first(context, service):
    fleet = context.fleet
    balancer = fleet.balancers["b1"]
    listed = balancer.directory.services[service].values()
    targets = [member.target for member in listed]
    log = DeliveryLog(fleet.network)
    callers = find_callers(context, service)

    async def ask():
        for caller in callers:
            caller.sequence += 1
            caller.send(ACK, b"x")
        await sleep(REQUEST_SECONDS)

    with patch.object(
        choice, "score_target", wraps=choice.score_target
    ) as scored:
        context.run(ask())
    context.scored = scored.call_count / len(callers)
    context.states = list(balancer.flows.flows.values())
    assert len(context.states) == len(callers) > 0, len(context.states)
    callers.sort(key=lambda caller: caller.address.port)
    context.states.sort(key=lambda state: state.flow[PORT])
    for caller, state in zip(callers, context.states, strict=True):
        bucket = bucket_of(hash_flow(state.flow))
        ranked = rank_targets(targets, bucket)
        expected = [t.agent.host for t in ranked[:FIRST_TARGETS]]
        assert log.agents[caller.address] == expected
        assert state.is_confirmed and state.service == service, state.agent


@then(
    "the balancer scored {count:d} targets for each of them and keeps"
    " {kept:d} for each"
)
def check_work(context, count, kept):
    assert context.scored == count, context.scored
    for state in context.states:
        assert len(state.possible_owners) == kept, state.possible_owners


@when(
    'a caller opens a flow whose acceptance by "{host}" is under way while'
    ' "{name}" restarts and the route leads to "{split}"'
)
def accept_late(context, host, name, split):
    fleet = context.fleet
    agent = fleet.agents[host].settings.outbound
    late = []

    def hold(source, data, destination):
        if destination == agent:
            late.append((source, data, destination))
        return destination == agent

    async def open_flow():
        for other in fleet.hosts.values():
            other.is_silent = other.name != host
        fleet.network.faults.append(hold)
        caller = fleet.make_caller()
        opening = create_task(caller.open())
        await sleep(REQUEST_SECONDS)
        fleet.kill_balancer(name)
        publish_split(fleet, split)
        fleet.add_balancer(name)
        # The caller has repeated its opening packet by then.
        await sleep(3 * REQUEST_SECONDS)
        fleet.network.faults.remove(hold)
        fleet.network.send(*late[0])
        assert await opening
        context.flows = [(caller, host)]

    context.run(open_flow())
