"""Steps on a balancer's list of targets."""

from asyncio import get_running_loop
from asyncio import sleep

from behave import given
from behave import then
from behave import when

from chicorycart.address import Address
from chicorycart.steering.published import ENTRY_REMOVED
from chicorycart.steering.published import ListedState
from chicorycart.steering.published import Listing
from chicorycart.steering.published import ListingChange
from tests.standins.endpoints import ENTRY
from tests.standins.steered import DOMAIN
from tests.standins.steered import HOST_PORT
from tests.standins.steered import OTHER_ENTRY
from tests.standins.steered import OTHER_SERVICE
from tests.standins.steered import SERVICE
from tests.standins.steered import SteeredFleet
from tests.steering.flows_steps import ask_in_turn
from tests.steering.flows_steps import ask_open_flows

BALANCER = "b1"
NEW_CALLERS = 30
PROGRAM = "exporter"
PROGRAM_PORT = 9300
PROGRAM_STARTS = {
    "of no configured service": 9,
    "of no configured service, started earlier": 0,
}


def wait(context, seconds):
    """Let some virtual time pass."""
    context.run(sleep(seconds))


def get_directory(context):
    """Return the directory of targets of the first balancer."""
    return context.fleet.balancers[BALANCER].directory


def list_names(context):
    """Return the names of the targets that the first balancer lists."""

    async def read():
        members = get_directory(context).list_members(SERVICE)
        return [member.target.name for member in members]

    return context.run(read())


@when('host "{name}" drains and 1 s goes by')
def drain(context, name):
    context.opened = len(context.fleet.hosts[name].opened)
    context.fleet.list_host(name, state=ListedState.DRAINING)
    wait(context, 1.0)


@then('host "{name}" was given no new flow')
def check_no_new(context, name):
    assert len(context.fleet.hosts[name].opened) == context.opened


@when('the entry of "{name}" is removed')
def remove(context, name):
    wait(context, 1.0)
    context.name = name
    context.fleet.store.remove(name)


@then("the host is still listed after 1 s and no longer after 3 s")
def check_lapse(context):
    wait(context, 1.0)
    assert context.name in list_names(context)
    wait(context, 2.0)
    assert context.name not in list_names(context)


@then(
    'after another removal, the requests of {count:d} callers go to "{name}"'
    " only"
)
def check_only(context, count, name):
    context.fleet.list_host(context.name)
    wait(context, 1.0)
    context.fleet.store.remove(context.name)
    wait(context, 0.5)
    before = len(context.fleet.hosts[name].ran)
    ask_in_turn(context, count)
    assert len(context.fleet.hosts[name].ran) == before + count


@when("the store is down for 4 s and every entry lapses for 1.5 s")
def lapse_all(context):
    async def lapse():
        fleet = context.fleet
        await sleep(1.0)
        fleet.store.is_down = True
        await sleep(4.0)
        for name in fleet.hosts:
            fleet.store.remove(name)
        fleet.store.is_down = False
        await sleep(0.8)

    context.run(lapse())

    async def come_back():
        await sleep(0.7)
        for name in context.fleet.hosts:
            context.fleet.list_host(name)

    context.back = context.run(start_task(come_back()))


async def start_task(work):
    return get_running_loop().create_task(work)


@when(
    'host "{first}" of incarnation {born:d} and then "{second}" of incarnation'
    " {later:d} are listed at one address"
)
def list_two(context, first, born, second, later):
    for name, incarnation in ((first, born), (second, later)):
        context.fleet.store.put(
            Listing(
                name,
                SERVICE,
                Address("10.2.0.77", HOST_PORT),
                "riga-a",
                2,
                ListedState.READY,
                incarnation,
                0.0,
            )
        )
    wait(context, 1.0)


@then(
    '"{young}" is the target there, also after the entry of "{old}" is removed'
)
def check_young(context, young, old):
    assert find_at_address(context) == young
    context.fleet.store.remove(old)
    wait(context, 4.0)
    assert find_at_address(context) == young


@when('an entry {entry} is written for the machine of "{name}"')
def list_program(context, entry, name):
    context.opened = len(context.fleet.hosts[name].opened)
    context.fleet.store.put(
        Listing(
            PROGRAM,
            PROGRAM,
            Address(context.fleet.hosts[name].address.host, PROGRAM_PORT),
            DOMAIN,
            1,
            ListedState.READY,
            PROGRAM_STARTS[entry],
            0.0,
        )
    )
    wait(context, 2.0)


@when('that entry and the one of "{name}" are removed')
def remove_both(context, name):
    for each in (name, PROGRAM):
        context.fleet.store.remove(each)


