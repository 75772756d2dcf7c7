"""Steps on the placement of flows by agents that know loads."""

from behave import given
from behave import then
from behave import when

from chicorycart.links.datagrams import MessageKind
from chicorycart.packets.forward import decode_forward
from chicorycart.packets.ipv4 import parse_packet
from chicorycart.placement.choice import LoadChoice
from chicorycart.placement.load import Load
from tests.flows.openings_steps import drain_for_agents
from tests.flows.openings_steps import pass_seconds
from tests.flows.ownership_steps import start_fleet
from tests.placement.choice_steps import FixedMates
from tests.placement.choice_steps import FixedSource

STRENGTH = 10.0


def note_hops(context):
    send = context.fleet.wire.send

    def send_and_note(source, data, destination):
        if data[0] == MessageKind.FORWARD:
            forward = decode_forward(data[1:])
            if parse_packet(forward.packet).is_opening:
                context.hops.append(forward.hops)
        send(source, data, destination)

    context.hops = []
    context.fleet.wire.send = send_and_note


@given("5 agents and 2 balancers that know each other's loads")
def fleet_with_loads(context):
    start_fleet(context, 5, 2)
    pass_seconds(context, 20)
    note_hops(context)
    context.mates = FixedMates()
    context.sources = {}
    for number, agent in context.fleet.agents.items():
        context.sources[number] = FixedSource(Load(0, 0, STRENGTH))
        choice = LoadChoice(context.sources[number], context.mates)
        agent.ownership.openings.acceptance.choice = choice


def set_load(context, number, flows):
    load = Load(flows, 0, STRENGTH)
    context.sources[number].load = load
    hear(context, number, flows)


def hear(context, number, flows):
    agent = context.fleet.agents[number].own
    context.mates.loads[agent] = Load(flows, 0, STRENGTH)


@when(
    "agent {agent:d} has {first:d} flows in progress and the others {flows:d}"
)
def load_one(context, agent, first, flows):
    for number in context.fleet.agents:
        set_load(context, number, first if number == agent else flows)


@when("agents 1 and 2 have {first:d} flows in progress and the others 5")
def load_two(context, first):
    for number in context.fleet.agents:
        set_load(context, number, first if number <= 2 else 5)


@when("agent {number:d} was last heard of with {flows:d} flows")
def hear_old(context, number, flows):
    hear(context, number, flows)


@when("every agent has {flows:d} flows in progress and was heard of with 0")
def load_all(context, flows):
    for number in context.fleet.agents:
        set_load(context, number, flows)
        hear(context, number, 0)


@when("target {number:d} drains")
def drain_target(context, number):
    context.sources[number].load.takes_new_work = False
    drain_for_agents(context, number)


@then("at most {count:d} connections lie on agent {number:d}")
def check_few(context, count, number):
    fleet = context.fleet
    owners = [fleet.find_owners(port) for port in fleet.callers]
    found = sum(number in numbers for numbers in owners)
    assert found <= count, owners


@then("no opening packet went over more than {count:d} {unit} after the first")
def check_hops(context, count, unit):
    assert max(context.hops) == count + 1, max(context.hops)
