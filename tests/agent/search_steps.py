"""Steps on the search for the owner of an open flow."""

from collections import Counter
from random import Random

from behave import given
from behave import then
from behave import when
import dpkt
from prometheus_client import CollectorRegistry

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.agent.recovery import FlowRecovery
from chicorycart.agent.search import OwnerSearch
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import Entry
from chicorycart.configuration.model import Service
from chicorycart.configuration.model import ServiceKind
from chicorycart.configuration.model import Target
from chicorycart.configuration.model import TargetState
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.defaults import BUCKETS_PER_SERVICE
from chicorycart.defaults import MAX_LEASE_SECONDS
from chicorycart.defaults import SETTLING_SECONDS
from chicorycart.defaults import TICK_SECONDS
from chicorycart.flows.messages import OwnerRecord
from chicorycart.flows.openings import OpeningMemory
from chicorycart.flows.records import OwnerRecords
from chicorycart.flows.service_agents import pack_agents
from chicorycart.flows.service_agents import ServiceAgents
from chicorycart.flows.settling import Settling
from chicorycart.flows.table import FlowTable
from chicorycart.membership.messages import Heartbeat
from chicorycart.membership.peer_agents import PeerAgentTable
from chicorycart.packets.flow import hash_flow
from chicorycart.packets.forward import Forward
from chicorycart.packets.ipv4 import parse_packet
from chicorycart.placement.chain import bucket_of
from chicorycart.placement.chain import choose_candidates
from chicorycart.placement.load import Load
from tests.standins.segments import build_packet

CALLER = Address("198.18.0.1", 40_000)
ENTRY = Address("203.0.113.1", 80)
SERVICE = "dispatch"
ALL_BUCKETS = frozenset(range(BUCKETS_PER_SERVICE))
UNKNOWN_AGENT = pack_address(Address("192.0.2.200", 7001))


class ManualClock:
    """A clock that a step sets."""

    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time


class NoConnections:
    """An instance without connections."""

    def list_flows(self, entry):
        return []


class RecordingOutput:
    """Records what a search does with each packet."""

    def __init__(self):
        self.sent = Counter()
        self.outcomes = Counter()
        self.counts = Counter()
        self.is_over = False

    def send_to(self, forward, packet, agent, reason):
        self.sent[agent] += 1
        forward.hops += 1

    def drop(self, forward, packet, reason):
        self.outcomes[reason] += 1
        self.is_over = True

    def reset(self, forward, packet):
        self.outcomes["reset"] += 1
        self.is_over = True

    def count(self, outcome):
        self.counts[outcome] += 1


def pack_agent(number):
    return pack_address(Address(f"192.0.2.{number}", 7001))


def make_configuration(version, count, state=TargetState.ACTIVE):
    """Return a version with targets, the last one in the given state."""
    targets = tuple(
        Target(
            f"t-{number}", Address(f"192.0.2.{number}", 7001), "a", 1.0, 2,
            state if number == count else TargetState.ACTIVE,
        )
        for number in range(1, count + 1)
    )  # fmt: skip
    service = Service(SERVICE, Entry(ENTRY, 6), ServiceKind.HTTP, targets)
    return Configuration(version, {SERVICE: service})


@given("an agent of a service of {count:d} targets")
def make_agent(context, count):
    clock = context.clock = ManualClock()
    context.store = ConfigurationStore(clock)
    context.store.put_in_force(make_configuration(1, count))
    context.packet = parse_packet(
        build_packet(
            CALLER,
            ENTRY,
            dpkt.tcp.TCP(seq=1, ack=1, flags=dpkt.tcp.TH_ACK, data=b"x"),
        )
    )
    bucket = bucket_of(hash_flow(context.packet.flow))
    service = context.store.current.services[SERVICE]
    context.candidates = pack_agents(choose_candidates(service, bucket))
    context.service = service.identifier
    context.peer_agents = PeerAgentTable(
        clock, context.candidates[0], context.service
    )
    context.service_agents = ServiceAgents(
        context.store,
        SERVICE,
        context.candidates[0],
        clock,
        context.peer_agents,
    )
    context.silent = None
    context.sequence = 0
    context.registry = CollectorRegistry()
    context.records = OwnerRecords(clock, context.registry)
    context.output = RecordingOutput()
    context.search = OwnerSearch(
        context.output,
        context.service_agents,
        context.records,
        OpeningMemory(clock),
        OpeningMemory(clock),
        Settling(clock, context.service_agents),
        FlowRecovery(
            NoConnections(),
            context.service_agents,
            FlowTable(clock),
            Random(1),
        ),
        Random(1),
    )
    pass_time(context, SETTLING_SECONDS)


