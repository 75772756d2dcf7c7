"""Measures the cost of choosing a target by its time of work.

``python -m measure.choosing`` prints, as JSON, processor time of one choice
among 136 targets with their times of work unknown and known, the ratio of the
two, and the time of a new median.
"""

from json import dumps
from time import process_time

from logbook import NullHandler

from chicorycart.address import Address
from chicorycart.clock import LoopClock
from chicorycart.operation.events import EventLog
from chicorycart.steering.choice import TargetChoice
from chicorycart.steering.cold import ColdTargets
from chicorycart.steering.directory import Directory
from chicorycart.steering.health import HealthTable
from chicorycart.steering.messages import TargetLoad
from chicorycart.steering.routes import RoutesInForce
from chicorycart.steering.settings import Bounds
from measure.steering import LINK_PORT
from measure.steering import make_change
from measure.steering import SERVICE

TARGETS = 136
CHOICES = 2_000
ROUNDS = 3
MEDIANS = 200
WORK_MS = 30.0
SPREAD_MS = 20
MICROSECONDS = 1e6
UNKNOWN = TargetLoad(1, 3, 0.4)


class ManualClock(LoopClock):
    """A clock that stands still, so that no report gets too old."""

    def now(self) -> float:
        """Return the time in seconds."""
        return 1.0


def measure() -> dict[str, float]:
    """Return microseconds by step, and the ratio of the choices."""
    clock = ManualClock()
    directory = Directory(clock, LINK_PORT, 60.0)
    directory.add_services({SERVICE})
    for number in range(1, TARGETS + 1):
        directory.apply(make_change(number))
    health = HealthTable(clock, EventLog("measure", clock))
    cold = ColdTargets(
        clock,
        directory,
        RoutesInForce(),
        Bounds(3.0, 3.0, 6.0, 60.0),
        EventLog("measure", clock),
    )
    choice = TargetChoice(directory, health, "riga-a", cold)
    members = directory.list_members(SERVICE)
    agents = [member.target.agent for member in members]
    unknown = known = 0.0
    for _ in range(ROUNDS):
        unknown += time_choices(choice, agents, is_known=False)
        known += time_choices(choice, agents, is_known=True)
    began = process_time()
    for _ in range(MEDIANS):
        health.times.services.clear()
        health.refresh_times(SERVICE, members)
    refresh = (process_time() - began) / MEDIANS
    return {
        "choice, times unknown, us": unknown / ROUNDS * MICROSECONDS,
        "choice, times known, us": known / ROUNDS * MICROSECONDS,
        "ratio": known / unknown,
        "median, us": refresh * MICROSECONDS,
    }


def time_choices(
    choice: TargetChoice, agents: list[Address], is_known: bool
) -> float:
    """Return the processor time of one choice in seconds."""
    choice.health.times.services.clear()
    for number, agent in enumerate(agents):
        work_ms = WORK_MS + number % SPREAD_MS
        load = TargetLoad(1, 3, 0.4, work_ms, 0.01) if is_known else UNKNOWN
        choice.health.record_answer(agent, load)
    began = process_time()
    for number in range(CHOICES):
        choice.choose(SERVICE, number.to_bytes(13, "big"), ())
    return (process_time() - began) / CHOICES


if __name__ == "__main__":
    with NullHandler().applicationbound():
        figures = measure()
    print(dumps({k: round(v, 3) for k, v in figures.items()}, indent=2))
