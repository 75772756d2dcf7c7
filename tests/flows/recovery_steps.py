"""Steps on agents that restart and on messages that must be refused."""

from asyncio import sleep

from behave import given
from behave import then
from behave import when
import dpkt

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.agent.errors import HostError
from chicorycart.clock import LoopClock
from chicorycart.configuration.model import hash_name
from chicorycart.configuration.model import ServiceKind
from chicorycart.configuration.model import TargetState
from chicorycart.defaults import BUCKETS_PER_SERVICE
from chicorycart.defaults import MAX_HOPS
from chicorycart.defaults import MAX_LEASE_SECONDS
from chicorycart.flows.messages import encode_record
from chicorycart.flows.messages import OwnerRecord
from chicorycart.links.datagrams import MessageKind
from chicorycart.packets.flow import hash_flow
from chicorycart.packets.forward import encode_forward
from chicorycart.packets.forward import Forward
from chicorycart.packets.ipv4 import parse_packet
from chicorycart.placement.chain import bucket_of
from tests.flows.ownership_steps import check_feed
from tests.flows.ownership_steps import in_loop
from tests.flows.ownership_steps import start_fleet
from tests.standins.fleet import ENTRY
from tests.standins.fleet import SERVICE
from tests.standins.segments import build_packet

CALLER = Address("198.18.0.2", 50_000)
UNKNOWN_ADDRESS = Address("192.0.2.200", 7001)
RESEND_SECONDS = 5


class UnknownHost:
    """A process that is not an agent of the service."""

    def __init__(self):
        self.received = []

    def handle_datagram(self, data, source):
        self.received.append(data)


def build_segment(entry=ENTRY):
    segment = dpkt.tcp.TCP(seq=1, ack=1, flags=dpkt.tcp.TH_ACK, data=b"x")
    return build_packet(CALLER, entry, segment)


@given("{agents:d} agents and {balancers:d} balancers of one packet service")
def start_packet_fleet(context, agents, balancers):
    start_fleet(context, agents, balancers, ServiceKind.PACKET)


@when("the agent of the first feed is replaced")
def replace_first(context):
    in_loop(context, context.fleet.start_agent, context.first_owner)


@when(
    "the host of the first feed fails to list its connections for"
    " {seconds:d} seconds"
)
def fail_to_list(context, seconds):
    host = context.fleet.agents[context.first_owner].host
    clock = LoopClock()
    end = in_loop(context, clock.now) + seconds
    list_flows = host.list_flows

    def list_or_fail(entry_key):
        if clock.now() < end:
            raise HostError("cannot read /proc/net/tcp")
        return list_flows(entry_key)

    host.list_flows = list_or_fail


@then("no host reset a caller")
def check_no_resets(context):
    resets = {n: a.host.resets for n, a in context.fleet.agents.items()}
    assert not any(resets.values()), resets


@when("the target {number:d} drains")
def drain_target(context, number):
    context.fleet.states[number] = TargetState.DRAINING
    in_loop(context, context.fleet.publish)
    in_loop(context, context.fleet.put_in_force)


@when("two targets with feeds in the same bucket drain")
def drain_two(context):
    context.bucket_owners = find_bucket_owners(context)
    for number in context.bucket_owners:
        context.fleet.states[number] = TargetState.DRAINING
    in_loop(context, context.fleet.publish)
    in_loop(context, context.fleet.put_in_force)


def find_bucket_owners(context):
    """Return two agents that both own flows in each bucket of their feeds."""
    fleet = context.fleet
    agents = list(fleet.agents)[:2]
    for caller in context.feeds:
        owners = fleet.find_owners(caller.address.port)
        if owners[0] in agents:
            flow = parse_packet(caller.first_packet).flow
            other = flow_in_same_bucket(flow)
            other_owner = agents[1 - agents.index(owners[0])]
            table = fleet.agents[other_owner].ownership.table
            in_loop(context, table.touch, other, False)
    return agents


def flow_in_same_bucket(flow):
    bucket = bucket_of(hash_flow(flow))
    for number in range(1 << 24):
        other = flow[:1] + number.to_bytes(4, "big") + flow[5:]
        if other != flow and bucket_of(hash_flow(other)) == bucket:
            return other
    raise AssertionError("no other flow found in the bucket")


@when("the agent whose record arrived first dies")
def kill_first_owner(context):
    fleet = context.fleet
    third = fleet.agents[3].ownership.records
    first = next(iter(third.stored))
    context.bucket_owners.sort(key=lambda n: fleet.agents[n].own != first)
    assert fleet.agents[context.bucket_owners[0]].own == first
    in_loop(context, fleet.pause, context.bucket_owners[0])


