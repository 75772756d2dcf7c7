"""Measures what logs cost two hosts and a balancer at full load.

``python -m measure.log_load`` prints, as JSON, flows a second, the times of
callers, processor time and log bytes a flow: with logs that are read, with
logs that nobody reads, and without logs.
"""

from asyncio import gather
from asyncio import get_running_loop
from asyncio import run
from json import dumps
from os import sysconf
from pathlib import Path
from statistics import quantiles
from typing import Annotated

from typer import Option
from typer import run as run_command

from tests.standins.kv import serve_store
from tests.standins.kv import StandInStore
from tests.standins.processes import PlatformProcesses

SECONDS = 60.0
CALLERS = 20
BALANCERS = {"b1": 4}
HOSTS = {"h1": 2, "h2": 3}
SERVICE = "dispatch"
MILLISECONDS = 1e3
KILOBYTE = 1e3
USER_TIME, SYSTEM_TIME = 13, 14
MODES = ("read", "unread", "none")
WITHOUT_LOGS = """
from logbook import NullHandler
from chicorycart.platform import start
start.start_log = lambda settings: NullHandler().push_application()
start.start()
"""


async def ask_until(
    fleet: PlatformProcesses, until: float, times: list[float]
) -> None:
    """Open a flow, ask once and close it, again and again."""
    loop = get_running_loop()
    while loop.time() < until:
        began = loop.time()
        caller = fleet.make_caller()
        if await caller.open():
            await caller.ask(b"load-%d" % caller.address.port)
            await caller.close()
        del fleet.callers[caller.address]
        times.append(loop.time() - began)


def read_processor_seconds(pid: int) -> float:
    """Return the processor time that a process has taken."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    # The name in parentheses and the field before it are cut off.
    ticks = int(fields[USER_TIME - 2]) + int(fields[SYSTEM_TIME - 2])
    return ticks / sysconf("SC_CLK_TCK")


async def measure(mode: str, seconds: float) -> dict[str, float]:
    """Return the figures of one mode."""
    store = StandInStore()
    server, port = serve_store(store)
    fleet = PlatformProcesses(f"127.0.0.1:{port}")
    if mode == "none":
        fleet.program = ("-c", WITHOUT_LOGS)
    try:
        await fleet.start_all(store, SERVICE, HOSTS, BALANCERS)
        for host in fleet.hosts.values():
            host.work = 0.0
        if mode == "unread":
            for reader in fleet.readers:
                reader.cancel()
        pids = [process.pid for process in fleet.processes.values()]
        spent = -sum(map(read_processor_seconds, pids))
        times: list[float] = []
        until = get_running_loop().time() + seconds
        await gather(*(ask_until(fleet, until, times) for _ in range(CALLERS)))
        spent += sum(map(read_processor_seconds, pids))
        written = sum(map(len, fleet.output.values()))
    finally:
        await fleet.close()
        server.stop()
    percents = quantiles(times, n=100)
    return {
        "flows a second": round(len(times) / seconds, 1),
        "caller, median, ms": round(percents[49] * MILLISECONDS, 1),
        "caller, 99 %, ms": round(percents[98] * MILLISECONDS, 1),
        "caller, longest, ms": round(max(times) * MILLISECONDS, 1),
        "processor ms a flow": round(spent / len(times) * MILLISECONDS, 3),
        "log KB a second, all": round(written / seconds / KILOBYTE, 1),
    }


async def measure_all(seconds: float) -> dict[str, dict[str, float]]:
    """Return the figures of each mode."""
    return {mode: await measure(mode, seconds) for mode in MODES}


def main(
    seconds: Annotated[
        float, Option(help="Seconds of load in each mode.")
    ] = SECONDS,
) -> None:
    """Print the figures as JSON."""
    print(dumps(run(measure_all(seconds)), indent=2))


if __name__ == "__main__":
    run_command(main)
