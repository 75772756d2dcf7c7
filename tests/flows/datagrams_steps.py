"""Steps on UDP flows."""

from asyncio import sleep

from behave import given
from behave import then
from behave import when
import dpkt

from chicorycart.address import Address
from chicorycart.configuration.model import ServiceKind
from chicorycart.configuration.model import TargetState
from tests.flows.ownership_steps import change_other_service
from tests.flows.ownership_steps import FIRST_PORT
from tests.flows.ownership_steps import in_loop
from tests.flows.ownership_steps import MINUTE_SECONDS
from tests.flows.ownership_steps import start_fleet
from tests.standins.fleet import ENTRY
from tests.standins.segments import build_ip

GAP_SECONDS = 0.5
CALLER_HOST = "198.18.0.9"


@given("{agents:d} agents and {balancers:d} balancers of one UDP service")
def start_udp_fleet(context, agents, balancers):
    start_fleet(
        context,
        agents,
        balancers,
        ServiceKind.PACKET,
        protocol=dpkt.ip.IP_PROTO_UDP,
    )
    context.sent = 0


def send_all(context, callers):
    for port in range(FIRST_PORT, FIRST_PORT + callers):
        datagram = dpkt.udp.UDP(sport=port, dport=ENTRY.port, data=b"x")
        datagram.ulen = len(datagram)
        caller = Address(CALLER_HOST, port)
        packet = build_ip(caller, ENTRY, dpkt.ip.IP_PROTO_UDP, datagram)
        name = context.fleet.random.choice(list(context.fleet.balancers))
        balancer = context.fleet.balancers[name]
        in_loop(context, balancer.forwarder.handle_datagram, packet, caller)
    context.sent += 1


@when("{callers:d} callers send {count:d} packets each")
def send_packets(context, callers, count):
    for _ in range(count):
        send_all(context, callers)
        context.run(sleep(GAP_SECONDS))


@when("{callers:d} callers send {count:d} packets at once")
def send_burst(context, callers, count):
    for _ in range(count):
        send_all(context, callers)
    context.run(sleep(GAP_SECONDS))


def find_hosts(context, port):
    return {
        number: agent.host.datagrams[CALLER_HOST, port]
        for number, agent in context.fleet.agents.items()
        if agent.host.datagrams[CALLER_HOST, port]
    }


@when("the host of the first caller drains")
def drain_first(context):
    [number] = find_hosts(context, FIRST_PORT)
    context.fleet.states[number] = TargetState.DRAINING
    change_other_service(context)


@when("{minutes:d} minutes pass without packets")
def pass_silence(context, minutes):
    for _ in range(minutes):
        context.run(sleep(MINUTE_SECONDS))
        change_other_service(context)


@then("all packets of each caller reached one host")
def check_one_host(context):
    for port in range(FIRST_PORT, FIRST_PORT + 30):
        hosts = find_hosts(context, port)
        assert list(hosts.values()) == [context.sent], (port, hosts)


@then("the packets of each caller reached one host, at least one of them")
def check_burst(context):
    for port in range(FIRST_PORT, FIRST_PORT + 30):
        assert len(find_hosts(context, port)) == 1
