"""Steps on agents that follow one service."""

from asyncio import sleep

from behave import given
from behave import then
from behave import when

from chicorycart.configuration.checksums import digest_body
from chicorycart.configuration.messages import encode_update
from chicorycart.configuration.messages import ServiceUpdate
from chicorycart.links.datagrams import MessageKind
from tests.configuration.builders import bodies_of
from tests.configuration.builders import publish
from tests.configuration.exchange_steps import change
from tests.configuration.exchange_steps import change_and_wait
from tests.configuration.exchange_steps import IN_FORCE_SECONDS
from tests.configuration.exchange_steps import inside
from tests.configuration.exchange_steps import watch_served
from tests.standins.platform import encode

SHORT_PAUSE_SECONDS = 2.0
POLL_SECONDS = 0.001
POLLS = 10_000


@given("{count:d} agents with version 1 in force")
def start_agents(context, count):
    async def start():
        context.agents = context.fleet.add_agents(count, 2)
        await context.fleet.wait_in_force(1, IN_FORCE_SECONDS)

    context.run(start())
    context.agent = context.agents[0]


@then("each of {count:d} changes is in force at every agent within 9 seconds")
def changes_at_agents(context, count):
    for _ in range(count):
        change_and_wait(context, IN_FORCE_SECONDS, context.agents)


@then("each agent holds its own service only, as the platform has it")
def own_service(context):
    for agent in context.agents:
        value = context.platform.services[agent.service]
        expected = {agent.service: encode(value)}
        assert bodies_of(agent.store.current) == expected


@then("no agent called the platform")
def no_calls(context):
    assert not any(agent.values.calls for agent in context.agents)


@when("both balancers that the first agent hears die")
def balancers_die(context):
    heard = list(context.agent.table.last_contacts)
    chosen = inside(context, context.agent.exchange.choose_balancers, 2)
    assert {peer.data for peer in chosen} <= set(heard)
    for peer in chosen:
        context.fleet.by_data[peer.data].stop()


@when("the agent waits for {seconds:d} seconds")
def pass_time(context, seconds):
    context.run(sleep(seconds))


@then("it has a change in force within {seconds:d} seconds")
def agent_has_change(context, seconds):
    change_and_wait(context, seconds, [context.agent])


@when("the agents are cut off from every balancer for {seconds:d} seconds")
def cut_agents(context, seconds):
    for member in context.fleet.members:
        member.side = 0 if member in context.agents else 1
    change(context)
    context.run(sleep(seconds))


@then("each agent has version 2 in force after at most {calls:d} calls")
def few_calls_alone(context, calls):
    for agent in context.agents:
        assert agent.version == 2
        assert agent.values.calls <= calls, agent.values.calls


@when("an agent is told of version 2 {how} digest")
@when("an agent is told of version 2 {how} service")
def told_without_state(context, how):
    context.value = publish(0, weight=5.0)
    context.body = encode(context.value)
    update = ServiceUpdate(2, digest_body(context.body))
    if how.startswith("with "):
        update.body = encode(publish(0, weight=6.0))
    hand_over(context, update)


def hand_over(context, update):
    source = next(iter(context.agent.table.last_contacts))
    inside(
        context,
        context.agent.take,
        MessageKind.SERVICE_UPDATE,
        encode_update(update),
        source,
    )


@then("it keeps version 1 until it gets the state")
def keeps_first(context):
    assert context.agent.version == 1
    assert context.platform.patch(1, {"s-0": context.value})
    context.run(context.fleet.wait_in_force(2, IN_FORCE_SECONDS))
    assert bodies_of(context.agent.store.current) == {"s-0": context.body}


@when("an agent gets a faulty state of its service as version 2")
def faulty_state(context):
    body = encode(publish(0, weight=-1.0))
    hand_over(context, ServiceUpdate(2, digest_body(body), body))


@then("it keeps version 1 and shows version 2 as refused")
def keeps_and_shows(context):
    assert context.agent.version == 1
    sample = context.agent.registry.get_sample_value
    assert sample("chicorycart_configuration_refused_version") == 2


@when("an agent is paused while version 2 comes into force")
def pause_agent(context):
    context.agent.pause()
    others = [m for m in context.fleet.members if m is not context.agent]
    change_and_wait(context, members=others)
    context.paused = context.agent


@then("it serves nothing until it has version 2")
def serves_second(context):
    async def wake_and_watch():
        context.agent.wake(60.0)
        return await watch_served(context.agent, IN_FORCE_SECONDS)

    assert list(context.run(wake_and_watch())) == [2]


@when("an agent is paused a second time before it serves again")
def pause_twice(context):
    async def pause():
        exchange = context.agent.exchange
        exchange.resume(SHORT_PAUSE_SECONDS)
        for _ in range(POLLS):
            if exchange.deadline is not None:
                break
            await sleep(POLL_SECONDS)
        exchange.resume(SHORT_PAUSE_SECONDS)

    context.run(pause())


@then("it serves version 1 within 15 s")
def serves_first(context):
    async def watch():
        for _ in range(15):
            if context.agent.exchange.is_serving:
                return True
            await sleep(1.0)
        return False

    assert context.run(watch())
    assert context.agent.store.current.version == 1
