"""Steps on the measured capacity of targets."""

from behave import given
from behave import then
from behave import when

from chicorycart.address import pack_address
from chicorycart.agent.load import RequestLoad
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.placement.capacity import CapacityMeter
from chicorycart.placement.capacity import initial_capacity
from chicorycart.placement.load import Load
from chicorycart.requests.service_time import ServiceTime
from chicorycart.requests.slots import Slots
from tests.placement.chain_steps import make_service
from tests.placement.choice_steps import FixedPeerAgentLoads


class SetClock:
    """A clock whose time the scenario sets."""

    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time


@given(
    "a target of {slots:d} slots with an assumed capacity of {rate:g}"
    " {unit:w} a second"
)
def target(context, slots, rate, unit):
    context.clock = SetClock()
    context.meter = CapacityMeter(context.clock, slots, rate)


@given("peer agents of weight 1 that complete {rates} requests/s")
def peer_agent_loads(context, rates):
    numbers = [float(rate) for rate in rates.replace(" and", ",").split(",")]
    weights = {f"t-{n}": 1.0 for n in range(1, len(numbers) + 1)}
    context.service = make_service(weights | {"own": 2.0})
    context.peer_agent_loads = FixedPeerAgentLoads()
    for found, number in zip(context.service.targets, numbers, strict=False):
        context.peer_agent_loads.loads[pack_address(found.agent)] = Load(
            0, 0, number
        )


@given("no peer agent has reported a load")
def no_peer_agent_loads(context):
    context.service = make_service({"t-1": 1.0, "own": 2.0})
    context.peer_agent_loads = FixedPeerAgentLoads()


@when("{count:d} requests of {seconds:g} s complete")
def complete_requests(context, count, seconds):
    for _ in range(count):
        context.meter.record(seconds)


@when("{periods:d} periods of {count:d} requests of {seconds:g} s complete")
def complete_periods(context, periods, count, seconds):
    for _ in range(periods):
        pass_time(context, 20)
        complete_requests(context, count, seconds)


@when("its clock advances by {seconds:g} s")
def pass_time(context, seconds):
    context.clock.time += seconds


@then("its capacity is between {low:g} and {high:g}")
def check_capacity(context, low, high):
    assert low <= context.meter.capacity <= high, context.meter.capacity


@then("it reports a capacity between {low:g} and {high:g}")
def check_report(context, low, high):
    assert low <= context.meter.current() <= high, context.meter.current()


@then("a target of weight 2 has an assumed capacity of {rate:g} a second")
def check_initial(context, rate):
    found = initial_capacity(context.service, "own", context.peer_agent_loads)
    assert found == rate, found


class FixedGateway:
    """A gateway of which only the load is read."""

    def __init__(self, slots):
        self.slots = slots

    def current_load(self):
        return Load(1, 2, self.slots.rate, True)


@given("an agent with a gateway of 4 slots, whose peers complete 18 a second")
def gateway(context):
    peer_agent_loads(context, "18, 18 and 18")
    context.service.find_target("own").weight = 1.0
    context.clock = SetClock()
    store = ConfigurationStore(context.clock)
    services = {context.service.name: context.service}
    store.put_in_force(Configuration(1, services))
    context.slots = Slots(context.clock, ServiceTime(1.0), 4)
    meter = CapacityMeter(context.clock, 1, 1.0)
    context.load = RequestLoad(
        FixedGateway(context.slots),
        meter,
        store,
        context.service.name,
        "own",
        context.peer_agent_loads,
    )


@when("{count:d} requests hold a slot for {seconds:g} s")
def hold_slots(context, count, seconds):
    for _ in range(count):
        slot = context.slots.occupy()
        context.clock.time += seconds
        slot.release()


@when("its slots are limited to {count:d}")
def change_slots(context, count):
    context.slots.set_limit(count)


@then("it reports a capacity of {capacity:g}")
def check_reported(context, capacity):
    load = context.load.current_load()
    assert abs(load.capacity - capacity) < 0.01, load.capacity
    assert (load.in_progress, load.queued) == (1, 2)