@when("every balancer is replaced by one that knows no flows")
def replace_all_balancers(context):
    async def replace():
        for name in list(context.fleet.balancers):
            context.fleet.kill_balancer(name)
            await start_balancer(context.fleet, name)

    context.run(replace())


@then('host "{name}" is given new flows')
def check_new(context, name):
    ask_in_turn(context, NEW_CALLERS)
    assert len(context.fleet.hosts[name].opened) > context.opened


@then("no host counts as one that took over an address")
def check_no_former(context):
    for balancer in context.fleet.balancers.values():
        members = balancer.directory.members.values()
        assert members
        assert not any(member.took_over_address for member in members)


@then("the entry is counted as unused")
def check_unused(context):
    for balancer in context.fleet.balancers.values():
        assert list(balancer.directory.unused.by_name) == [PROGRAM]


@when(
    'a host of the service "{service}" is listed, and configured'
    " {seconds:d} s later"
)
def configure_later(context, service, seconds):
    fleet = context.fleet

    async def list_host():
        await fleet.settle()
        fleet.add_host("h9", service)
        await sleep(seconds)

    context.run(list_host())
    assert "h9" not in get_directory(context).members
    assert "h9" in get_directory(context).unused.by_name
    fleet.configure(2, {ENTRY: SERVICE, OTHER_ENTRY: service})


@then("its service is served within {seconds:d} s")
def check_later_service(context, seconds):
    wait(context, seconds)
    _, host = context.run(context.fleet.open_flow(OTHER_ENTRY))
    assert host == "h9"
    assert not get_directory(context).unused


def find_at_address(context):
    """Return the name of the target at the address of two entries."""
    return get_directory(context).find_by_host("10.2.0.77").target.name


@when(
    'the address of "{name}" goes to a host of another service and the'
    " balancer does not learn of it"
)
def take_over(context, name):
    async def replace():
        await sleep(1.0)
        fleet = context.fleet
        fleet.store.is_silent = True
        address = fleet.hosts[name].address.host
        fleet.kill_agent(name)
        fleet.add_host("i-other", OTHER_SERVICE, address)

    context.run(replace())


@then('the host at the address of "{name}" received no packet')
def check_nothing(context, name):
    assert context.fleet.hosts["i-other"].socket.received == 0


@when('the entry of "{name}" cannot be read and 3 s go by')
def break_entry(context, name):
    wait(context, 1.0)
    context.fleet.store.put_unreadable(name)
    wait(context, 3.0)


@then("{count:d} targets are listed")
def check_count(context, count):
    assert len(list_names(context)) == count


@when(
    "the store discards its history while version {version:d} is published"
    ' and host "{name}" drains'
)
def discard(context, version, name):
    wait(context, 1.0)
    context.fleet.configure(version, {ENTRY: SERVICE})
    context.fleet.list_host(name, state=ListedState.DRAINING)
    context.fleet.store.forget_history()


@then('version {version:d} is in force within 1 s and "{name}" is draining')
def check_anew(context, version, name):
    wait(context, 1.0)
    follower = context.fleet.balancers[BALANCER].follower
    assert follower.routes.current.version == version
    member = get_directory(context).members[name]
    assert member.listing.state is ListedState.DRAINING


@then(
    "an older version {version:d} that is read later does not come into force"
)
def check_no_older(context, version):
    follower = context.fleet.balancers[BALANCER].follower
    before = follower.routes.current.version
    context.fleet.configure(version, {ENTRY: OTHER_SERVICE})
    wait(context, 2.0)
    assert follower.revision == context.fleet.store.revision
    assert follower.routes.current.version == before


@when(
    "the store's answers are lost for 3 s while version {version:d} is"
    " published"
)
def lose_answers(context, version):
    wait(context, 1.0)
    context.fleet.store.is_silent = True
    context.fleet.configure(version, {ENTRY: SERVICE})
    wait(context, 3.0)
    context.fleet.store.is_silent = False


@then("version {version:d} is in force within {seconds:d} s")
@then("version {version:d} is in force within {seconds:d} s after that")
def check_in_force(context, version, seconds):
    wait(context, seconds)
    for balancer in context.fleet.balancers.values():
        assert balancer.follower.routes.current.version == version


@when("{seconds:d} s pass without a change")
def let_pass(context, seconds):
    context.calls = context.fleet.store.calls
    wait(context, seconds)


def restore(context, change):
    """Change what is published, and restore the store from a copy."""
    wait(context, 1.0)
    fleet = context.fleet
    copy = fleet.store.copy_state()
    change()
    wait(context, 1.0)
    context.lost_revision = fleet.store.revision
    fleet.store.is_down = True
    fleet.store.restore(copy)
    wait(context, 1.0)
    fleet.store.is_down = False


