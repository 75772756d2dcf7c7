"""Steps on slots, retry budget, duplicate filter and body, in isolation."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from random import Random

from behave import given
from behave import then
from behave import when

from chicorycart.clock import LoopClock
from chicorycart.defaults import MAX_SEEN_REQUESTS
from chicorycart.requests.body import RequestBody
from chicorycart.requests.budget import RetryBudget
from chicorycart.requests.duplicates import DuplicateFilter
from chicorycart.requests.errors import BadRequestError
from chicorycart.requests.errors import NotRunError
from chicorycart.requests.errors import OutcomeUnknownError
from chicorycart.requests.errors import RefusedError
from chicorycart.requests.pipe import Pipe
from chicorycart.requests.refusals import choose_retry_after
from chicorycart.requests.service_time import ServiceTime
from chicorycart.requests.slots import Slots

SETTLED_SECONDS = 100


class Work:
    """Requests that hold slots, on virtual time."""

    def __init__(self, slots, seconds):
        self.clock = LoopClock()
        self.slots = Slots(self.clock, ServiceTime(seconds), slots)
        self.seconds = seconds
        self.begun = []
        self.refused = {}

    async def do(self, number, deadline):
        start = self.clock.now()
        try:
            slot = await self.slots.acquire(start + deadline)
        except RefusedError:
            self.refused[number] = self.clock.now() - start
            return
        self.begun.append(number)
        try:
            await sleep(self.seconds)
        finally:
            slot.release()


@given("{slots:d} slots of a target that takes {seconds:g} s for a request")
def make_work(context, slots, seconds):
    context.work = Work(slots, seconds)
    context.tasks = []


@given("the target now takes {seconds:g} s")
def change_seconds(context, seconds):
    context.work.seconds = seconds


@when('requests arrive with deadlines of "{deadlines}" s')
def come(context, deadlines):
    async def start():
        context.tasks = [
            create_task(context.work.do(number, float(deadline)))
            for number, deadline in enumerate(deadlines.split(), 1)
        ]
        await sleep(0.01)

    context.run(start())


@when("the caller of request {number:d} disconnects after {seconds:g} s")
def leave(context, number, seconds):
    async def wait():
        await sleep(seconds)
        context.tasks[number - 1].cancel()
        await sleep(0.001)

    context.run(wait())


@when("{count:d} requests become streams one after the other")
def become_streams(context, count):
    async def become():
        for _ in range(count):
            slot = await context.work.slots.acquire(10_000)
            slot.become_stream()

    context.run(become())


@when("{count:d} requests arrive one after the other")
def come_in_turn(context, count):
    async def come_each():
        for number in range(count):
            await context.work.do(number, 1000)

    context.run(come_each())


@when("{count:d} callers are refused with a backlog of {backlog:g} s")
def refuse(context, count, backlog):
    random = Random(1)
    context.times = {choose_retry_after(backlog, random) for _ in range(count)}


@when("each of {count:d} requests asks for {times:d} resends")
def ask(context, count, times):
    budget = RetryBudget()
    context.resends = 0
    for _ in range(count):
        budget.refill()
        context.resends += sum(budget.try_acquire() for _ in range(times))


@when("identifiers are admitted at these times")
def admit_each(context):
    context.now = 0
    context.duplicates = DuplicateFilter(lambda: context.now)
    context.outcomes = []
    for row in context.table:
        context.now = int(row["at"])
        answer = admit(context, row["identifier"], int(row["deadline"]))
        context.outcomes.append((answer, row["answer"]))


def admit(context, identifier, deadline):
    try:
        context.duplicates.admit(identifier, deadline)
    except NotRunError:
        return "not run"
    except OutcomeUnknownError:
        return "unknown"
    return "taken"


@when('a body arrives in chunks after "{parts}" s of "{size:d}" bytes each')
def send_body(context, parts, size):
    async def feed(pipe):
        for seconds in parts.split():
            await sleep(float(seconds))
            await pipe.put(b"x" * size)
        pipe.end()

    async def read():
        body = RequestBody(Pipe())
        feeding = create_task(feed(body.pipe))
        try:
            await body.prefetch()
            sent = sum([len(chunk) async for chunk in body.chunks()])
        except BadRequestError as error:
            return str(error.status)
        finally:
            context.seconds = LoopClock().now()
            feeding.cancel()
        return f"{sent} bytes, {'' if body.can_replay else 'not '}kept"

    context.result = context.run(read())


@then('reading it ends after {seconds:g} s with "{result}"')
def check_body(context, seconds, result):
    assert context.result == result, context.result
    assert abs(context.seconds - seconds) < 0.001, context.seconds


@then('the requests get slots in the order "{order}"')
def check_order(context, order):
    context.run(gather_all(context))
    expected = [int(number) for number in order.split()]
    assert context.work.begun == expected, context.work.begun


async def gather_all(context):
    await gather(*context.tasks, return_exceptions=True)


@then("request {number:d} is refused after {seconds:g} s")
def check_refused(context, number, seconds):
    context.run(sleep(SETTLED_SECONDS))
    after = context.work.refused[number]
    assert abs(after - seconds) < 0.001, after


@then("{count:d} request is queued")
def check_waiting(context, count):
    assert len(context.work.slots.waiting) == count


@then("no slot is in use in the end")
def check_unused(context):
    assert context.work.slots.in_progress == 0


@then("{streams:d} streams are open and {slots:d} request is in its slot")
def check_streams(context, streams, slots):
    counts = (context.work.slots.streams, context.work.slots.in_progress)
    assert counts == (streams, slots), counts


@then("the rate is within {percent:d} % of {rate:g} requests a second")
def check_rate(context, percent, rate):
    measured = context.work.slots.rate
    assert abs(measured / rate - 1) <= percent / 100, measured


@then("their Retry-After values are all those from {least:d} to {most:d} s")
def check_times(context, least, most):
    assert context.times == set(range(least, most + 1)), context.times


@then("{count:d} resends are allowed")
def check_resends(context, count):
    assert context.resends == count, context.resends


@then("each outcome is as in the table")
def check_answers(context):
    for outcome, expected in context.outcomes:
        assert outcome == expected, context.outcomes


@then("after {count:d} more of them none is admitted until their deadline")
def check_bound(context, count):
    context.now = 100
    answers = {admit(context, f"n{n}", 110) for n in range(MAX_SEEN_REQUESTS)}
    assert answers == {"taken"}
    assert admit(context, "one more", 110) == "not run"
    context.now = 110
    assert admit(context, "one more", 120) == "taken"
