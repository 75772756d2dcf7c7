"""Steps on peers that hand out versions over HTTP."""

from behave import given
from behave import then
from behave import when
from prometheus_client import CollectorRegistry
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from chicorycart.address import Address
from chicorycart.clock import LoopClock
from chicorycart.configuration.delta import DeltaHistory
from chicorycart.configuration.errors import PeerError
from chicorycart.configuration.metrics import ConfigurationMetrics
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.parse import parse_service
from chicorycart.configuration.peer_client import PeerClient
from chicorycart.configuration.serving import DeltaServer
from chicorycart.configuration.serving import list_routes
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.configuration.version_manager import VersionManager
from chicorycart.pace import TokenBucket
from tests.configuration.builders import publish
from tests.configuration.builders import publish_many
from tests.configuration.fleet import ListedInstance
from tests.standins.platform import encode


def parse_all(values):
    return {n: parse_service(n, encode(v)) for n, v in values.items()}


@given("a balancer that serves version 2 over HTTP")
def serve(context):
    context.run(start_server(context))


async def start_server(context):
    clock = LoopClock()
    store = ConfigurationStore(clock)
    history = DeltaHistory()
    store.subscribe(history)
    first = publish_many(3)
    second = {**first, "s-1": publish(1, weight=7.0)}
    store.put_in_force(Configuration(1, parse_all(first)))
    store.put_in_force(Configuration(2, parse_all(second)))
    metrics = ConfigurationMetrics(CollectorRegistry())
    bucket = TokenBucket(clock, 1, 1_000_000)
    version_manager = VersionManager(store, metrics)
    context.delta_server = DeltaServer(version_manager, history, bucket)
    sockets = bind_sockets(0, "127.0.0.1")
    context.server = HTTPServer(Application(list_routes(context.delta_server)))
    context.server.add_sockets(sockets)
    context.cleanups.callback(context.server.stop)
    context.peer = ListedInstance(1, "domain-0")
    context.peer.control = Address(*sockets[0].getsockname())


@then("a peer is told version 2, and gets it whole and as a delta")
def gets_versions(context):
    async def ask():
        client = PeerClient()
        return (
            await client.fetch_version(context.peer),
            await client.fetch_delta(context.peer, 0),
            await client.fetch_delta(context.peer, 1),
        )

    version, whole, delta = context.run(ask())
    assert version == whole.version == delta.version == 2
    assert sorted(whole.changed) == ["s-0", "s-1", "s-2"]
    assert list(delta.changed) == ["s-1"]
    assert (whole.base, delta.base) == (0, 1)


@then("it gets nothing after version 2")
def gets_nothing(context):
    assert context.run(fetch(context, 2)) is None


async def fetch(context, after):
    return await PeerClient().fetch_delta(context.peer, after)


@when("it has no bytes left")
def no_bytes(context):
    context.delta_server.bucket.level = -100


@when("it stops")
def stops(context):
    context.server.stop()


@then('a fetch after version {after:d} fails with "{text}"')
def fetch_fails(context, after, text):
    try:
        context.run(fetch(context, after))
    except PeerError as error:
        assert text in str(error), error
    else:
        raise AssertionError("the fetch did not fail")
