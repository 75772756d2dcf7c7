"""Steps on the versions that packets carry."""

from behave import then
from behave import when

from tests.flows.ownership_steps import in_loop


class Noticed:
    """Keeps the versions that it was told of."""

    def __init__(self):
        self.versions = set()

    def notice_version(self, version):
        self.versions.add(version)


@when("only the balancers learn a later version")
def teach_balancers(context):
    context.noticed = Noticed()
    for agent in context.fleet.agents.values():
        agent.ownership.delivery.versions = context.noticed
    in_loop(context, context.fleet.publish)
    balancers = context.fleet.balancers.values()
    in_loop(context, context.fleet.put_in_force, balancers)


@then("the agents were told of version {version:d} and of no other")
def check_noticed(context, version):
    assert context.noticed.versions == {version}, context.noticed.versions
