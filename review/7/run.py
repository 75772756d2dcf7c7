"""A route moves to another service; then the balancers are restarted."""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import run
from asyncio import sleep
from os import environ
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2.testbed import Testbed  # noqa: E402

ENTRY = ("198.18.0.1", 8443)
OLD, NEW = "dispatch-blue", "dispatch-green"
TROUBLE = environ.get("TROUBLE", "1")
HAS_CHANGE = TROUBLE in ("1", "config")
HAS_ROLL = TROUBLE in ("1", "roll")
CLIENTS = 24
PAUSE_SECONDS = 0.6
DEADLINE_SECONDS = 1.2
APPLY_SECONDS = 3.0
FLOW_TTL_SECONDS = 60.0


async def follow(client, until):
    """Keep a feed open: a request, a pause, the next request."""
    if not await client.open():
        return
    number = 0
    while get_running_loop().time() < until and not client.is_reset:
        number += 1
        if not await client.ask(number, DEADLINE_SECONDS):
            break
        await sleep(PAUSE_SECONDS)
    client.close()


async def play(bed):
    """Play the case."""
    bed.configure(4, {ENTRY: OLD}, [OLD])
    balancers = [await bed.add_daemon(f"b{n}", 1, n) for n in (1, 2, 3)]
    for n in (1, 2):
        agent = await bed.add_daemon(f"old{n}", 2, n, OLD)
        await bed.add_host(f"i-old-{n}", agent)
        agent = await bed.add_daemon(f"new{n}", 3, n, NEW)
        await bed.add_host(f"i-new-{n}", agent)
    await bed.wait_ready(balancers)
    await bed.fabric.start(balancers)
    await sleep(5.0)
    loop = get_running_loop()
    until = loop.time() + 40.0
    feeds = [bed.make_client(ENTRY) for _ in range(CLIENTS)]
    tasks = [create_task(follow(feed, until)) for feed in feeds]
    await sleep(3.0)
    if HAS_CHANGE:
        bed.configure(9, {ENTRY: NEW}, [NEW])
    await sleep(APPLY_SECONDS + 1.0)
    later = [bed.make_client(ENTRY) for _ in range(4)]
    tasks += [create_task(follow(feed, until)) for feed in later]
    await sleep(1.0)
    if HAS_ROLL:
        for balancer in balancers:
            await balancer.restart()
            await bed.wait_ready([balancer])
            await sleep(2.0)
    await gather(*tasks)
    answered = sum(len(c.answered) for c in bed.clients)
    asked = sum(len(c.asked) for c in bed.clients)
    resets = sum(c.is_reset for c in bed.clients)
    text = f"asked {asked}, answered {answered}, flows reset {resets}"
    bed.record.note(text)
    print(text, "- rules broken:", sorted(set(bed.record.faults)) or "none")
    return asked > 0 and answered > 0


async def main():
    """Run the case; return the exit code."""
    bed = Testbed(Path(__file__).parent)
    try:
        has_run = await play(bed)
    finally:
        await bed.close()
    if bed.record.faults:
        return 1
    return 0 if has_run else 2


if __name__ == "__main__":
    try:
        code = run(main())
    except Exception as error:  # noqa: BLE001
        print("the case could not run:", repr(error))
        code = 2
    sys.exit(code)