@when(
    "the store is restored from a copy that lacks version {version:d}, and its"
    " era {changes}"
)
def restore_without(context, version, changes):
    store = context.fleet.store
    if changes == "is never told":
        store.has_eras = False
        wait(context, 3.0)

    def change():
        context.fleet.configure(version, {ENTRY: SERVICE})
        if changes == "falls":
            store.era_step = -1

    restore(context, change)
    wait(context, 1.2)


@when(
    "version {version:d} is published at the revision that version"
    " {lost:d} had"
)
def publish_again(context, version, lost):
    store = context.fleet.store
    context.fleet.configure(version, {ENTRY: SERVICE})
    assert store.revision == context.lost_revision


@then('host "{name}" drains and is draining within 1 s')
def check_drains(context, name):
    context.fleet.list_host(name, state=ListedState.DRAINING)
    wait(context, 1.0)
    check_state(context, name, ListedState.DRAINING)


def check_state(context, name, state):
    """Check the state of a host at every balancer."""
    for balancer in context.fleet.balancers.values():
        assert balancer.directory.members[name].listing.state is state


@when(
    "the store is restored from a copy and passes its former revision before"
    " it answers"
)
def pass_revision(context):
    fleet = context.fleet
    wait(context, 1.0)
    copy = fleet.store.copy_state()
    fleet.configure(4, {ENTRY: SERVICE})
    wait(context, 1.0)
    fleet.store.is_down = True
    fleet.store.restore(copy)
    fleet.list_host("h2", state=ListedState.DRAINING)
    fleet.configure(5, {ENTRY: SERVICE})
    fleet.list_host("h3")
    wait(context, 1.0)
    fleet.store.is_down = False


@when(
    '"{name}" is written with {slots:d} slots and the store is restored from'
    " a copy with {before:d}"
)
def restore_slots(context, name, slots, before):
    host = context.fleet.hosts[name]
    assert host.slots == before

    def change():
        host.slots = slots
        context.fleet.list_host(name)

    restore(context, change)
    wait(context, 1.0)


@then('"{name}" has {slots:d} slots')
def check_slots(context, name, slots):
    for balancer in context.fleet.balancers.values():
        listing = balancer.directory.members[name].listing
        assert listing.slots == slots, listing.slots


def drain_host(context, name):
    """Publish that a host drains."""
    context.opened = len(context.fleet.hosts[name].opened)
    context.fleet.list_host(name, state=ListedState.DRAINING)


@when('host "{name}" drains and the store is restored from a copy made before')
def restore_ready(context, name):
    restore(context, lambda: drain_host(context, name))
    wait(context, 1.0)


@when(
    'host "{name}" drains, leaves and the store is restored from a copy made'
    " before"
)
def restore_departed(context, name):
    def leave():
        drain_host(context, name)
        wait(context, 1.0)
        context.fleet.store.remove(name)

    restore(context, leave)
    wait(context, 1.0)


@when(
    'host "{name}" starts again, drains, leaves and the store is restored from'
    " a copy of its earlier start"
)
def restore_earlier_start(context, name):
    def start_and_leave():
        fleet = context.fleet
        fleet.list_host(name, born=2)
        wait(context, 1.0)
        context.opened = len(fleet.hosts[name].opened)
        fleet.list_host(name, state=ListedState.DRAINING, born=2)
        wait(context, 1.0)
        fleet.store.remove(name)

    restore(context, start_and_leave)
    wait(context, 1.0)


@when(
    'host "{name}" drains, leaves, balancer "{balancer}" learns of it from the'
    " history and the store is restored from a copy made before"
)
def restore_known_from_history(context, name, balancer):
    fleet = context.fleet

    def leave():
        drain_host(context, name)
        wait(context, 1.0)
        fleet.store.remove(name)
        wait(context, 0.5)
        fleet.kill_balancer(balancer)
        context.run(start_balancer(fleet, balancer))
        # The history is read for flows that no listed host holds.
        assert all(context.run(ask_open_flows(context)))
        agent = fleet.agents[name].settings.link
        assert fleet.balancers[balancer].directory.vanished.is_leaving(agent)

    restore(context, leave)
    wait(context, 1.0)


async def start_balancer(fleet, name):
    """Start a balancer and let it read what is published."""
    fleet.add_balancer(name)
    await fleet.settle(0.3)


@when(
    'host "{name}" starts again at another address and the store is restored'
    " from a copy made before"
)
def restore_former_start(context, name):
    def start_again():
        host = context.fleet.hosts[name]
        host.address = Address("10.2.0.99", HOST_PORT)
        context.fleet.list_host(name, born=2)

    restore(context, start_again)
    wait(context, 1.0)


