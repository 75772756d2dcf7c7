"""Measures how fast, and at what cost, balancers learn of dead agents.

Runs the real books and gossip of up to 3,900 balancers on virtual time over
a network in memory; prints JSON.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import Runner
from asyncio import sleep
from json import dumps
from random import Random
import sys

from logbook import NullHandler
from prometheus_client import CollectorRegistry

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.clock import LoopClock
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.defaults import EARLY_REPORTS
from chicorycart.defaults import GOSSIP_PEERS
from chicorycart.defaults import HEARTBEAT_SECONDS
from chicorycart.defaults import PROBE_BURST_BYTES
from chicorycart.defaults import PROBE_BYTES_PER_SECOND
from chicorycart.defaults import REPORT_BALANCERS
from chicorycart.defaults import REPORT_LEASE_SECONDS
from chicorycart.defaults import REPORT_SECONDS
from chicorycart.defaults import SUSPICION_BURST_BYTES
from chicorycart.defaults import SUSPICION_BYTES_PER_SECOND
from chicorycart.links.datagrams import DatagramLink
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.metrics import count_dropped
from chicorycart.membership.gossip import Gossip
from chicorycart.membership.heartbeats import HeartbeatBuilder
from chicorycart.membership.heartbeats import NoLoad
from chicorycart.membership.incarnation import Incarnation
from chicorycart.membership.instances import Balancers
from chicorycart.membership.instances import Instance
from chicorycart.membership.instances import InstanceRole
from chicorycart.membership.instances import InstanceState
from chicorycart.membership.messages import encode_suspicions
from chicorycart.membership.messages import NO_SERVICE
from chicorycart.membership.messages import SuspicionMessage
from chicorycart.membership.messages import SuspicionRecord
from chicorycart.membership.pauses import PauseDetector
from chicorycart.membership.peers import FlatPeers
from chicorycart.membership.report_evaluator import ReportEvaluator
from chicorycart.membership.suspicions import SuspicionTable
from chicorycart.pace import TokenBucket
from tests.standins.datagrams import AnySource
from tests.standins.datagrams import MemoryNetwork
from tests.standins.datagrams import MemorySocket
from tests.standins.virtual import VirtualLoop

REGIONS = 3
DOMAINS = 12
GATEWAYS = 2
REPORTERS = 4
RACK_AGENTS = 40
LOSS_SHARE = 0.01
NEAR_SECONDS = 0.001
FAR_SECONDS = 0.030
POLL_SECONDS = 0.1
RUN_SECONDS = 60
INCARNATION = 1 << 40
DATA_PORT = 7001
SIZES = (10, 100, 1_000, 3_900)
SEEDS = (1, 2, 3)


class RegionNetwork(MemoryNetwork):
    """A network in memory whose regions are far from each other.

    Attributes
    ----------
    regions : dict of str to str
        Region by host.
    far, near : int
        Bytes between regions and within them.
    """

    def __init__(self, random: Random):
        super().__init__(random)
        self.regions: dict[str, str] = {}
        self.far = 0
        self.near = 0

    def carry(self, data: bytes, source: Address, destination: Address):
        """Deliver a datagram after the delay of its way, or lose it."""
        is_far = self.regions.get(source.host) != self.regions.get(
            destination.host
        )
        if is_far:
            self.far += len(data)
        else:
            self.near += len(data)
        if self.random.random() < LOSS_SHARE:
            return
        self.delay_seconds = FAR_SECONDS if is_far else NEAR_SECONDS
        super().carry(data, source, destination)


class LayeredPeers:
    """Gossips within a failure domain; its gateways also beyond it.

    The gateways of a domain are those whose names come first.
    """

    def __init__(self, balancers: Balancers, own: Instance, random: Random):
        domains: dict[str, list[Instance]] = {}
        for balancer in balancers.listed:
            domains.setdefault(balancer.domain, []).append(balancer)
        gateways = {d: members[:GATEWAYS] for d, members in domains.items()}
        self.random = random
        self.near = [b for b in domains[own.domain] if b is not own]
        self.is_gateway = own in gateways[own.domain]
        self.far = [
            gateway
            for domain, members in gateways.items()
            for gateway in members
            if domain != own.domain
        ]

    def choose(self) -> list[Address]:
        """Return peers of the own domain, and a gateway of another one."""
        count = GOSSIP_PEERS - 1 if self.is_gateway else GOSSIP_PEERS
        drawn = self.random.sample(self.near, min(count, len(self.near)))
        if self.is_gateway and self.far:
            drawn.append(self.random.choice(self.far))
        return [balancer.data for balancer in drawn]


class Fleet:
    """Balancers that gossip, and the reporters of dead agents."""

    def __init__(self, layout: str, count: int, dead: int, seed: int):
        self.layout = layout
        self.random = Random(seed)
        self.clock = LoopClock()
        self.network = RegionNetwork(self.random)
        self.balancers = [self.make_instance(n) for n in range(count)]
        self.views = {
            domain: self.make_view(domain)
            for domain in {b.domain for b in self.balancers}
        }
        self.dead = [
            pack_address(Address(f"10.200.0.{number + 1}", DATA_PORT))
            for number in range(dead)
        ]
        self.sockets: list[MemorySocket] = []
        self.suspicion_tables: list[SuspicionTable] = []
        self.tasks = []

    def make_instance(self, number: int) -> Instance:
        """Return one balancer; neighbours stand in different domains."""
        domain = number % DOMAINS
        data = Address(f"10.1.{number // 250}.{number % 250 + 1}", DATA_PORT)
        region = f"r-{domain % REGIONS}"
        self.network.regions[data.host] = region
        return Instance(
            f"b-{number}",
            InstanceRole.BALANCER,
            data,
            data,
            region,
            f"d-{domain}",
            InstanceState.LIVE,
        )

    def make_view(self, domain: str) -> Balancers:
        """Return the list as a process of a domain sees it."""
        view = Balancers(domain)
        view.change_instances(self.balancers)
        return view

    def start_balancer(self, instance: Instance) -> None:
        """Start the gossip of one balancer."""
        own = pack_address(instance.data)
        socket = MemorySocket(self.network, instance.data)
        registry = CollectorRegistry()
        link = DatagramLink(socket, AnySource(), count_dropped(registry))
        suspicion_table = SuspicionTable(self.clock)
        heartbeat = HeartbeatBuilder(
            own,
            NO_SERVICE,
            Incarnation(1),
            ConfigurationStore(self.clock),
            NoLoad(),
        )
        view = self.views[instance.domain]
        if self.layout == "flat":
            peers = FlatPeers(view, own, self.random)
        else:
            peers = LayeredPeers(view, instance, self.random)
        probes = TokenBucket(
            self.clock, PROBE_BYTES_PER_SECOND, PROBE_BURST_BYTES
        )
        report_evaluator = ReportEvaluator(
            self.clock, suspicion_table, heartbeat, link, probes
        )
        bucket = TokenBucket(
            self.clock, SUSPICION_BYTES_PER_SECOND, SUSPICION_BURST_BYTES
        )
        gossip = Gossip(
            own,
            suspicion_table,
            report_evaluator,
            peers,
            link,
            bucket,
            registry,
        )
        link.register(MessageKind.SUSPICION, gossip)
        socket.start(link)
        self.sockets.append(socket)
        self.suspicion_tables.append(suspicion_table)
        detector = PauseDetector(self.clock)
        self.tasks.append(create_task(gossip.run(detector, self.random)))

    async def report(self, suspect: int, reporter: int) -> None:
        """Report one dead agent as one of its mates does."""
        domain = f"d-{(suspect + reporter) % min(DOMAINS, len(self.views))}"
        number = suspect >> 16 & 0xFF
        own = Address(f"10.{100 + reporter}.0.{number}", DATA_PORT)
        record = SuspicionRecord(
            suspect, INCARNATION, 0, REPORT_LEASE_SECONDS, True
        )
        message = SuspicionMessage(pack_address(own), True, [record])
        data = bytes((MessageKind.SUSPICION,)) + encode_suspicions(message)
        count = 0
        await sleep(self.random.random() * HEARTBEAT_SECONDS)
        while True:
            view = self.views[domain]
            for balancer in view.choose(suspect, REPORT_BALANCERS):
                self.network.carry(data, own, balancer.data)
            count += 1
            is_early = count < EARLY_REPORTS
            await sleep(HEARTBEAT_SECONDS if is_early else REPORT_SECONDS)

    def share_informed(self) -> float:
        """Return the share of balancers that suspect every dead agent."""
        informed = sum(
            all(
                suspicion_table.is_agent_suspected(agent)
                for agent in self.dead
            )
            for suspicion_table in self.suspicion_tables
        )
        return informed / len(self.suspicion_tables)

    async def run(self) -> dict[str, float]:
        """Return the times and the bytes of one run."""
        for instance in self.balancers:
            self.start_balancer(instance)
        await sleep(HEARTBEAT_SECONDS)
        for suspect in self.dead:
            for reporter in range(REPORTERS):
                self.tasks.append(create_task(self.report(suspect, reporter)))
        times = await self.watch()
        for task in self.tasks:
            task.cancel()
        await gather(*self.tasks, return_exceptions=True)
        return times

    async def watch(self) -> dict[str, float]:
        """Follow the spread for the time of the run."""
        reached: dict[str, float | None] = dict.fromkeys(
            ("half", "99 %", "all")
        )
        bounds = {"half": 0.5, "99 %": 0.99, "all": 1.0}
        busiest = 0
        bytes_at_all = None
        sent_before = [0] * len(self.sockets)
        polls_per_second = round(1 / POLL_SECONDS)
        lost = 0
        for poll in range(1, RUN_SECONDS * polls_per_second + 1):
            await sleep(POLL_SECONDS)
            share = self.share_informed()
            for name, bound in bounds.items():
                if reached[name] is None and share >= bound:
                    reached[name] = round(poll * POLL_SECONDS, 1)
            if bytes_at_all is None and share == 1:
                bytes_at_all = self.mean_bytes()
            lost += reached["all"] is not None and share < 1
            if poll % polls_per_second == 0:
                sent = [socket.sent_bytes for socket in self.sockets]
                pairs = zip(sent, sent_before, strict=True)
                busiest = max(busiest, *(now - old for now, old in pairs))
                sent_before = sent
        return {
            "seconds_until": reached,
            "seconds_with_a_gap_after_all": round(lost * POLL_SECONDS, 1),
            "mean_bytes_until_all": bytes_at_all,
            "mean_bytes_a_second": round(self.mean_bytes() / RUN_SECONDS, 1),
            "max_bytes_in_a_second": busiest,
            "far_share": round(
                self.network.far / (self.network.far + self.network.near), 2
            ),
        }

    def mean_bytes(self) -> int:
        """Return the bytes that a balancer has sent on average."""
        total = sum(socket.sent_bytes for socket in self.sockets)
        return round(total / len(self.sockets))


def measure(layout: str, count: int, dead: int, seed: int) -> dict:
    """Return one row of the table."""

    async def run():
        return await Fleet(layout, count, dead, seed).run()

    with Runner(loop_factory=VirtualLoop) as runner:
        result = runner.run(run())
    row = {"layout": layout, "balancers": count, "dead": dead, "seed": seed}
    return row | result


def main() -> None:
    """Print every row as one JSON value."""
    NullHandler().push_application()
    seeds = [int(text) for text in sys.argv[1:]] or SEEDS
    rows = [
        measure(layout, count, dead, seed)
        for layout in ("flat", "two-layered")
        for dead in (1, RACK_AGENTS)
        for count in SIZES
        for seed in seeds
    ]
    print(dumps(rows, indent=1))


if __name__ == "__main__":
    main()
