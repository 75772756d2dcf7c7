"""Measures what overload does to answers, resends and recovery.

``python -m measure.overload`` prints the figures as JSON. The slots, queues
and budgets are those of the gateway, on virtual time; targets and callers
are tasks that sleep.
"""

from asyncio import create_task
from asyncio import Runner
from asyncio import shield
from asyncio import sleep
from asyncio import Task
from asyncio import timeout
from json import dumps
from random import Random
from statistics import mean
from typing import Any
from typing import Protocol

from chicorycart.clock import LoopClock
from chicorycart.requests.budget import RetryBudget
from chicorycart.requests.errors import RefusedError
from chicorycart.requests.refusals import choose_retry_after
from chicorycart.requests.service_time import ServiceTime
from chicorycart.requests.slots import Slot
from chicorycart.requests.slots import Slots
from tests.standins.virtual import VirtualLoop

CAPACITIES = (20.0, 40.0, 80.0, 20.0, 40.0, 80.0, 60.0)
SLOTS = 4
DEADLINE_SECONDS = 2.0
MAX_PEER_AGENTS = 2
CALLER_TRIES = 3
IMPATIENT_SECONDS = 1.0
OVERLOAD_SECONDS = 20.0
AFTER_SECONDS = 30.0
AFTER_LOAD = 0.8
NORMAL_SHARE = 0.99
NORMAL_SECONDS = 5
SEEDS = (1, 2)


class UnboundedQueue(Slots):
    """The baseline: first come, first served, and nobody is refused.

    A caller gives up at its deadline, but the queue does not learn of it.
    """

    __slots__ = ()

    async def acquire(self, deadline: float) -> Slot:
        """Wait for a slot however long it takes."""
        return await super().acquire(float("inf"))

    def refuse_unservable(self) -> None:
        """Keep everything."""


class NoBudget(RetryBudget):
    """The baseline without a bound on resends."""

    __slots__ = ()

    def try_acquire(self) -> bool:
        """Allow every resend."""
        return True


class Policy(Protocol):
    """Builds the parts that are compared."""

    name: str

    def build_slots(self, clock: LoopClock, rate: float) -> Slots:
        """Return the slots and queue of one target."""

    def build_budget(self) -> RetryBudget:
        """Return the budget of one gateway."""


class GatewayPolicy:
    """What the gateway does."""

    name = "gateway"

    def build_slots(self, clock: LoopClock, rate: float) -> Slots:
        """Return the gateway's slots; the start assumes equal targets."""
        return Slots(clock, ServiceTime(SLOTS / mean(CAPACITIES)), SLOTS)

    def build_budget(self) -> RetryBudget:
        """Return the gateway's budget."""
        return RetryBudget()


class NoBudgetPolicy(GatewayPolicy):
    """What the gateway would do without a budget."""

    name = "no budget"

    def build_budget(self) -> RetryBudget:
        """Return a budget without a bound."""
        return NoBudget()


class FifoPolicy(GatewayPolicy):
    """Queues without bounds, in the order of arrival."""

    name = "fifo"

    def build_slots(self, clock: LoopClock, rate: float) -> Slots:
        """Return the baseline's queue."""
        service_time = ServiceTime(SLOTS / mean(CAPACITIES))
        return UnboundedQueue(clock, service_time, SLOTS)


class Node:
    """One target and the parts of its gateway."""

    __slots__ = ("capacity", "slots", "budget", "is_gone")

    def __init__(self, policy: Policy, clock: LoopClock, capacity: float):
        self.capacity = capacity
        self.slots = policy.build_slots(clock, capacity)
        self.budget = policy.build_budget()
        self.is_gone = False


class Outcome:
    """What one caller's request came to."""

    __slots__ = ("arrival", "seconds", "tries")

    def __init__(self, arrival: float):
        self.arrival = arrival
        self.seconds: float | None = None
        self.tries = 0

    @property
    def is_answered(self) -> bool:
        """Whether an answer came in time."""
        return self.seconds is not None


class Site:
    """Callers, gateways and targets of one run."""

    def __init__(self, policy: Policy, seed: int):
        self.clock = LoopClock()
        self.random = Random(seed)
        self.nodes = [Node(policy, self.clock, s) for s in CAPACITIES]
        self.outcomes: list[Outcome] = []
        self.tasks: set[Task] = set()
        self.answered: list[float] = []
        self.requests = 0
        self.resends = 0

    async def offer(self, load: float, seconds: float) -> None:
        """Let new callers come at a share of the full capacity."""
        rate = load * sum(CAPACITIES)
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            await sleep(self.random.expovariate(rate))
            self.start(self.call())

    def start(self, work: Any) -> None:
        """Run a task beside the others."""
        task = create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def call(self) -> None:
        """Send a request, and again a few times if it is not answered."""
        outcome = Outcome(self.clock.now())
        self.outcomes.append(outcome)
        for _ in range(CALLER_TRIES):
            outcome.tries += 1
            started = self.clock.now()
            wait = await self.send(started + DEADLINE_SECONDS)
            if wait is None:
                outcome.seconds = self.clock.now() - started
                self.answered.append(self.clock.now())
                return
            await sleep(wait)

    async def send(self, deadline: float) -> float | None:
        """Send a request once; return when to come back if it failed."""
        node = self.choose()
        self.requests += 1
        node.budget.refill()
        try:
            async with timeout(deadline - self.clock.now()):
                if await self.run(node, deadline):
                    return None
                return float(
                    choose_retry_after(node.slots.backlog_seconds, self.random)
                )
        except TimeoutError:
            return IMPATIENT_SECONDS

    async def run(self, node: Node, deadline: float) -> bool:
        """Run a request at a gateway, or at that of a mate."""
        try:
            slot = await node.slots.acquire(deadline)
        except RefusedError:
            return await self.run_elsewhere(node, deadline)
        await self.work(node, slot)
        return True

    async def run_elsewhere(self, node: Node, deadline: float) -> bool:
        """Try mates within the budget; each takes it only if it has room."""
        peer_agents = [
            n for n in self.nodes if n is not node and not n.is_gone
        ]
        for peer_agent in self.random.sample(
            peer_agents, min(MAX_PEER_AGENTS, len(peer_agents))
        ):
            if not node.budget.try_acquire():
                return False
            self.resends += 1
            if peer_agent.slots.has_free_slot:
                slot = await peer_agent.slots.acquire(deadline)
                await self.work(peer_agent, slot)
                return True
        return False

    async def work(self, node: Node, slot: Slot) -> None:
        """Hold a slot for the time that the work takes."""
        seconds = self.random.expovariate(node.capacity / SLOTS)
        try:
            await sleep(seconds)
        finally:
            slot.release()

    def choose(self) -> Node:
        """Choose a gateway as placement does, by strength."""
        there = [node for node in self.nodes if not node.is_gone]
        weights = [node.capacity for node in there]
        return self.random.choices(there, weights)[0]


