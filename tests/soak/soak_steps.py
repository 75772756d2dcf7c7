"""Steps on the soak: short runs, and its checks."""

from asyncio import gather
from asyncio import sleep

from behave import given
from behave import then
from behave import when

from chicorycart.address import Address
from tests.soak.plan import draw_plan
from tests.soak.plan import Kind
from tests.soak.promises import MEMORY_KB
from tests.soak.promises import Promises
from tests.soak.run import play

ENTRY = Address("198.18.0.1", 443)
SETTLED_SECONDS = 10.0
OUTAGE_SECONDS = 2.0


class SeenCaller:
    """A caller as the checks see it."""

    address = Address("127.20.1.9", 20_001)
    bodies = (b"own",)


class SeenHost:
    """A host as the checks see it."""

    def __init__(self, name, service="dispatch", ran=()):
        self.name = name
        self.service = service
        self.ran = ran


@when("seeds {first:d} and {second:d} of the soak are played together")
def play_two(context, first, second):
    async def run():
        return await gather(play(first), play(second))

    context.outcomes = context.run(run())


@when("seed {seed:d} of the soak is played")
def play_one(context, seed):
    context.outcomes = [context.run(play(seed))]


@then("no promise was broken")
def check_kept(context):
    broken = [line for o in context.outcomes for line in o.broken]
    assert not broken, broken


@then("at least half of the requests were answered")
def check_served(context):
    for outcome in context.outcomes:
        assert outcome.answered * 2 >= outcome.asked > 0


@given("an empty record of promises")
def make_record(context):
    async def make():
        context.promises = Promises()
        context.promises.configure({ENTRY: "dispatch"})
        await sleep(SETTLED_SECONDS)

    context.run(make())


@when("an answer to the request of another caller is seen")
def see_answer(context):
    context.run(run(context.promises.check_answer, SeenCaller, b"h1:other"))


@when("a reset of a flow that its live host holds is seen")
def see_reset(context):
    host = SeenHost("h1")
    context.run(run(context.promises.check_reset, SeenCaller, host))


@when("a new flow at a host that drains for {seconds:g} s is seen")
def see_drain(context, seconds):
    async def see():
        promises = context.promises
        promises.draining["h1"] = promises.now
        await sleep(seconds)
        promises.check_opening(SeenHost("h1"), ENTRY)

    context.run(see())


@when("a new flow at the old service {seconds:g} s after a move is seen")
def see_old(context, seconds):
    async def see():
        context.promises.configure({ENTRY: "catalogue"})
        await sleep(seconds)
        context.promises.check_opening(SeenHost("h1"), ENTRY)

    context.run(see())


@when("a late new flow after the store was away is seen")
def see_disturbed(context):
    context.run(run(context.promises.disturb, 3.0, 3.0, True))
    see_drain(context, 3.5)


@when(
    "a new flow at a host that had drained before an outage, {seconds:g} s"
    " after it is seen"
)
def see_drained_before(context, seconds):
    async def see():
        promises = context.promises
        promises.draining["h1"] = promises.now
        await sleep(OUTAGE_SECONDS)
        promises.disturb(OUTAGE_SECONDS, OUTAGE_SECONDS, True)
        await sleep(OUTAGE_SECONDS + seconds)
        promises.check_opening(SeenHost("h1"), ENTRY)

    context.run(see())


@when(
    "a new flow at the old service {seconds:g} s after an outage in which it"
    " moved is seen"
)
def see_moved_meanwhile(context, seconds):
    async def see():
        promises = context.promises
        promises.disturb(OUTAGE_SECONDS, OUTAGE_SECONDS, True)
        promises.configure({ENTRY: "catalogue"})
        await sleep(OUTAGE_SECONDS + seconds)
        promises.check_opening(SeenHost("h1"), ENTRY)

    context.run(see())


@when("a new flow at a service that never had the entry is seen")
def see_wrong(context):
    host = SeenHost("c1", "catalogue")
    context.run(run(context.promises.check_opening, host, ENTRY))


@when("a request that ran at two hosts is seen")
def see_twice(context):
    hosts = [SeenHost("h1", ran=[b"x"]), SeenHost("h2", ran=[b"x", b"y"])]
    context.run(run(context.promises.check_ran, hosts))


@when("a process that ended with {code:d} when told to stop is seen")
def see_exit(context, code):
    context.run(run(context.promises.check_exit, "b0", code, 0.1))


@when("a process that took {seconds:g} s to stop is seen")
def see_late_exit(context, seconds):
    context.run(run(context.promises.check_exit, "b0", 0, seconds))


@when("a process that took more memory than there is is seen")
def see_memory(context):
    context.run(run(context.promises.check_memory, "b0", MEMORY_KB + 1))


async def run(check, *arguments):
    """Call a check inside the loop."""
    check(*arguments)


@then("{count:d} promises were broken")
def check_count(context, count):
    assert len(context.promises.broken) == count, context.promises.broken


@then("the plan of seed {seed:d} is the same when drawn again")
def check_same(context, seed):
    first, again = (list(map(str, draw_plan(seed))) for _ in range(2))
    assert first == again
    assert first != list(map(str, draw_plan(seed + 1)))


@then("the plans of {count:d} seeds have every kind of fault")
def check_kinds(context, count):
    kinds = {step.kind for s in range(count) for step in draw_plan(s)}
    assert kinds == set(Kind)
