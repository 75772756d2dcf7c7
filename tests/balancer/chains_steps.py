"""Steps on the chains that a balancer keeps."""

from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from prometheus_client import CollectorRegistry

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.balancer.chains import ChainCache
from chicorycart.balancer.forwarding import Forwarder
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import Entry
from chicorycart.configuration.model import Service
from chicorycart.configuration.model import ServiceKind
from chicorycart.configuration.model import Target
from chicorycart.configuration.model import TargetState
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.operation.decisions import DecisionLog
from measure.fleet import MemorySender
from measure.traffic import make_opening
from tests.placement.capacity_steps import SetClock

BUCKETS = range(200)
SOURCE = Address("198.18.0.1", 1)


class SetSuspicions:
    """Suspects the agents that the scenario names."""

    def __init__(self):
        self.agents = set()

    def is_suspected(self, target):
        return target.agent in self.agents


def agent_of(name, number):
    return Address(f"192.0.{name.removeprefix('s-')}.{number}", 7001)


def make(name, draining=(), targets=7):
    entry = Entry(Address(f"198.51.100.{name.removeprefix('s-')}", 80), 6)
    found = tuple(
        Target(
            f"t-{number}",
            agent_of(name, number),
            "a",
            1.0,
            2,
            TargetState("draining" if number in draining else "active"),
        )
        for number in range(1, targets + 1)
    )
    return Service(name, entry, ServiceKind.HTTP, found)


def put(context, service):
    current = context.store.current
    services = current.services | {service.name: service}
    context.store.put_in_force(Configuration(current.version + 1, services))


def find_all(context, name):
    service = context.store.current.services[name]
    return [context.cache.find(service, bucket) for bucket in BUCKETS]


def chains_of(context, name):
    return [route.chain for route in find_all(context, name)]


@given('services "s-1" and "s-2" of 7 targets with all their chains kept')
def start(context):
    context.clock = SetClock()
    context.store = ConfigurationStore(context.clock)
    context.suspicions = SetSuspicions()
    context.cache = ChainCache(context.store, context.suspicions)
    for name in ("s-1", "s-2"):
        put(context, make(name))
    context.kept = {n: find_all(context, n) for n in ("s-1", "s-2")}


@when('target {number:d} of "{name}" drains')
def drain(context, number, name):
    put(context, make(name, {number}))


@when("{seconds:g} s go by")
def go_by(context, seconds):
    context.clock.time += seconds


@when('{count:d} versions change only "{name}", one a second')
def change_other(context, count, name):
    for number in range(count):
        context.clock.time += 1
        put(context, make(name, {1 + number % 2}))


@when('target {number:d} of "{name}" is suspected')
def suspect(context, number, name):
    context.suspicions.agents.add(agent_of(name, number))
    context.cache.clear()


@when("the suspicion lapses")
def lapse(context):
    context.suspicions.agents.clear()
    context.cache.clear()


@when(
    "{services:d} services get a packet for each of {buckets:d} buckets,"
    " and {limit:d} may stay"
)
def fill(context, services, buckets, limit):
    context.sizes = []
    with patch("chicorycart.balancer.chains.CHAIN_CACHE_ENTRIES", limit):
        for number in range(services):
            context.last = make(f"s-{number}")
            for bucket in range(buckets):
                context.cache.find(context.last, bucket)
                context.sizes.append(len(context.cache))


@when('the targets of "{name}" are taken away')
def take_away(context, name):
    context.clock.time += 100
    put(context, make(name, targets=0))
    context.clock.time += 100


@then('the kept chains of "{name}" are used on')
def check_kept(context, name):
    found = find_all(context, name)
    assert all(map(lambda a, b: a is b, found, context.kept[name]))


@then('no chain of "{name}" begins with target {number:d}')
def check_not_first(context, name, number):
    agent = pack_address(agent_of(name, number))
    assert all(chain[0] != agent for chain in chains_of(context, name))


@then('some chain of "{name}" begins with target {number:d}')
def check_first(context, name, number):
    agent = pack_address(agent_of(name, number))
    assert any(chain[0] == agent for chain in chains_of(context, name))


@then('target {number:d} is in chains of "{name}"')
def check_in(context, number, name):
    agent = pack_address(agent_of(name, number))
    assert any(agent in chain for chain in chains_of(context, name))


@then('target {number:d} is in no chain of "{name}"')
def check_not_in(context, number, name):
    agent = pack_address(agent_of(name, number))
    assert not any(agent in chain for chain in chains_of(context, name))


@then("no more than {limit:d} chains are ever kept")
def check_limit(context, limit):
    assert max(context.sizes) == limit, max(context.sizes)
    kept = [len(c.routes) for c in context.cache.services.values()]
    assert sum(kept) == len(context.cache)


@then("the chains used last are still kept")
def check_last(context):
    assert context.last.identifier in context.cache.services


@then('its packets are counted as "{outcome}" and none is forwarded')
def check_unforwarded(context, outcome):
    registry = CollectorRegistry()
    sender = MemorySender()
    forwarder = Forwarder(
        context.store, context.cache, sender, DecisionLog(0.0), registry
    )
    forwarder.handle_datagram(make_opening(1), SOURCE)
    counted = registry.get_sample_value(
        "chicorycart_balancer_packets_total", {"outcome": outcome}
    )
    assert counted == 1
    assert sender.sent == []
