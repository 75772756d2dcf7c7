"""Prints the number of states of each model and the violated invariants.

Run it with ``python -m tests.flows.states``.
"""

from minicheck import check_safety

from tests.flows.finding_model import FindingModel
from tests.flows.finding_model import Rules as FindingRules
from tests.flows.opening_model import OpeningModel
from tests.flows.opening_model import Rules as OpeningRules

MODELS = {
    "opening: skew, a double": OpeningModel(
        OpeningRules(skew=True, doubles=1)
    ),
    "opening: skew, a double, a loss": OpeningModel(
        OpeningRules(skew=True, doubles=1, losses=1)
    ),
    "opening: skew, a loss, a partition": OpeningModel(
        OpeningRules(skew=True, losses=1, cuts=1)
    ),
    "opening: skew, a pause, a partition": OpeningModel(
        OpeningRules(skew=True, pauses=1, cuts=1)
    ),
    "opening: a pause, a double, three packets": OpeningModel(
        OpeningRules(pauses=1, doubles=1, openings=3)
    ),
    "finding: a restart, a double, a loss": FindingModel(FindingRules()),
    "finding: as above, target removed": FindingModel(
        FindingRules(is_removed=True)
    ),
    "finding: a pause, a restart": FindingModel(
        FindingRules(is_removed=True, pauses=1, doubles=0, losses=0)
    ),
    "finding: two restarts, a loss": FindingModel(
        FindingRules(restarts=2, doubles=0)
    ),
}
MAX_STATES = 1_000_000


def main() -> None:
    """Check every model and print its states and violated invariants."""
    for name, model in MODELS.items():
        result = check_safety(model.protocol(), max_states=MAX_STATES)
        violated = [
            invariant
            for invariant, outcome in result["properties"].items()
            if outcome["holds"] is not True
        ]
        states = result["reachable_states"]
        print(f"{name}: {states} states, violated: {violated or 'none'}")


if __name__ == "__main__":
    main()
