"""Steps that send requests through the whole system."""

from asyncio import ensure_future
from asyncio import gather
from asyncio import sleep
from collections import Counter

from behave import given
from behave import then
from behave import when

from tests.standins.layout import Network
from tests.standins.layout import plan_small
from tests.standins.target import DIAGRAM_BYTES
from tests.standins.testbed import Testbed

MID_DOWNLOAD_SECONDS = 0.2


class Answer:
    """An answer, with what it should be."""

    def __init__(self, service, response, size):
        self.service = service
        self.response = response
        self.size = size


def size_feed(lines):
    """Return the bytes of a feed of so many lines."""
    return sum(len(f"{number}\n") for number in range(lines))


def run_testbed(context, network, plans, balancers):
    """Start a world that ends with the scenario."""
    context.testbed = Testbed(network, plans)
    context.cleanups.callback(lambda: context.run(context.testbed.close()))
    context.run(context.testbed.start(balancers))
    context.answers = []


@given("both small services behind {balancers:d} balancers")
def start_testbed(context, balancers):
    network = Network()
    run_testbed(context, network, plan_small(network), balancers)


@given("the fabric loses {loss:d} % and reorders {late:d} % of the packets")
def make_fabric_bad(context, loss, late):
    context.testbed.fabric.loss = loss / 100
    context.testbed.fabric.reorder = late / 100


@when('a caller books "{booking}" at "{service}"')
def book(context, booking, service):
    response = context.run(context.testbed.book(service, booking))
    size = len(f"booked {booking}\n")
    context.answers.append(Answer(service, response, size))


@when('a caller downloads the diagram of "{service}"')
def download(context, service):
    response = context.run(context.testbed.request(service, "/diagram"))
    context.answers.append(Answer(service, response, DIAGRAM_BYTES))


@when('a caller reads {lines:d} lines of the feed of "{service}"')
def read_feed(context, lines, service):
    path = f"/feed?lines={lines}"
    response = context.run(context.testbed.request(service, path))
    context.answers.append(Answer(service, response, size_feed(lines)))


def begin(context, service, path, size):
    """Begin a request that goes on during later steps."""

    async def start():
        request = context.testbed.request(service, path)
        context.open_request = ensure_future(request)
        await sleep(MID_DOWNLOAD_SECONDS)

    context.open_service = service
    context.open_size = size
    context.run(start())
    assert not context.open_request.done()


@when('a caller begins to download the diagram of "{service}"')
def begin_download(context, service):
    begin(context, service, "/diagram", DIAGRAM_BYTES)


@when('a caller begins to read {lines:d} lines of the feed of "{service}"')
def begin_feed(context, lines, service):
    begin(context, service, f"/feed?lines={lines}", size_feed(lines))


@when("balancer {number:d} is killed")
def kill_balancer(context, number):
    context.run(context.testbed.kill(f"balancer-{number}"))


@when("the download ends")
@when("the feed ends")
def end_open_request(context):
    async def end():
        return await context.open_request

    response = context.run(end())
    answer = Answer(context.open_service, response, context.open_size)
    context.answers.append(answer)


@then("every answer is whole and from a target of its own service")
def check_answers(context):
    assert context.answers
    for answer in context.answers:
        response = answer.response
        assert response.code == 200, response.error
        assert len(response.body) == answer.size, len(response.body)
        assert response.headers["X-Service"] == answer.service


@then('"{booking}" ran once')
def check_runs(context, booking):
    targets = context.testbed.targets.values()
    assert sum(target.runs[booking] for target in targets) == 1


@when("{count:d} callers book, {width:d} at a time, at both services")
def book_many(context, count, width):
    async def work(numbers):
        for number in numbers:
            service = "dispatch" if number % 2 else "catalogue"
            response = await context.testbed.book(service, f"n-{number}")
            size = len(f"booked n-{number}\n")
            context.answers.append(Answer(service, response, size))

    async def work_all():
        numbers = iter(range(count))
        await gather(*(work(numbers) for _ in range(width)))

    context.run(work_all())
    context.bookings = {f"n-{number}" for number in range(count)}


@then("each of the bookings ran once")
def check_all_runs(context):
    runs = sum((t.runs for t in context.testbed.targets.values()), Counter())
    assert set(runs) == context.bookings
    assert set(runs.values()) == {1}
