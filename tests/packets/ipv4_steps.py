"""Steps on callers' packets, compared with the dpkt library."""

from behave import then
import dpkt
from hypothesis import given as for_all
from hypothesis import strategies

from chicorycart.packets.errors import PacketError
from chicorycart.packets.ipv4 import parse_packet

PORTS = strategies.integers(0, 65_535)
HOSTS = strategies.binary(min_size=4, max_size=4)
OPTIONS = strategies.integers(0, 10).map(lambda words: bytes(4 * words))


@strategies.composite
def complete_packets(draw):
    """Return a packet with any addresses, flags and options."""
    ports = {"sport": draw(PORTS), "dport": draw(PORTS)}
    data = draw(strategies.binary(max_size=40))
    if draw(strategies.booleans()):
        options = draw(OPTIONS)
        transport = dpkt.tcp.TCP(
            **ports,
            flags=draw(strategies.integers(0, 255)),
            off=5 + len(options) // 4,
            opts=options,
            data=data,
        )
    else:
        transport = dpkt.udp.UDP(**ports, ulen=8 + len(data), data=data)
    return wrap(draw, transport)


def wrap(draw, transport):
    options = draw(OPTIONS)
    ip = dpkt.ip.IP(
        src=draw(HOSTS),
        dst=draw(HOSTS),
        p=6 if isinstance(transport, dpkt.tcp.TCP) else 17,
        hl=5 + len(options) // 4,
        opts=options,
        data=transport,
    )
    ip.len = len(ip)
    return bytes(ip)


def is_refused(raw):
    try:
        parse_packet(raw)
    except PacketError:
        return True
    return False


def check_same(raw, packet):
    ip = dpkt.ip.IP(raw)
    flags = ip.data.flags if ip.p == 6 else 0
    assert packet.raw == raw
    assert packet.flow == b"".join(
        (
            bytes((ip.p,)),
            ip.src,
            ip.data.sport.to_bytes(2, "big"),
            ip.dst,
            ip.data.dport.to_bytes(2, "big"),
        )
    )
    host = ".".join(str(part) for part in ip.dst)
    assert packet.entry == (host, ip.data.dport, ip.p)
    assert packet.is_opening == (flags & 0x12 == 0x02)
    assert packet.is_closing == (flags & 0x05 != 0)


@then("every complete packet gives the flow and the flags that dpkt parses")
def check_whole(context):
    for_all(complete_packets())(
        lambda raw: check_same(raw, parse_packet(raw))
    )()


@then("no truncation of a complete packet is parsed")
def check_truncated(context):
    @for_all(complete_packets(), strategies.data())
    def check(raw, data):
        end = data.draw(strategies.integers(0, len(raw) - 1))
        assert is_refused(raw[:end])
        shorter = raw[:2] + end.to_bytes(2, "big") + raw[4:end]
        begin = (raw[0] & 15) * 4
        header = (raw[begin + 12] >> 4) * 4 if raw[9] == 6 else 8
        assert is_refused(shorter) == (end < begin + header)

    check()


@then("no fragment is parsed")
def check_fragments(context):
    @for_all(complete_packets(), strategies.integers(1, 0x3FFF))
    def check(raw, fragment):
        assert is_refused(raw[:6] + fragment.to_bytes(2, "big") + raw[8:])

    check()


@then("only TCP and UDP over IPv4 are parsed")
def check_protocols(context):
    @for_all(complete_packets(), strategies.integers(0, 255))
    def check(raw, number):
        if number not in (6, 17):
            assert is_refused(raw[:9] + bytes((number,)) + raw[10:])
        if number >> 4 != 4 or number & 15 < 5:
            assert is_refused(bytes((number,)) + raw[1:])

    check()


@then("arbitrary bytes give a packet error or what dpkt parses")
def check_arbitrary(context):
    mutations = strategies.tuples(
        complete_packets(),
        strategies.integers(0, 39),
        strategies.integers(0, 255),
    ).map(lambda m: m[0][: m[1]] + bytes((m[2],)) + m[0][m[1] + 1 :])

    @for_all(strategies.one_of(strategies.binary(max_size=80), mutations))
    def check(raw):
        if not is_refused(raw):
            check_same(raw, parse_packet(raw))

    check()
