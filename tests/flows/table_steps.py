"""Steps on the table of owned flows."""

from behave import given
from behave import then
from behave import when
from hypothesis import given as hypothesis_given
from hypothesis.strategies import integers
from hypothesis.strategies import lists
from hypothesis.strategies import sampled_from
from hypothesis.strategies import tuples

from chicorycart.defaults import FLOW_IDLE_SECONDS
from chicorycart.defaults import FLOW_TICK_SECONDS
from chicorycart.flows.table import FlowTable
from tests.flows.replay import ManualClock

EVERYTHING = 1_000_000


def make_flow(number):
    return number.to_bytes(13, "big")


@given("a flow table with room for {limit:d} flows")
def make_table(context, limit):
    context.clock = ManualClock()
    context.flow_table = FlowTable(context.clock, limit)


@when("flows 1 and 2 are touched")
def touch_both(context):
    touch_many(context, 2)


@when("{count:d} flows are touched")
def touch_many(context, count):
    for number in range(1, count + 1):
        context.flow_table.touch(make_flow(number), is_closing=False)


@when("flow {number:d} is touched")
def touch(context, number):
    context.flow_table.touch(make_flow(number), is_closing=False)


@when("flows 1 and 2 close")
def close_both(context):
    for number in (1, 2):
        context.flow_table.touch(make_flow(number), is_closing=True)


@when("flow {number:d} closes and opens again")
def reopen(context, number):
    context.flow_table.touch(make_flow(number), is_closing=True)
    context.flow_table.touch(make_flow(number), False, is_opening=True)


@when("{seconds:d} seconds pass by its clock")
def pass_time(context, seconds):
    context.clock.time += seconds


@when("all flows that are due are checked")
def check_all_due(context):
    context.flow_table.expire(EVERYTHING)


@then("it owns only flow {number:d}")
def check_owned(context, number):
    owned = [n for n in (1, 2) if context.flow_table.owns(make_flow(n))]
    assert owned == [number], owned


@then("it holds {count:d} flow")
@then("it holds {count:d} flows")
def check_held(context, count):
    assert len(context.flow_table) == count, len(context.flow_table)


@then("it counts {count:d} open flows")
def check_open(context, count):
    assert context.flow_table.count_open() == count


@then("one step removes at most {count:d} flows")
def check_step(context, count):
    assert context.flow_table.expire(count) == count


@then("its counts are right after any sequence of operations")
def check_counts(context):
    actions = sampled_from(["touch", "close", "open", "wait", "sweep"])

    @hypothesis_given(lists(tuples(actions, integers(1, 5)), max_size=60))
    def check(events):
        clock = ManualClock()
        table = FlowTable(clock)
        touched = {}
        for action, number in events:
            apply_operation(table, clock, touched, action, number)
        clock.time += FLOW_IDLE_SECONDS + 2 * FLOW_TICK_SECONDS
        table.expire(EVERYTHING)
        assert len(table) == 0
        assert table.count_open() == 0
        assert not table.wheel

    check()


def apply_operation(table, clock, touched, action, number):
    flow = make_flow(number)
    if action == "wait":
        clock.time += number * FLOW_IDLE_SECONDS / 4
    elif action == "sweep":
        table.expire(number)
    else:
        is_closing = action == "close"
        was_closing = table.deadlines.get(flow, 0) & 1
        stays_closing = is_closing or (was_closing and action == "touch")
        touched[flow] = (clock.time, stays_closing)
        table.touch(flow, is_closing, is_opening=action == "open")
        assert table.owns(flow)
    is_closing = [bool(d & 1) for d in table.deadlines.values()]
    assert table.count_open() == is_closing.count(False)
    for other, (time, closed) in touched.items():
        if not closed and clock.time - time < FLOW_IDLE_SECONDS:
            still = other in table.deadlines
            assert still


@given("each agent has room for {limit:d} flows")
def limit_agents(context, limit):
    for agent in context.fleet.agents.values():
        agent.ownership.table.limit = limit


@then("{answered:d} connections get answers and {silent:d} get none")
def check_answered(context, answered, silent):
    has_answer = [bool(caller.answers) for caller in context.feeds]
    assert has_answer.count(True) == answered, has_answer
    assert has_answer.count(False) == silent, has_answer


@then('the agents counted "{outcome}"')
def check_outcome(context, outcome):
    agents = context.fleet.agents.values()
    assert sum(agent.count(outcome) for agent in agents) > 0
