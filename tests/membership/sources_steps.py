"""Steps of the scenarios on the instance list."""

from json import loads
from random import Random

from behave import given
from behave import then
from behave import when
from prometheus_client import CollectorRegistry

from chicorycart.membership.follow import InstanceFollower
from chicorycart.membership.instances import Balancers
from chicorycart.membership.instances import parse_instances
from chicorycart.membership.sources import KnownSources

HOUR_SECONDS = 3_600
LEAVING_INTERVAL = 7


class ManualClock:
    """A clock whose time a test sets."""

    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time


class FakePlatform:
    """A platform that publishes the list that a test sets."""

    def __init__(self):
        self.value = []

    async def read_instances(self):
        return self.value


def make_entry(role, number, domain="a"):
    return {
        "name": f"{role[0]}-{number}",
        "role": role,
        "address": f"198.{18 + number // 65536}.{number // 256 % 256}"
        f".{number % 256}",
        "data_port": 7001,
        "control_port": 7002,
        "region": "riga",
        "domain": domain,
        "state": "live",
    }


def read_list(context, value):
    context.platform.value = value
    context.run(context.follower.read())


def count_reads(context, outcome):
    return context.follower.reads.labels(outcome)._value.get()


@given("a list of 3 balancers and 2 agents was read")
def read_first(context):
    context.clock = ManualClock()
    context.platform = FakePlatform()
    context.follower = InstanceFollower(
        context.platform, Random(1), CollectorRegistry()
    )
    context.sources = KnownSources(context.clock)
    context.balancers = Balancers("a")
    context.follower.subscribe(context.sources)
    context.follower.subscribe(context.balancers)
    context.first = [make_entry("balancer", n) for n in (1, 2, 3)]
    context.first += [make_entry("agent", n) for n in (4, 5)]
    read_list(context, context.first)
    assert count_reads(context, "taken") == 1


@when("the platform publishes a list whose {key} of an entry is {value}")
def publish_bad_entry(context, key, value):
    bad = make_entry("balancer", 9) | {key: loads(value)}
    read_list(context, [make_entry("balancer", 2), bad])


@when("the platform publishes {value} in place of the list")
def publish_other_value(context, value):
    read_list(context, loads(value))


@when("the platform publishes an empty list")
def publish_empty(context):
    read_list(context, [])


@when("a list of {count:d} agents was read")
def publish_long(context, count):
    read_list(context, [make_entry("agent", n) for n in range(count)])


@when("{count:d} addresses were listed and then removed")
def list_and_remove(context, count):
    context.sources = KnownSources(ManualClock())
    entries = [make_entry("agent", n) for n in range(count)]
    context.sources.change_instances(parse_instances(entries))
    context.sources.change_instances([])


@then("at most {limit:d} of them are remembered")
def check_bound(context, limit):
    assert 0 < len(context.sources.departed) <= limit


@then("the list is refused, and the old one is still in use")
def check_refused(context):
    assert count_reads(context, "refused") == 1
    assert count_reads(context, "taken") == 1
    names = [balancer.name for balancer in context.balancers.listed]
    assert names == ["b-1", "b-2", "b-3"]
    assert all(context.sources.is_known(e["address"]) for e in context.first)
    assert not context.sources.is_known(make_entry("agent", 9)["address"])


@then('"b-1" is known for {hours:d} h if it sends a datagram every hour')
def check_known(context, hours):
    for hour in range(hours):
        context.clock.time = hour * HOUR_SECONDS
        assert context.sources.is_known(context.first[0]["address"]), hour


@then('"b-2" is unknown after {hours:d} h of silence')
def check_unknown(context, hours):
    context.clock.time = hours * HOUR_SECONDS
    assert not context.sources.is_known(context.first[1]["address"])


@then('"{address}" was never known')
def check_foreign(context, address):
    assert not context.sources.is_known(address)


@then("the list is read again within {seconds:d} s")
def check_wait(context, seconds):
    assert 0 < context.follower.wait_seconds() <= seconds


@then("{readers:d} readers read at most {limit:d} lists a second")
def check_rate(context, readers, limit):
    shortest = context.follower.wait_seconds() / 2
    assert readers / shortest <= limit, shortest


@given("a list of {count:d} balancers in {domains:d} failure domains")
def list_balancers(context, count, domains):
    context.domains = [f"d-{number}" for number in range(domains)]
    entries = [
        make_entry("balancer", n, context.domains[n % domains])
        | {"state": "leaving" if n % LEAVING_INTERVAL == 0 else "live"}
        for n in range(count)
    ]
    context.entries = parse_instances(entries)


def choose_for(context, domain, service):
    balancers = Balancers(domain)
    balancers.change_instances(context.entries)
    return balancers.choose(service, 3)


@then("each agent reports to 3 balancers in 3 domains, its own among them")
def check_choice(context):
    for service in range(20):
        for domain in context.domains:
            chosen = choose_for(context, domain, service)
            found = {balancer.domain for balancer in chosen}
            assert len(found) == len(chosen) == 3
            assert domain in found


@then(
    "agents of one service in different domains share at least {count:d} of"
    " them"
)
def check_shared(context, count):
    for service in range(20):
        names = [
            {b.name for b in choose_for(context, domain, service)}
            for domain in context.domains
        ]
        assert len(set.intersection(*names)) >= count


@then("no service's reports go to a balancer that is leaving")
def check_leaving(context):
    for service in range(50):
        for balancer in choose_for(context, "d-0", service):
            assert int(balancer.name.removeprefix("b-")) % LEAVING_INTERVAL
