"""The policies that are compared: ours and the baselines."""

from chicorycart.address import pack_address
from chicorycart.defaults import BUCKETS_PER_SERVICE
from chicorycart.placement.capacity import CapacityMeter
from chicorycart.placement.capacity import initial_capacity
from chicorycart.placement.choice import LoadChoice
from chicorycart.placement.load import Load
from chicorycart.placement.rendezvous import rank_targets
from measure.fleet import make_service
from measure.queues import Queue
from measure.site import LEASE_SECONDS
from measure.site import Site
from measure.site import SLOTS

HEARTBEAT_SECONDS = 1.0
HEARTBEAT_LOSS = 0.01
ENDPOINT_LAG_SECONDS = 5.0
LYING_TARGET = 1
LIE = 0.2


class HashModulo:
    """Places by hash modulo the number of targets."""

    __slots__ = ("site",)

    def __init__(self, site: Site):
        self.site = site

    def start_target(self, number: int) -> None:
        """Do nothing."""

    def place(self, flow_hash: int) -> int:
        """Return the number of the target for a flow."""
        usable = self.site.usable(range(len(self.site.queues)))
        return usable[flow_hash % len(usable)]


class Omniscient(HashModulo):
    """Places where the true load with the flow added is the least."""

    __slots__ = ()

    def place(self, flow_hash: int) -> int:
        """Return the least loaded target."""
        queues = self.site.queues
        return min(
            self.site.usable(range(len(queues))),
            key=lambda n: (queues[n].size + 1) / queues[n].capacity,
        )


class OneChoice(HashModulo):
    """Places on the first candidate by rendezvous.

    Owner records change nothing in where flows are placed, so this stands
    for rendezvous without them too.
    """

    __slots__ = ("service", "ranks")

    def __init__(self, site: Site):
        super().__init__(site)
        self.service = make_service(site.scenario.weights)
        numbers = {t.name: n for n, t in enumerate(self.service.targets)}
        self.ranks = [
            [numbers[t.name] for t in rank_targets(self.service.targets, b)]
            for b in range(BUCKETS_PER_SERVICE)
        ]

    def rank(self, flow_hash: int) -> list[int]:
        """Return usable targets in the order of the flow's bucket."""
        return self.site.usable(self.ranks[flow_hash % BUCKETS_PER_SERVICE])

    def place(self, flow_hash: int) -> int:
        """Return the number of the target for a flow."""
        return self.rank(flow_hash)[0]


class PublishedLoad(OneChoice):
    """Two choices by the load and weight that are published, with lag."""

    __slots__ = ("loads",)

    def __init__(self, site: Site):
        super().__init__(site)
        self.publish()

    def publish(self) -> None:
        """Take the loads that the targets show; one of them lies."""
        self.loads = [float(queue.size) for queue in self.site.queues]
        self.loads[LYING_TARGET] *= LIE
        self.site.events.after(ENDPOINT_LAG_SECONDS, self.publish)

    def place(self, flow_hash: int) -> int:
        """Return the less loaded of two candidates."""
        weights = self.site.scenario.weights
        pair = self.rank(flow_hash)[:2]
        return min(pair, key=lambda n: self.loads[n] / weights[n])


class OwnTarget:
    """The target of one agent, with the meter of its strength."""

    __slots__ = ("queue", "meter")

    def __init__(self, queue: Queue, meter: CapacityMeter):
        self.queue = queue
        self.meter = meter

    def current_load(self) -> Load:
        """Return the load at this moment."""
        return self.queue.load(self.meter.current())


class ReceivedLoads:
    """The heartbeats that one agent had of its mates."""

    __slots__ = ("site", "loads", "times")

    def __init__(self, site: Site):
        self.site = site
        self.loads: dict[int, Load] = {}
        self.times: dict[int, float] = {}

    def record_load(self, agent: int, load: Load) -> None:
        """Take one heartbeat, unless it is lost."""
        if self.site.random.random() < HEARTBEAT_LOSS:
            return
        self.loads[agent] = load
        self.times[agent] = self.site.events.now()

    def load_of(self, agent: int) -> Load | None:
        """Return the last load heard within the lease."""
        heard = self.times.get(agent)
        now = self.site.events.now()
        if heard is None or now - heard > LEASE_SECONDS:
            return None
        return self.loads[agent]


class LoadChoices(OneChoice):
    """The agents' own choice among candidates by load.

    Parameters
    ----------
    site : Site
        Where flows are placed.
    candidates : int
        Candidates of a flow.
    checks : int
        Agents that compare loads before a flow is settled.
    slow_start : bool
        Whether agents of new targets report less strength.
    """

    __slots__ = ("candidates", "checks", "agents", "heard", "own", "choices")

    def __init__(
        self,
        site: Site,
        candidates: int,
        checks: int,
    ):
        super().__init__(site)
        self.candidates = candidates
        self.checks = checks
        self.agents = [pack_address(t.agent) for t in self.service.targets]
        self.heard = [ReceivedLoads(site) for _ in self.agents]
        self.own: dict[int, OwnTarget] = {}
        self.choices: dict[int, LoadChoice] = {}
        for number in site.usable(range(len(self.agents))):
            self.start_target(number)

    def start_target(self, number: int) -> None:
        """Start the agent beside a target."""
        queue = self.site.queues[number]
        heard = self.heard[number]
        target = self.service.targets[number]
        initial = initial_capacity(self.service, target.name, heard)
        meter = CapacityMeter(self.site.events, SLOTS, initial)
        if not self.site.scenario.feeds:
            queue.listeners.append(meter.record)
        self.own[number] = OwnTarget(queue, meter)
        self.choices[number] = LoadChoice(self.own[number], heard)
        delay = self.site.random.random() * HEARTBEAT_SECONDS
        self.site.events.after(delay, lambda: self.beat(number))

    def beat(self, number: int) -> None:
        """Tell the mates the load of one target."""
        if not self.site.queues[number].alive:
            return
        load = self.own[number].current_load()
        for other, heard in enumerate(self.heard):
            if other != number:
                heard.record_load(self.agents[number], load)
        self.site.events.after(HEARTBEAT_SECONDS, lambda: self.beat(number))

    def place(self, flow_hash: int) -> int:
        """Let the first candidate choose, and the chosen ones check."""
        rest = self.rank(flow_hash)[: self.candidates]
        place = rest[0]
        for _ in range(self.checks):
            rest.remove(place)
            if not self.site.queues[place].alive:
                return place
            peer_agents = [self.agents[number] for number in rest]
            agent = self.choices[place].choose(peer_agents)
            if agent is None:
                return place
            place = self.agents.index(agent)
        return place
