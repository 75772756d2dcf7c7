"""Steps on encoding and decoding of forwarded packets."""

from random import Random

from behave import given
from behave import then
from behave import when
from hypothesis import given as for_all
from hypothesis import strategies
from prometheus_client import CollectorRegistry

from chicorycart.address import Address
from chicorycart.links.datagrams import DatagramLink
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.metrics import count_dropped
from chicorycart.packets.errors import PacketError
from chicorycart.packets.forward import decode_forward
from chicorycart.packets.forward import encode_forward
from chicorycart.packets.forward import Forward
from measure.fleet import make_ownership
from measure.fleet import make_service
from measure.fleet import make_store
from measure.fleet import ManualClock
from measure.fleet import MemoryHost
from measure.fleet import MemorySender
from measure.traffic import make_data
from measure.traffic import make_opening

SOURCE = Address("192.0.2.250", 7000)
UINT64_VALUES = strategies.integers(0, 2**64 - 1)


@strategies.composite
def forwards(draw):
    """Return a message with a position within its chain."""
    chain = draw(strategies.lists(UINT64_VALUES, min_size=1, max_size=12))
    return Forward(
        draw(UINT64_VALUES),
        draw(UINT64_VALUES),
        chain,
        draw(strategies.binary(max_size=60)),
        draw(strategies.integers(0, len(chain) - 1)),
        draw(strategies.integers(0, 255)),
        draw(strategies.booleans()),
        draw(strategies.booleans()),
    )


def read(body):
    try:
        return decode_forward(body)
    except PacketError:
        return None


def list_fields(forward):
    return [getattr(forward, name) for name in Forward.__slots__]


def check_position(body):
    forward = read(body)
    if forward is not None:
        assert forward.position < len(forward.chain)


@then("every message is decoded to the values that were encoded")
def check_round_trip(context):
    @for_all(forwards())
    def check(forward):
        decoded = decode_forward(encode_forward(forward))
        assert list_fields(decoded) == list_fields(forward)

    check()


@then("no message that ends within its header is decoded")
def check_truncated(context):
    @for_all(forwards(), strategies.data())
    def check(forward, data):
        body = encode_forward(forward)
        header = len(body) - len(forward.packet)
        end = data.draw(strategies.integers(0, header - 1))
        assert read(body[:end]) is None
        beyond = (header + 1 - 10).to_bytes(2, "big")
        assert read(body[:8] + beyond + body[10:header]) is None

    check()


@then("a mutated message gives a packet error or a position within its chain")
def check_mutated(context):
    changes_at = strategies.tuples(UINT64_VALUES, strategies.binary())

    @for_all(forwards(), strategies.lists(changes_at, max_size=4))
    def check(forward, changes):
        body = encode_forward(forward)
        for place, change in changes:
            start = place % len(body)
            body = body[:start] + change + body[start + len(change) :]
        check_position(body)

    check()


@then("arbitrary bytes give a packet error or a position within their chain")
def check_arbitrary(context):
    @for_all(strategies.binary(max_size=200))
    def check(data):
        check_position(data)
        check_position(bytes(8) + len(data).to_bytes(2, "big") + data)

    check()


@then("a message whose chain has 200 agents is refused")
def check_long(context):
    assert read(encode_forward(Forward(1, 2, [3] * 200, b""))) is None


@then("a message decodes to the same values after a first result was modified")
def check_no_sharing(context):
    body = encode_forward(Forward(1, 2, [3, 4], b"x"))
    decode_forward(body).chain.clear()
    assert decode_forward(body).chain == [3, 4]


class AllSources:
    """Accepts datagrams of every source."""

    def is_known(self, host):
        return True


@given("an agent that owns a flow")
def agent_with_flow(context):
    service = make_service([1.0])
    clock = ManualClock()
    context.host = MemoryHost()
    context.registry = CollectorRegistry()
    context.link = DatagramLink(
        None, AllSources(), count_dropped(context.registry)
    )
    context.service = service
    ownership = make_ownership(
        make_store(clock, service),
        clock,
        service.targets[0],
        context.host,
        MemorySender(),
    )
    context.link.register(MessageKind.FORWARD, ownership.delivery)
    deliver(context, make_opening(1))


def deliver(context, packet):
    forward = Forward(1, context.service.identifier, [1], packet, hops=1)
    context.link.handle_datagram(b"\x01" + encode_forward(forward), SOURCE)


@when("it gets {count:d} malformed datagrams between packets of the flow")
def send_malformed(context, count):
    random = Random(1)
    context.sent = [make_opening(1)]
    for _ in range(count):
        packet = make_data(1, random)
        context.sent.append(packet)
        bad = encode_forward(Forward(1, 2, [3], packet[:30]))
        bad = random.choice([bad, bad[:40], random.randbytes(60)])
        context.link.handle_datagram(b"\x01" + bad, SOURCE)
        deliver(context, packet)


@then("each packet of the flow is delivered")
def check_delivered(context):
    assert context.host.delivered == context.sent


@then("{count:d} datagrams are counted as malformed")
def check_counted(context, count):
    counted = context.registry.get_sample_value(
        "chicorycart_datagrams_dropped_total", {"reason": "malformed"}
    )
    assert counted == count, counted
