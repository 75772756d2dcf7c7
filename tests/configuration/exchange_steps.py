"""Steps on the exchange of versions among balancers."""

from asyncio import sleep

from behave import given
from behave import then
from behave import when

from chicorycart.configuration.messages import Delta
from chicorycart.configuration.messages import Digest
from chicorycart.configuration.messages import encode_delta
from chicorycart.configuration.messages import encode_digest
from chicorycart.configuration.messages import encode_version_push
from chicorycart.configuration.messages import VersionPush
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.parse import parse_service
from chicorycart.defaults import FETCH_TRIES
from chicorycart.links.datagrams import MessageKind
from tests.configuration.builders import bodies_of
from tests.configuration.builders import bodies_on
from tests.configuration.builders import publish
from tests.configuration.fleet import Fleet
from tests.standins.platform import encode

IN_FORCE_SECONDS = 9
KINDS = {
    "digest": MessageKind.VERSION_DIGEST,
    "push": MessageKind.VERSION_PUSH,
}


@given("{count:d} balancers in {domains:d} domains with version 1 in force")
def start_fleet(context, count, domains):
    async def start():
        context.fleet = Fleet(context.platform, count, domains)
        context.fleet.start()
        await context.fleet.wait_in_force(1, 20)

    context.run(start())


def change(context):
    version = context.platform.version
    number = version % len(context.platform.services)
    value = publish(number, weight=2.0 + version)
    return context.platform.patch(version, {f"s-{number}": value})


def change_and_wait(context, seconds=IN_FORCE_SECONDS, members=None):
    version = change(context)
    context.run(context.fleet.wait_in_force(version, seconds, members))


def inside(context, function, *arguments):
    """Call a function on the running loop, where clocks need it."""

    async def call():
        return function(*arguments)

    return context.run(call())


def restart(member):
    member.stop()
    member.start()


def assert_never_back(context):
    lives = [life for m in context.fleet.members for life in m.lives]
    assert all(life == sorted(set(life)) for life in lives)


@when("{percent:d} % of the datagrams are lost")
def lose(context, percent):
    context.fleet.loss = percent / 100


@then("each of {count:d} changes is in force everywhere within 9 seconds")
def changes_in_force(context, count):
    for _ in range(count):
        change_and_wait(context)
    expected = bodies_on(context.platform.services)
    for member in context.fleet.members:
        assert bodies_of(member.store.current) == expected


@then("only 2 balancers of each domain called the platform")
def few_readers(context):
    callers = [m for m in context.fleet.members if m.values.calls]
    domains = sorted(m.entry.domain for m in callers)
    assert domains == sorted(2 * ["domain-0", "domain-1"]), domains


@when("no {message} arrives")
def drop_kind(context, message):
    context.fleet.dropped.add(KINDS[message])


@then("{count:d} changes reach {percent:d} % of the balancers")
def changes_reach(context, count, percent):
    members = context.fleet.members
    for _ in range(count):
        change(context)
        context.run(sleep(IN_FORCE_SECONDS))
    changes = range(2, 2 + count)
    reached = [
        (member.entry.name, version) in context.fleet.in_force_at
        for member in members
        for version in changes
    ]
    assert sum(reached) >= percent / 100 * len(reached), sum(reached)


@when("the platform is down for {seconds:d} seconds")
def platform_down(context, seconds):
    context.platform.is_down = True
    context.calls = {m: m.values.calls for m in context.fleet.members}
    context.down_seconds = seconds


@when("{count:d} balancers restart meanwhile")
def restart_meanwhile(context, count):
    members = context.fleet.members[:count]

    async def restart_all():
        await sleep(context.down_seconds / 2)
        for member in members:
            restart(member)
            context.calls[member] = 0
        await context.fleet.wait_in_force(1, IN_FORCE_SECONDS, members)
        await sleep(context.down_seconds / 2)

    context.run(restart_all())


@then("those serve version 1 within 9 seconds, learned from peers")
def learned_from_peers(context):
    restarted = context.fleet.members[:3]
    assert all(m.lives[-1] == [1] for m in restarted)
    assert sum(len(m.served) for m in context.fleet.members) >= 3


