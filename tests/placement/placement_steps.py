"""Steps on agents that place new flows by load."""

from behave import given
from behave import then
from behave import when

from chicorycart.links.datagrams import MessageKind
from chicorycart.packets.forward import decode_forward
from chicorycart.packets.forward import Forward
from chicorycart.packets.ipv4 import parse_packet
from chicorycart.placement.choice import LoadChoice
from chicorycart.placement.load import Load
from tests.flows.openings_steps import drain_for_agents
from tests.flows.openings_steps import pass_seconds
from tests.flows.ownership_steps import in_loop
from tests.flows.ownership_steps import start_fleet
from tests.placement.choice_steps import FixedPeerAgentLoads
from tests.placement.choice_steps import FixedSource

CAPACITY = 10.0


def record_hops(context):
    send = context.fleet.wire.send

    def record_and_send(source, data, destination):
        if data[0] == MessageKind.FORWARD:
            forward = decode_forward(data[1:])
            is_opening = parse_packet(forward.packet).is_opening
            hops = context.hops if is_opening else context.later_hops
            hops.append(forward.hops)
        send(source, data, destination)

    context.hops = []
    context.later_hops = []
    context.fleet.wire.send = record_and_send


class OneLapsed:
    """Leases of which one agent's has lapsed."""

    def __init__(self, agent):
        self.agent = agent

    def is_lapsed(self, agent):
        return agent == self.agent

    def has_lapsed_agents(self):
        return True


@given("5 agents and 2 balancers that know each other's loads")
def fleet_with_loads(context):
    start_fleet(context, 5, 2)
    pass_seconds(context, 20)
    record_hops(context)
    context.peer_agent_loads = FixedPeerAgentLoads()
    context.sources = {}
    for number, agent in context.fleet.agents.items():
        context.sources[number] = FixedSource(Load(0, 0, CAPACITY))
        choice = LoadChoice(context.sources[number], context.peer_agent_loads)
        agent.ownership.openings.acceptance.choice = choice


def set_load(context, number, flows):
    load = Load(flows, 0, CAPACITY)
    context.sources[number].load = load
    record_load(context, number, flows)


def record_load(context, number, flows):
    agent = context.fleet.agents[number].own
    context.peer_agent_loads.loads[agent] = Load(flows, 0, CAPACITY)


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


@when("agent {number:d} last reported {flows:d} flows")
def report_outdated_load(context, number, flows):
    record_load(context, number, flows)


@when("every agent has {flows:d} flows in progress but last reported 0")
def load_all(context, flows):
    for number in context.fleet.agents:
        set_load(context, number, flows)
        record_load(context, number, 0)


@when("target {number:d} drains")
def drain_target(context, number):
    context.sources[number].load.takes_new_work = False
    drain_for_agents(context, number)


@then("at most {count:d} connections are on agent {number:d}")
def check_at_most(context, count, number):
    fleet = context.fleet
    owners = [fleet.find_owners(port) for port in fleet.callers]
    found = sum(number in numbers for numbers in owners)
    assert found <= count, owners


@then(
    "no opening packet was forwarded to more than {count:d} {unit}"
    " after the first"
)
def check_hops(context, count, unit):
    assert max(context.hops) == count + 1, max(context.hops)


@then("no later packet was forwarded to more than 1 agent after the first")
def check_later_hops(context):
    assert max(context.later_hops) == 2, max(context.later_hops)


def flow_of(caller):
    return parse_packet(caller.first_packet).flow


@when("every agent remembers a wrong owner of every connection")
def remember_wrong(context):
    agents = context.fleet.agents
    for port, caller in context.fleet.callers.items():
        [owner] = context.fleet.find_owners(port)
        wrong = [number for number in agents if number != owner]
        for number, agent in agents.items():
            other = wrong[wrong.index(number) - 1] if number in wrong else 0
            if other:
                hints = agent.ownership.delivery.search.hints
                in_loop(
                    context,
                    hints.remember,
                    flow_of(caller),
                    agents[other].own,
                )


def recall(context):
    """Return the agent that remembers, and what it recalls."""
    [(port, caller)] = context.fleet.callers.items()
    [owner] = context.fleet.find_owners(port)
    agent = context.fleet.agents[2 if owner == 1 else 1]
    packet = parse_packet(caller.first_packet)
    forward = Forward(1, 1, [agent.own], packet.raw, hops=1)
    search = agent.ownership.delivery.search
    return agent, in_loop(context, search.recall, forward, packet)


@then("an agent sends a packet of it directly to the remembered agent")
def check_direct(context):
    agent, found = recall(context)
    assert found in [other.own for other in context.fleet.agents.values()]
    context.remembered = found


@then("not once it suspects the remembered agent")
def check_not_suspected(context):
    agent, _ = recall(context)
    agent.ownership.delivery.service_agents.leases = OneLapsed(
        context.remembered
    )
    assert recall(context)[1] is None
