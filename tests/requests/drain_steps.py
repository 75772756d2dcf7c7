"""Steps that drain targets, stop gateways and kill agents."""

from asyncio import create_task
from asyncio import sleep
from asyncio import wait as wait_tasks
from asyncio import wait_for
from signal import SIGTERM

from behave import then
from behave import when

from tests.standins.caller import build_request
from tests.standins.caller import connect
from tests.standins.testbed import STOP_SECONDS

PATH = "/bookings/1"
ARRIVAL_SECONDS = 10
KILL_SECONDS = 0.3
MAX_CONNECTIONS = 200
UPLOAD_BYTES = 16_000_000


async def start_booking(context, number):
    gateway = context.pool.plan.hosts[number - 1].gateway
    context.connection = await connect(gateway)
    context.connections.append(context.connection)
    context.responses = []
    await context.connection.send(build_request(PATH))


async def receive_response(context):
    context.responses.append(await context.connection.receive_answer())


@when("a caller books over a new persistent connection to gateway {number:d}")
def book(context, number):
    context.run(start_booking(context, number))
    context.run(receive_response(context))


@when("the caller books over the same connection")
def book_again(context):
    context.run(context.connection.send(build_request(PATH)))
    context.run(receive_response(context))


@when(
    "a caller starts a booking over a new persistent connection"
    " to gateway {number:d}"
)
def begin_booking(context, number):
    async def arrive():
        await start_booking(context, number)
        target = context.pool.targets[number - 1]
        await wait_for(target.has_run.wait(), ARRIVAL_SECONDS)

    context.run(arrive())


@when("a caller uploads a body that is never read at gateway {number:d}")
def upload(context, number):
    async def fill():
        gateway = context.pool.plan.hosts[number - 1].gateway
        connection = await connect(gateway)
        context.connections.append(connection)
        connection.writer.write(build_request(PATH, body=b"x" * UPLOAD_BYTES))
        target = context.pool.targets[number - 1]
        await wait_for(target.is_hanging.wait(), ARRIVAL_SECONDS)

    context.run(fill())


@when("target {number:d} is draining")
def drain(context, number):
    async def publish():
        context.pool.drain(number - 1)

    context.run(publish())


@when("gateway {number:d} begins to stop")
def stop(context, number, seconds=None):
    async def begin_stop():
        server = context.pool.servers[number - 1]
        context.stop = create_task(server.stop(seconds))
        await sleep(0)

    context.run(begin_stop())


@when("gateway {number:d} begins to stop with a bound of {seconds:g} s")
def stop_within(context, number, seconds):
    stop(context, number, seconds)


@when('every agent of "{service}" receives SIGTERM')
def stop_agents(context, service):
    testbed = context.testbed
    names = [n for n in testbed.processes if n.startswith(f"{service}-")]
    for name in names:
        testbed.signal(name, SIGTERM)
    context.stopped = [testbed.processes[name] for name in names]


@then('the responses on the connection are "{summary}"')
def check_responses(context, summary):
    expected = summary.split(", ")
    if len(context.responses) < len(expected):
        context.run(receive_response(context))
    assert [a.summary for a in context.responses] == expected, [
        a.summary for a in context.responses
    ]


@then('the targets ran "{counts}" bookings')
def check_counts(context, counts):
    ran = [target.runs[PATH] for target in context.pool.targets]
    assert ran == [int(count) for count in counts.split()], ran


@then('the last response has "Connection: close"')
def check_close(context):
    assert context.responses[-1].field("Connection") == "close"


@then("gateway {number:d} reports that it takes {what} flows")
def check_openings(context, number, what):
    async def ask():
        return context.pool.servers[number - 1].gateway.current_load()

    takes = {"opening": True, "no opening": False}[what]
    assert context.run(ask()).takes_new_work is takes


@then("gateway {number:d} stops")
@then("gateway {number:d} stops within {seconds:d} s")
def check_stops(context, number, seconds=STOP_SECONDS):
    async def stopped():
        _, pending = await wait_tasks([context.stop], timeout=seconds)
        assert not pending

    context.run(stopped())


@then("every stopped agent exits with {code:d}")
def check_exit(context, code):
    async def exits():
        return [
            await wait_for(process.wait(), STOP_SECONDS)
            for process in context.stopped
        ]

    assert set(context.run(exits())) == {code}


@when('callers of "{service}" hold open connections to every target')
def hold_connections(context, service):
    async def book_until_all():
        plan = context.testbed.services[service]
        context.open_connections = []
        targets = set()
        while len(targets) < len(plan.hosts):
            assert len(context.open_connections) < MAX_CONNECTIONS, targets
            context.open_connections.append(await connect(plan.entry))
            answer = await book_over(context.open_connections[-1], "before")
            targets.add(answer.field("X-Target"))

    context.run(book_until_all())


async def book_over(connection, booking):
    await connection.send(build_request(f"/bookings/{booking}"))
    return await connection.receive_answer()


@when('target "{target}" of "{service}" is published as draining')
def publish_draining(context, target, service):
    context.testbed.change_target(service, target, state="draining")


@when("the system runs for {seconds:d} s")
def wait(context, seconds):
    context.run(sleep(seconds))


@when('each of these callers and {count:d} new ones book at "{service}"')
def book_after(context, count, service):
    async def book_all():
        entry = context.testbed.services[service].entry
        others = [await connect(entry) for _ in range(count)]
        connections = [*context.open_connections, *others]
        answers = [
            await book_over(connection, f"after-{number}")
            for number, connection in enumerate(connections)
        ]
        for connection in connections:
            connection.close()
        return answers

    context.answers = context.run(book_all())


@then('each of these bookings ran once, and none at "{target}"')
def check_drained(context, target):
    summary = [answer.summary for answer in context.answers]
    assert set(summary) == {"200 whole"}, summary
    targets = context.testbed.targets.values()
    for number in range(len(summary)):
        runs = sum(t.runs[f"after-{number}"] for t in targets)
        assert runs == 1, runs
    drained = context.testbed.targets[target].runs
    assert not any(name.startswith("after") for name in drained), drained


@when('the agent of "{target}" of "{service}" is killed during a booking')
def kill_agent(context, target, service):
    async def book():
        plan = context.testbed.services[service]
        member = [plan.target_name(m) for m in range(len(plan.hosts))]
        gateway = plan.hosts[member.index(target)].gateway
        context.testbed.targets[target].work_seconds = KILL_SECONDS * 2
        connection = await connect(gateway)
        await connection.send(build_request("/bookings/killed"))
        await sleep(KILL_SECONDS)
        await context.testbed.kill(target)
        answer = await connection.receive_answer()
        connection.close()
        return answer.summary

    assert context.run(book()) == "connection closed"


@then("that booking ran at most once")
def check_killed(context):
    context.run(sleep(KILL_SECONDS * 2))
    targets = context.testbed.targets.values()
    assert sum(t.runs["killed"] for t in targets) <= 1