@then("nobody called the platform more than {calls:d} times in that hour")
def backed_off(context, calls):
    made = [m.values.calls - c for m, c in context.calls.items()]
    assert max(made) <= calls, max(made)


@then("version 2 is in force {seconds:d} seconds after its return")
def platform_returns(context, seconds):
    context.platform.is_down = False
    change_and_wait(context, seconds)


@when("version 2 is in force and the platform then serves version 1")
def go_stale(context):
    old = context.platform.services
    change_and_wait(context)
    context.platform.stale = (1, old)


@when("{count:d} balancers restart in turn within {seconds:d} seconds")
def restart_in_turn(context, count, seconds):
    async def restart_each():
        for member in context.fleet.members[:count]:
            await sleep(seconds / count)
            restart(member)
            await context.fleet.wait_in_force(2, 20, [member])

    context.run(restart_each())


@then("every balancer serves version 2 and no life ever went back")
def all_second(context):
    context.run(context.fleet.wait_in_force(2, 0))
    assert_never_back(context)


@when("half of the balancers are cut off from the others and the platform")
def cut_half(context):
    members = context.fleet.members
    context.connected = members[::2]
    context.cut = members[1::2]
    for member in context.cut:
        member.side = 1
    context.run(sleep(60))


@when("version 2 is published")
def publish_second(context):
    change(context)


@then("it is in force on the connected side within 9 seconds")
def connected_side(context):
    wait = context.fleet.wait_in_force(2, IN_FORCE_SECONDS, context.connected)
    context.run(wait)


@then("the others go on with version 1")
def cut_side(context):
    context.run(sleep(600))
    assert {m.version for m in context.cut} == {1}
    assert all(m.exchange.is_serving for m in context.cut)


@then("it is in force everywhere within 9 seconds of the healing")
def heal(context):
    for member in context.cut:
        member.side = 0
    context.run(context.fleet.wait_in_force(2, IN_FORCE_SECONDS))


@when("the other domains are cut off")
def cut_domains(context):
    for member in context.fleet.members:
        member.side = int(member.entry.domain != "domain-0")


@when("both readers of the domain die")
def readers_die(context):
    members = [m for m in context.fleet.members if m.side == 0]
    readers = [
        member
        for member in members
        if inside(context, member.exchange.turns.election.is_reader)
    ]
    assert len(readers) == 2
    for member in readers:
        member.stop()
    context.left = [m for m in members if m.is_up()]


@then("version 2 is in force in that domain within {seconds:d} seconds")
def domain_in_force(context, seconds):
    change_and_wait(context, seconds, context.left)


@when("a balancer is paused while versions 2 to 6 come into force")
def pause(context):
    paused = context.paused = context.fleet.members[5]
    paused.pause()
    others = [m for m in context.fleet.members if m is not paused]
    for _ in range(5):
        change_and_wait(context, members=others)
    assert paused.version == 1


@when("it wakes up and is told how late it is")
def wake(context):
    async def wake_and_watch():
        context.paused.wake(60.0)
        return await watch_served(context.paused, IN_FORCE_SECONDS)

    context.seen = context.run(wake_and_watch())


@then("it serves nothing until it has version 6")
def served_latest(context):
    assert list(context.seen) == [6], context.seen


@then("no other balancer went back")
def nobody_back(context):
    assert_never_back(context)
    assert {m.version for m in context.fleet.members} == {6}


@when("the platform is stale at version 1 and only one peer has version 2")
def one_has_second(context):
    old = context.platform.services
    members = context.fleet.members
    change_and_wait(context)
    context.platform.stale = (1, old)
    for member in members[1:]:
        inside(context, restart, member)
        member.side = 1


@when("that peer hands out nothing for {seconds:d} seconds")
def hand_out_nothing(context, seconds):
    server = context.fleet.members[0].exchange.server
    inside(context, server.bucket.refill)
    server.bucket.level = -seconds * server.bucket.rate
    context.busy_seconds = seconds


@when("a reader that reaches just that peer restarts")
def restart_beside(context):
    member = context.restarted = next(
        member
        for member in context.fleet.members[1:]
        if inside(context, member.exchange.turns.election.is_reader)
    )
    member.side = 0
    inside(context, restart, member)
    context.seen = context.run(watch_served(member, 60))


