"""Measures how evenly policies spread flows over unequal targets.

``python -m measure.imbalance`` prints the figures as JSON.
"""

from collections.abc import Callable
from random import Random

from xxhash import xxh64_intdigest

from chicorycart.address import pack_address
from chicorycart.defaults import BUCKETS_PER_SERVICE
from chicorycart.placement.choice import LoadChoice
from chicorycart.placement.load import Load
from chicorycart.placement.rendezvous import rank_targets
from chicorycart.placement.strength import StrengthMeter
from measure.fleet import make_service
from measure.queues import Events
from measure.queues import Queue

STRENGTHS = [20.0, 5.0, 20.0, 5.0, 20.0, 5.0, 5.0]
PUBLISHED_WEIGHTS = [1.0] * len(STRENGTHS)
SLOTS = 4
HEARTBEAT_SECONDS = 1.0
HEARTBEAT_LOSS = 0.01
LEASE_SECONDS = 3.5
ENDPOINT_LAG_SECONDS = 5.0
LYING_TARGET = 1
LIE = 0.2
RETRY_SECONDS = 1.0
SAMPLE_SECONDS = 0.1
WARM_UP_SECONDS = 120.0
SECONDS = 720.0
SEEDS = (1, 2, 3)


class Site:
    """The targets of one service in one run.

    Attributes
    ----------
    events : Events
        Runs the site.
    random : Random
        Source of randomness of the policy and the site.
    queues : list of Queue
        The targets.
    dead : set of int
        Numbers of vanished targets that are already suspected.
    """

    __slots__ = ("events", "random", "queues", "dead")

    def __init__(self, seed: int):
        self.events = Events()
        self.random = Random(seed)
        self.queues = [Queue(self.events, s, SLOTS) for s in STRENGTHS]
        self.dead: set[int] = set()

    def usable(self, ranked: list[int]) -> list[int]:
        """Return the targets that are not suspected, in their order."""
        return [number for number in ranked if number not in self.dead]


class HashModulo:
    """Places by hash modulo the number of targets."""

    def __init__(self, site: Site):
        self.site = site

    def place(self, flow_hash: int) -> int:
        """Return the number of the target for a flow."""
        usable = self.site.usable(range(len(STRENGTHS)))
        return usable[flow_hash % len(usable)]


class OneChoice:
    """Places on the first candidate by rendezvous."""

    def __init__(self, site: Site):
        self.site = site
        service = make_service(PUBLISHED_WEIGHTS)
        numbers = {t.name: n for n, t in enumerate(service.targets)}
        self.ranks = [
            [numbers[t.name] for t in rank_targets(service.targets, bucket)]
            for bucket in range(BUCKETS_PER_SERVICE)
        ]

    def rank(self, flow_hash: int) -> list[int]:
        """Return usable targets in the order of the flow's bucket."""
        return self.site.usable(self.ranks[flow_hash % BUCKETS_PER_SERVICE])

    def place(self, flow_hash: int) -> int:
        """Return the number of the target for a flow."""
        return self.rank(flow_hash)[0]


class PublishedLoad(OneChoice):
    """Two choices by the load and weight that are published, with lag."""

    def __init__(self, site: Site):
        super().__init__(site)
        self.loads = [0.0] * len(STRENGTHS)
        self.publish()

    def publish(self) -> None:
        """Take the loads that the targets show; one of them lies."""
        self.loads = [queue.size for queue in self.site.queues]
        self.loads[LYING_TARGET] *= LIE
        self.site.events.after(ENDPOINT_LAG_SECONDS, self.publish)

    def place(self, flow_hash: int) -> int:
        """Return the less loaded of two candidates."""
        pair = self.rank(flow_hash)[:2]
        return min(pair, key=lambda n: self.loads[n] / PUBLISHED_WEIGHTS[n])


class Omniscient:
    """Places where the true load with the flow added is the least."""

    def __init__(self, site: Site):
        self.site = site

    def place(self, flow_hash: int) -> int:
        """Return the least loaded target."""
        queues = self.site.queues
        usable = self.site.usable(range(len(queues)))
        return min(
            usable,
            key=lambda n: (queues[n].size + 1) / queues[n].strength,
        )


class Own:
    """The own target of an agent, as its choice sees it."""

    __slots__ = ("queue", "meter")

    def __init__(self, queue: Queue, meter: StrengthMeter):
        self.queue = queue
        self.meter = meter

    def current_load(self) -> Load:
        """Return the load at this moment."""
        return self.queue.load(self.meter.current())


