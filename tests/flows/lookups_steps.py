"""Steps on lookups whose messages are lost."""

from asyncio import get_running_loop
from asyncio import sleep
from collections import Counter

from behave import given
from behave import then
from behave import when

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.clock import LoopClock
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.flows.lookups import OwnerLookups
from chicorycart.flows.messages import decode_answer
from chicorycart.flows.messages import decode_query
from chicorycart.flows.openings import OpeningMemory
from chicorycart.flows.service_agents import ServiceAgents
from chicorycart.flows.table import FlowTable
from chicorycart.links.datagrams import MessageKind

SERVICE = 1
FLOW = b"\x06" + bytes(12)
REQUESTER = Address("192.0.2.1", 7001)
OWNER = Address("192.0.2.2", 7001)
OTHER = Address("192.0.2.3", 7001)
DELAY_SECONDS = 0.001
WAIT_SECONDS = 1.0


class LossyNetwork:
    """Carries messages; loses the first ones of the given kinds.

    Attributes
    ----------
    losses : Counter
        How many messages to lose, by kind and the agent's address.
    queries : Counter
        Queries sent to each agent, the lost ones too.
    """

    def __init__(self):
        self.lookups = {}
        self.losses = Counter()
        self.queries = Counter()

    def carry(self, kind, body, source, destination):
        agent = destination
        if kind is MessageKind.OWNER_ANSWER:
            agent = source
        else:
            self.queries[destination] += 1
        if self.losses[kind, agent]:
            self.losses[kind, agent] -= 1
            return
        get_running_loop().call_later(
            DELAY_SECONDS, self.arrive, kind, body, destination
        )

    def arrive(self, kind, body, destination):
        lookups = self.lookups[destination]
        if kind is MessageKind.OWNER_QUERY:
            lookups.handle_query(decode_query(body))
        else:
            lookups.handle_answer(decode_answer(body))


class NetworkSender:
    """Sends the messages of one agent."""

    def __init__(self, network, address):
        self.network = network
        self.address = address

    def send(self, kind, body, destination):
        self.network.carry(kind, body, self.address, destination)


class LookupOutcome:
    """Keeps the outcome of a lookup and when it came."""

    def __init__(self):
        self.began_at = get_running_loop().time()
        self.outcome = None
        self.seconds = None

    def handle_owner(self, owner):
        self.end(owner)

    def handle_no_owner(self):
        self.end("no owner")

    def give_up(self, reason):
        self.end(reason)

    def end(self, outcome):
        assert self.outcome is None
        self.outcome = outcome
        self.seconds = get_running_loop().time() - self.began_at


@given("an agent that looks up flows at two others, one of which owns them")
def start_agents(context):
    async def start():
        network = context.network = LossyNetwork()
        for address in (REQUESTER, OWNER, OTHER):
            clock = LoopClock()
            agents = ServiceAgents(
                ConfigurationStore(clock), "dispatch", pack_address(address),
                clock,
            )  # fmt: skip
            for agent in (REQUESTER, OWNER, OTHER):
                agents.remember(pack_address(agent))
            table = FlowTable(clock)
            network.lookups[address] = OwnerLookups(
                SERVICE, agents, table, OpeningMemory(clock), clock,
                NetworkSender(network, address), 0,
            )  # fmt: skip
        network.lookups[OWNER].table.touch(FLOW, is_closing=False)

    context.run(start())


@when("the first query to the owner is lost")
def lose_query(context):
    context.network.losses[MessageKind.OWNER_QUERY, OWNER] = 1


@when("every query to the owner is lost")
def lose_queries(context):
    context.network.losses[MessageKind.OWNER_QUERY, OWNER] = 1_000


@when("the first answer of the owner is lost")
def lose_answer(context):
    context.network.losses[MessageKind.OWNER_ANSWER, OWNER] = 1


@when("the agent looks up a flow")
def look_up(context):
    async def ask():
        context.result = LookupOutcome()
        agents = [pack_address(OWNER), pack_address(OTHER)]
        lookups = context.network.lookups[REQUESTER]
        lookups.ask(FLOW, agents, context.result)
        await sleep(WAIT_SECONDS)

    context.run(ask())


@then("it learns the owner")
def check_owner(context):
    outcome = context.result.outcome
    assert outcome == pack_address(OWNER), outcome


@then("it learns within {seconds:f} s that there is no owner")
def check_no_owner(context, seconds):
    assert context.result.outcome == "no owner", context.result.outcome
    assert context.result.seconds <= seconds + 1e-6, context.result.seconds


@then(
    "it sent {owner:d} queries to the owner and {other:d} to the other agent"
)
def check_queries(context, owner, other):
    queries = context.network.queries
    assert (queries[OWNER], queries[OTHER]) == (owner, other), queries
