"""Steps on outages of the platform's store."""

from asyncio import sleep

from behave import then
from behave import when

from chicorycart.steering.published import ListedState
from tests.standins.endpoints import ENTRY
from tests.standins.steered import OTHER_ENTRY
from tests.standins.steered import OTHER_SERVICE
from tests.standins.steered import SERVICE

SERVICES = {ENTRY: SERVICE, OTHER_ENTRY: OTHER_SERVICE}
SETTLED_SECONDS = 3.3
REFUSED_SECONDS = 2.6
FIRST_VERSION = 10
STEP_SECONDS = 0.05


@when("the store is away: {outage}")
def take_away(context, outage):
    store = context.fleet.store

    async def take():
        await sleep(SETTLED_SECONDS)
        for phase in outage.split(", "):
            kind, seconds = phase.split()
            store.is_down = kind == "refused"
            store.is_hanging = False
            if kind == "silent":
                store.hang()
            await sleep(float(seconds))
        store.is_down = store.is_hanging = False

    context.run(take())


@when(
    "the connections to the store fall silent for good {count:d} times,"
    " {seconds:g} s apart"
)
def silence_connections(context, count, seconds):
    store = context.fleet.store

    async def silence():
        await sleep(SETTLED_SECONDS)
        for _ in range(count):
            store.hang()
            store.is_hanging = False
            await sleep(seconds)

    context.run(silence())


@then(
    "after outages of {shortest:g} s to {longest:g} s, each {step:g} s longer,"
    " a change is in force within {seconds:g} s: {kind}"
)
def check_lengths(context, shortest, longest, step, seconds, kind):
    fleet = context.fleet

    def list_late(version):
        return [
            name
            for name, balancer in fleet.balancers.items()
            if balancer.follower.routes.current.version < version
        ]

    async def check():
        late = {}
        for number in range(round((longest - shortest) / step) + 1):
            length = shortest + number * step
            await sleep(SETTLED_SECONDS)
            if kind != "silent":
                fleet.store.is_down = True
                await sleep(REFUSED_SECONDS)
                fleet.store.is_down = False
            fleet.store.hang()
            await sleep(length)
            fleet.store.is_hanging = False
            fleet.configure(FIRST_VERSION + number, SERVICES)
            await sleep(seconds)
            late[length] = list_late(FIRST_VERSION + number)
        return {length: names for length, names in late.items() if names}

    late = context.run(check())
    assert not late, late


@when('version {version:d} is published and host "{name}" drains')
def change(context, version, name):
    context.fleet.configure(version, SERVICES)
    context.fleet.list_host(name, state=ListedState.DRAINING)


@then(
    "{seconds:g} s after the outage version {version:d} is in force and"
    ' "{name}" is draining'
)
def check_caught_up(context, seconds, version, name):
    context.run(sleep(seconds))
    for key, balancer in context.fleet.balancers.items():
        current = balancer.follower.routes.current.version
        assert current == version, (key, current)
        state = balancer.directory.members[name].listing.state
        assert state is ListedState.DRAINING, key


@then("version {version:d}, published then, is in force within {seconds:g} s")
def check_next(context, version, seconds):
    context.fleet.configure(version, SERVICES)
    context.run(sleep(seconds))
    for balancer in context.fleet.balancers.values():
        assert balancer.follower.routes.current.version == version


@then("every balancer hears the store within {seconds:g} s")
def check_heard(context, seconds):
    context.run(sleep(seconds))
    for name, balancer in context.fleet.balancers.items():
        assert balancer.follower.unreachable_since is None, name


@when(
    "the store's answers take {seconds:g} s from now on, and version"
    " {version:d} is published"
)
def slow_down(context, seconds, version):
    context.fleet.store.answer_seconds = seconds
    context.fleet.configure(version, SERVICES)


@when("the store is silent for {seconds:g} s")
def fall_silent(context, seconds):
    store = context.fleet.store
    context.most = 0

    async def watch():
        await sleep(SETTLED_SECONDS)
        context.calls = store.calls
        store.hang()
        for _ in range(round(seconds / STEP_SECONDS)):
            await sleep(STEP_SECONDS)
            context.most = max(context.most, store.open_calls)

    context.run(watch())


@then("at most {count:d} calls waited at a time")
def check_open(context, count):
    assert 0 < context.most <= count, context.most


@when('balancer "{name}" stops')
def stop(context, name):
    context.fleet.kill_balancer(name)
    context.run(sleep(STEP_SECONDS))


@then("no call of the store waits")
def check_none_open(context):
    assert context.fleet.store.open_calls == 0