class FifoSite(Site):
    """Runs work to its end although its caller has given up."""

    async def run(self, node: Node, deadline: float) -> bool:
        """Queue a request; its place is kept when its caller leaves."""
        done = create_task(self.finish(node, deadline))
        self.tasks.add(done)
        done.add_done_callback(self.tasks.discard)
        await shield(done)
        return True

    async def finish(self, node: Node, deadline: float) -> None:
        """Wait for a slot and do the work."""
        slot = await node.slots.acquire(deadline)
        await self.work(node, slot)


class Scenario:
    """How much comes, and what happens meanwhile.

    Attributes
    ----------
    load : float
        Share of the full capacity that comes during the overload.
    gone : tuple of int
        Targets that vanish at its beginning.
    """

    __slots__ = ("name", "load", "gone")

    def __init__(self, name: str, load: float, gone: tuple[int, ...] = ()):
        self.name = name
        self.load = load
        self.gone = gone


SCENARIOS = (
    Scenario("80 %", 0.8),
    Scenario("100 %", 1.0),
    Scenario("150 %", 1.5),
    Scenario("200 %", 2.0),
    Scenario("80 %, half of the targets vanish", 0.8, (1, 2, 6)),
)
POLICIES = (GatewayPolicy(), NoBudgetPolicy(), FifoPolicy())


async def run_once(policy: Policy, scenario: Scenario, seed: int) -> Site:
    """Run one overload and the time after it."""
    kind = FifoSite if isinstance(policy, FifoPolicy) else Site
    site = kind(policy, seed)
    for number in scenario.gone:
        site.nodes[number].is_gone = True
    await site.offer(scenario.load, OVERLOAD_SECONDS)
    for number in scenario.gone:
        site.nodes[number].is_gone = False
    await site.offer(AFTER_LOAD, AFTER_SECONDS)
    await sleep(DEADLINE_SECONDS)
    return site


def describe(site: Site, scenario: Scenario) -> dict[str, float]:
    """Return the figures of one run."""
    gone = sum(CAPACITIES[number] for number in scenario.gone)
    capacity = sum(CAPACITIES) - gone
    during = [o for o in site.outcomes if o.arrival < OVERLOAD_SECONDS]
    served = sorted(o.seconds for o in during if o.is_answered)
    in_time = sum(1 for at in site.answered if at < OVERLOAD_SECONDS)
    possible = min(capacity, scenario.load * sum(CAPACITIES))
    return {
        "goodput_share": in_time / (possible * OVERLOAD_SECONDS),
        "resends_share": site.resends / site.requests,
        "never_answered_share": 1 - len(served) / len(during),
        "p99_seconds": served[int(len(served) * 0.99)],
        "recovery_seconds": find_recovery(site, CALLER_TRIES),
        "first_try_recovery_seconds": find_recovery(site, 1),
    }


def find_recovery(site: Site, most_tries: int) -> float:
    """Return the time after the overload until service is normal.

    Normal: nearly all callers that come in each of several seconds on end
    are answered within a number of tries.
    """
    good_seconds = 0
    for second in range(int(AFTER_SECONDS)):
        start = OVERLOAD_SECONDS + second
        came = [o for o in site.outcomes if start <= o.arrival < start + 1]
        good = [o for o in came if o.is_answered and o.tries <= most_tries]
        is_good = len(good) >= NORMAL_SHARE * len(came)
        good_seconds = good_seconds + 1 if is_good else 0
        if good_seconds == NORMAL_SECONDS:
            return float(second + 1 - NORMAL_SECONDS)
    return AFTER_SECONDS


def measure(policy: Policy, scenario: Scenario) -> dict[str, float]:
    """Return the worst figure of several seeds."""
    runs = []
    for seed in SEEDS:
        with Runner(loop_factory=VirtualLoop) as runner:
            site = runner.run(run_once(policy, scenario, seed))
            runs.append(describe(site, scenario))
    return {
        key: round(
            (min if key == "goodput_share" else max)(r[key] for r in runs), 3
        )
        for key in runs[0]
    }


def main() -> None:
    """Print the figures of every policy in every scenario."""
    figures = {
        scenario.name: {
            policy.name: measure(policy, scenario) for policy in POLICIES
        }
        for scenario in SCENARIOS
    }
    print(dumps({"seeds": SEEDS, "worst_of_seeds": figures}, indent=2))


if __name__ == "__main__":
    main()