@when("{seconds:d} s pass")
def pass_time(context, seconds):
    """Let time pass in which all targets of the service are heard."""
    for _ in range(int(seconds / TICK_SECONDS)):
        context.clock.time += TICK_SECONDS
        context.search.settling.tick()
        targets = set(context.service_agents.targets)
        for agent in targets - {context.silent}:
            hear(context, agent)
        context.peer_agents.check(targets)


def hear(context, agent):
    context.sequence += 1
    context.peer_agents.record_heartbeat(
        Heartbeat(
            agent, context.service, 1, context.sequence, 1, Load(0, 0, 1.0)
        )
    )


@when("target {number:d}, which is no candidate, joins and falls silent")
def silence_joining(context, number):
    put_in_force(context, number, TargetState.DRAINING)
    pass_time(context, SETTLING_SECONDS)
    context.silent = pack_agent(number)
    pass_time(context, SETTLING_SECONDS)
    assert context.peer_agents.is_lapsed(context.silent)


@when("it is removed from the configuration")
def remove_last(context):
    put_in_force(context, len(context.service_agents.targets) - 1)


def put_in_force(context, count, state=TargetState.ACTIVE):
    version = context.store.current.version + 1
    context.store.put_in_force(make_configuration(version, count, state))


@given("{count:d} agents that left the service own flows of every bucket")
def record_owners(context, count):
    context.owners = store_records(context, 100, count, ALL_BUCKETS)


@given("{count:d} agents that left the service own flows of another bucket")
def record_other_owners(context, count):
    bucket = bucket_of(hash_flow(context.packet.flow))
    store_records(context, 150, count, frozenset({bucket ^ 1}))


def store_records(context, first, count, buckets):
    owners = [pack_agent(first + number) for number in range(count)]
    for owner in owners:
        context.service_agents.remember(owner)
        context.records.store(
            OwnerRecord(
                context.service, owner, 1, 1, MAX_LEASE_SECONDS, buckets
            )
        )
    return owners


@when("a caller sends a packet of an unknown flow {count:d} times")
def send_packets(context, count):
    for _ in range(count):
        search(context)


@when("a caller sends a packet whose chain names an agent that is not known")
def send_to_unknown(context):
    search(context, UNKNOWN_AGENT)


def search(context, *others):
    """Pass on a packet until its search ends.

    No other agent owns the flow, and all know the same as this one.
    """
    output = context.output
    output.is_over = False
    forward = Forward(
        context.store.current.version,
        context.service,
        [context.service_agents.own, *others],
        b"",
        hops=1,
    )
    while not output.is_over:
        context.search.forward_to_next(forward, context.packet)


@then('the flow was dropped {count:d} times for "{reason}"')
def check_dropped(context, count, reason):
    assert context.output.outcomes == {reason: count}, context.output.outcomes


@then("the flow was reset at last")
def check_reset_at_last(context):
    assert context.output.outcomes["reset"] == 1, context.output.outcomes


@then("the flow was reset")
def check_reset(context):
    assert context.output.outcomes == {"reset": 1}, context.output.outcomes


@then("the unknown agent got nothing")
def check_unknown(context):
    assert context.output.counts["unknown agent"]
    assert not context.output.sent[UNKNOWN_AGENT]


@then("each of the {owners:d} owners and {others:d} candidates got the packet")
def check_asked(context, owners, others):
    agents = {*context.owners, *context.candidates[1:]}
    assert len(agents) == owners + others
    assert set(context.output.sent) == agents, len(context.output.sent)


@then("{count:d} record was refused for want of room")
def check_refused(context, count):
    name = "chicorycart_owner_records_refused_total"
    assert context.registry.get_sample_value(name) == count
