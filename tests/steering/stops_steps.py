"""Steps on planned stops under load."""

from asyncio import create_task
from asyncio import sleep

from behave import then
from behave import when

from tests.steering.waves_steps import ask_within
from tests.steering.waves_steps import TRIES

PAUSE_SECONDS = 0.3
REPLACEMENT_OFFSET = 100


async def replace_balancers(fleet):
    """Start a replacement of each balancer, then stop the balancer."""
    for name in list(fleet.balancers):
        fleet.add_balancer(f"b{REPLACEMENT_OFFSET + int(name[1:])}")
        await sleep(PAUSE_SECONDS)
        await fleet.stop_balancer(name)


async def replace_agents(fleet):
    """Stop each agent in turn; another one starts in its place."""
    for name in list(fleet.agents):
        await sleep(PAUSE_SECONDS)
        await fleet.stop_agent(name)


REPLACE_BY_ROLE = {"balancer": replace_balancers, "agent": replace_agents}


@when(
    "{count:d} callers ask within {seconds:g} s while every {role} is stopped"
    " and replaced"
)
def ask_during_replacement(context, count, seconds, role):
    async def run():
        await context.fleet.settle()
        asking = create_task(ask_within(context, count, seconds, TRIES))
        await REPLACE_BY_ROLE[role](context.fleet)
        await asking

    context.run(run())


@then("no caller repeated its request")
def check_no_repeats(context):
    repeats = sum(caller.repeats for caller in context.callers)
    assert repeats == 0, repeats
