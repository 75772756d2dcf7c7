"""Steps on the bench of the packet path."""

from behave import given
from behave import then
from behave import when

from measure.packet_path import FLOWS
from measure.packet_path import PathBench


@given("the bench of the packet path")
def make_bench(context):
    context.bench = PathBench(0.0)


@when("its flows open and each sends a packet")
def send_packets(context):
    bench = context.bench
    for packets in (bench.openings, bench.packets):
        bench.forward(packets)
        bench.deliver(list(bench.sender.sent))


@then("every packet was delivered once")
def check_delivered(context):
    assert len(context.bench.host.delivered) == FLOWS
    assert set(context.bench.host.delivered) == set(context.bench.packets)
