"""Measures the bytes that one owned flow takes.

Run ``python -m measure.flow_memory``; it prints one JSON object a line.
"""

from gc import collect
from json import dumps
from random import Random
from tracemalloc import get_traced_memory
from tracemalloc import start
from tracemalloc import stop

from chicorycart.defaults import FLOW_SWEEP_FLOWS
from chicorycart.defaults import TICK_SECONDS
from chicorycart.flows.table import FlowTable

FLOW_BYTES = 13
FLOW_COUNTS = (2_000, 3_684, 20_000, 100_000, 131_072)
OPEN_SECONDS = 3_600.0
SEED = 1


class StepClock:
    """A clock that the measurement moves."""

    def __init__(self):
        self.time = 0.0

    def now(self) -> float:
        """Return the time in seconds."""
        return self.time


def fill(table: FlowTable, clock: StepClock, count: int) -> None:
    """Open flows evenly over an hour, sweeping as an agent does."""
    random = Random(SEED)
    swept_at = 0.0
    for number in range(count):
        clock.time = OPEN_SECONDS * number / count
        table.touch(random.randbytes(FLOW_BYTES), False, is_opening=True)
        if clock.time - swept_at >= TICK_SECONDS:
            table.expire(FLOW_SWEEP_FLOWS)
            swept_at = clock.time


def measure(count: int) -> float:
    """Return the bytes a flow of a table with this many."""
    collect()
    start()
    before, _ = get_traced_memory()
    clock = StepClock()
    table = FlowTable(clock)
    fill(table, clock, count)
    after, _ = get_traced_memory()
    stop()
    return (after - before) / len(table)


def main() -> None:
    """Print the bytes a flow for tables of some sizes."""
    for count in FLOW_COUNTS:
        print(dumps({"flows": count, "bytes_a_flow": measure(count)}))


if __name__ == "__main__":
    main()
