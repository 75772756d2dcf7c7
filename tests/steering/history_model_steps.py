"""Steps on the model of complete lists."""

from behave import given
from behave import then
from minicheck import check_safety

from tests.flows.model_steps import read_rules
from tests.steering.history_model import build_model
from tests.steering.history_model import build_vacuity_model
from tests.steering.history_model import Rules


@given("the model of complete lists with {rules}")
def make_model(context, rules):
    context.rules = read_rules(Rules, rules)
    context.model = build_model(context.rules)


@then("the list counts as complete in some state after a discard")
def check_some(context):
    assert context.result["exhaustive"]
    model = build_vacuity_model(context.rules)
    outcome = check_safety(model)["properties"]["never complete"]
    assert outcome["holds"] is False
