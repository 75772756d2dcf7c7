"""Steps on the comparison of placement."""

from behave import then
from behave import when

from measure.placing import measure
from measure.placing import PATTERNS


@when("placement is measured for every pattern of load")
def play(context):
    context.figures = measure()


@then("steering has at least {share:g} of the omniscient choice in time")
def check_shares(context, share):
    assert tuple(context.figures) == PATTERNS
    for pattern, figures in context.figures.items():
        placed = figures["steering"]["in time"]
        best = figures["omniscient"]["in time"]
        assert placed >= share * best > 0, (pattern, figures)
