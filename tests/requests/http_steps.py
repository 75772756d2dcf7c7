"""Steps that send HTTP requests to a gateway, byte by byte as given."""

from asyncio import timeout

from behave import given
from behave import then
from behave import when

from tests.standins.caller import build_request
from tests.standins.caller import connect
from tests.standins.caller import send
from tests.standins.faulty import Fault
from tests.standins.gateways import GatewayPool

CHUNK_BYTES = 10_000


def to_wire(text):
    return text.replace("~", "\r\n").encode()


def address(context, member=0):
    return context.pool.plan.hosts[member].gateway


@given("{count:d} gateway with {slots:d} slots")
@given("{count:d} gateways with {slots:d} slots")
def start_pool(context, count, slots):
    context.pool = GatewayPool(count, slots)
    context.connections = []
    context.cleanups.callback(lambda: context.run(close_pool(context)))
    context.run(context.pool.start())


async def close_pool(context):
    for connection in context.connections:
        connection.close()
    await context.pool.close()


@given('the target answers "{answer}"')
@when('the target answers "{answer}"')
def set_answer(context, answer):
    context.pool.targets[0].canned = to_wire(answer)


@given('target {number:d} "{fault}"')
def set_fault(context, number, fault):
    target = context.pool.targets[number - 1]
    context.run(target.set_fault(Fault(fault)))


@given("the target answers a body of {count:d} bytes")
def set_large_answer(context, count):
    head = f"HTTP/1.1 200 OK~Content-Length: {count}~~"
    context.pool.targets[0].canned = to_wire(head) + b"x" * count


@when('a caller sends the request "{request}"')
def send_request(context, request):
    context.answer = context.run(send(address(context), to_wire(request)))


@when('a caller sends {count:d} bytes of "{part}" in "{request}"')
def send_padded(context, request, count, part):
    padding = b"x" * count
    if part == "chunks":
        chunk = f"{CHUNK_BYTES:x}~".replace("~", "\r\n").encode()
        chunk += b"x" * CHUNK_BYTES + b"\r\n"
        padding = chunk * (count // CHUNK_BYTES) + b"0\r\n\r\n"
    wire = to_wire(request).replace(b"*", padding)
    context.answer = context.run(send_all(context, wire))


async def send_all(context, wire):
    connection = await connect(address(context))
    context.connections.append(connection)
    connection.writer.write(wire)
    return await connection.receive_answer()


@when('a caller pipelines "{request}" and gets {count:d} responses')
def send_pipelined(context, request, count):
    async def converse():
        connection = await connect(address(context))
        context.connections.append(connection)
        await connection.send(to_wire(request))
        return [await connection.receive_answer() for _ in range(count)]

    answers = context.run(converse())
    assert [a.summary for a in answers] == ["200 whole"] * count


@when('a caller falls silent after "{request}"')
def send_and_hang(context, request):
    async def begin():
        connection = await connect(address(context))
        context.connections.append(connection)
        await connection.send(to_wire(request))

    context.run(begin())


@then('another caller gets "{summary}" within {seconds:d} s')
def check_other(context, summary, seconds):
    async def book():
        async with timeout(seconds):
            request = build_request("/other")
            return await send(address(context), request)

    assert context.run(book()).summary == summary


@then('the caller gets "{got}"')
def check_answer(context, got):
    answer = context.answer
    body = answer.body.decode() if answer.status == 200 else ""
    if got.startswith("503 whole"):
        body = answer.body.decode()
    seen = f"{answer.summary}: {body}".strip()
    assert seen == got.strip(), seen


@then("the target ran nothing")
def check_nothing_ran(context):
    assert not context.pool.targets[0].runs


@then('the response has the fields "{present}" and not "{absent}"')
def check_answer_fields(context, present, absent):
    check_fields(context.answer.head, present, absent)


@then('the target got the fields "{present}" and not "{absent}"')
def check_request_fields(context, present, absent):
    check_fields(context.pool.targets[0].heads[0], present, absent)


def check_fields(head, present, absent):
    lines = [line.lower() for line in head.split("\r\n")]
    for text in present.lower().split(", "):
        assert any(line.startswith(text) for line in lines), head
    for text in absent.lower().split(", "):
        assert not any(line.startswith(text) for line in lines), head


@then('the target ran "{paths}" in this order')
def check_order(context, paths):
    heads = context.pool.targets[0].heads
    assert [head.split()[1] for head in heads] == paths.split()


@when('a caller requests "{path}" over a new persistent connection')
def request_first(context, path):
    async def ask():
        context.connection = await connect(address(context))
        context.connections.append(context.connection)

    context.run(ask())
    context.responses = []
    request_next(context, path)


@when('the caller requests "{path}" over the same connection')
def request_next(context, path):
    async def ask():
        await context.connection.send(to_wire(f"GET {path} HTTP/1.1~~"))
        return await context.connection.receive_answer()

    context.responses.append(context.run(ask()).body.decode())


@then('the caller got "{bodies}" and the target ran "{paths}"')
def check_bodies(context, bodies, paths):
    assert context.responses == bodies.split(", "), context.responses
    ran = [head.split()[1] for head in context.pool.targets[0].heads]
    assert ran == paths.split(", "), ran
