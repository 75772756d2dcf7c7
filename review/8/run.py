"""A route moves away from a service whose only host has turned slow."""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import run
from asyncio import sleep
from os import environ
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2.ends import WORK_SECONDS  # noqa: E402
from standins2.testbed import Testbed  # noqa: E402
from standins2.wire import describe  # noqa: E402

ENTRY = ("198.18.0.1", 8443)
OLD, NEW = "dispatch-blue", "dispatch-green"
HAS_TROUBLE = environ.get("TROUBLE", "1") != "0"
CALLS_PER_SECOND = 40
SLOW_FACTOR = 5.0
SLOW_SECONDS = 6.5
DEADLINE_SECONDS = 2.5
TIMES_MS = 2500, 275
DOWNGRADE_SECONDS = 0.25
ROUNDS = 4


async def call(client):
    """Open a flow, send one request, close the flow."""
    if await client.open():
        await client.ask(1, DEADLINE_SECONDS)
        client.close()


def judge(bed, since):
    """Judge CONFIG, second part, for the flows opened since a time.

    Each balancer is judged by itself: the first opening packet that it sent
    to a host of the new service shows that the new version is in force there.
    """
    taken = {}
    effects = {}
    for host in bed.hosts:
        for flow, copies, at in host.taken:
            client = bed.fabric.clients[flow[0]]
            sent_at, daemon = client.sent[copies]
            if at < since:
                continue
            if host.service == NEW:
                effects[daemon] = min(at, effects.get(daemon, at))
            taken[flow] = (client, host, copies, sent_at, daemon)
    for flow, (client, host, copies, sent_at, daemon) in taken.items():
        if host.service != OLD or daemon not in effects:
            continue
        late = sent_at - effects[daemon]
        name = f"{client.address[1]}-1"
        if late > DOWNGRADE_SECONDS and name.encode() in host.ran:
            bed.record.fault(
                "CONFIG",
                f"{describe(flow)}: {daemon.name} sent the opening packet"
                f" (copy {copies}) to {host.name} of {OLD}; the client sent it"
                f" {late:.3f} s after {daemon.name} had used {NEW}",
            )


async def play(bed):
    """Play the case."""
    services = [OLD, NEW]
    version = 4
    bed.configure(version, {ENTRY: OLD}, services, TIMES_MS)
    balancers = [await bed.add_daemon(f"b{n}", 1, n) for n in (1, 2)]
    agent = await bed.add_daemon("old", 2, 1, OLD)
    old = await bed.add_host("i-old", agent)
    for n in range(1, 7):
        agent = await bed.add_daemon(f"new{n}", 3, n, NEW)
        await bed.add_host(f"i-new-{n}", agent)
    await bed.wait_ready(balancers)
    await bed.fabric.start(balancers)
    await sleep(4.0)
    tasks = []
    for _ in range(ROUNDS):
        since = get_running_loop().time()
        change = create_task(change_route(bed, old, version, services))
        for _ in range(int(6.0 * CALLS_PER_SECOND)):
            tasks.append(create_task(call(bed.make_client(ENTRY))))
            await sleep(1 / CALLS_PER_SECOND)
        await change
        await gather(*tasks)
        judge(bed, since)
        # Back to the former service for the next round.
        version += 10
        bed.configure(version, {ENTRY: OLD}, services, TIMES_MS)
        version += 1
        await sleep(4.0)
    asked = sum(len(c.asked) for c in bed.clients)
    answered = sum(len(c.answered) for c in bed.clients)
    text = f"flows {len(bed.clients)}, asked {asked}, answered {answered}"
    bed.record.note(text)
    print(text, "- rules broken:", len(bed.record.faults))
    return answered > 0


async def change_route(bed, old, version, services):
    """Let the old host turn slow, then move the route away from it."""
    await sleep(1.0)
    if not HAS_TROUBLE:
        return
    bed.record.note("i-old turns slow")
    old.work = SLOW_FACTOR * WORK_SECONDS
    await sleep(2.5)
    bed.configure(version + 5, {ENTRY: NEW}, services, TIMES_MS)
    await sleep(SLOW_SECONDS - 2.5)
    old.work = WORK_SECONDS
    bed.record.note("i-old is as fast as before")


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
