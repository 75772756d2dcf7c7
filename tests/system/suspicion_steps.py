"""Steps that kill and freeze real daemons."""

from asyncio import gather
from asyncio import get_running_loop
from asyncio import wait_for
from json import loads
from signal import SIGCONT
from signal import SIGSTOP

from behave import then
from behave import when

MATES_SECONDS = 5


@when('the agent of "{name}" is killed')
def kill_agent(context, name):
    context.run(context.testbed.kill(name))


@when('the agent of "{name}" is started again')
def restart_agent(context, name):
    plan = context.testbed.services[name.rpartition("-")[0]]
    member = int(name.rpartition("-")[2]) - 1
    context.run(context.testbed.start_agent(plan, member))


@when('the agent of "{name}" is frozen')
def freeze_agent(context, name):
    context.testbed.signal(name, SIGSTOP)


@when('the agent of "{name}" goes on')
def thaw_agent(context, name):
    context.testbed.signal(name, SIGCONT)


@when("balancer {number:d} is frozen for {seconds:d} s")
def freeze_balancer(context, number, seconds):
    name = f"balancer-{number}"

    async def thaw_later():
        get_running_loop().call_later(
            seconds, context.testbed.signal, name, SIGCONT
        )

    context.testbed.signal(name, SIGSTOP)
    context.run(thaw_later())


@when('{count:d} callers book at "{service}" at once')
def book_at_once(context, count, service):
    context.bookings = [f"s-{number}" for number in range(count)]
    context.booked_at = service


@then("each of these bookings ran once, within {seconds:d} s")
def check_bookings(context, seconds):
    async def book_all():
        calls = [
            context.testbed.book(context.booked_at, booking)
            for booking in context.bookings
        ]
        return await wait_for(gather(*calls), seconds)

    for response in context.run(book_all()):
        assert response.code == 200, response.error
    targets = context.testbed.targets.values()
    for booking in context.bookings:
        assert sum(target.runs[booking] for target in targets) == 1


def list_balancers(testbed):
    return [n for n in testbed.processes if n.startswith("balancer")]


async def read_all_suspected(testbed):
    names = list_balancers(testbed)
    assert names
    return [loads(await testbed.read_status(n))["suspected"] for n in names]


@then('every balancer suspects the agent of "{name}" within {seconds:d} s')
def check_suspected(context, name, seconds):
    testbed = context.testbed
    hosts = {
        plan.target_name(member): host
        for plan in testbed.services.values()
        for member, host in enumerate(plan.hosts)
    }
    expected = [[str(hosts[name].data)]] * len(list_balancers(testbed))

    async def is_known():
        return await read_all_suspected(testbed) == expected

    context.run(testbed.wait_until(is_known, seconds))


@then("no balancer suspects any agent within {seconds:d} s")
def check_none_suspected(context, seconds):
    testbed = context.testbed

    async def is_settled():
        return not any(await read_all_suspected(testbed))

    context.run(testbed.wait_until(is_settled, seconds))


@then('"{name}" takes all its mates for live')
def check_peer_agents(context, name):
    async def all_live():
        peer_agents = loads(await context.testbed.read_status(name))["mates"]
        assert (
            len(peer_agents)
            == len(context.testbed.services["dispatch"].hosts) - 1
        )
        return set(peer_agents.values()) == {"live"}

    context.run(context.testbed.wait_until(all_live, MATES_SECONDS))
