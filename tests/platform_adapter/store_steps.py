"""Steps on the HTTP client of the platform's store."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import timeout
from base64 import b64encode
from contextlib import suppress
from random import Random

from behave import given
from behave import then
from behave import when
from hypothesis import given as for_all
from hypothesis import strategies

from chicorycart.clock import LoopClock
from chicorycart.configuration.backoff import Backoff
from chicorycart.links.http import HttpClient
from chicorycart.platform.items import decode_config
from chicorycart.platform.items import decode_server
from chicorycart.platform.store import MetadataStore
from chicorycart.steering.directory import Directory
from chicorycart.steering.errors import HistoryLostError
from chicorycart.steering.errors import StoreError
from chicorycart.steering.follow import RoutesInForce
from chicorycart.steering.follow import StoreFollower
from chicorycart.steering.limits import RETRY_INITIAL_SECONDS
from chicorycart.steering.limits import RETRY_MAX_SECONDS
from chicorycart.steering.published import ENTRY_REMOVED
from chicorycart.steering.published import ListedState
from tests.standins.kv import encode
from tests.standins.kv import make_config
from tests.standins.kv import make_entry
from tests.standins.kv import serve_store
from tests.standins.kv import StandInStore

GONE = 410
LINK_PORT = 7720
FLOW_TTL_SECONDS = 60.0


@given("a stand-in of the store with 3 hosts and a configuration")
def start_store(context):
    async def start():
        store = context.store = StandInStore()
        store.put("op/config", encode(make_config()))
        for number in (1, 2, 3):
            store.put(f"servers/i-{number}", encode(make_entry(number)))
        context.server, port = serve_store(context.store)
        context.client = MetadataStore(
            HttpClient([f"http://127.0.0.1:{port}"])
        )

    context.run(start())
    context.cleanups.callback(context.server.stop)


@when("the store answers {count:d} items a page")
def set_page(context, count):
    context.store.page = count


@when("the client reads everything")
def read_all(context):
    async def read():
        context.changes = await context.client.read_all(0.5)

    context.run(read())


@then("3 hosts and version 7 with its routes are there")
def check_read(context):
    changes = context.changes
    hosts = [c.listing for c in changes.listings if c.listing is not None]
    assert sorted(h.name for h in hosts) == ["i-1", "i-2", "i-3"]
    assert {h.incarnation for h in hosts} == {1001, 1002, 1003}
    assert changes.routes.version == 7
    (entry,) = changes.routes.by_entry
    assert entry == bytes((198, 18, 0, 1, 1, 187))
    assert changes.routes.idle_seconds == 15.0


@when("a host drains while the client watches")
def drain(context):
    async def watch():
        after = context.store.revision
        watching = create_task(context.client.watch(after, 2.0, 0.5))
        await sleep(0.1)
        assert not watching.done()
        value = encode(make_entry(2, state="draining"))
        context.store.put("servers/i-2", value)
        context.changes = await watching

    context.run(watch())


@then("the watch returns that it drains")
def check_drain(context):
    (change,) = context.changes.listings
    assert change.name == "i-2"
    assert change.listing.state is ListedState.DRAINING
    assert context.changes.revision == context.store.revision


@when("the store answers a watch with 410")
def lose_history(context):
    context.store.watch_status = GONE
    run_call(context, lambda: context.client.watch(1, 1.0, 0.5))


@then("the client reports that the history is lost")
def check_lost(context):
    assert isinstance(context.error, HistoryLostError), context.error


@when("the store answers every call with {status:d}")
def refuse(context, status):
    context.store.status = status
    run_call(context, lambda: context.client.read_all(0.5))


async def count_calls(client, seconds):
    """Follow a store for some time; return the number of calls."""
    clock = LoopClock()
    follower = StoreFollower(
        client,
        Directory(clock, LINK_PORT, FLOW_TTL_SECONDS),
        RoutesInForce(),
        Backoff(Random(1), RETRY_INITIAL_SECONDS, RETRY_MAX_SECONDS),
        clock,
    )
    with suppress(TimeoutError):
        async with timeout(seconds):
            await follower.run()
    return follower.calls


@then(
    "a balancer calls it about as often in {seconds:d} s as if it answered"
    " {status:d}"
)
def check_calls(context, seconds, status):
    calls = context.run(count_calls(context.client, seconds))
    context.store.status = status
    usual = context.run(count_calls(context.client, seconds))
    assert usual > 0
    assert calls <= usual + 2, (calls, usual)


@when("the store does not answer at all")
def stay_silent(context):
    context.store.answering.clear()
    run_call(context, lambda: context.client.watch(1, 1.0, 0.5))


def run_call(context, call):
    async def run():
        began = get_running_loop().time()
        context.error = None
        try:
            await call()
        except StoreError as error:
            context.error = error
        context.seconds = get_running_loop().time() - began

    context.run(run())


@then("the client reports that the store failed")
def check_failed(context):
    assert isinstance(context.error, StoreError), context.error
    assert not isinstance(context.error, HistoryLostError)


@then("that took less than {seconds:d} s")
def check_time(context, seconds):
    assert context.seconds < seconds, context.seconds


@when("an entry is {entry}")
def put_invalid(context, entry):
    values = {
        "not base64": "%%%",
        "not JSON": b64encode(b"{").decode(),
        "a list": encode([]),
        "without an address": encode(make_entry(9, address=None)),
        "with a state that is not known": encode(make_entry(9, state="odd")),
        "with slots of text": encode(make_entry(9, slots="2")),
        "with an address that is none": encode(make_entry(9, address="x:y")),
    }
    context.store.put("servers/odd", values[entry])


@then("the change of the invalid entry has a reason and no host")
def check_invalid(context):
    (change,) = [c for c in context.changes.listings if c.name == "odd"]
    assert change.listing is None
    assert change.reason


@then("arbitrary JSON values give a host, a configuration or a store error")
def check_arbitrary(context):
    values = strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.text(max_size=8),
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(
                strategies.sampled_from(
                    ["service", "address", "slots", "state", "zone", "version"]
                    + ["routes", "hostname", "prefix", "backends", "limits"]
                ),
                inner,
                max_size=6,
            )
        ),
        max_leaves=20,
    )

    @for_all(values)
    def check(value):
        for decode in (decode_config, lambda v: decode_server("x", v)):
            try:
                decode(value)
            except StoreError as error:
                assert str(error)

    check()


@when("the configuration has a route without a port")
def break_config(context):
    config = make_config()
    config["routes"][0]["prefix"] = "//"
    context.store.put("op/config", encode(config))


@then("3 hosts are there and the fault names the configuration")
def check_fault(context):
    assert len(context.changes.listings) == 3
    assert context.changes.routes is None
    assert "op/config" in context.changes.fault


def read_changes(context):
    async def read():
        return await context.client.read_changes(0, 0.5)

    return context.run(read())


@when("a host drains, another is removed and the client reads past changes")
def read_after_changes(context):
    context.store.put("servers/i-2", encode(make_entry(2, state="draining")))
    context.store.remove("servers/i-3")
    changes = read_changes(context)
    context.past_changes = {c.name: c for c in changes.listings}


@then("it has the first entry, the drain and the removal")
def check_past_changes(context):
    changes = context.past_changes
    assert sorted(changes) == ["i-1", "i-2", "i-3"]
    assert changes["i-1"].listing.state is ListedState.READY
    assert changes["i-2"].listing.state is ListedState.DRAINING
    assert changes["i-3"].listing is None
    assert changes["i-3"].reason == ENTRY_REMOVED


@when("the store answers with at most {count:d} changes")
def cut_answers(context, count):
    context.store.max_events = count


@then("reading on from each answer gives every change once")
def check_all_changes(context):
    async def read():
        revisions = []
        after = 0
        while after < context.store.revision:
            changes = await context.client.read_changes(after, 0.5)
            revisions += [change.revision for change in changes.listings]
            assert changes.revision > after
            after = changes.revision
        return revisions

    context.store.put("servers/i-2", encode(make_entry(2, state="draining")))
    context.store.remove("servers/i-3")
    written = [
        item["revision"]
        for key, item in context.store.items.items()
        if key.startswith("servers/")
    ]
    assert len(written) > context.store.max_events
    assert context.run(read()) == sorted(written)


@when("the history is discarded and the client reads past changes")
def read_discarded(context):
    context.store.forget_history()
    try:
        read_changes(context)
    except HistoryLostError as error:
        context.error = error


@then("the history is lost")
def check_lost(context):
    assert isinstance(context.error, HistoryLostError)


@when("the store is restored from a copy made before a host drained")
def restore(context):
    copy = context.store.copy_state()
    context.copied_revision = context.store.revision
    context.store.put("servers/i-2", encode(make_entry(2, state="draining")))
    context.store.restore(copy)


@then("a read, a watch and past changes are of era 2, one after the copy")
def check_eras(context):
    async def call():
        client = context.client
        before = context.copied_revision
        context.store.put("servers/i-3", encode(make_entry(3)))
        return [
            await client.read_all(0.5),
            await client.watch(before, 1.0, 0.5),
            await client.read_changes(before, 0.5),
        ]

    for changes in context.run(call()):
        assert changes.era == 2, changes.era
        assert changes.revision == context.copied_revision + 1


@when("the client watches from the revision of the drain")
def watch_lost(context):
    after = context.copied_revision + 1
    run_call(context, lambda: context.client.watch(after, 1.0, 0.5))


@when("the store names no era")
def leave_out_era(context):
    context.store.era = None


@then("the read is of era 0")
def check_no_era(context):
    assert context.changes.era == 0, context.changes.era


@when("the store is restored after the first of two pages")
def restore_between_pages(context):
    context.store.page = 2
    context.store.restored_after = 1
    run_call(context, lambda: context.client.read_all(0.5))


@when('the store names the era "{era}"')
def name_era(context, era):
    context.store.era = era
    run_call(context, lambda: context.client.read_all(0.5))
