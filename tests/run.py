"""Runs every feature file and prints one closing line with the counts."""

from pathlib import Path
import sys

from behave.configuration import Configuration
from behave.model import Scenario
from behave.runner import Runner

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def read_known_red(path: Path) -> set[str]:
    """Return the names of the scenarios that are known to fail."""
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    }


def run_features(arguments: list[str]) -> tuple[list[Scenario], bool]:
    """Run behave; return the scenarios run and whether hooks failed."""
    configuration = Configuration(
        command_args=["--format=progress3", "--no-capture", *arguments]
    )
    if not configuration.paths:
        configuration.paths = [str(ROOT / "tests")]
    runner = Runner(configuration)
    failed = runner.run()
    scenarios = [
        scenario
        for feature in runner.features
        for scenario in feature.walk_scenarios()
        if scenario.status.name not in ("untested", "skipped")
    ]
    any_failed_scenario = any(is_red(scenario) for scenario in scenarios)
    return scenarios, failed and not any_failed_scenario


def is_red(scenario: Scenario) -> bool:
    """Tell whether the scenario ended in anything but a pass."""
    return scenario.status.name != "passed"


def main(arguments: list[str]) -> int:
    """Run the tests; return the exit code of the process."""
    known = read_known_red(KNOWN_RED)
    scenarios, broken_outside = run_features(arguments)
    red = [s for s in scenarios if is_red(s)]
    unexpected = [s for s in red if s.name not in known]
    for scenario in red:
        label = "known red" if scenario.name in known else "FAILED"
        print(f"{label}: {scenario.location}: {scenario.name}")
    passed = len(scenarios) - len(red)
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or broken_outside or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
