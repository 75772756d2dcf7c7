"""Measures what the configuration costs one process.

Prints one JSON object a line: ``python -m measure.configuration_cost``.
Memory is the resident set of a fresh process, which imports the daemon of
a balancer and then takes a whole version as from a peer.
"""

from gc import collect
from json import dumps
from pathlib import Path
from random import Random
from subprocess import run
import sys
from time import process_time

from prometheus_client import CollectorRegistry

from chicorycart.balancer.daemon import Balancer
from chicorycart.configuration.delta import DeltaHistory
from chicorycart.configuration.messages import decode_delta
from chicorycart.configuration.messages import Delta
from chicorycart.configuration.messages import Digest
from chicorycart.configuration.messages import encode_delta
from chicorycart.configuration.messages import encode_digest
from chicorycart.configuration.metrics import ConfigurationMetrics
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.parse import parse_service
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.configuration.version_manager import VersionManager
from chicorycart.membership.sources import KnownSources
from tests.configuration.builders import publish
from tests.standins.platform import encode

SIZES = (0, 2_050, 4_100, 8_200)
TARGETS = 38_000 / 8_200
CHANGES = 50
DIGESTS = 5_000
PAGE_BYTES = 4_096


class FixedClock:
    """A clock that stands still."""

    def now(self):
        """Return 0."""
        return 0.0


def resident_bytes():
    """Return the resident set of this process."""
    pages = Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES


def publish_bodies(count):
    """Return the published values of that many services."""
    targets = Random(1)
    return {
        f"s-{n}": encode(publish(n, 4 + (targets.random() < TARGETS % 1)))
        for n in range(count)
    }


class Holder:
    """The parts that hold and pass on the configuration of a balancer."""

    def __init__(self):
        self.store = ConfigurationStore(FixedClock())
        metrics = ConfigurationMetrics(CollectorRegistry())
        self.version_manager = VersionManager(self.store, metrics)
        self.history = DeltaHistory()
        self.store.subscribe(KnownSources(FixedClock()))
        self.store.subscribe(self.history)


def seconds_of(function, *arguments):
    """Return the processor time of a call and its result."""
    began = process_time()
    result = function(*arguments)
    return process_time() - began, result


def pack_version(count):
    """Return what a peer sends to a process that starts."""
    services = {
        name: parse_service(name, body)
        for name, body in publish_bodies(count).items()
    }
    sender = DeltaHistory()
    sender.change_configuration(Configuration(1, services))
    return encode_delta(sender.make_delta(0))


def measure_size(count):
    """Print memory and times with that many services."""
    packed = sys.stdin.buffer.read()
    row = {
        "services": count,
        "whole_bytes": len(packed),
        "imports_mb": resident_bytes() / 1e6,
        "daemon": Balancer.__name__,
    }
    if count:
        holder = Holder()
        before = resident_bytes()
        row["decode_s"], whole = seconds_of(decode_delta, packed)
        row["apply_whole_s"], _ = seconds_of(
            holder.version_manager.activate_delta, whole
        )
        del whole
        collect()
        row["held_mb"] = (resident_bytes() - before) / 1e6
        row["entries_s"], _ = seconds_of(
            lambda: (
                holder.store.current.by_entry,
                holder.store.current.by_identifier,
            )
        )
        row["encode_whole_s"], _ = seconds_of(
            lambda: encode_delta(holder.history.make_delta(0))
        )
        row.update(measure_changes(holder, count))
        row["digest_us"] = measure_digests(holder)
    row["resident_mb"] = resident_bytes() / 1e6
    print(dumps(row), flush=True)


def measure_changes(holder, count):
    """Return the mean time of taking and of passing on one change."""
    take = make = 0.0
    size = 0
    random = Random(2)
    for _ in range(CHANGES):
        number = random.randrange(count)
        delta = next_delta(holder, number, random)
        body = encode_delta(delta)
        size += len(body)
        spent, _ = seconds_of(
            lambda body=body: holder.version_manager.activate_delta(
                decode_delta(body)
            )
        )
        take += spent
        assert holder.version_manager.version == delta.version
        spent, _ = seconds_of(
            lambda base=delta.base: encode_delta(
                holder.history.make_delta(base)
            )
        )
        make += spent
    return {
        "take_change_ms": 1000 * take / CHANGES,
        "make_change_ms": 1000 * make / CHANGES,
        "change_bytes": size // CHANGES,
    }


def next_delta(holder, number, random):
    """Return a delta that changes one service."""
    name = f"s-{number}"
    current = holder.store.current
    service = parse_service(
        name, encode(publish(number, 4, 1 + random.random()))
    )
    changed = Configuration(
        current.version + 1, {**current.services, name: service}
    )
    return Delta(
        current.version,
        changed.version,
        changed.fingerprint,
        {name: service.body},
        [],
    )


def measure_digests(holder):
    """Return the processor time of making one digest, in microseconds."""
    current = holder.store.current

    def make_all():
        for _ in range(DIGESTS):
            encode_digest(Digest(current.version, current.fingerprint, False))

    spent, _ = seconds_of(make_all)
    return 1e6 * spent / DIGESTS


def main(arguments):
    """Measure one size here, or each size in a process of its own."""
    if arguments:
        measure_size(int(arguments[0]))
        return
    for size in SIZES:
        command = [sys.executable, "-m", "measure.configuration_cost"]
        packed = pack_version(size)
        run([*command, str(size)], input=packed, check=True)


if __name__ == "__main__":
    main(sys.argv[1:])
