"""Measures what the chains that a balancer keeps cost.

``python -m measure.chain_cache`` prints the figures as JSON.
"""

from json import dumps
from time import process_time
import tracemalloc

from chicorycart.address import Address
from chicorycart.balancer.chains import ChainCache
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import Entry
from chicorycart.configuration.model import Service
from chicorycart.configuration.model import ServiceKind
from chicorycart.configuration.model import Target
from chicorycart.configuration.model import TargetState
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.defaults import CHAIN_CACHE_ENTRIES
from chicorycart.placement.chain import NoSuspicions
from measure.fleet import ManualClock

SERVICES = 8_200
TARGETS = 7


def make_service(number: int, state: TargetState) -> Service:
    """Return the service of that number; its first target has the state."""
    targets = tuple(
        Target(
            f"t-{target}",
            Address(f"10.{number // 250}.{number % 250}.{target}", 7001),
            "a",
            1.0,
            2,
            state if target == 1 else TargetState.ACTIVE,
        )
        for target in range(1, TARGETS + 1)
    )
    entry = Entry(Address(f"198.18.{number // 250}.{number % 250}", 80), 6)
    return Service(f"s-{number}", entry, ServiceKind.PACKET, targets)


class ChainBench:
    """A balancer's chains, spread over all services."""

    __slots__ = ("store", "cache", "services")

    def __init__(self):
        self.store = ConfigurationStore(ManualClock())
        self.services = {
            service.name: service
            for service in (
                make_service(number, TargetState.ACTIVE)
                for number in range(SERVICES)
            )
        }
        self.put(self.services)
        self.cache = ChainCache(self.store, NoSuspicions())

    def put(self, services: dict[str, Service]) -> None:
        """Put the services in force as the next version."""
        version = self.store.current.version + 1
        self.store.put_in_force(Configuration(version, services))

    def use_all(self) -> float:
        """Use every chain once; return the processor time in seconds."""
        services = list(self.store.current.services.values())
        start = process_time()
        for number in range(CHAIN_CACHE_ENTRIES):
            service = services[number % SERVICES]
            self.cache.find(service, number // SERVICES)
        return process_time() - start

    def measure(self) -> dict[str, float]:
        """Return microseconds and bytes a chain."""
        building = self.use_all()
        using = self.use_all()
        changed = make_service(0, TargetState.DRAINING)
        self.put(self.services | {changed.name: changed})
        after_version = self.use_all()
        self.cache.clear()
        after_suspicion = self.use_all()
        return {
            name: round(seconds / CHAIN_CACHE_ENTRIES * 1e6, 2)
            for name, seconds in {
                "first_use_us": building,
                "next_use_us": using,
                "use_after_a_version_us": after_version,
                "use_after_a_suspicion_us": after_suspicion,
            }.items()
        }

    def measure_bytes(self) -> int:
        """Return the bytes that each chain takes."""
        tracemalloc.start()
        self.use_all()
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return round(used / len(self.cache))


def measure_chains() -> dict[str, float]:
    """Return all figures."""
    figures: dict[str, float] = ChainBench().measure()
    figures["chains"] = CHAIN_CACHE_ENTRIES
    figures["bytes_per_chain"] = ChainBench().measure_bytes()
    return figures


if __name__ == "__main__":
    print(dumps(measure_chains(), indent=2))
