"""Steps on balancers that the store turns away, with real processes."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep

from behave import when

from tests.soak.plan import Kind
from tests.soak.plan import Step
from tests.soak.run import Outcome
from tests.soak.run import Traffic
from tests.soak.testbed import Testbed

SEED = 2
SIZE = (5, 10)
TURNED_AWAY = 2
SETTLED_SECONDS = 3.0
AFTER_SECONDS = 6.0
DRAINED = (0, 6, 1, 7)
DRAINED_AFTER = (2, 8)
CHANGE_SECONDS = 1.3


async def turn_away(testbed, outage):
    """Let the store turn two balancers away, one way after the other."""
    streams = testbed.streams[:TURNED_AWAY]
    for phase in outage.split(", "):
        way, seconds = phase.split()
        step = Step(0.0, None, 0, float(seconds))
        testbed.promises.disturb(step.seconds, step.seconds)
        if way == "silent":
            await testbed.silence(step, streams)
        else:
            await testbed.refuse(step, int(way), streams)


async def change(testbed, places):
    """Change the configuration and drain a host, once for each place."""
    drains = []
    for place in places:
        testbed.configure()
        step = Step(0.0, Kind.DRAIN, place, SETTLED_SECONDS)
        drains.append(create_task(testbed.apply(step)))
        await sleep(CHANGE_SECONDS)
    return drains


async def play(outage):
    """Play an outage; return the outcome."""
    testbed = Testbed(SEED, *SIZE)
    traffic = Traffic(testbed)
    try:
        await testbed.start()
        testbed.tasks.append(create_task(traffic.run_short()))
        await sleep(SETTLED_SECONDS)
        _, drains = await gather(
            turn_away(testbed, outage), change(testbed, DRAINED)
        )
        drains += await change(testbed, DRAINED_AFTER)
        await gather(*drains)
        await sleep(AFTER_SECONDS)
        for task in testbed.tasks:
            if task.done():
                task.result()
    finally:
        await testbed.close()
    return Outcome(SEED, [], testbed, traffic.answered, traffic.asked)


@when(
    "hosts drain and routes change while two balancers find the store {outage}"
)
def play_outage(context, outage):
    context.outcomes = [context.run(play(outage))]
