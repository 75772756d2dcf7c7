"""Steps on the bench of steering."""

from behave import then
from behave import when

from measure.steering import measure


@when("the bench of steering is played")
def play(context):
    context.steps = context.run(measure())


@then("each step took time, and each flow some bytes")
def check_steps(context):
    assert len(context.steps) == 5
    assert all(value > 0 for value in context.steps.values())
