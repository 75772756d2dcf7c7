"""Measures how a change of configuration spreads, and what it costs.

The real classes run over an in-memory network on virtual time. Prints one
JSON object a line: ``python -m measure.convergence [SIZE ...]``.
"""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import Runner
from asyncio import sleep
from json import dumps
import sys

from chicorycart.configuration.follow import follow_platform
from chicorycart.configuration.peers import DomainPicker
from chicorycart.configuration.peers import FlatPicker
from tests.configuration.builders import publish
from tests.configuration.builders import publish_many
from tests.configuration.fleet import Fleet
from tests.configuration.fleet import Member
from tests.standins.platform import Platform
from tests.standins.virtual import VirtualLoop

SIZES = (10, 100, 1_000, 3_900)
DOMAINS = 12
DOMAINS_PER_REGION = 4
NEAR_SECONDS = (0.0005, 0.0015)
FAR_SECONDS = (0.035, 0.045)
SERVICES = 50
CHANGES = 5
SETTLE_SECONDS = 8.0
IDLE_SECONDS = 10.0


class GatewayPicker:
    """The grouping of Taguchi, Enokido and Takizawa in its pure form.

    A gateway (a reader) sends to every member of its own group, and the
    others pass nothing on; digests go as in the flat form.
    """

    def __init__(self, table, random):
        self.table = table
        self.flat = FlatPicker(table, random)
        self.is_gateway = False

    def pick(self, count):
        """Return the whole group for a push, or one peer for a digest."""
        if count == 1:
            return self.flat.pick(1)
        return self.table.list_domain() if self.is_gateway else []


def region_of(member):
    """Return the region of a member's failure domain."""
    return int(member.entry.domain.partition("-")[2]) // DOMAINS_PER_REGION


class SpreadMember(Member):
    """A member that begins with version 1 in force."""

    def begin(self, configuration, shared):
        """Go on from a common state, as long after the start."""
        self.start()
        self.task.cancel()
        self.table.peers = shared
        self.table.listed_at = dict.fromkeys(shared, 0.0)
        self.store.put_in_force(configuration)
        self.exchange.gate.is_open = True

    def run(self):
        """Start the tasks that a serving balancer runs."""
        exchange = self.exchange
        tasks = [
            exchange.fetcher.run(),
            exchange.digests.run(exchange.random),
            exchange.digests.probe(exchange.turns.election, exchange.random),
            follow_platform(exchange.reader, exchange.turns, exchange.random),
        ]
        self.tasks = [create_task(task) for task in tasks]

    def send(self, kind, body, destination):
        """Send one datagram over a link of its region's latency."""
        fleet = self.fleet
        size = len(body) + 29
        self.sent_bytes += size
        other = fleet.by_data[destination]
        if other.entry.domain != self.entry.domain:
            self.far_bytes += size
        if fleet.random.random() < fleet.loss:
            return
        is_near = region_of(self) == region_of(other)
        bounds = NEAR_SECONDS if is_near else FAR_SECONDS
        delay = fleet.random.uniform(*bounds)
        get_running_loop().call_later(
            delay, other.take, kind, body, self.entry.data
        )


class SpreadFleet(Fleet):
    """A fleet whose members share one list."""

    def __init__(self, platform, count, make_picker, loss):
        super().__init__(platform, 0, DOMAINS, 1, loss, make_picker)
        full = Fleet(platform, count, DOMAINS)
        self.members = [SpreadMember(self, entry) for entry in full.listed]
        self.by_data = {m.entry.data: m for m in self.members}

    async def begin(self):
        """Bring every member to version 1 and start its tasks."""
        first = self.members[0]
        first.start()
        await first.exchange.reader.read_once()
        first.task.cancel()
        configuration = first.store.current
        shared = {m.entry.data: m.entry for m in self.members}
        for member in self.members:
            member.begin(configuration, shared)
        for member in self.members:
            picker = member.exchange.pusher.picker
            if isinstance(picker, GatewayPicker):
                election = member.exchange.turns.election
                picker.is_gateway = election.is_reader()
            member.run()

    def totals(self):
        """Return bytes sent, bytes sent to other domains, by member."""
        return [(m.sent_bytes, m.far_bytes) for m in self.members]


async def measure_spread(count, name, make_picker, loss):
    """Return the figures of some changes in one fleet."""
    platform = Platform()
    platform.patch(0, publish_many(SERVICES))
    fleet = SpreadFleet(platform, count, make_picker, loss)
    await fleet.begin()
    # A reader's first change makes it read every shard's list.
    await measure_change(fleet, platform)
    calls = platform.calls
    before = fleet.totals()
    await sleep(IDLE_SECONDS)
    idle = sum(b for b, _ in fleet.totals()) - sum(b for b, _ in before)
    idle_rate = idle / IDLE_SECONDS / count
    idle_calls = platform.calls - calls
    rows = [await measure_change(fleet, platform) for _ in range(CHANGES)]
    idle_change = idle_rate * SETTLE_SECONDS
    return {
        "members": count,
        "way": name,
        "loss": loss,
        "half_ms": round(1000 * max(row[0] for row in rows)),
        "most_ms": round(1000 * max(row[1] for row in rows)),
        "all_ms": round(1000 * max(row[2] for row in rows)),
        "bytes_a_change_a_member": round(
            sum(row[3] for row in rows) / CHANGES / count - idle_change
        ),
        "far_bytes_a_change_a_member": round(
            sum(row[4] for row in rows) / CHANGES / count
        ),
        "most_bytes_of_one_member": max(row[5] for row in rows),
        "idle_bytes_a_second_a_member": round(idle_rate, 1),
        "platform_calls_a_change": round(
            (platform.calls - calls - idle_calls) / CHANGES
        ),
    }


async def measure_change(fleet, platform):
    """Return times and bytes of one change."""
    before = fleet.totals()
    began = get_running_loop().time()
    version = platform.version
    platform.patch(version, {"s-1": publish(1, weight=2.0 + version)})
    await sleep(SETTLE_SECONDS)
    times = sorted(
        fleet.in_force_at.get((m.entry.name, version + 1), began + 99) - began
        for m in fleet.members
    )
    sent = [
        (now[0] - then[0], now[1] - then[1])
        for now, then in zip(fleet.totals(), before, strict=True)
    ]
    return (
        times[len(times) // 2],
        times[int(len(times) * 0.99)],
        times[-1],
        sum(s for s, _ in sent),
        sum(f for _, f in sent),
        max(s for s, _ in sent),
    )


def main(sizes):
    """Print the figures of each size and way."""
    ways = {
        "flat": FlatPicker,
        "domains": DomainPicker,
        "gateways": GatewayPicker,
    }
    for count in sizes:
        for loss in (0.0, 0.02):
            for name, make_picker in ways.items():
                with Runner(loop_factory=VirtualLoop) as runner:
                    row = runner.run(
                        measure_spread(count, name, make_picker, loss)
                    )
                print(dumps(row), flush=True)


if __name__ == "__main__":
    main([int(text) for text in sys.argv[1:]] or SIZES)