class Heard:
    """The heartbeats that the agents of a service had of each other."""

    __slots__ = ("events", "loads", "times")

    def __init__(self, events: Events):
        self.events = events
        self.loads: dict[int, Load] = {}
        self.times: dict[int, float] = {}

    def load_of(self, agent: int) -> Load | None:
        """Return the last load heard within the lease."""
        heard = self.times.get(agent)
        if heard is None or self.events.now - heard > LEASE_SECONDS:
            return None
        return self.loads[agent]


class SiteClock:
    """The virtual time of a site."""

    __slots__ = ("events",)

    def __init__(self, events: Events):
        self.events = events

    def now(self) -> float:
        """Return the time in seconds."""
        return self.events.now


class Ours(OneChoice):
    """The agents' own choice among candidates by measured load."""

    def __init__(self, site: Site, candidates: int, hysteresis: float):
        super().__init__(site)
        self.candidates = candidates
        self.heard = Heard(site.events)
        self.agents = [
            pack_address(t.agent)
            for t in make_service(PUBLISHED_WEIGHTS).targets
        ]
        self.owns = [self.make_own(queue) for queue in site.queues]
        self.choices = [
            LoadChoice(own, self.heard, hysteresis) for own in self.owns
        ]
        for number in range(len(STRENGTHS)):
            site.events.after(
                site.random.random() * HEARTBEAT_SECONDS,
                lambda number=number: self.beat(number),
            )

    def make_own(self, queue: Queue) -> Own:
        """Return the load source of a target, with a meter of its own."""
        meter = StrengthMeter(SiteClock(self.site.events), SLOTS, 1.0)
        queue.listeners.append(meter.record)
        return Own(queue, meter)

    def beat(self, number: int) -> None:
        """Tell the mates of the load of one target."""
        if not self.site.queues[number].alive:
            return
        agent = self.agents[number]
        if self.site.random.random() >= HEARTBEAT_LOSS:
            self.heard.loads[agent] = self.owns[number].current_load()
            self.heard.times[agent] = self.site.events.now
        self.site.events.after(HEARTBEAT_SECONDS, lambda: self.beat(number))

    def place(self, flow_hash: int) -> int:
        """Let the agent of the first candidate choose."""
        first, *others = self.rank(flow_hash)[: self.candidates]
        if not self.site.queues[first].alive:
            return first
        mates = [self.agents[number] for number in others]
        agent = self.choices[first].choose(mates)
        return first if agent is None else self.agents.index(agent)


class Run:
    """Flows that arrive at one site under one policy.

    Parameters
    ----------
    make_policy : callable
        Makes the policy for a site.
    load : float
        Work that arrives over the strength of all targets.
    vanish : bool
        Whether half the targets vanish in the middle of the run.
    seed : int
        Seed of arrivals, work and policy.
    """

    def __init__(
        self,
        make_policy: Callable[[Site], HashModulo],
        load: float,
        vanish: bool,
        seed: int,
    ):
        self.site = Site(seed)
        self.arrivals = Random(seed)
        self.rate = load * sum(STRENGTHS)
        self.policy = make_policy(self.site)
        self.flow = 0
        self.samples: list[list[float]] = []
        events = self.site.events
        events.after(0, self.arrive)
        events.after(WARM_UP_SECONDS, self.sample)
        if vanish:
            events.after(SECONDS / 2, self.vanish)

    def arrive(self) -> None:
        """Place one flow and wait for the next."""
        self.flow += 1
        flow_hash = xxh64_intdigest(self.flow.to_bytes(8, "big"))
        self.place(flow_hash, self.arrivals.expovariate(1.0))
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
        """Note the relative load of each target that is alive."""
        self.samples.append([q.relative for q in self.site.queues if q.alive])
        self.site.events.after(SAMPLE_SECONDS, self.sample)

    def vanish(self) -> None:
        """Take away every other target; they are suspected later."""
        gone = range(0, len(STRENGTHS), 2)
        for number in gone:
            self.site.queues[number].vanish()
        self.site.events.after(
            LEASE_SECONDS, lambda: self.site.dead.update(gone)
        )

    def measure(self) -> list[list[float]]:
        """Run to the end and return the samples."""
        self.site.events.run(SECONDS)
        return self.samples


def summarize(samples: list[list[float]]) -> dict[str, float]:
    """Return mean, p99 and max of the relative loads."""
    flat = sorted(value for sample in samples for value in sample)
    mean = sum(flat) / len(flat)
    p99 = flat[int(len(flat) * 0.99)]
    return {
        "mean_seconds": round(mean, 4),
        "p99_over_mean": round(p99 / mean, 3),
        "max_over_mean": round(flat[-1] / mean, 3),
    }
