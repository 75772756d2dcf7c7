"""Steps on the daemons of the platform as processes."""

from asyncio import gather
from asyncio import Semaphore
from asyncio import sleep
from asyncio import timeout
from base64 import b64encode
from signal import SIGHUP
from signal import SIGTERM

from behave import given
from behave import then
from behave import when

from chicorycart.platform.settings import METRICS_PORT
from tests.standins.kv import encode
from tests.standins.kv import make_config
from tests.standins.kv import make_entry
from tests.standins.kv import serve_store
from tests.standins.kv import StandInStore
from tests.standins.processes import PlatformProcesses

SERVICE = "dispatch"
HOSTS = {"h1": 2, "h2": 3}
BALANCERS = {"b1": 4, "b2": 5}
LATE = 6
EXPORTER_PORT = 9300


@given("a store, 2 hosts with agents and 2 balancers as processes")
def start_all(context):
    context.run(start(context))
    context.cleanups.callback(lambda: context.run(context.fleet.close()))


async def start(context):
    store = StandInStore()
    context.store = store
    server, port = serve_store(store)
    context.cleanups.callback(server.stop)
    fleet = context.fleet = PlatformProcesses(f"127.0.0.1:{port}")
    await fleet.start_all(store, SERVICE, HOSTS, BALANCERS)


@given("nobody reads what the processes write")
def stop_reading(context):
    for reader in context.fleet.readers:
        reader.cancel()


@when("{count:d} callers ask through both balancers")
def ask(context, count):
    ask_at_most(context, count, count)


@when("{count:d} callers ask through both balancers, {limit:d} at a time")
def ask_at_most(context, count, limit):
    places = Semaphore(limit)

    async def ask_one(number):
        await sleep(0.005 * number)
        async with places:
            caller = context.fleet.make_caller()
            context.callers.append(caller)
            caller.body = b"process-%d" % number
            if await caller.open():
                await caller.ask(caller.body)

    async def ask_all():
        await gather(*(ask_one(number) for number in range(count)))

    context.callers = []
    context.run(ask_all())


@then("every caller has its own answer")
def check_answers(context):
    assert context.callers
    unserved = [c for c in context.callers if len(c.answers) != 1]
    assert not unserved, (
        [(caller.answers, caller.resets) for caller in unserved],
        context.run(fetch_outcomes(context)),
    )
    for caller in context.callers:
        assert caller.answers[0].endswith(b":" + caller.body)


async def fetch_outcomes(context):
    """Return what every daemon counted of the packets it handled."""
    fleet = context.fleet
    pages = [
        await fleet.fetch(fleet.find_ip(number), METRICS_PORT, "/metrics")
        for number in (*BALANCERS.values(), *HOSTS.values())
    ]
    return [
        line
        for page in pages
        for line in page.splitlines()
        if "_packets_total{" in line
    ]


@then("the output of the processes names each flow and where it went")
def check_output(context):
    context.run(sleep(0.3))
    written = {n: t.decode() for n, t in context.fleet.output.items()}
    placed = written["b1"] + written["b2"]
    accepted = written["h1"] + written["h2"]
    for caller in context.callers:
        flow = f"flow=tcp:{caller.address}>{caller.entry}"
        lines = [x for x in placed.splitlines() if f"{flow} " in x]
        assert any("event=flow_placed" in line for line in lines), flow
        assert all("version=7" in line for line in lines), lines
        assert f"event=flow_accepted {flow}" in accepted, accepted
    for text in written.values():
        assert "event=start" in text


@then("both kinds of daemon serve metrics with their histograms")
def check_metrics(context):
    async def fetch():
        fleet = context.fleet
        return [
            await fleet.fetch(fleet.find_ip(n), METRICS_PORT, "/metrics")
            for n in (BALANCERS["b1"], HOSTS["h1"])
        ]

    balancer, agent = context.run(fetch())
    assert "chicorycart_balancer_version 7.0" in balancer
    assert "chicorycart_balancer_packets_total{" in balancer
    assert "chicorycart_balancer_placing_seconds_bucket" in balancer
    assert "chicorycart_agent_accept_seconds_count" in agent
    assert 'chicorycart_agent_packets_total{outcome="delivered"}' in agent


@when("another program writes odd entries")
def write_odd_entries(context):
    beside = {
        "service": "exporter",
        "address": f"{context.fleet.find_ip(HOSTS['h1'])}:{EXPORTER_PORT}",
        "born": 2**50,
    }
    values = {
        "nested": b64encode(b"[" * 2_000).decode(),
        "no-text": b64encode(b"\xff\xfe").decode(),
        "huge": encode(make_entry(9, coldRemainingMs=10**399)),
        "slots": encode(make_entry(9, slots=10**399)),
        "port": encode(make_entry(9, address="10.2.0.9:65536")),
        "exporter": encode(make_entry(9, **beside)),
    }
    for name, value in values.items():
        context.store.put(f"servers/{name}", value)


@when("version {version:d} of the configuration is written")
def write_version(context, version):
    config = {**make_config(), "version": version}
    context.store.put("op/config", encode(config))


@then("every balancer has version {version:d} within {seconds:d} s")
def check_version(context, version, seconds):
    line = f"event=in_force version={version} ".encode()

    async def wait():
        async with timeout(seconds):
            for name in BALANCERS:
                await context.fleet.wait_written(name, line)

    context.run(wait())


@when("every balancer is killed and started again")
def restart_balancers(context):
    async def restart():
        fleet = context.fleet
        for name, number in BALANCERS.items():
            fleet.processes[name].kill()
            await fleet.processes[name].wait()
            await fleet.start(name, fleet.find_ip(number))
        for number in BALANCERS.values():
            await fleet.wait_ready(fleet.find_ip(number))

    context.run(restart())


@then("both hosts were asked")
def check_hosts_asked(context):
    names = {c.answers[0].partition(b":")[0] for c in context.callers}
    assert names == {name.encode() for name in HOSTS}, names


@when("every process gets SIGHUP, early and late")
def hang_up(context):
    async def run():
        fleet = context.fleet
        late = fleet.find_ip(LATE)
        await fleet.start("late", late)
        # Nothing can be done before the interpreter runs our first line.
        await fleet.wait_written("late", b"event=start")
        for _ in range(3):
            fleet.signal(SIGHUP)
            await sleep(0.2)
        await fleet.wait_ready(late)

    context.run(run())
    ended = [p.returncode for p in context.fleet.processes.values()]
    assert not any(code is not None for code in ended), ended


@when("every process gets SIGTERM")
def terminate(context):
    context.fleet.signal(SIGTERM)


@then("every process ends with {code:d} within {seconds:d} s")
def check_ended(context, code, seconds):
    async def wait():
        async with timeout(seconds):
            for process in context.fleet.processes.values():
                assert await process.wait() == code

    context.run(wait())


@when("a daemon is started with settings that are not TOML")
def start_faulty(context):
    async def run():
        context.fleet = PlatformProcesses("127.0.0.1:1")
        await context.fleet.start_with("odd", "node = ")
        context.code = await context.fleet.processes["odd"].wait()
        await sleep(0.1)

    context.run(run())
    context.cleanups.callback(lambda: context.run(context.fleet.close()))


@then("it ends with 1 and names the file and the fault")
def check_fault(context):
    text = context.fleet.output["odd"].decode()
    assert context.code == 1
    assert "odd.toml" in text, text
    assert "not TOML" in text, text
