"""Runs both users' services and breaks things while callers work."""

from asyncio import create_task
from asyncio import Event
from asyncio import gather
from asyncio import run
from asyncio import sleep
from typing import Annotated

from typer import echo
from typer import Exit
from typer import Option
from typer import run as run_command

from demo.callers import book
from demo.callers import download
from demo.callers import read_feed
from demo.callers import Seen
from tests.standins.layout import Network
from tests.standins.layout import plan_users
from tests.standins.testbed import Testbed

BALANCERS = 3
FEED_LINES = 150
BOOKINGS = 40
PAUSE_SECONDS = 1.0


async def show_faults(testbed: Testbed) -> list[Seen]:
    """Run callers while a balancer dies, one joins and a target drains."""
    long_callers = [
        create_task(read_feed(testbed, "dispatch", FEED_LINES)),
        create_task(read_feed(testbed, "bookings", FEED_LINES)),
        create_task(download(testbed, "catalogue")),
        create_task(download(testbed, "photos")),
    ]
    await sleep(PAUSE_SECONDS)
    echo("kill -9 balancer-2")
    await testbed.kill("balancer-2")
    seen = await book_many(testbed, "first")
    echo("start balancer-4")
    testbed.list_balancer(BALANCERS + 1)
    await testbed.start_balancer(BALANCERS + 1)
    echo("drain dispatch-3 and bookings-3")
    testbed.change_target("dispatch", "dispatch-3", state="draining")
    testbed.change_target("bookings", "bookings-3", state="draining")
    await sleep(PAUSE_SECONDS)
    seen += await book_many(testbed, "second")
    return seen + list(await gather(*long_callers))


async def book_many(testbed: Testbed, label: str) -> list[Seen]:
    """Send bookings to both users' services at once."""
    return await gather(
        *(
            book(testbed, service, f"{label}-{service}-{number}")
            for service in ("dispatch", "bookings")
            for number in range(BOOKINGS)
        )
    )


async def run_demo(stay: bool) -> bool:
    """Run the demo; return whether every caller saw what it should."""
    network = Network()
    testbed = Testbed(network, plan_users(network))
    try:
        await testbed.start(BALANCERS)
        for plan in testbed.services.values():
            echo(f"{plan.name}: http://{plan.entry}/")
        if stay:
            echo("running until interrupted")
            await Event().wait()
        seen = await show_faults(testbed)
    finally:
        await testbed.close()
    for one in seen:
        echo(str(one))
    broken = sum(not one.is_whole for one in seen)
    echo(f"{len(seen)} callers, {broken} broken")
    return broken == 0


def main(
    stay: Annotated[bool, Option(help="Leave everything running.")] = False,
) -> None:
    """Show the whole path of requests on loopback."""
    try:
        is_whole = run(run_demo(stay))
    except KeyboardInterrupt:
        is_whole = True
    raise Exit(0 if is_whole else 1)


if __name__ == "__main__":
    run_command(main)
