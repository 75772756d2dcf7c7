"""Steps that send what no daemon should take."""

from random import Random
from socket import AF_INET
from socket import SOCK_DGRAM
from socket import socket

from behave import then
from behave import when
import dpkt

from chicorycart.address import Address
from chicorycart.links.datagrams import MessageKind
from tests.standins.layout import DATA_PORT
from tests.standins.layout import FABRIC_PORT
from tests.standins.segments import build_packet

GARBAGE_COUNT = 20
GARBAGE_BYTES = 200


def send_garbage(context, source, port, prefixes, names):
    random = Random(1)
    with socket(AF_INET, SOCK_DGRAM) as sender:
        sender.bind((source.host, 0))
        for name in names:
            host = context.testbed.controls[name].host
            for number in range(GARBAGE_COUNT):
                size = random.randrange(GARBAGE_BYTES)
                prefix = prefixes[number % len(prefixes)]
                body = prefix + random.randbytes(size)
                sender.sendto(body, (host, port))


def list_balancers(context):
    return [n for n in context.testbed.controls if n.startswith("balancer")]


def read_counter(context, name, counter, label):
    async def read():
        url = f"http://{context.testbed.controls[name]}/metrics"
        return (await context.testbed.http.fetch(url)).body.decode()

    lines = context.run(read()).splitlines()
    return sum(
        float(line.split()[-1])
        for line in lines
        if line.startswith(counter) and f'"{label}"' in line
    )


@when("an unlisted instance sends garbage to every daemon")
def send_foreign(context):
    stranger = context.testbed.network.place(9, 9, 0)
    kinds = [bytes((kind,)) for kind in MessageKind]
    send_garbage(context, stranger, DATA_PORT, kinds, context.testbed.controls)


@when("a listed instance sends garbage to every daemon")
def send_malformed(context):
    listed = context.testbed.network.place(1, 1, 0)
    kinds = [bytes((kind,)) for kind in MessageKind]
    send_garbage(context, listed, DATA_PORT, kinds, context.testbed.controls)


@when("the fabric delivers garbage to every balancer")
def deliver_garbage(context):
    source = context.testbed.fabric.address
    nowhere = build_packet(
        Address("192.0.2.1", 1), Address("192.0.2.2", 2), dpkt.tcp.TCP()
    )
    prefixes = [b"", b"\x45", nowhere[:30]]
    names = list_balancers(context)
    send_garbage(context, source, FABRIC_PORT, prefixes, names)
    for name in names:
        host = context.testbed.controls[name].host
        context.testbed.fabric.socket.send(nowhere, Address(host, FABRIC_PORT))


@then('every daemon has counted datagrams dropped as "{reason}"')
def check_dropped(context, reason):
    counter = "chicorycart_datagrams_dropped_total"
    for name in context.testbed.controls:
        # A balancer takes no forwarded packets, so all it gets is of a
        # kind that it does not know.
        is_balancer = name.startswith("balancer")
        label = "unknown kind" if is_balancer else reason
        if reason == "foreign":
            label = reason
        assert read_counter(context, name, counter, label) > 0, name


@then('every balancer has counted packets as "{outcome}"')
def check_packets(context, outcome):
    counter = "chicorycart_balancer_packets_total"
    for name in list_balancers(context):
        assert read_counter(context, name, counter, outcome) > 0, name
