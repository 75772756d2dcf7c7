"""Steps on planned stops under load."""

from asyncio import create_task
from asyncio import sleep

from behave import then
from behave import when

from tests.steering.waves_steps import ask_within
from tests.steering.waves_steps import TRIES

PAUSE_SECONDS = 0.3
REPLACED = 100


async def roll_balancers(fleet):
    """Stop each balancer after its replacement serves."""
    for name in list(fleet.balancers):
        fleet.add_balancer(f"b{REPLACED + int(name[1:])}")
        await sleep(PAUSE_SECONDS)
        await fleet.stop_balancer(name)


async def roll_agents(fleet):
    """Stop each agent and start another beside its host."""
    for name in list(fleet.agents):
        await sleep(PAUSE_SECONDS)
        await fleet.stop_agent(name)


ROLLS = {"balancer": roll_balancers, "agent": roll_agents}


@when(
    "{count:d} callers ask within {seconds:g} s while every {role} is stopped"
    " and replaced"
)
def ask_during_roll(context, count, seconds, role):
    async def run():
        await context.fleet.settle()
        asking = create_task(ask_within(context, count, seconds, TRIES))
        await ROLLS[role](context.fleet)
        await asking

    context.run(run())


@then("no caller repeated its request")
def check_no_repeats(context):
    repeats = sum(caller.repeats for caller in context.callers)
    assert repeats == 0, repeats
