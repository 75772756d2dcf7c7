"""Measures packets a second of one core through steering.

``python -m measure.steering`` prints processor time a packet, logs included,
and the bytes that a flow takes, as JSON.
"""

from asyncio import run
from json import dumps
from time import process_time
import tracemalloc

from logbook import NullHandler

from chicorycart.address import Address
from chicorycart.clock import LoopClock
from chicorycart.operation.events import EventLog
from chicorycart.operation.metrics import Metrics
from chicorycart.platform.segments import ACK
from chicorycart.platform.segments import HEADER
from chicorycart.platform.segments import PlatformCodec
from chicorycart.platform.segments import SYN
from chicorycart.steering.choice import TargetChoice
from chicorycart.steering.cold import ColdTargets
from chicorycart.steering.directory import Directory
from chicorycart.steering.flows import FlowCache
from chicorycart.steering.follow import StoreFollower
from chicorycart.steering.health import HealthTable
from chicorycart.steering.history import HistoryCheck
from chicorycart.steering.hosted import HostedFlows
from chicorycart.steering.output import SteererOutput
from chicorycart.steering.parked import ParkedPackets
from chicorycart.steering.placing import FlowPlacer
from chicorycart.steering.published import ListedState
from chicorycart.steering.published import Listing
from chicorycart.steering.published import ListingChange
from chicorycart.steering.relay import Relay
from chicorycart.steering.routes import Route
from chicorycart.steering.routes import RoutesInForce
from chicorycart.steering.routes import RouteTable
from chicorycart.steering.searching import OwnerSearch
from chicorycart.steering.settings import Bounds
from chicorycart.steering.steerer import Steerer

FLOWS = 5_000
DATA_PACKETS = 4
TARGETS = 7
SERVICE = "dispatch"
HOST_PORT = 8165
LINK_PORT = 7720
FABRIC_PORT = 8172
ENTRY = bytes((198, 18, 0, 1))
ENTRY_PORT = 443
BALANCER = Address("10.1.0.1", LINK_PORT)
MICROSECONDS = 1e6


class LastSent:
    """Keeps the last thing that was sent."""

    def __init__(self):
        self.body = b""
        self.destination = None

    def send(self, *sent):
        """Keep one datagram or message."""
        *_, self.body, self.destination = sent
        return True


class SteeringBench:
    """One balancer, and an agent that plays the part of all."""

    def __init__(self):
        clock = LoopClock()
        events = EventLog("measure", clock)
        codec = PlatformCodec(FABRIC_PORT)
        directory = Directory(clock, LINK_PORT, 60.0)
        directory.add_services({SERVICE})
        for number in range(1, TARGETS + 1):
            directory.apply(make_change(number))
        follower = StoreFollower(None, directory, RoutesInForce(), None, clock)
        entry = ENTRY + ENTRY_PORT.to_bytes(2, "big")
        history = HistoryCheck(None, directory, follower)
        routes = RouteTable(1, [Route(entry, ((SERVICE, 1.0),))])
        follower.routes.activate(routes)
        health = HealthTable(clock, events)
        bounds = Bounds(3.0, 3.0, 6.0, 60.0)
        cold = ColdTargets(clock, directory, follower.routes, bounds, events)
        choice = TargetChoice(directory, health, "riga-a", cold)
        parked = ParkedPackets(clock)
        self.to_agent = LastSent()
        metrics = Metrics()
        output = SteererOutput(
            codec,
            follower,
            FlowCache(clock),
            self.to_agent,
            LastSent(),
            events,
            metrics,
        )
        self.steerer = Steerer(
            codec,
            FlowPlacer(choice, health, parked, output, metrics),
            OwnerSearch(choice, health, parked, output, history),
            health,
            parked,
            output,
        )
        self.to_balancer = LastSent()
        self.relay = Relay(
            SERVICE,
            Address("10.2.0.1", HOST_PORT),
            codec,
            HostedFlows(clock, 60.0),
            self.to_balancer,
            LastSent(),
            events,
            Metrics(),
        )

    def play(self) -> dict[str, float]:
        """Open flows and send data on each; return microseconds a step."""
        opening = data = agent = 0.0
        for number in range(FLOWS):
            caller = (0x64400000 + number // 60_000).to_bytes(4, "big")
            port = 1_000 + number % 60_000
            began = process_time()
            self.steerer.handle_datagram(
                make_inbound(caller, port, SYN), BALANCER
            )
            sent = process_time()
            self.relay.receive(self.to_agent.body, BALANCER)
            self.relay.handle_datagram(
                make_outbound(caller, port, SYN | ACK), BALANCER
            )
            accepted = process_time()
            self.steerer.handle_report(
                self.to_balancer.body, self.to_agent.destination
            )
            opening += sent - began + process_time() - accepted
            agent += accepted - sent
            for _ in range(DATA_PACKETS):
                began = process_time()
                self.steerer.handle_datagram(
                    make_inbound(caller, port, ACK), BALANCER
                )
                sent = process_time()
                self.relay.receive(self.to_agent.body, BALANCER)
                answer = make_outbound(caller, port, ACK, b"x" * 100)
                self.relay.handle_datagram(answer, BALANCER)
                data += sent - began
                agent += process_time() - sent
        packets = FLOWS * DATA_PACKETS
        return {
            "balancer, opening, us": opening / FLOWS * MICROSECONDS,
            "balancer, data packet, us": data / packets * MICROSECONDS,
            "agent, a flow of 5 packets each way, us": (
                agent / FLOWS * MICROSECONDS
            ),
        }


def make_change(number: int) -> ListingChange:
    """Return the entry of one host."""
    listing = Listing(
        f"h-{number}",
        SERVICE,
        Address(f"10.2.0.{number}", HOST_PORT),
        "riga-a",
        2,
        ListedState.READY,
        1,
        0.0,
    )
    return ListingChange(listing.name, number, listing)


def make_inbound(caller: bytes, port: int, flags: int) -> bytes:
    """Return a packet of a caller."""
    return HEADER.pack(ENTRY, port, ENTRY_PORT, caller, flags, 0, 1, 0, 0, 0)


def make_outbound(
    caller: bytes, port: int, flags: int, body: bytes = b""
) -> bytes:
    """Return a packet of the host."""
    head = HEADER.pack(
        caller, ENTRY_PORT, port, ENTRY, flags, len(body), 1, 1, 0, 0
    )
    return head + body


def measure_memory() -> dict[str, float]:
    """Return the bytes that a flow takes at each end."""
    tracemalloc.start()
    bench = SteeringBench()
    bench.play()
    figures = {}
    for name, flows in (
        ("balancer, a flow, bytes", bench.steerer.output.flows.flows),
        ("agent, a flow, bytes", bench.relay.flows.flows),
    ):
        before = tracemalloc.get_traced_memory()[0]
        count = len(flows)
        flows.clear()
        after = tracemalloc.get_traced_memory()[0]
        figures[name] = (before - after) / count
    tracemalloc.stop()
    return figures


async def measure() -> dict[str, float]:
    """Return microseconds of processor time, and bytes, by step."""
    figures = {**SteeringBench().play(), **measure_memory()}
    return {step: round(value, 1) for step, value in figures.items()}


if __name__ == "__main__":
    with NullHandler().applicationbound():
        print(dumps(run(measure()), indent=2))
