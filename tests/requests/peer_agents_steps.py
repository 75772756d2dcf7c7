"""Steps that forward requests between the gateways of peer agents."""

from asyncio import wait_for
from time import time

from behave import given
from behave import then
from behave import when

from tests.standins.caller import build_request
from tests.standins.caller import send
from tests.standins.faulty import Fault
from tests.standins.faulty import FaultyTarget

PATH = "/bookings/1"
DEADLINE_AHEAD_SECONDS = 20
ARRIVAL_SECONDS = 10
OUTSIDER = "127.0.0.1"


def forward(context, number, source, ahead=DEADLINE_AHEAD_SECONDS, times=1):
    request = build_request(
        PATH,
        X_Chicorycart_Hops="1",
        X_Chicorycart_Deadline=str(int((time() + ahead) * 1000)),
        X_Request_Id="ab" * 16,
    )
    gateway = context.pool.plan.hosts[number - 1].gateway
    context.answers = [
        context.run(send(gateway, request, source)) for _ in range(times)
    ]


def host(context, number):
    return context.pool.plan.hosts[number - 1].gateway.host


@given("gateway {number:d} accepts connections but does not respond")
def silence(context, number):
    gateway = context.pool.plan.hosts[number - 1].gateway
    context.run(context.pool.servers[number - 1].close())
    silent = FaultyTarget(gateway)
    context.pool.targets.append(silent)
    context.run(silent.set_fault(Fault.HANG_BEFORE_RUN))


@when("a request hangs at target {number:d}")
def wait_hanging(context, number):
    hanging = context.pool.targets[number - 1].is_hanging
    context.run(wait_for(hanging.wait(), ARRIVAL_SECONDS))


@when("instance {source:d} forwards a booking to gateway {number:d}")
def forward_once(context, source, number):
    forward(context, number, host(context, source))


@when("instance {source:d} forwards a booking to gateway {number:d} twice")
def forward_twice(context, source, number):
    forward(context, number, host(context, source), times=2)


@when(
    "instance {source:d} forwards a booking to gateway {number:d}"
    " past its deadline"
)
def forward_late(context, source, number):
    forward(context, number, host(context, source), ahead=-1)


@when("an address outside the system forwards a booking to gateway {number:d}")
def forward_outside(context, number):
    forward(context, number, OUTSIDER, ahead=-1)


@when(
    "a caller books {times:d} times with {timeout_ms:d} ms each"
    " at gateway {number:d}"
)
def book(context, times, timeout_ms, number):
    request = build_request(PATH, X_Request_Timeout_Ms=str(timeout_ms))
    gateway = context.pool.plan.hosts[number - 1].gateway
    context.answers = [
        context.run(send(gateway, request)) for _ in range(times)
    ]


@then(
    "gateway {number:d} reports {in_progress:d} request in progress"
    " and {queued:d} queued"
)
def check_load(context, number, in_progress, queued):
    async def ask():
        return context.pool.servers[number - 1].gateway.current_load()

    load = context.run(ask())
    assert (load.in_progress, load.queued) == (in_progress, queued)


@then('the responses are "{summary}"')
def check_summary(context, summary):
    assert [a.summary for a in context.answers] == summary.split(", "), [
        a.summary for a in context.answers
    ]


@then("the bookings ran {times:d} times")
def check_runs(context, times):
    assert context.pool.runs(PATH) == times, context.pool.runs(PATH)


@then("at most {times:d} bookings ran")
def check_budget(context, times):
    runs = context.pool.runs(PATH)
    assert 0 < runs <= times, runs


@then('{count:d} of the responses at most is "{rare}", the others "{usual}"')
def check_rare(context, count, rare, usual):
    summary = [answer.summary for answer in context.answers]
    assert summary.count(rare) <= count, summary
    assert summary.count(rare) + summary.count(usual) == len(summary), summary


@then(
    "refused callers get various Retry-After values"
    " from {least:d} to {most:d} s"
)
def check_retry_after(context, least, most):
    refused = [a for a in context.answers if a.summary == "503 not-run"]
    times = {int(answer.field("Retry-After")) for answer in refused}
    assert len(times) > 1, times
    assert least <= min(times) and max(times) <= most, times
