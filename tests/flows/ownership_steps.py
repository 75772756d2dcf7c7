"""Steps on flows that must stay with their owner."""

from asyncio import gather
from asyncio import sleep

from behave import given
from behave import then
from behave import when

from chicorycart.configuration.model import ServiceKind
from chicorycart.configuration.model import TargetState
from chicorycart.defaults import HANDSHAKE_SECONDS
from chicorycart.defaults import TICK_SECONDS
from tests.standins.fleet import Fleet
from tests.standins.fleet import TCP

FIRST_PORT = 40_000
MINUTE_SECONDS = 60
RESTART_DELAY_SECONDS = 5
"""Delay that separates a restart from the sending of owner records."""


def in_loop(context, action, *arguments, **options):
    async def call():
        return action(*arguments, **options)

    return context.run(call())


def pass_time(context, seconds):
    async def wait():
        feeds = [
            context.fleet.keep_feed(caller, seconds)
            for caller in context.feeds
            if not caller.was_reset
        ]
        await gather(sleep(seconds), *feeds)

    context.run(wait())


def change_other_service(context):
    in_loop(context, context.fleet.publish)
    in_loop(context, context.fleet.put_in_force)


@given("{agents:d} agents and {balancers:d} balancers of one service")
def start_fleet(
    context,
    agents,
    balancers,
    kind=ServiceKind.HTTP,
    seed=1,
    protocol=TCP,
):
    async def start():
        context.fleet = Fleet(kind, seed, protocol)
        context.fleet.start(agents, balancers)
        await sleep(HANDSHAKE_SECONDS)

    context.feeds = []
    context.run(start())
    context.cleanups.callback(in_loop, context, context.fleet.close)


@when("{count:d} callers open feeds")
def open_feeds(context, count):
    async def open_all():
        for port in range(FIRST_PORT, FIRST_PORT + count):
            context.feeds.append(context.fleet.call(port))
        await sleep(1)

    context.run(open_all())
    pass_time(context, 20)
    owners = context.fleet.find_owners(FIRST_PORT)
    assert len(owners) == 1, owners
    context.first_owner = owners[0]
    context.owned = [
        caller
        for caller in context.feeds
        if context.fleet.find_owners(caller.address.port) == owners
    ]


@when("the target of the first feed drains")
def drain(context):
    context.fleet.states[context.first_owner] = TargetState.DRAINING
    in_loop(context, context.fleet.publish)
    in_loop(context, context.fleet.put_in_force)


@when("the target of the first feed is removed")
def remove(context):
    del context.fleet.states[context.first_owner]
    in_loop(context, context.fleet.publish)
    in_loop(context, context.fleet.put_in_force)


@when("{minutes:d} minutes pass")
def pass_minutes(context, minutes):
    for _ in range(minutes):
        change_other_service(context)
        pass_time(context, MINUTE_SECONDS)


async def wait_for_record(agent):
    """Return as soon as the agent has created a new owner record."""
    sequence = agent.ownership.announcer.sequence
    for _ in range(int(MINUTE_SECONDS / TICK_SECONDS)):
        if agent.ownership.announcer.sequence > sequence:
            return
        await sleep(TICK_SECONDS)
    raise AssertionError("no new owner record within a minute")


@when("every agent but that of the first feed is replaced")
def replace_others(context):
    context.run(wait_for_record(context.fleet.agents[context.first_owner]))
    context.run(sleep(RESTART_DELAY_SECONDS))
    for number in context.fleet.agents:
        if number != context.first_owner:
            in_loop(context, context.fleet.start_agent, number)


@when("the agent of the first feed dies")
def kill_agent(context):
    in_loop(context, context.fleet.pause, context.first_owner)


@then("no feed was reset and all lines ran once")
def check_feeds(context):
    for caller in context.feeds:
        check_feed(context, caller)


@then("no feed of the drained target was reset")
def check_owned_feeds(context):
    assert context.owned
    for caller in context.owned:
        assert not caller.was_reset


@then("no feed is on more than one host")
def check_owners(context):
    for caller in context.feeds:
        owners = context.fleet.find_owners(caller.address.port)
        assert len(owners) == 1, owners


@then("no agent stores a record")
def check_records(context):
    for agent in context.fleet.agents.values():
        records = agent.ownership.records
        in_loop(context, records.expire)
        assert not len(records)


def check_feed(context, caller):
    assert not caller.was_reset
    assert caller.asked
    assert caller.answers.decode().splitlines() == caller.asked
    for line in caller.asked:
        assert context.fleet.count_runs(line) == 1, line
