"""Steps on the specification and on its replay by the real classes."""

from random import Random

from behave import then
from behave import when
from minicheck import check_liveness
from minicheck import check_safety
from prometheus_client import CollectorRegistry

from chicorycart.clock import LoopClock
from chicorycart.configuration.backoff import Backoff
from chicorycart.configuration.delta import DeltaHistory
from chicorycart.configuration.follow import PlatformReader
from chicorycart.configuration.messages import decode_delta
from chicorycart.configuration.messages import encode_delta
from chicorycart.configuration.metrics import ConfigurationMetrics
from chicorycart.configuration.platform import PlatformClient
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.configuration.version_manager import VersionManager
from chicorycart.pace import TokenBucket
from tests.configuration import spec
from tests.configuration.builders import publish
from tests.configuration.builders import publish_many
from tests.standins.platform import Platform
from tests.standins.platform import PlatformValues

DESIGNS = {
    "the design": spec.Design(),
    "the design that takes whatever comes": spec.Design(
        takes_only_later=False
    ),
    "the design that starts without asking": spec.Design(asks_at_start=False),
    "the design without comparison": spec.Design(compares=False),
}
MAX_STATES = 500_000


@when("{design} is checked from a start of everything, {faults:d} faults")
@when("{design} is checked, {faults:d} faults")
def check_promises(context, design, faults):
    initial = spec.ALL_STARTING._replace(faults=faults)
    model = spec.build(DESIGNS[design], initial)
    context.result = check_safety(model, max_states=MAX_STATES)


@when("{design} is checked for convergence, {faults:d} faults")
def check_convergence(context, design, faults):
    initial = spec.ALL_SERVING._replace(faults=faults)
    model = spec.build(DESIGNS[design], initial, may_restart=False)
    context.result = check_liveness(model)


@then("no life goes back and none serves below what it could learn")
def promises_hold(context):
    assert context.result["exhaustive"]
    properties = context.result["properties"]
    assert all(p["holds"] is True for p in properties.values()), properties


@then("agreement can be reached from every state")
def agreement(context):
    assert context.result["holds"] is True, context.result


def labels_of(counterexample):
    return [step["label"] for step in counterexample[1:]]


@then('a life goes back after "{labels}"')
def goes_back(context, labels):
    broken = context.result["properties"]["never back"]
    assert broken["holds"] is False
    assert ", ".join(labels_of(broken["counterexample"])) == labels


@then('a process serves below what it could learn, after a "{label}"')
def serves_below(context, label):
    broken = context.result["properties"]["never below"]
    assert broken["holds"] is False
    labels = labels_of(broken["counterexample"])
    assert any(step.startswith(label) for step in labels), labels
    assert labels[-1].startswith("open"), labels


@then('disagreement stays after a "{first}" and a "{second}"')
def disagreement(context, first, second):
    assert context.result["holds"] is False
    labels = labels_of(context.result["counterexample"])
    assert any(step.startswith(first) for step in labels), labels
    assert second in labels, labels


class RealProcess:
    """The classes that hold and pass on one process's versions."""

    def __init__(self, platform):
        clock = LoopClock()
        metrics = ConfigurationMetrics(CollectorRegistry())
        self.store = ConfigurationStore(clock)
        self.version_manager = VersionManager(self.store, metrics)
        self.history = DeltaHistory()
        self.store.subscribe(self.history)
        self.reader = PlatformReader(
            PlatformClient(
                PlatformValues(platform), TokenBucket(clock, 1000, 1000)
            ),
            self.version_manager,
            Backoff(Random(1)),
            clock,
        )

    def learn_from(self, other):
        """Take the delta that another process would send."""
        if other.store.current.version == 0:
            return
        delta = other.history.make_delta(self.store.current.version)
        self.version_manager.activate_delta(decode_delta(encode_delta(delta)))


class Replay:
    """Three real processes beside a state of the specification."""

    def __init__(self):
        self.platform = Platform()
        self.platform.patch(0, publish_many(3))
        self.first = self.platform.services
        self.processes = [RealProcess(self.platform) for _ in range(3)]

    async def step(self, label, state):
        """Do with the real classes what a step of the specification says."""
        action, *numbers = label.split()
        if action in ("ask", "compare"):
            one, other = map(int, numbers)
            if spec.connected(state, one, other):
                self.processes[one].learn_from(self.processes[other])
        elif action == "restart":
            self.processes[int(numbers[0])] = RealProcess(self.platform)
        elif action == "read":
            self.platform.stale = None
            if state.shown == 1:
                self.platform.stale = (1, self.first)
            await self.processes[0].reader.read_once()
        elif action.startswith("publish"):
            self.platform.patch(1, {"s-1": publish(1, weight=2.0)})


@when("{runs:d} random runs of {steps:d} steps are replayed")
def replay_runs(context, runs, steps):
    random = Random(7)
    context.differences = []
    context.steps = 0

    async def replay_one():
        state = spec.ALL_STARTING._replace(faults=6)
        replay = Replay()
        for _ in range(steps):
            options = spec.list_transitions(state, spec.Design())
            if not options:
                return
            label, state = random.choice(options)
            await replay.step(label, state)
            real = tuple(p.store.current.version for p in replay.processes)
            context.steps += 1
            if real != state.versions:
                context.differences.append((label, real, state.versions))

    for _ in range(runs):
        context.run(replay_one())


@then("after each step every process has the version that is specified")
def no_differences(context):
    assert context.steps > 1000
    assert not context.differences, context.differences[:3]
