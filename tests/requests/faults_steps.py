"""Steps that inject a fault at each step of a booking's path."""

from asyncio import create_task
from asyncio import Task
from asyncio import timeout
from pathlib import Path

from behave import then
from behave import when

from tests.standins.caller import build_request
from tests.standins.caller import send
from tests.standins.faulty import Fault
from tests.standins.faulty import FaultyTarget
from tests.standins.gateways import GatewayPool

ROOT = Path(__file__).resolve().parent.parent.parent
SLOW_FAULTS = (Fault.HANG_BEFORE_RUN, Fault.HANG_AFTER_RUN, Fault.LATE)
SHORT_TIMEOUT_MS = 300
LONG_TIMEOUT_MS = 20_000
ARRIVAL_SECONDS = 10.0
KILLS = {
    "killed, request not running": Fault.HANG_BEFORE_RUN,
    "killed, request running": Fault.HANG_AFTER_RUN,
}
HEADING = "| at | fault | caller is told | runs |"
RULE = "| --- | --- | --- | --- |"


class Result:
    """Outcome of one booking."""

    def __init__(self, at, fault, summary, runs):
        self.at = at
        self.fault = fault
        self.summary = summary
        self.runs = runs

    def __str__(self):
        return f"| {self.at} | {self.fault} | {self.summary} | {self.runs} |"


class Trial:
    """One booking and one fault, on two new gateways."""

    def __init__(self, at, fault, **fields):
        self.at = at
        self.fault = fault
        self.fields = fields
        self.pool = GatewayPool(2)
        self.parts = [*self.pool.targets]

    async def run(self):
        try:
            await self.pool.start()
            return await self.book()
        finally:
            for part in self.parts:
                part.close()
            await self.pool.close()

    async def book(self):
        path = "/bookings/1"
        await self.inject()
        caller = create_task(self.send(path))
        if self.fault in KILLS:
            await self.kill(caller)
        summary = await self.receive_answer(caller)
        for part in self.parts:
            await part.settle()
        runs = sum(part.runs[path] for part in self.parts)
        return Result(self.at, self.fault, summary, runs)

    async def inject(self):
        """Inject the fault where `at` says.

        For a fault at the peer agent, the own target refuses the request, so
        that it is forwarded. For one on the link to the peer agent, a faulty
        server listens in place of its gateway.
        """
        fault = Fault(KILLS.get(self.fault, self.fault))
        own, peer_agent = self.pool.targets
        if self.at in ("target", "agent", "caller"):
            await own.set_fault(fault)
            return
        await own.set_fault(Fault.SHED)
        if self.at == "mate's link":
            await self.pool.servers[1].close()
            peer_agent = FaultyTarget(self.pool.plan.hosts[1].gateway)
            self.parts.append(peer_agent)
        await peer_agent.set_fault(fault)

    async def send(self, path):
        is_slow = self.fault in SLOW_FAULTS
        timeout_ms = SHORT_TIMEOUT_MS if is_slow else LONG_TIMEOUT_MS
        request = build_request(
            path,
            body=b"x" * 1000,
            X_Request_Timeout_Ms=str(timeout_ms),
            **self.fields,
        )
        return await send(self.pool.plan.hosts[0].gateway, request)

    async def kill(self, caller: Task):
        """Kill the caller or a gateway once the request is at its target."""
        member = 1 if self.at == "mate's agent" else 0
        target = self.pool.targets[member]
        async with timeout(ARRIVAL_SECONDS):
            await target.is_hanging.wait()
        if self.at == "caller":
            caller.cancel()
        else:
            await self.pool.servers[member].close()

    async def receive_answer(self, caller: Task):
        """Return the status and outcome that the caller got."""
        if self.at == "caller":
            return "caller left"
        return (await caller).summary


@when("a booking meets each of these faults on its path")
def meet_faults(context):
    context.results = [
        context.run(Trial(row["at"], row["fault"]).run())
        for row in context.table
    ]


@when('a booking with an Idempotency-Key meets "{fault}" at "{at}"')
def meet_fault(context, fault, at):
    trial = Trial(at, fault, Idempotency_Key="b-1")
    context.results = [context.run(trial.run())]


@then("no booking ran twice")
def check_never_twice(context):
    assert context.results
    for result in context.results:
        assert result.runs <= 1, str(result)


@then('no booking whose caller got "not-run" ran')
def check_not_run(context):
    not_run = [r for r in context.results if r.summary.endswith("not-run")]
    assert not_run
    for result in not_run:
        assert result.runs == 0, str(result)


@then('every booking whose caller got "200 whole" ran')
def check_whole(context):
    whole = [r for r in context.results if r.summary == "200 whole"]
    assert whole
    for result in whole:
        assert result.runs == 1, str(result)


@then('its caller gets "{summary}"')
def check_summary(context, summary):
    assert context.results[0].summary == summary, str(context.results[0])


@then('the results are the table in "{path}"')
def check_table(context, path):
    table = "\n".join([HEADING, RULE, *map(str, context.results)])
    text = (ROOT / path).read_text()
    assert table in text, f"the table is now\n{table}"
