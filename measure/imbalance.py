"""Measures how evenly policies spread flows over unequal targets.

``python -m measure.imbalance`` prints the figures as JSON.
"""

from collections.abc import Callable
from json import dumps

from measure.policies import HashModulo
from measure.policies import LoadChoices
from measure.policies import Omniscient
from measure.policies import OneChoice
from measure.policies import PublishedLoad
from measure.site import CHANGE_SECONDS
from measure.site import Policy
from measure.site import Run
from measure.site import Sample
from measure.site import Scenario
from measure.site import Site

CAPACITIES = [20.0, 5.0, 20.0, 5.0, 20.0, 5.0, 5.0]
LYING_WEIGHTS = [1.0] * len(CAPACITIES)
TRUE_WEIGHTS = [capacity / 5 for capacity in CAPACITIES]
JOIN_SECONDS = 60.0
SEEDS = (1, 2, 3)
SCENARIOS = (
    Scenario("80 %, wrong weights", CAPACITIES, LYING_WEIGHTS, 0.8),
    Scenario("80 %, right weights", CAPACITIES, TRUE_WEIGHTS, 0.8),
    Scenario("feeds, right weights", CAPACITIES, TRUE_WEIGHTS, 0.8, True),
    Scenario("100 %", CAPACITIES, LYING_WEIGHTS, 1.0),
    Scenario("150 %", CAPACITIES, LYING_WEIGHTS, 1.5),
    Scenario(
        "half vanish",
        CAPACITIES,
        LYING_WEIGHTS,
        0.8,
        vanishing=(0, 1, 3, 4),
    ),
    Scenario(
        "one joins cold",
        CAPACITIES,
        LYING_WEIGHTS,
        0.6,
        joining=(0,),
    ),
)
POLICIES: dict[str, Callable[[Site], Policy]] = {
    "hash modulo": HashModulo,
    "one choice": OneChoice,
    "two, published load": PublishedLoad,
    "two candidates": lambda site: LoadChoices(site, 2, 1),
    "three candidates": lambda site: LoadChoices(site, 3, 2),
    "four candidates": lambda site: LoadChoices(site, 4, 2),
    "all candidates": lambda site: LoadChoices(site, len(CAPACITIES), 2),
    "omniscient": Omniscient,
}


class Imbalance:
    """How uneven the relative loads of one scenario are.

    Attributes
    ----------
    mean : float
        Mean of in-progress over strength, in seconds of work.
    p99, highest : float
        99th percentile and highest, over the mean.
    joined : float or None
        Highest of targets that join, over the mean of the others, in the
        time after their start.
    """

    __slots__ = ("mean", "p99", "highest", "joined")

    def __init__(self, runs: list[list[Sample]], joining: tuple[int, ...]):
        samples = [sample for run in runs for sample in run]
        loads = sorted(v for s in samples for v in s.loads.values())
        self.mean = sum(loads) / len(loads)
        self.p99 = loads[int(len(loads) * 0.99)] / self.mean
        self.highest = loads[-1] / self.mean
        self.joined = self.compare_joined(samples, joining)

    def compare_joined(
        self, samples: list[Sample], joining: tuple[int, ...]
    ) -> float | None:
        """Return the peak of joining targets over the mean of others."""
        if not joining:
            return None
        end = CHANGE_SECONDS + JOIN_SECONDS
        recent = [s for s in samples if CHANGE_SECONDS < s.time <= end]
        joined = [s.loads[n] for s in recent for n in joining]
        others = [
            load
            for sample in recent
            for number, load in sample.loads.items()
            if number not in joining
        ]
        return max(joined) / (sum(others) / len(others))

    def list_figures(self) -> dict[str, float]:
        """Return the figures by name, rounded."""
        figures = {
            "mean_seconds": self.mean,
            "p99_over_mean": self.p99,
            "max_over_mean": self.highest,
        }
        if self.joined is not None:
            figures["joined_max_over_others_mean"] = self.joined
        return {name: round(value, 3) for name, value in figures.items()}


def measure_scenario(
    scenario: Scenario, make_policy: Callable[[Site], Policy]
) -> Imbalance:
    """Run a scenario under a policy with every seed."""
    runs = [Run(scenario, make_policy, seed).measure() for seed in SEEDS]
    return Imbalance(runs, scenario.joining)


def measure_imbalance() -> dict[str, dict[str, dict[str, float]]]:
    """Return the figures by scenario and policy."""
    return {
        scenario.name: {
            name: measure_scenario(scenario, policy).list_figures()
            for name, policy in POLICIES.items()
        }
        for scenario in SCENARIOS
    }


if __name__ == "__main__":
    print(dumps(measure_imbalance(), indent=2))
