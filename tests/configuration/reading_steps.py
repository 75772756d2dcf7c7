"""Steps on reading versions from the platform."""

from asyncio import sleep
from asyncio import timeout

from behave import given
from behave import then
from behave import when

from chicorycart.configuration.errors import InvalidConfigurationError
from chicorycart.configuration.errors import PlatformError
from chicorycart.configuration.parse import parse_service
from chicorycart.configuration.platform import parse_index
from tests.configuration.builders import bodies_of
from tests.configuration.builders import bodies_on
from tests.configuration.builders import publish
from tests.configuration.builders import publish_many
from tests.configuration.builders import Reader
from tests.standins.platform import encode
from tests.standins.platform import Platform
from tests.standins.platform import shard_of

MAX_MESSAGE_CHARACTERS = 300
FAULTS = {
    "a negative weight": publish(2, weight=-1.0),
    "a shared entry": {**publish(2), "entry": publish(1)["entry"]},
}


def read(context, reader=None):
    context.run((reader or context.reader).reader.read_once())


def change(context, *names):
    version = context.platform.version
    patch = {
        name: publish(int(name[2:]), weight=2.0 + version) for name in names
    }
    assert context.platform.patch(version, patch)


@given("a platform with {count:d} services")
def start_platform(context, count):
    context.platform = Platform()
    context.platform.patch(0, publish_many(count))


@given("a reader that took version 1")
def start_reader(context):
    context.reader = Reader(context.platform)
    read(context)
    context.first = context.reader.store.current
    context.bodies = bodies_of(context.first)
    assert context.first.version == 1


@when('"s-0" is changed 1 time and "s-1" 9 times, all read')
def change_in_turn(context):
    for name in ["s-0"] + 9 * ["s-1"]:
        change(context, name)
        read(context)


@then('1 replaced state of "s-0" and 4 of "s-1" are listed')
def history_listed(context):
    listed = count_replaced(context)
    assert listed == [1, 4], listed


@then("none is listed {seconds:d} seconds later")
def history_expired(context, seconds):
    async def wait_and_count():
        await sleep(seconds)
        return [
            len(context.reader.store.list_replaced(name))
            for name in ("s-0", "s-1")
        ]

    assert context.run(wait_and_count()) == [0, 0]


def count_replaced(context):
    async def count():
        store = context.reader.store
        return [len(store.list_replaced(name)) for name in ("s-0", "s-1")]

    return context.run(count())


@when('"s-0" and "s-1" are changed but the second of them cannot be read')
def break_second(context):
    change(context, "s-0", "s-1")
    values = context.reader.values
    honest = values.read
    seen = []

    async def fail_once(wanted):
        seen.append(wanted)
        if sum(key.startswith("services/") for key in seen) == 2:
            values.read = honest
            raise PlatformError("broken off")
        return await honest(wanted)

    values.read = fail_once


@then("the read fails and version 1 is in force unchanged")
def read_fails(context):
    read(context)
    failed = context.reader.registry.get_sample_value(
        "chicorycart_configuration_reads_failed_total", {"source": "platform"}
    )
    assert failed == 1
    still_first(context)


@then("version 1 is in force unchanged")
def still_first(context):
    assert context.reader.store.current is context.first
    assert bodies_of(context.first) == context.bodies


@then("the next read brings version {version:d} as the platform has it")
def next_read(context, version):
    read(context)
    assert context.reader.store.current.version == version
    assert_as_published(context, context.reader)


def assert_as_published(context, reader):
    read_bodies = bodies_of(reader.store.current)
    assert read_bodies == bodies_on(context.platform.services)


@when('a patch with {fault} is published beside a change of "s-0"')
def publish_fault(context, fault):
    change_of_other = {"s-0": publish(0, weight=9.0)}
    patch = {**change_of_other, "s-2": FAULTS[fault]}
    assert context.platform.patch(1, patch)


