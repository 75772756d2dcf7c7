"""Compares how steering places flows with a choice that knows everything.

``python -m measure.placing`` prints, as JSON, the share of requests that are
answered in time and the times of callers, by pattern of load, in virtual
time: one request a flow, seven hosts of two slots, four balancers (other
seeds and slots: ``--seed 2 --slots 1``). The
omniscient choice knows each host's work and speed and gives each request, as
it comes, to the slot that will have it done first. It does not model requests
that take longer than others or fail.
"""

from argparse import ArgumentParser
from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import Runner
from asyncio import sleep
from json import dumps
from random import Random
from statistics import quantiles

from tests.standins.steered import SERVICE
from tests.standins.steered import SteeredFleet
from tests.standins.virtual import VirtualLoop

HOSTS = 7
SLOTS = 2
BALANCERS = 4
WORK_SECONDS = 0.03
"""Work of the users' most frequent request."""

AIM_SECONDS = 0.143
"""The aim of that request."""

NETWORK_SECONDS = 0.008
"""Eight hops of 1 ms in the stand-in network: two from the caller to a host
by way of balancer and agent and back, twice."""

LOAD = 0.5
"""Share of what the hosts can do that callers ask for."""

SECONDS = 8.0
BEGIN, END = 2.0, 5.0
TRIES = 3
SLOW_TIMES = 10.0
COLD_TIMES = 3.0
BURST_TIMES = 3.0
BURST_SECONDS = 0.5
MILLISECONDS = 1e3
HALF_SPEED_SHARE = 0.2
FAILED_SHARE = 0.45
LONG_SHARE = 0.03
PATTERNS = (
    "steady",
    "burst",
    "slow host",
    "crashed host",
    "cold hosts",
    "long requests",
    "unequal hosts",
    "burst on unequal hosts",
    "failing host",
)


def draw_arrivals(pattern: str, seed: int, slots: int) -> list[float]:
    """Return when requests come, in seconds."""
    random = Random(seed)
    rate = LOAD * HOSTS * slots / WORK_SECONDS
    times = []
    now = 0.0
    while now < SECONDS:
        is_burst = "burst" in pattern and BEGIN <= now < BEGIN + BURST_SECONDS
        now += random.expovariate(rate * (BURST_TIMES if is_burst else 1.0))
        times.append(now)
    return times


def find_work(pattern: str, host: int, now: float) -> float | None:
    """Return the time that a host needs for a request; None if it is down."""
    is_on = BEGIN <= now < END
    if pattern == "slow host" and host == 0 and is_on:
        return WORK_SECONDS * SLOW_TIMES
    if pattern == "crashed host" and host == 0 and is_on:
        return None
    if pattern == "cold hosts" and is_on:
        return WORK_SECONDS * COLD_TIMES
    if "unequal" in pattern and host < HOSTS * HALF_SPEED_SHARE:
        return WORK_SECONDS * 2
    return WORK_SECONDS


def place_omniscient(
    pattern: str, arrivals: list[float], slots_each: int
) -> list[float]:
    """Return the time of each request if everything is known."""
    slots = [[0.0, host] for host in range(HOSTS) for _ in range(slots_each)]
    times = []
    for arrival in arrivals:
        best = None
        for slot in slots:
            start = max(slot[0], arrival)
            work = find_work(pattern, slot[1], start)
            if work is not None and (best is None or start + work < best[0]):
                best = (start + work, slot)
        done, slot = best
        slot[0] = done
        times.append(done - arrival + NETWORK_SECONDS)
    return times


async def follow(fleet: SteeredFleet, pattern: str, began: float) -> None:
    """Let hosts turn slow, crash or be cold, and be well again."""
    hosts = list(fleet.hosts.values())
    for now in (0.0, BEGIN, END):
        await sleep(now - get_running_loop().time() + began)
        for number, host in enumerate(hosts):
            work = find_work(pattern, number, now)
            host.is_silent = work is None
            host.work = work or host.work
            host.long_share = LONG_SHARE * (pattern == "long requests")
            is_failing = pattern == "failing host" and number == 0
            is_on = BEGIN <= now < END
            host.failed_share = FAILED_SHARE * (is_failing and is_on)


async def place_flows(
    pattern: str, arrivals: list[float], slots: int
) -> tuple[list[float], float]:
    """Return the time of each request and the share that was repeated."""
    fleet = SteeredFleet(0, BALANCERS)
    for number in range(1, HOSTS + 1):
        fleet.add_host(f"h{number}", SERVICE, slots=slots, work=WORK_SECONDS)
    await fleet.settle()
    loop = get_running_loop()
    repeated = []
    following = create_task(follow(fleet, pattern, loop.time()))

    async def ask(arrival: float) -> float:
        await sleep(arrival)
        began = loop.time()
        for number in range(TRIES):
            if number == 1:
                repeated.append(arrival)
            caller = fleet.make_caller()
            answer = None
            if await caller.open():
                answer = await caller.ask(b"%d" % caller.address.port)
                await caller.close()
            del fleet.callers[caller.address]
            if answer is not None:
                return loop.time() - began
        return float("inf")

    times = await gather(*map(ask, arrivals))
    await following
    await fleet.close()
    return list(times), len(repeated) / len(times)


def describe(times: list[float]) -> dict[str, float]:
    """Return the share in time and the times of callers."""
    percents = quantiles(times, n=100)
    in_time = sum(seconds <= AIM_SECONDS for seconds in times) / len(times)
    return {
        "in time": round(in_time, 3),
        "median, ms": round(percents[49] * MILLISECONDS, 1),
        "99 %, ms": round(percents[98] * MILLISECONDS, 1),
    }


def measure(
    seed: int = 1, slots: int = SLOTS
) -> dict[str, dict[str, dict[str, float]]]:
    """Return the figures of both choices by pattern."""
    figures = {}
    for pattern in PATTERNS:
        arrivals = draw_arrivals(pattern, seed, slots)
        with Runner(loop_factory=VirtualLoop) as runner:
            placed, repeated = runner.run(
                place_flows(pattern, arrivals, slots)
            )
        figures[pattern] = {
            "steering": describe(placed) | {"repeated": round(repeated, 4)},
            "omniscient": describe(place_omniscient(pattern, arrivals, slots)),
        }
    return figures


if __name__ == "__main__":
    parser = ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--slots", type=int, default=SLOTS)
    options = parser.parse_args()
    print(dumps(measure(options.seed, options.slots), indent=2))
