"""Steps on a balancer that joins."""

from asyncio import sleep

from behave import then
from behave import when

from tests.standins.layout import FABRIC_PORT

NAME = "balancer-3"


@when("balancer {number:d} starts before it is listed")
def start_unlisted(context, number):
    async def start():
        context.fabric_before = list(context.testbed.fabric.balancers)
        await context.testbed.start_balancer(number, wait=False)
        context.testbed.fabric.balancers = context.fabric_before
        await context.testbed.wait_serving(NAME)

    context.run(start())


@then("it is not ready for {seconds:d} s")
def check_not_ready(context, seconds):
    async def look():
        for _ in range(seconds):
            assert not await context.testbed.is_ready(NAME)
            await sleep(1)

    context.run(look())


@when("the platform lists balancer {number:d}")
def list_balancer(context, number):
    context.testbed.list_balancer(number)


@then("it is ready within {seconds:d} s and the fabric uses it alone")
def check_ready(context, seconds):
    testbed = context.testbed
    context.run(testbed.wait_until(lambda: testbed.is_ready(NAME), seconds))
    testbed.fabric.balancers = [testbed.network.place(1, 3, FABRIC_PORT)]
