"""Measures what control costs real daemons that carry no traffic.

Prints one JSON object a line: ``python -m measure.idle``. Each size is a
service of that many targets behind as many balancers, run as processes on
loopback. Processor time and memory are read from ``/proc``.
"""

from asyncio import run
from asyncio import sleep
from json import dumps
from os import sysconf
from pathlib import Path
from statistics import mean

from tests.standins.layout import Network
from tests.standins.layout import ServicePlan
from tests.standins.testbed import Testbed

SIZES = (3, 6, 12, 24)
SETTLE_SECONDS = 20.0
WATCH_SECONDS = 30.0
USER_FIELD = 13
SYSTEM_FIELD = 14
RESIDENT_FIELD = 1
TICKS_A_SECOND = sysconf("SC_CLK_TCK")
PAGE_BYTES = sysconf("SC_PAGE_SIZE")
MEGABYTE = 1e6


def read_processor_seconds(process: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process}/stat").read_text().rsplit(")", 1)[1]
    words = ["", "", *fields.split()]
    ticks = int(words[USER_FIELD]) + int(words[SYSTEM_FIELD])
    return ticks / TICKS_A_SECOND


def read_resident_bytes(process: int) -> int:
    """Return the resident set of a process."""
    words = Path(f"/proc/{process}/statm").read_text().split()
    return int(words[RESIDENT_FIELD]) * PAGE_BYTES


async def measure_size(size: int) -> dict[str, float]:
    """Return the cost of each role with that many targets and balancers."""
    network = Network()
    plan = ServicePlan(network, 1, "dispatch", "riga", [1.0] * size, 2)
    testbed = Testbed(network, [plan])
    try:
        await testbed.start(size)
        await sleep(SETTLE_SECONDS)
        processes = {n: p.pid for n, p in testbed.processes.items()}
        before = {n: read_processor_seconds(p) for n, p in processes.items()}
        await sleep(WATCH_SECONDS)
        used = {
            n: read_processor_seconds(p) - before[n]
            for n, p in processes.items()
        }
        resident = {n: read_resident_bytes(p) for n, p in processes.items()}
    finally:
        await testbed.close()
    row = {"size": size}
    for role in ("balancer", "dispatch"):
        names = [name for name in processes if name.startswith(role)]
        label = "balancer" if role == "balancer" else "agent"
        share = mean(used[name] for name in names) / WATCH_SECONDS
        row[f"{label}_core_percent"] = round(100 * share, 3)
        row[f"{label}_resident_mb"] = round(
            mean(resident[name] for name in names) / MEGABYTE, 1
        )
    return row


def main() -> None:
    """Print the cost at each size."""
    for size in SIZES:
        print(dumps(run(measure_size(size))), flush=True)


if __name__ == "__main__":
    main()
