"""Steps that stop daemons while callers use them."""

from asyncio import ensure_future
from asyncio import sleep

from behave import given
from behave import then
from behave import when

from tests.standins.layout import Network
from tests.standins.layout import plan_small
from tests.system.path_steps import run_testbed

NOTICE_SECONDS = 1.5


def begin_stop(context, name):
    """Ask a daemon to stop; go on while it does."""

    async def start():
        context.stopping = ensure_future(context.testbed.stop(name))
        await sleep(NOTICE_SECONDS)

    context.stopped = name
    context.run(start())


@given("the small services as packets behind {balancers:d} balancers")
def start_packet_testbed(context, balancers):
    network = Network()
    plans = plan_small(network)
    for plan in plans:
        plan.kind = "packet"
    run_testbed(context, network, plans, balancers)


@when('"{name}" is asked to stop')
def stop_daemon(context, name):
    begin_stop(context, name)


@when("the agent that owns the feed is asked to stop")
def stop_owner(context):
    (owner,) = [
        name
        for name, host in context.testbed.hosts.items()
        if any(not c.closed for c in host.connections.values())
    ]
    context.runs_before = context.testbed.targets[owner].runs.total()
    begin_stop(context, owner)


@then("it ended with exit code 0")
def check_ended(context):
    async def wait():
        return await context.stopping

    assert context.run(wait()) == 0


@then("no booking ran at the target that stops")
def check_no_new_work(context):
    runs = context.testbed.targets[context.stopped].runs.total()
    assert runs == context.runs_before, runs