@then('the target "{name}" is the one of the later start')
def check_later_start(context, name):
    for balancer in context.fleet.balancers.values():
        listing = balancer.directory.members[name].listing
        assert listing.incarnation == 2, listing.incarnation


async def discard_lapsed(fleet):
    """Let every balancer discard the targets that lapsed."""
    for balancer in fleet.balancers.values():
        assert len(balancer.directory.list_members(SERVICE)) == 2


@when(
    'the address of "{name}" goes to a younger host that ends, and the store'
    " is restored from a copy made before"
)
def restore_former_host(context, name):
    def replace():
        fleet = context.fleet
        host = fleet.hosts[name]
        context.opened = len(host.opened)
        fleet.hosts["h9"] = host
        fleet.list_host("h9", born=2)
        wait(context, 1.0)
        fleet.store.remove("h9")
        wait(context, 3.0)
        del fleet.hosts["h9"]
        context.run(discard_lapsed(fleet))

    restore(context, replace)
    wait(context, 1.0)


@when('host "{name}" is listed as ready and 1 s goes by')
def list_ready(context, name):
    context.fleet.list_host(name)
    wait(context, 1.0)


@then('host "{name}" is ready')
def check_ready_host(context, name):
    check_state(context, name, ListedState.READY)


@when("the store discards its history and 1 s goes by")
def discard_only(context):
    context.fleet.store.forget_history()
    wait(context, 1.0)


@when("1 s goes by")
def let_second_pass(context):
    wait(context, 1.0)


@then("the store had at most {count:d} calls")
def check_calls(context, count):
    calls = context.fleet.store.calls - context.calls
    assert 0 < calls <= count, calls


@given("{count:d} hosts are listed")
@when("{count:d} hosts are listed at once")
def list_many(context, count):
    async def list_all():
        for number in range(count):
            context.fleet.store.put(
                Listing(
                    f"m{number}",
                    SERVICE,
                    Address(f"10.9.{number // 250}.{number % 250}", 8165),
                    DOMAIN,
                    1,
                    ListedState.READY,
                    number,
                    0.0,
                )
            )

    context.count = count
    context.run(list_all())


@given("{seconds:d} s pass")
def pass_time(context, seconds):
    wait(context, seconds)


@then("the balancer knows them after {seconds:g} s")
def check_known(context, seconds):
    wait(context, seconds)
    (balancer,) = context.fleet.balancers.values()
    known = [n for n in balancer.directory.members if n.startswith("m")]
    assert len(known) == context.count, len(known)


@given("a store without a configuration and a balancer")
def make_bare(context):
    async def make():
        context.fleet = SteeredFleet(1, 0)
        context.fleet.store.routes = None
        context.fleet.store.history.clear()
        context.fleet.add_balancer(BALANCER)

    context.run(make())
    context.cleanups.callback(lambda: context.run(context.fleet.close()))


@then("the balancer is not ready")
def check_not_ready(context):
    assert not context.fleet.balancers[BALANCER].is_ready()


@when("version 1 is published and 1 s goes by")
def configure(context):
    context.fleet.configure(1, {ENTRY: SERVICE})
    wait(context, 1.0)


@when("the store's answers take {seconds:d} s and version 1 is published")
def slow_down(context, seconds):
    context.fleet.store.answer_seconds = seconds
    context.fleet.configure(1, {ENTRY: SERVICE})


@then("the balancer is ready")
def check_ready(context):
    assert context.fleet.balancers[BALANCER].is_ready()


@when("the removal of {count:d} hosts is read")
def read_removals(context, count):
    wait(context, 1.0)
    directory = get_directory(context)
    first = context.fleet.store.revision + 1
    for revision in range(first, first + count):
        directory.apply(
            ListingChange(f"i-{revision}", revision, None, ENTRY_REMOVED)
        )


@then("the balancer remembers at most {count:d} removed names")
def check_removed(context, count):
    assert 0 < len(get_directory(context).former.removed_revisions) <= count


@when("{count:d} hosts drain and leave")
def drain_many(context, count):
    wait(context, 1.0)
    directory = get_directory(context)
    address = context.fleet.hosts["h1"].address
    first = context.fleet.store.revision + 1
    state = ListedState.DRAINING

    async def drain_all():
        for revision in range(first, first + count):
            name = f"i-{revision}"
            listing = Listing(
                name, SERVICE, address, "riga-a", 2, state, 9, 0.0
            )
            directory.apply(ListingChange(name, revision, listing))
            directory.apply(ListingChange(name, revision, None, ENTRY_REMOVED))

    context.run(drain_all())


@then("the balancer remembers at most {count:d} drained names")
def check_drained(context, count):
    assert 0 < len(get_directory(context).former.retired_incarnations) <= count
