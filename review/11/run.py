"""Balancers and agents are restarted in turn while flows are in use."""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import run
from asyncio import sleep
from os import environ
from pathlib import Path
from random import Random
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2.ends import Host  # noqa: E402
from standins2.testbed import Testbed  # noqa: E402
from standins2.testbed import ZONE  # noqa: E402
from standins2.wire import decode  # noqa: E402
from standins2.wire import describe  # noqa: E402
from standins2.wire import SYN  # noqa: E402

ENTRY = ("198.18.0.1", 8443)
SERVICES = ("dispatch", "booking")
CHANGE_SECONDS = 4.0
HAS_TROUBLE = environ.get("TROUBLE", "1") != "0"
BALANCERS = 5
HOSTS = 16
ROLLED_AGENTS = 8
TIMES = (5000, 400)
CLIENTS = 220
REQUESTS = 12
PAUSE_SECONDS = 0.35
DEADLINE_SECONDS = 5.0
PLAY_SECONDS = 88.0
AGENT_GAP_SECONDS = 1.1
AGENT_ROLLS = (0.0, 0.5)
BALANCER_GAP_SECONDS = 1.2
BALANCER_ROLLS = (0.0,)
STABLE_SECONDS = 4.0
REORDER_SECONDS = 2.0
MIN_PACKETS = 3
COPIES_SECONDS = 0.05


class Watch:
    """Judges FLOW (b) by the packets that hosts get."""

    def __init__(self, bed):
        self.bed = bed
        self.strays = {}
        self.broken = set()

    def note(self, host, packet):
        """Note that a host got a packet of a flow that is open."""
        flow = packet.flow
        holder = self.bed.find_holder(flow)
        if holder is None or holder is host:
            self.strays.pop(flow, None)
            return
        agent = next(d for d in self.bed.daemons if d.ip == holder.app[0])
        now = get_running_loop().time()
        if now - agent.disturbed_at < STABLE_SECONDS:
            self.strays.pop(flow, None)
            return
        times, names = self.strays.setdefault(flow, ([], set()))
        names.add(host.name)
        # The copies of one packet that several hosts get count once.
        if times and now - times[-1] < COPIES_SECONDS:
            return
        times.append(now)
        lasted = now - times[0]
        is_broken = len(times) >= MIN_PACKETS and lasted >= REORDER_SECONDS
        if is_broken and flow not in self.broken:
            self.broken.add(flow)
            self.bed.record.fault(
                "FLOW",
                f"for {lasted:.2f} s {len(times)} packets of"
                f" {describe(flow)} reached {','.join(sorted(names))} and"
                f" none {holder.name}, which holds it and lives; its agent"
                f" runs undisturbed for {now - agent.disturbed_at:.1f} s",
            )


class WatchedHost(Host):
    """A host whose packets are watched."""

    watch = None

    def take(self, raw):
        """Take a packet from the agent."""
        packet = decode(raw)
        super().take(raw)
        if not packet.flags & SYN:
            self.watch.note(self, packet)


class WatchedTestbed(Testbed):
    """A testbed whose hosts are watched."""

    __test__ = False

    def __init__(self, folder):
        super().__init__(folder)
        self.watch = Watch(self)

    async def add_host(self, name, daemon, ahead=0.0):
        """Start the host beside an agent."""
        host = WatchedHost(
            name,
            daemon.service,
            (daemon.ip, self.app),
            (daemon.ip, self.outbound),
            self.store,
            self.record,
            ZONE,
            ahead,
        )
        host.watch = self.watch
        self.hosts.append(host)
        await host.start()
        return host


async def call(bed, until, random):
    """Use one flow after another, each for some requests."""
    loop = get_running_loop()
    await sleep(random.random() * PAUSE_SECONDS)
    while loop.time() < until:
        client = bed.make_client(ENTRY)
        if not await client.open():
            continue
        for number in range(REQUESTS):
            if client.is_reset or client.is_closing:
                break
            if not await client.ask(number, DEADLINE_SECONDS):
                break
            await sleep(PAUSE_SECONDS * (0.5 + random.random()))
        client.close()


async def restart(daemon, restarting):
    """Restart a daemon, unless that is under way."""
    if daemon.name not in restarting:
        restarting.add(daemon.name)
        loop = get_running_loop()
        daemon.disturbed_at = loop.time()
        await daemon.restart()
        daemon.disturbed_at = loop.time()
        restarting.discard(daemon.name)


async def roll(daemons, gap, offset, until, random, restarting):
    """Restart daemons in turn, again and again."""
    loop = get_running_loop()
    await sleep(offset)
    tasks = []
    while loop.time() < until:
        for daemon in random.sample(daemons, len(daemons)):
            if loop.time() < until:
                tasks.append(create_task(restart(daemon, restarting)))
            await sleep(gap)
    await gather(*tasks)


async def change(bed, until):
    """Send the route to the other service, again and again."""
    version = 4
    while get_running_loop().time() < until:
        await sleep(CHANGE_SECONDS)
        version += 3
        service = SERVICES[version % 2]
        bed.configure(version, {ENTRY: service}, SERVICES, times=TIMES)


async def play(bed):
    """Play the case."""
    random = Random(11)
    bed.configure(4, {ENTRY: SERVICES[0]}, SERVICES, times=TIMES)
    balancers = [
        await bed.add_daemon(f"b{n}", 1, n) for n in range(1, BALANCERS + 1)
    ]
    agents = []
    for n in range(1, HOSTS + 1):
        agent = await bed.add_daemon(f"a{n}", 2, n, SERVICES[n % 2])
        agents.append(agent)
        agent.disturbed_at = agent.started_at
        await bed.add_host(f"i-{n}", agent)
    await bed.wait_ready(balancers)
    await bed.fabric.start(balancers)
    await sleep(4.0)
    until = get_running_loop().time() + PLAY_SECONDS
    tasks = [create_task(call(bed, until, random)) for _ in range(CLIENTS)]
    await sleep(3.0)
    if HAS_TROUBLE:
        end = until - 6.0
        restarting = set()
        rolled = agents[:ROLLED_AGENTS]
        plan = [(rolled, AGENT_GAP_SECONDS, o) for o in AGENT_ROLLS]
        plan += [(balancers, BALANCER_GAP_SECONDS, o) for o in BALANCER_ROLLS]
        tasks.append(create_task(change(bed, end)))
        tasks += [
            create_task(roll(*entry, end, random, restarting))
            for entry in plan
        ]
    await gather(*tasks)
    asked = sum(len(c.asked) for c in bed.clients)
    answered = sum(len(c.answered) for c in bed.clients)
    broken = len(bed.watch.broken)
    text = f"asked {asked}, answered {answered}, flows broken {broken}"
    bed.record.note(text)
    print(text, "- rules broken:", sorted(set(bed.record.faults)) or "none")
    return asked > 0 and answered > 0


async def main():
    """Run the case; return the exit code."""
    bed = WatchedTestbed(Path(__file__).parent)
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
