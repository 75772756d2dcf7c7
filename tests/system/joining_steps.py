"""Steps on a balancer that joins."""

from asyncio import sleep

from behave import then
from behave import when

from tests.standins.layout import FABRIC_PORT

NAME = "balancer-3"


@when("balancer {number:d} starts before it is listed")
def start_unlisted(context, number):
    async def start():
        context.fabric_before = list(context.world.fabric.balancers)
        await context.world.start_balancer(number, wait=False)
        context.world.fabric.balancers = context.fabric_before
        await context.world.wait_serving(NAME)

    context.run(start())


@then("it is not ready for {seconds:d} s")
def check_not_ready(context, seconds):
    async def look():
        for _ in range(seconds):
            assert not await context.world.is_ready(NAME)
            await sleep(1)

    context.run(look())


@when("the platform lists balancer {number:d}")
def list_balancer(context, number):
    context.world.list_balancer(number)


@then("it is ready within {seconds:d} s and the fabric uses it alone")
def check_ready(context, seconds):
    world = context.world
    context.run(world.wait_until(lambda: world.is_ready(NAME), seconds))
    world.fabric.balancers = [world.network.place(1, 3, FABRIC_PORT)]
