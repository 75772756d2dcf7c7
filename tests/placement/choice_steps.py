"""Steps on the choice of a candidate by load."""

from behave import given
from behave import then
from behave import when

from chicorycart.placement.choice import LoadChoice
from chicorycart.placement.load import Load


class FixedSource:
    """The own target, with a load that the scenario sets."""

    def __init__(self, load):
        self.load = load

    def current_load(self):
        return self.load


class FixedPeerAgentLoads:
    """Peer agents with loads that the scenario reports."""

    def __init__(self):
        self.loads = {}

    def load_of(self, agent):
        return self.loads.get(agent)


def choose(context):
    return context.choice.choose(list(context.agents.values()))


@given("an own target of capacity {capacity:g} with {flows:d} flows")
def own_target(context, capacity, flows):
    context.source = FixedSource(Load(flows, 0, capacity))
    context.peer_agent_loads = FixedPeerAgentLoads()
    context.agents = {}
    context.choice = LoadChoice(context.source, context.peer_agent_loads)


@given('a peer agent "{name}" of capacity {capacity:g} with {flows:d} flows')
def peer_agent(context, name, capacity, flows):
    agent = context.agents.setdefault(name, len(context.agents) + 1)
    context.peer_agent_loads.loads[agent] = Load(flows, 0, capacity)


@given(
    'a peer agent "{name}" of capacity {capacity:g} with {flows:d} flows'
    " that takes no new work"
)
def leaving_peer_agent(context, name, capacity, flows):
    peer_agent(context, name, capacity, flows)
    context.peer_agent_loads.loads[context.agents[name]].takes_new_work = False


@given("the own target takes no new work")
def own_leaves(context):
    context.source.load.takes_new_work = False


@when("{count:d} flows are placed")
def place_flows(context, count):
    context.placed = [choose(context) for _ in range(count)]


@when('"{name}" reports {flows:d} flows')
def receive_peer_agent_load(context, name, flows):
    peer_agent(context, name, 10.0, flows)


@when('the lease of "{name}" expires')
def end_lease(context, name):
    del context.peer_agent_loads.loads[context.agents[name]]


@then("the flow goes to {choice}")
def check_choice(context, choice):
    found = choose(context)
    assert found == context.agents.get(choice), found


@then('at least {low:d} and at most {high:d} of them went to "{name}"')
def check_forwarded(context, low, high, name):
    forwarded = context.placed.count(context.agents[name])
    assert low <= forwarded <= high, forwarded
