"""Steps on repeated opening packets."""

from asyncio import sleep

from behave import given
from behave import then
from behave import when

from chicorycart.configuration.model import TargetState
from tests.flows.ownership_steps import check_feed
from tests.flows.ownership_steps import FIRST_PORT
from tests.flows.ownership_steps import in_loop
from tests.flows.ownership_steps import start_fleet

LOST_SECONDS = 2
ANSWER_SECONDS = 10


@given(
    "{agents:d} agents and {balancers:d} balancers of one service,"
    " seed {seed:d}"
)
def start_seeded_fleet(context, agents, balancers, seed):
    start_fleet(context, agents, balancers, seed=seed)


@when("target {number:d} drains, which only some daemons know")
def drain_for_some(context, number):
    context.fleet.states[number] = TargetState.DRAINING
    publish_to_some(context)


@when("target {number:d} joins, which only some daemons know")
def join_for_some(context, number):
    context.fleet.states[number] = TargetState.ACTIVE
    in_loop(context, context.fleet.start_agent, number)
    publish_to_some(context)


def publish_to_some(context):
    fleet = context.fleet
    in_loop(context, fleet.publish)
    nodes = [n for n in fleet.list_nodes() if fleet.random.random() < 0.5]
    assert 0 < len(nodes) < len(fleet.list_nodes())
    in_loop(context, fleet.put_in_force, nodes)


@when("target {number:d} drains, which only the agents know")
def drain_for_agents(context, number):
    context.fleet.states[number] = TargetState.DRAINING
    in_loop(context, context.fleet.publish)
    agents = context.fleet.agents.values()
    in_loop(context, context.fleet.put_in_force, agents)


@when("every target drains")
def drain_all(context):
    for number in context.fleet.states:
        context.fleet.states[number] = TargetState.DRAINING
    in_loop(context, context.fleet.publish)
    in_loop(context, context.fleet.put_in_force)


@when("every message is duplicated")
def duplicate_messages(context):
    context.fleet.wire.duplication = 1.0


@when("every message is sent from another port")
def change_ports(context):
    context.fleet.wire.moves_ports = True


@when("balancer {balancer:d} suspects target {number:d}")
def suspect(context, balancer, number):
    context.fleet.balancers[f"b-{balancer}"].suspect(number)


@when("agent {number:d} is paused")
def pause(context, number):
    in_loop(context, context.fleet.pause, number)


@when("agent {number:d} resumes")
def resume(context, number):
    in_loop(context, context.fleet.wake, number)
    context.run(sleep(ANSWER_SECONDS))


@when("{seconds:d} seconds pass")
def pass_seconds(context, seconds):
    context.run(sleep(seconds))


@when("{count:d} callers open connections")
def open_connections(context, count):
    for port in range(FIRST_PORT, FIRST_PORT + count):
        context.feeds.append(in_loop(context, context.fleet.call, port))


@when("{count:d} callers open connections whose first answers are lost")
def open_with_losses(context, count):
    open_connections(context, count)
    for caller in context.feeds:
        caller.loses_answers = True
    context.run(sleep(LOST_SECONDS))
    for caller in context.feeds:
        caller.loses_answers = False


@when("all answers are lost, and callers send nothing for {seconds:d} seconds")
def silence_callers(context, seconds):
    for caller in context.feeds:
        caller.loses_answers = True
    context.run(sleep(LOST_SECONDS))
    for caller in context.feeds:
        caller.is_silent = True
    context.silent_seconds = seconds


@when("target {number:d} joins in that time")
def join_in_that_time(context, number):
    fleet = context.fleet
    fleet.states[number] = TargetState.ACTIVE
    in_loop(context, fleet.publish)
    in_loop(context, fleet.start_agent, number)
    in_loop(context, fleet.put_in_force)
    for _ in range(context.silent_seconds // LOST_SECONDS):
        context.run(sleep(LOST_SECONDS))
        for caller in context.feeds:
            caller.connection.resends = 0
    for caller in context.feeds:
        caller.loses_answers = False
        caller.is_silent = False


@when("balancer 1 and agents 1 to 4 are partitioned from the others")
def partition(context):
    fleet = context.fleet
    agents = [fleet.agents[number] for number in range(1, 5)]
    context.side = [fleet.balancers["b-1"], *agents]
    for node in context.side:
        fleet.wire.sides[node.address] = 1


@when("each balancer suspects the agents that it cannot reach")
def suspect_other_side(context):
    fleet = context.fleet
    for balancer in fleet.balancers.values():
        for number, agent in fleet.agents.items():
            if (agent in context.side) != (balancer in context.side):
                balancer.suspect(number)


@when("the partition ends")
def heal(context):
    context.fleet.wire.sides.clear()


@when("the callers send their requests")
def send_requests(context):
    async def ask():
        for caller in context.feeds:
            caller.ask()
        await sleep(ANSWER_SECONDS)

    context.run(ask())


@when("the callers send requests whose first answers are lost")
def send_with_losses(context):
    for caller in context.feeds:
        caller.loses_answers = True
        in_loop(context, caller.ask)
    context.run(sleep(LOST_SECONDS))
    for caller in context.feeds:
        caller.loses_answers = False
    context.run(sleep(ANSWER_SECONDS))


@then("every connection is on one host and gets its answers")
def check_connections(context):
    send_requests(context)
    for caller in context.feeds:
        owners = context.fleet.find_owners(caller.address.port)
        assert len(owners) == 1, (caller.address.port, owners)
        check_feed(context, caller)


@then("none is on host {number:d}")
def check_avoided(context, number):
    assert not context.fleet.agents[number].host.connections


@then("some connections are on two hosts")
def check_two_hosts(context):
    ports = [caller.address.port for caller in context.feeds]
    assert any(len(context.fleet.find_owners(port)) > 1 for port in ports)


@then("no request ran twice, and answered requests ran once")
def check_runs(context):
    for caller in context.feeds:
        [line] = caller.asked
        runs = context.fleet.count_runs(line)
        assert runs <= 1
        answered = caller.answers.decode().splitlines()
        assert answered == [line] * runs, (answered, runs)
    assert any(caller.answers for caller in context.feeds)
