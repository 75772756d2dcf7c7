"""Steps of the scenarios on paths that drop datagrams."""

from itertools import permutations

from behave import then
from behave import when

from chicorycart.links.datagrams import MessageKind
from chicorycart.membership.peer_agents import PeerAgentState
from tests.standins.datagrams import FIRST_NEW_PORT

PACKET = b"a packet"


class Received:
    """Records the message bodies that it receives."""

    def __init__(self):
        self.bodies = []

    def receive(self, body, source):
        self.bodies.append(body)


@when('the network drops {what} between the ports of "{first}" and "{second}"')
def sever(context, what, first, second):
    nodes = context.fleet.nodes
    one, other = nodes[first].socket.address, nodes[second].socket.address
    context.fleet.network.severed.add((one, other))
    if what == "all datagrams":
        context.fleet.network.severed.add((other, one))
    context.severed = (first, second)


@then('"{first}" and "{second}" receive heartbeats again, from new ports only')
def check_heartbeats(context, first, second):
    fleet = context.fleet
    for one, other in permutations((first, second)):
        assert fleet.peer_agent(one, other).state is PeerAgentState.LIVE
    peer = fleet.targets[second].agent
    moved = fleet.nodes[first].link.moved
    assert list(moved) == [peer], list(moved)
    assert moved[peer].sent_bytes > 0


@then('a packet that "{balancer}" sends reaches "{agent}"')
def check_packet(context, balancer, agent):
    nodes = context.fleet.nodes
    received = Received()
    nodes[agent].link.register(MessageKind.FORWARD, received)

    async def send():
        nodes[balancer].link.send(
            MessageKind.FORWARD, PACKET, context.fleet.targets[agent].agent
        )

    context.run(send())
    context.execute_steps("When 1 s of virtual time pass")
    assert received.bodies == [PACKET]


@then('"{balancer}" sends to "{agent}" from its published port')
def check_unmoved(context, balancer, agent):
    peer = context.fleet.targets[agent].agent
    assert peer not in context.fleet.nodes[balancer].link.moved


@then("each process opened at most {limit:d} ports, and uses one per peer")
def check_bound(context, limit):
    opened = next(context.fleet.network.ports) - FIRST_NEW_PORT
    nodes = context.fleet.nodes
    assert len(nodes["t-1"].link.moved) == 1
    assert all(len(node.link.moved) <= 1 for node in nodes.values())
    assert opened / len(nodes) <= limit, opened
