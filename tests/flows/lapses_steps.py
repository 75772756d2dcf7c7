"""Steps on displaced flows while daemons disagree or fail."""

from behave import then
from behave import when

from chicorycart.configuration.model import TargetState
from tests.flows import openings_steps
from tests.flows.ownership_steps import in_loop
from tests.flows.ownership_steps import pass_time
from tests.standins.fleet import Suspects


@when("only the agent of the first feed gets the version that reactivates it")
def resume_for_owner(context):
    fleet = context.fleet
    fleet.states[context.first_owner] = TargetState.ACTIVE
    in_loop(context, fleet.publish)
    in_loop(context, fleet.put_in_force, [fleet.agents[context.first_owner]])


@when("the feeds continue for {seconds:d} seconds")
def continue_feeds(context, seconds):
    pass_time(context, seconds)


@when("another agent dies and all daemons suspect it")
def kill_another(context):
    fleet = context.fleet
    number = next(n for n in fleet.agents if n != context.first_owner)
    in_loop(context, fleet.pause, number)
    suspects = Suspects()
    suspects.names.add(f"t-{number}")
    for agent in fleet.agents.values():
        agent.ownership.delivery.service_agents.leases = suspects
    for balancer in fleet.balancers.values():
        balancer.suspect(number)


@when("balancer 1 and the agent of the first feed are partitioned off")
def partition_owner(context):
    fleet = context.fleet
    owner = fleet.agents[context.first_owner]
    context.side = [fleet.balancers["b-1"], owner]
    for node in context.side:
        fleet.wire.sides[node.address] = 1


@when("each daemon suspects the agents that it cannot reach")
def suspect_other_side(context):
    fleet = context.fleet
    openings_steps.suspect_other_side(context)
    for node in fleet.agents.values():
        suspects = Suspects()
        suspects.names = {
            f"t-{number}"
            for number, agent in fleet.agents.items()
            if (agent in context.side) != (node in context.side)
        }
        node.ownership.delivery.service_agents.leases = suspects


@then("each of them got all its answers")
def check_answers(context):
    for caller in context.owned:
        assert caller.answers.decode().split() == caller.asked
