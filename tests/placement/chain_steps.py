"""Steps on the chain and the candidates of a bucket."""

from behave import given
from behave import then
from behave import when

from chicorycart.address import Address
from chicorycart.configuration.model import Entry
from chicorycart.configuration.model import Service
from chicorycart.configuration.model import ServiceKind
from chicorycart.configuration.model import Target
from chicorycart.configuration.model import TargetState
from chicorycart.defaults import BUCKETS_PER_SERVICE
from chicorycart.placement.chain import build_chain
from chicorycart.placement.chain import choose_candidates

ENTRY = Entry(Address("198.51.100.1", 80), 6)


class OneSuspect:
    """Suspects one target."""

    def __init__(self, name):
        self.name = name

    def is_suspected(self, target):
        return target.name == self.name


def make_service(weights, draining=()):
    targets = tuple(
        Target(
            name,
            Address(f"192.0.2.{number}", 7001),
            "a",
            weight,
            2,
            TargetState("draining" if name in draining else "active"),
        )
        for number, (name, weight) in enumerate(weights.items(), 1)
    )
    return Service("dispatch", ENTRY, ServiceKind.HTTP, targets)


def list_candidates(service):
    return [
        [target.name for target in choose_candidates(service, bucket)]
        for bucket in range(BUCKETS_PER_SERVICE)
    ]


@given('a service of 5 targets "t-1" to "t-5" of weight 1')
def five_targets(context):
    context.weights = {f"t-{number}": 1.0 for number in range(1, 6)}
    context.service = make_service(context.weights)


@given('target "{name}" has weight {weight:d}')
def give_weight(context, name, weight):
    context.weights[name] = float(weight)
    context.service = make_service(context.weights)


@when('target "{name}" drains')
def drain_target(context, name):
    context.before = list_candidates(context.service)
    context.service = make_service(context.weights, {name})


@when("the first candidate of bucket {bucket:d} is suspected")
def suspect_first(context, bucket):
    first = choose_candidates(context.service, bucket)[0]
    context.suspect = first.name


@then('bucket {bucket:d} has the candidates "{names}"')
def check_candidates(context, bucket, names):
    found = choose_candidates(context.service, bucket)
    listed = ", ".join(target.name for target in found)
    assert listed == names, listed


@then(
    '"{name}" is the first candidate of between {low:d} % and {high:d} %'
    " of the buckets"
)
def check_share(context, name, low, high):
    candidates = list_candidates(context.service)
    share = sum(names[0] == name for names in candidates) / len(candidates)
    assert low <= 100 * share <= high, share


@then('only buckets that had "{name}" as a candidate have other candidates')
def check_moved(context, name):
    after = list_candidates(context.service)
    moved = [b for b, names in enumerate(after) if names != context.before[b]]
    assert moved
    assert all(name in context.before[bucket] for bucket in moved)
    assert not any(name in names for names in after)


@then("it is the last target in the chain of bucket {bucket:d}")
def check_suspect_last(context, bucket):
    suspicions = OneSuspect(context.suspect)
    chain = build_chain(context.service, [], bucket, suspicions)
    assert len(chain) == 4
    assert chain[-1].name == context.suspect
