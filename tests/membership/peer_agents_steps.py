"""Steps of the scenarios on which agents are tracked as peer agents."""

from behave import then
from behave import when

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.configuration.model import hash_name
from chicorycart.membership.messages import Heartbeat
from chicorycart.placement.load import Load
from tests.membership.fleet import SERVICE
from tests.membership.suspicion_steps import call
from tests.membership.suspicion_steps import kill
from tests.membership.suspicion_steps import wait_until


@when('agent "{name}" leaves the configuration')
def leave(context, name):
    fleet = context.fleet
    stay = [target for n, target in fleet.targets.items() if n != name]
    configuration = fleet.configure(2, stay)
    for agent in fleet.targets:
        store = fleet.nodes[agent].membership.monitor.store
        call(context, store.put_in_force, configuration)


@when('agent "{name}" is restarted')
def restart(context, name):
    kill(context, name)
    call(context, context.fleet.start, name)


@when(
    '"{name}" receives heartbeats of {count:d} agents, half of them of another'
    " service"
)
def receive_many(context, name, count):
    table = context.fleet.peer_agents_of(name)
    services = (hash_name(SERVICE), hash_name("catalogue"))
    context.foreign = set()
    for number in range(count):
        agent = pack_address(Address(f"10.0.0.{number + 1}", 7001))
        if number % 2:
            context.foreign.add(agent)
        heartbeat = Heartbeat(
            agent, services[number % 2], 1, 1, 1, Load(0, 0, 1.0)
        )
        call(context, table.record_heartbeat, heartbeat)
    context.peer_agent_table = table


@then("it tracks at most {limit:d} peer agents, all of its own service")
def check_tracked(context, limit):
    assert 0 < len(context.peer_agent_table.peer_agents) <= limit
    assert not context.foreign & context.peer_agent_table.peer_agents.keys()


@then('"{first}" and "{second}" still know each other\'s load')
def check_loads(context, first, second):
    for one, other in ((first, second), (second, first)):
        table = context.fleet.peer_agents_of(one)
        load = call(context, table.load_of, context.fleet.pack(other))
        assert load is not None, (one, other)


@then('"{name}" no longer tracks "{other}"')
def check_forgotten(context, name, other):
    assert context.fleet.peer_agent(name, other) is None


@then('"{name}" suspects "{other}" within {seconds:d} s')
def check_suspects(context, name, other, seconds):
    table = context.fleet.peer_agents_of(name)
    agent = context.fleet.pack(other)
    wait_until(context, lambda: table.is_lapsed(agent), seconds)
