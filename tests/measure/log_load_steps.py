"""Steps on the cost of logs."""

from behave import then
from behave import when

from measure.log_load import measure_all
from measure.log_load import MODES


@when("the cost of logs is measured for {seconds:g} s in each mode")
def play(context, seconds):
    context.figures = context.run(measure_all(seconds))


@then("flows were served in each mode")
def check_served(context):
    assert tuple(context.figures) == MODES
    for figures in context.figures.values():
        assert figures["flows a second"] > 0
        assert figures["processor ms a flow"] > 0


@then("only logs that are read were received")
def check_received(context):
    kept = {m: f["log KB a second, all"] for m, f in context.figures.items()}
    assert kept["read"] > kept["unread"], kept
    assert kept["none"] == 0, kept
