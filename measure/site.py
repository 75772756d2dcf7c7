"""Flows that arrive at the targets of one service under one policy."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from xxhash import xxh64_intdigest

from measure.queues import Events
from measure.queues import Feeds
from measure.queues import Queue

SLOTS = 4
FEED_SLOTS = 1_000_000
FEED_SECONDS = 60.0
LEASE_SECONDS = 3.5
RETRY_SECONDS = 1.0
SAMPLE_SECONDS = 0.1
WARM_UP_SECONDS = 120.0
SECONDS = 600.0
CHANGE_SECONDS = 300.0


class Scenario:
    """What happens in a run.

    Attributes
    ----------
    name : str
        Name in the results.
    capacities : list of float
        What each target works off in a second.
    weights : list of float
        What is published of it.
    load : float
        Work that arrives over the strength of all targets.
    feeds : bool
        Whether flows stay open, whatever their target.
    vanishing : list of int
        Targets that vanish in the middle of the run.
    joining : list of int
        Targets that start in the middle of the run.
    """

    __slots__ = (
        "name",
        "capacities",
        "weights",
        "load",
        "feeds",
        "vanishing",
        "joining",
    )

    def __init__(
        self,
        name: str,
        capacities: list[float],
        weights: list[float],
        load: float,
        feeds: bool = False,
        vanishing: tuple[int, ...] = (),
        joining: tuple[int, ...] = (),
    ):
        self.name = name
        self.capacities = capacities
        self.weights = weights
        self.load = load
        self.feeds = feeds
        self.vanishing = vanishing
        self.joining = joining

    def make_queue(self, events: Events, capacity: float) -> Queue:
        """Return a target."""
        if self.feeds:
            return Feeds(events, capacity, FEED_SLOTS)
        return Queue(events, capacity, SLOTS)

    def make_work(self, random: Random) -> float:
        """Return the work of a flow."""
        mean = FEED_SECONDS if self.feeds else 1.0
        return random.expovariate(1 / mean)


class Site:
    """The targets of one service in one run.

    Attributes
    ----------
    scenario : Scenario
        What happens.
    events : Events
        Runs the site.
    random : Random
        Source of randomness of the policy.
    queues : list of Queue
        The targets.
    hidden : set of int
        Targets that no policy uses: suspected, or not started yet.
    """

    __slots__ = ("scenario", "events", "random", "queues", "hidden")

    def __init__(self, scenario: Scenario, seed: int):
        self.scenario = scenario
        self.events = Events()
        self.random = Random(seed)
        self.queues = [
            scenario.make_queue(self.events, capacity)
            for capacity in scenario.capacities
        ]
        self.hidden = set(scenario.joining)
        for number in scenario.joining:
            self.queues[number].vanish()

    def usable(self, numbers: list[int]) -> list[int]:
        """Return the targets that policies may use, in their order."""
        return [number for number in numbers if number not in self.hidden]


class Policy(Protocol):
    """Decides where flows go."""

    def place(self, flow_hash: int) -> int:
        """Return the number of the target for a flow."""

    def start_target(self, number: int) -> None:
        """Take note of a target that starts now."""


class Sample:
    """The relative loads of the targets at one moment.

    Attributes
    ----------
    time : float
        Virtual time in seconds.
    loads : dict of int to float
        Flows over true strength by number, of targets that are there.
    """

    __slots__ = ("time", "loads")

    def __init__(self, time: float, loads: dict[int, float]):
        self.time = time
        self.loads = loads


class Run:
    """One run of a scenario.

    Parameters
    ----------
    scenario : Scenario
        What happens.
    make_policy : callable
        Makes the policy for a site.
    seed : int
        Seed of arrivals, work and policy.
    """

    __slots__ = ("site", "arrivals", "rate", "policy", "flow", "samples")

    def __init__(
        self,
        scenario: Scenario,
        make_policy: Callable[[Site], Policy],
        seed: int,
    ):
        self.site = Site(scenario, seed)
        self.arrivals = Random(seed)
        self.rate = scenario.load * sum(scenario.capacities)
        self.policy = make_policy(self.site)
        self.flow = 0
        self.samples: list[Sample] = []
        events = self.site.events
        events.after(0, self.arrive)
        events.after(WARM_UP_SECONDS, self.sample)
        events.after(CHANGE_SECONDS, self.change)

    def arrive(self) -> None:
        """Place one flow and wait for the next."""
        self.flow += 1
        flow_hash = xxh64_intdigest(self.flow.to_bytes(8, "big"))
        self.place(flow_hash, self.site.scenario.make_work(self.arrivals))
        wait = self.arrivals.expovariate(self.rate)
        self.site.events.after(wait, self.arrive)

    def place(self, flow_hash: int, work: float) -> None:
        """Place a flow; the caller tries again if the target is gone."""
        queue = self.site.queues[self.policy.place(flow_hash)]
        if queue.alive:
            queue.add(work)
            return
        self.site.events.after(
            RETRY_SECONDS, lambda: self.place(flow_hash, work)
        )

    def sample(self) -> None:
        """Note the relative load of each target that is there."""
        loads = {
            number: queue.relative
            for number, queue in enumerate(self.site.queues)
            if queue.alive
        }
        self.samples.append(Sample(self.site.events.now(), loads))
        self.site.events.after(SAMPLE_SECONDS, self.sample)

    def change(self) -> None:
        """Let targets vanish, which shows later, and others start."""
        scenario = self.site.scenario
        for number in scenario.vanishing:
            self.site.queues[number].vanish()
        self.site.events.after(
            LEASE_SECONDS,
            lambda: self.site.hidden.update(scenario.vanishing),
        )
        for number in scenario.joining:
            self.site.queues[number].appear()
            self.site.hidden.discard(number)
            self.policy.start_target(number)

    def measure(self) -> list[Sample]:
        """Run to the end and return the samples."""
        self.site.events.run(SECONDS)
        return self.samples