@when("the reader watches for {seconds:d} seconds")
def watch_for(context, seconds):
    async def watch():
        async with timeout(seconds):
            while True:
                await context.reader.reader.watch_once()

    before = context.platform.calls
    try:
        context.run(watch())
    except TimeoutError:
        context.calls = context.platform.calls - before


@then('version 2 is shown as refused at "{path}"')
def shown_refused(context, path):
    sample = context.reader.registry.get_sample_value
    assert sample("chicorycart_configuration_refused_total") == 1
    assert sample("chicorycart_configuration_refused_version") == 2
    assert context.reader.client.refused_path == path


@then("the platform was called at most {calls:d} times in that time")
def few_calls(context, calls):
    assert 0 < context.calls <= calls, context.calls


@then("a good version 3 is taken")
def good_version(context):
    assert context.platform.patch(2, {"s-2": publish(2, weight=3.0)})
    read(context)
    assert context.reader.store.current.version == 3
    assert_as_published(context, context.reader)


@when("the platform serves {values} of another version than its index once")
def skew(context, values):
    change(context, "s-0")
    stand_in = context.reader.values
    honest = stand_in.read

    keys = {"shards": f"shards/{shard_of('s-0')}", "services": "services/s-0"}

    async def change_before(key):
        if key == keys[values]:
            stand_in.read = honest
            change(context, "s-0")
        return await honest(key)

    stand_in.read = change_before


@then("the reader ends with a version exactly as it was published")
def exact_version(context):
    read(context)
    assert context.reader.store.current.version == 3
    assert_as_published(context, context.reader)


@when("two operators patch version 1 at the same time")
def two_operators(context):
    first = {"s-0": publish(0, weight=7.0)}
    second = {"s-1": publish(1, weight=8.0)}
    context.results = [context.platform.patch(1, p) for p in (first, second)]


@then("one patch is refused and the reader ends with the other")
def one_refused(context):
    assert context.results == [2, None]
    read(context)
    assert_as_published(context, context.reader)
    weight = context.reader.store.current.services["s-1"].targets[0].weight
    assert weight == 1.0


@when("another reader reads them all")
def read_all(context):
    context.other = Reader(context.platform)
    read(context, context.other)


@then("it made at most {calls:d} calls and holds what the platform has")
def calls_made(context, calls):
    assert context.other.values.calls <= calls, context.other.values.calls
    assert_as_published(context, context.other)


@given("a platform that answers every watch at once")
def answer_at_once(context):
    async def answer(key, after):
        await sleep(0.001)
        return await context.reader.values.read(key)

    context.reader.values.watch = answer


def nest(depth):
    """Return the text of a list nested in others."""
    return b"[" * depth + b"]" * depth


def write_service(weight):
    """Return the published text of a service with a weight."""
    return encode(publish(1, weight="WEIGHT")).replace(b'"WEIGHT"', weight)


ODD_SERVICES = {
    "nested 900 deep": nest(900),
    "nested 2,000 deep": nest(2_000),
    "of a weight of 400 digits": write_service(b"9" * 400),
    "of a weight nested 900 deep": write_service(nest(900)),
}
ODD_INDEXES = {
    "nested 2,000 deep": nest(2_000),
    "with a version of 400 digits": encode({"version": 10**399, "shards": {}}),
}


@then('a service that is {fault} is refused at "{path}"')
def check_odd_service(context, fault, path):
    try:
        parse_service("s-1", ODD_SERVICES[fault])
    except InvalidConfigurationError as error:
        assert str(error).startswith(f"{path}: "), error
        assert len(str(error)) < MAX_MESSAGE_CHARACTERS
    else:
        raise AssertionError("it was taken")


@then("an index {fault} is refused")
def check_odd_index(context, fault):
    try:
        parse_index(ODD_INDEXES[fault])
    except PlatformError as error:
        assert str(error).startswith("index")
    else:
        raise AssertionError("it was taken")