@then("no feed of the other target was reset and all its lines ran")
def check_other_owner(context):
    ports = [c.address.port for c in context.feeds]
    owner = [context.bucket_owners[1]]
    mine = [p for p in ports if context.fleet.find_owners(p) == owner]
    assert mine
    context.run(sleep(10))
    for port in mine:
        check_feed(context, context.fleet.callers[port])


@when("a caller on port {port:d} sends on a connection that no agent knows")
def send_unknown(context, port):
    async def send():
        caller = context.fleet.call(port, opens=False)
        caller.connection.expected = 1
        caller.connection.opened.set()
        caller.ask()

    context.run(send())
    context.run(sleep(RESEND_SECONDS))


@then("the caller on port {port:d} was not reset")
def check_not_reset(context, port):
    assert not context.fleet.callers[port].was_reset


@then("the caller on port {port:d} was reset")
def check_reset(context, port):
    assert context.fleet.callers[port].was_reset


def forward_to_first(context, forward):
    async def send():
        agent = context.fleet.agents[1]
        body = bytes((MessageKind.FORWARD,)) + encode_forward(forward)
        agent.link.handle_datagram(body, Address("192.0.2.101", 7001))
        await sleep(1)

    context.run(send())


def make_forward(context, **changes):
    agents = context.fleet.agents
    values = {
        "version": 1,
        "service": hash_name(SERVICE),
        "chain": [agents[1].own, agents[2].own],
        "packet": build_segment(),
        **changes,
    }
    return Forward(**values)


@when("a packet arrives whose chain names an unknown host")
def forge_chain(context):
    context.unknown_host = UnknownHost()
    context.fleet.wire.links[UNKNOWN_ADDRESS] = context.unknown_host
    chain = [context.fleet.agents[1].own, pack_address(UNKNOWN_ADDRESS)]
    forward_to_first(context, make_forward(context, chain=chain))


@then("nothing was sent to the unknown host")
def check_unknown_host(context):
    assert not context.unknown_host.received


@when("a packet arrives that is of another service")
def forge_service(context):
    forward = make_forward(context, service=hash_name("catalogue"))
    forward_to_first(context, forward)


@when("a packet arrives that is for another entry")
def forge_entry(context):
    packet = build_segment(Address("203.0.113.9", 80))
    forward_to_first(context, make_forward(context, packet=packet))


@when("a packet arrives that is cut short")
def cut_packet(context):
    packet = build_segment()[:-1]
    forward_to_first(context, make_forward(context, packet=packet))


@when("a packet arrives that is forwarded too often")
def exhaust_hops(context):
    forward_to_first(context, make_forward(context, hops=MAX_HOPS))


@then("the host of agent {number:d} got nothing")
def check_host(context, number):
    host = context.fleet.agents[number].host
    assert not host.connections
    assert host.resets == 0


@then('agent {number:d} counted "{outcome}"')
def check_outcome(context, number, outcome):
    assert context.fleet.agents[number].count(outcome) > 0


RECORD_FAULTS = {
    "from another instance": {"owner": pack_address(UNKNOWN_ADDRESS)},
    "of another service": {"service": hash_name("catalogue")},
    "leased for too long": {"lease_seconds": MAX_LEASE_SECONDS + 1},
    "of a bucket too high": {"buckets": frozenset({BUCKETS_PER_SERVICE})},
    "cut short": {},
}


@when("a record arrives that is {fault}")
def send_record(context, fault):
    second = context.fleet.agents[2]
    values = {
        "service": hash_name(SERVICE),
        "owner": second.own,
        "incarnation": 1,
        "sequence": 1,
        "lease_seconds": 1.0,
        "buckets": frozenset({1}),
        **RECORD_FAULTS[fault],
    }
    body = encode_record(OwnerRecord(**values))
    if fault == "cut short":
        body = body[:-8]
    data = bytes((MessageKind.OWNER_RECORD,)) + body
    in_loop(
        context,
        context.fleet.agents[1].link.handle_datagram,
        data,
        second.address,
    )


@then("agent {number:d} stores no record")
def check_no_record(context, number):
    assert not len(context.fleet.agents[number].ownership.records)


@then("the link of agent {number:d} counted a malformed datagram")
def check_malformed(context, number):
    dropped = context.fleet.agents[number].link.dropped
    samples = dropped.collect()[0].samples
    totals = [s for s in samples if s.name.endswith("_total")]
    reasons = [s.labels["reason"] for s in totals if s.value]
    assert reasons == ["malformed"], reasons