async def watch_served(member, seconds):
    """Return which versions a member served, and when first."""
    seen = {}
    for tenth in range(10 * seconds):
        if member.exchange.is_serving:
            seen.setdefault(member.version, tenth / 10)
        await sleep(0.1)
    return seen


@then("it serves version 2 after those 20 seconds, never version 1")
def never_first(context):
    assert context.restarted.lives[-1] == [1, 2]
    assert list(context.seen) == [2], context.seen
    assert context.seen[2] >= context.busy_seconds


@when("an empty list comes to every balancer")
def wrong_list(context):
    for member in context.fleet.members:
        inside(context, member.table.change_instances, [])


@when("version 2 is in force everywhere but on one that gets no datagrams")
def drops_incoming(context):
    other = next(m for m in context.fleet.members if not m.values.calls)
    context.other = other
    context.fleet.drops_incoming.add(other)
    others = [m for m in context.fleet.members if m is not other]
    change_and_wait(context, members=others)
    assert other.version == 1


@when("a packet with version 2 reaches that one")
def packet(context):
    inside(context, context.other.exchange.notice_version, 2)


@then("that balancer has it within 2 seconds")
def has_it(context):
    context.run(context.fleet.wait_in_force(2, 2, [context.other]))


@then("a false version 99 makes it call 4 peers and no more")
def false_version(context):
    calls = []
    context.run(sleep(IN_FORCE_SECONDS))
    honest = context.other.exchange.fetcher.source.fetch_delta

    async def count(peer, after):
        calls.append(peer)
        return await honest(peer, after)

    context.other.fetch_delta = count
    inside(context, context.other.exchange.notice_version, 99)
    context.run(sleep(120))
    assert len(calls) == FETCH_TRIES, len(calls)


@when("a balancer gets a delta for version 2 with a wrong value in it")
def wrong_delta(context):
    change(context)
    member = context.other = context.fleet.members[2]
    right = context.platform.services["s-1"]
    wrong = bodies_on({"s-1": {**right, "kind": "packet"}})
    delta = Delta(1, 2, 12345, wrong, [])
    body = encode_version_push(VersionPush(2, encode_delta(delta)))
    source = context.fleet.members[4].entry.data

    inside(context, member.take, MessageKind.VERSION_PUSH, body, source)
    assert member.version == 1


@then("it drops that and soon has version 2 as the platform has it")
def drops_wrong(context):
    context.run(context.fleet.wait_in_force(2, IN_FORCE_SECONDS))
    sample = context.other.registry.get_sample_value
    name = "chicorycart_configuration_reads_failed_total"
    assert sample(name, {"source": "mismatch"}) == 1
    current = context.other.store.current
    assert bodies_of(current) == bodies_on(context.platform.services)


@when("a balancer's version 1 has a wrong value in it")
def wrong_first(context):
    member = context.other = context.fleet.members[2]
    current = member.store.current
    body = encode({**context.platform.services["s-9"], "kind": "packet"})
    services = {**current.services, "s-9": parse_service("s-9", body)}
    member.store.current = Configuration(1, services)
    change(context)


@then("it soon has version 2 as the platform has it")
def has_second(context):
    context.run(context.fleet.wait_in_force(2, 2 * IN_FORCE_SECONDS))
    current = context.other.store.current
    assert bodies_of(current) == bodies_on(context.platform.services)


@when(
    "a balancer gets {count:d} outdated digests a second"
    " for {seconds:d} seconds"
)
def flood(context, count, seconds):
    member = context.other = context.fleet.members[2]
    source = context.fleet.members[4].entry.data
    body = encode_digest(Digest(0, 0, True))

    async def send():
        for _ in range(count * seconds):
            member.take(MessageKind.VERSION_DIGEST, body, source)
            await sleep(1 / count)

    before = member.sent_bytes
    context.run(send())
    context.sent = member.sent_bytes - before
    context.seconds = seconds


@then("it sends at most {rate:d} bytes a second and {burst:d} at once")
def within_budget(context, rate, burst):
    allowed = rate * context.seconds + burst
    assert 0 < context.sent <= allowed, context.sent
