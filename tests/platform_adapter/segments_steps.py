"""Steps on the platform's packets."""

from behave import then
from hypothesis import given as for_all
from hypothesis import strategies

from chicorycart.address import Address
from chicorycart.packets.errors import PacketError
from chicorycart.packets.flow import describe_flow
from chicorycart.platform.segments import ACK
from chicorycart.platform.segments import PlatformCodec
from chicorycart.platform.segments import SYN
from tests.standins.endpoints import make_head

CODEC = PlatformCodec(8172)
OPENING = bytes.fromhex(
    "c61200019c4101bb64400007200000112233440000000000000000a1b2c3d5"
)
RESET = bytes.fromhex(
    "6440000701bb9c41c612000104000000000000000000000000000000000000"
)
RETURNED_FLAG = 8
CALLER = Address("100.64.0.7", 40001)
ENTRY = Address("198.18.0.1", 443)


@then("the documented opening packet gives its flow, entry and sequence")
def check_opening(context):
    segment = CODEC.decode_inbound(OPENING)
    assert segment.is_opening
    assert not segment.is_accepting
    assert not segment.is_closing
    assert not segment.is_returned
    assert segment.sequence == 0x11223344
    assert segment.copies == 0
    assert segment.payload_bytes == 0
    name = describe_flow(segment.flow)
    assert name == "tcp:100.64.0.7:40001>198.18.0.1:443", name
    assert CODEC.find_caller(segment.flow) == Address("100.64.0.7", 8172)


@then("the reset of the documented packet is the documented one")
def check_reset(context):
    segment = CODEC.decode_inbound(OPENING)
    assert CODEC.build_reset(segment) == RESET
    open_packet = make_head(CALLER, ENTRY, ACK, ack=4711)
    reset = CODEC.build_reset(CODEC.decode_inbound(open_packet))
    assert CODEC.decode_outbound(reset).sequence == 4711
    assert CODEC.decode_outbound(reset).is_reset


@then("a packet that a host marks and returns is restored byte for byte")
def check_restored(context):
    data = make_head(CALLER, ENTRY, ACK, 3, 1, 2) + b"abc"
    marked = data[:12] + bytes((data[12] | RETURNED_FLAG,)) + data[13:]
    segment = CODEC.decode_outbound(marked)
    assert segment.is_returned
    assert segment.flow == CODEC.decode_inbound(data).flow
    assert CODEC.restore(segment) == data


@then("an answer has the flow of the packet that it answers")
def check_directions(context):
    asked = CODEC.decode_inbound(make_head(CALLER, ENTRY, SYN))
    answer = CODEC.decode_outbound(make_head(ENTRY, CALLER, SYN | ACK))
    assert answer.is_accepting
    assert answer.flow == asked.flow


@then("every packet with a byte more or less is rejected")
def check_lengths(context):
    data = make_head(CALLER, ENTRY, ACK, 5) + b"abcde"
    for wrong in (data + b"x", *(data[:end] for end in range(len(data)))):
        try:
            CODEC.decode_inbound(wrong)
        except PacketError:
            continue
        raise AssertionError(f"{len(wrong)} bytes were decoded")


@then("arbitrary bytes give a packet error or a segment")
def check_arbitrary(context):
    @for_all(strategies.binary(max_size=80), strategies.booleans())
    def check(raw, is_inbound):
        read = CODEC.decode_inbound if is_inbound else CODEC.decode_outbound
        try:
            segment = read(raw)
        except PacketError:
            return
        assert segment.payload_bytes == len(raw) - 31

    check()
