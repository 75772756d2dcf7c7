"""Draws from a seed which faults come when."""

from enum import StrEnum
from random import Random

BALANCERS = 3
PLACES = 6
FAULT_SECONDS = 8.0
FEWEST_STEPS = 4
MOST_STEPS = 10


class Kind(StrEnum):
    """What happens; the planned ones must harm no open flow."""

    ROLL_BALANCER = "a balancer is stopped and started"
    ROLL_AGENT = "an agent is stopped and started"
    HANG_UP = "a process gets SIGHUP"
    ADD_BALANCER = "a balancer is added"
    CONFIGURE = "the configuration changes"
    CONFIGURE_OFTEN = "configurations come in quick succession"
    DRAIN = "a host drains and another takes its address"
    HAND_OVER = "a host drains and its address goes to another service"
    COMPACT = "the store forgets its history"
    KILL = "a process is killed"
    KILL_ALL = "all processes are killed"
    FREEZE = "a process is paused"
    HOST_CRASH = "a host crashes"
    HOST_SILENT = "a host says nothing"
    LINK_CUT = "a link is cut one way"
    LINK_SILENT = "an agent's links are silent"
    LINK_SLOW = "an agent's links are slow"
    LINK_LOSSY = "an agent's links lose and repeat"
    STORE_DOWN = "the store resets all connections and entries lapse"
    STORE_SILENT = "connections to the store go silent"
    STORE_ONE_WAY = "answers of the store are lost"
    STORE_SLOW = "the store is slow"
    STORE_RESTORED = "the store is restored from a copy"
    STORE_HUNG = "the store answers nobody"
    STORE_BUSY = "the store answers with 503"
    STORE_LIMITING = "the store answers a balancer with 429"
    CONNECTIONS_SILENT = "open connections to the store are silent for good"


PLANNED = tuple(Kind)[: tuple(Kind).index(Kind.KILL)]
UNPLANNED = tuple(Kind)[len(PLANNED) :]
OUTAGES = tuple(Kind)[tuple(Kind).index(Kind.STORE_HUNG) :]
OF_STORE = (
    Kind.STORE_DOWN,
    Kind.STORE_SLOW,
    Kind.STORE_RESTORED,
    Kind.STORE_HUNG,
    Kind.STORE_BUSY,
)
"""Kinds that the store as a whole suffers, not one way to it."""

DRAWN = tuple(
    kind
    for kind in Kind
    if kind is not Kind.STORE_RESTORED and kind not in OUTAGES
)
MIXES = (PLANNED, DRAWN[len(PLANNED) :], DRAWN)
FIRST_RESTORED_SEED = 100
FIRST_OUTAGE_SEED = 200
"""Restores and outages in a row are drawn apart, and not for the seeds below,
so that the plans of seeds that failed once stay as they were."""

MOST_OUTAGES = 4
SHORTEST_OUTAGE_SECONDS = 0.2
LONGEST_OUTAGE_SECONDS = 5.0
LONGEST_GAP_SECONDS = 0.5


class Step:
    """One fault.

    Attributes
    ----------
    at : float
        Seconds from the start of the faults.
    kind : Kind
        What happens.
    number : int
        Which process, host or link it happens to, modulo their count.
    seconds : float
        How long it lasts, where it does.
    """

    __slots__ = ("at", "kind", "number", "seconds")

    def __init__(self, at, kind, number, seconds):
        self.at = at
        self.kind = kind
        self.number = number
        self.seconds = seconds

    def __str__(self):
        return f"{self.at:.2f} s: {self.kind} ({self.number})"


def draw_plan(seed):
    """Return the steps of a seed, in order: planned, unplanned or both."""
    random = Random(seed)
    kinds = MIXES[seed % len(MIXES)]
    steps = [
        Step(
            random.uniform(0.0, FAULT_SECONDS),
            random.choice(kinds),
            random.randrange(1_000),
            random.uniform(0.2, 3.0),
        )
        for _ in range(random.randint(FEWEST_STEPS, MOST_STEPS))
    ]
    if kinds is not PLANNED and seed >= FIRST_RESTORED_SEED:
        steps += draw_restores(Random(f"restores of seed {seed}"))
    if kinds is not PLANNED and seed >= FIRST_OUTAGE_SEED:
        steps += draw_outages(Random(f"outages of seed {seed}"))
    return sorted(steps, key=lambda step: step.at)


def draw_restores(random):
    """Return no, one or two restores of the store."""
    return [
        Step(
            random.uniform(0.0, FAULT_SECONDS),
            Kind.STORE_RESTORED,
            random.randrange(1_000),
            random.uniform(0.2, 3.0),
        )
        for _ in range(random.randrange(3))
    ]


def draw_outages(random):
    """Return up to MOST_OUTAGES outages of the store, one after the other.

    Half of the seeds have none. The configuration changes and a host drains
    just after the last one.
    """
    steps = []
    at = random.uniform(0.0, FAULT_SECONDS / 2)
    for _ in range(random.choice((0, random.randint(1, MOST_OUTAGES)))):
        seconds = random.uniform(
            SHORTEST_OUTAGE_SECONDS, LONGEST_OUTAGE_SECONDS
        )
        kind = random.choice(OUTAGES)
        if kind is Kind.CONNECTIONS_SILENT:
            # That happens in a moment; other connections work at once.
            seconds = 0.0
        steps.append(Step(at, kind, random.randrange(1_000), seconds))
        at += seconds + random.uniform(0.0, LONGEST_GAP_SECONDS)
    if steps:
        steps.append(Step(at, Kind.CONFIGURE, 0, 0.0))
        steps.append(Step(at, Kind.DRAIN, random.randrange(1_000), 1.0))
    return steps
