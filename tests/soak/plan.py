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


PLANNED = tuple(Kind)[: tuple(Kind).index(Kind.KILL)]
UNPLANNED = tuple(Kind)[len(PLANNED) :]
DRAWN = tuple(kind for kind in Kind if kind is not Kind.STORE_RESTORED)
MIXES = (PLANNED, DRAWN[len(PLANNED) :], DRAWN)
FIRST_RESTORED_SEED = 100
"""Restores are drawn apart, and not for the seeds below, so that the plans of
seeds that failed once stay as they were."""


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
