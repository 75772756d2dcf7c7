"""Steps that check the models and replay them on the real classes."""

from behave import given
from behave import then
from behave import when
from minicheck import check_safety

from tests.flows.finding_model import FindingModel
from tests.flows.finding_model import Rules as FindingRules
from tests.flows.opening_model import OpeningModel
from tests.flows.opening_model import Rules as OpeningRules
from tests.flows.replay import limit_candidates
from tests.flows.replay import walk


def read_rules(kind, text):
    pairs = (pair.split("=") for pair in text.split())
    values = {name: int(value) for name, value in pairs}
    return kind(**values)


@given("the model of opening packets with {rules}")
def make_opening_model(context, rules):
    context.model = OpeningModel(read_rules(OpeningRules, rules)).protocol()


@given("the model of finding owners with {rules}")
def make_finding_model(context, rules):
    context.model = FindingModel(read_rules(FindingRules, rules)).protocol()


@when("every state is visited")
def visit(context):
    context.result = check_safety(context.model)


@then("all its invariants hold")
def check_invariants(context):
    assert context.result["exhaustive"]
    for name, outcome in context.result["properties"].items():
        assert outcome["holds"], (name, outcome["counterexample"])


@then('the invariant "{promise}" is violated')
def check_failure(context, promise):
    outcome = context.result["properties"][promise]
    assert outcome["holds"] is False
    assert len(outcome["counterexample"]) > 1


@when(
    "the real agents execute {walks:d} walks of {steps:d} steps with {rules}"
)
def follow(context, walks, steps, rules):
    async def walk_all():
        kind = read_rules(OpeningRules, rules)
        return [walk(kind, seed, steps) for seed in range(walks)]

    with limit_candidates():
        context.walked = context.run(walk_all())


@then("they matched the model after each of at least {steps:d} steps")
def check_walks(context, steps):
    assert sum(len(labels) for labels in context.walked) >= steps
