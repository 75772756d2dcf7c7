"""Measures packets a second of one core through balancer and agent.

``python -m measure.packet_path`` prints the rates as JSON.
"""

from collections.abc import Callable
from json import dumps
from random import Random
from time import process_time

from logbook import NullHandler

from chicorycart.address import Address
from chicorycart.agent.ownership import FlowOwnership
from chicorycart.defaults import TICK_SECONDS
from measure.fleet import make_forwarder
from measure.fleet import make_ownership
from measure.fleet import make_service
from measure.fleet import make_store
from measure.fleet import ManualClock
from measure.fleet import MemoryHost
from measure.fleet import MemorySender
from measure.traffic import make_data
from measure.traffic import make_opening

FLOWS = 10_000
ROUNDS = 7
SEED = 1
SOURCE = Address("192.0.2.250", 7000)


def best_rate(run: Callable[[], None], count: int) -> int:
    """Return the highest count a second of processor time in all rounds."""
    rates = []
    for _ in range(ROUNDS):
        start = process_time()
        run()
        rates.append(count / (process_time() - start))
    return round(max(rates))


def settle(clock: ManualClock, ownerships: list[FlowOwnership]) -> None:
    """Let the time pass after which agents accept flows without asking."""
    while not all(o.settling.is_established() for o in ownerships):
        clock.time += TICK_SECONDS
        for ownership in ownerships:
            ownership.settling.tick()


class PathBench:
    """One balancer and the agents of one service.

    Parameters
    ----------
    share : float
        Share of the flows whose decisions are logged.
    """

    def __init__(self, share: float):
        random = Random(SEED)
        clock = ManualClock()
        self.service = make_service([1.0] * 7)
        store = make_store(clock, self.service)
        self.sender = MemorySender()
        self.host = MemoryHost()
        self.forwarder = make_forwarder(store, self.sender, share)
        ownerships = {
            target.agent: make_ownership(
                store, clock, target, self.host, self.sender, share
            )
            for target in self.service.targets
        }
        settle(clock, list(ownerships.values()))
        self.agents = {a: o.delivery for a, o in ownerships.items()}
        self.openings = [make_opening(flow) for flow in range(FLOWS)]
        self.packets = [make_data(flow, random) for flow in range(FLOWS)]

    def forward(self, packets: list[bytes]) -> None:
        """Take the packets at the balancer."""
        self.sender.sent.clear()
        for packet in packets:
            self.forwarder.handle_datagram(packet, SOURCE)

    def deliver(self, messages: list) -> None:
        """Take the messages at the agents that they were sent to."""
        self.host.delivered.clear()
        self.sender.sent.clear()
        for message in messages:
            agent = self.agents[message.destination]
            agent.receive(message.body, SOURCE)

    def measure(self) -> dict[str, int]:
        """Return packets a second by step of the path."""
        self.forward(self.packets)
        foreign = list(self.sender.sent)
        passed_on = best_rate(lambda: self.deliver(foreign), FLOWS)
        self.forward(self.openings)
        self.deliver(list(self.sender.sent))
        self.forward(self.packets)
        owned = list(self.sender.sent)
        return {
            "balancer_forwards": best_rate(
                lambda: self.forward(self.packets), FLOWS
            ),
            "agent_delivers": best_rate(lambda: self.deliver(owned), FLOWS),
            "agent_passes_on": passed_on,
        }


def measure_path() -> dict[str, dict[str, int]]:
    """Return the rates without and with decision lines formatted."""
    with NullHandler().applicationbound():
        return {
            "decisions_not_logged": PathBench(0.0).measure(),
            "decisions_logged": PathBench(1.0).measure(),
        }


if __name__ == "__main__":
    print(dumps(measure_path(), indent=2))
