"""Plays one seed of the soak and tells which promises were broken."""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep

from tests.soak.plan import draw_plan
from tests.soak.plan import Kind
from tests.soak.promises import APPLY_SECONDS
from tests.soak.promises import STABLE_SECONDS
from tests.soak.testbed import ENTRIES
from tests.soak.testbed import LAPSE_SECONDS
from tests.soak.testbed import MOVING
from tests.soak.testbed import Testbed

SHORT_PAUSE_SECONDS = 0.05
LONG_PAUSE_SECONDS = 0.3
LONG_CALLERS = 12
RECOVER_SECONDS = 12.0
"""As the platform's pages have it for the standard sites."""

SERVED_SECONDS = 2.0
"""Most that a caller waits for an answer while nothing is disturbed; the
longest deadline of the users' safe requests."""

BATCH = 12


class Outcome:
    """What a seed showed.

    Attributes
    ----------
    broken : list of str
        Promises that were broken.
    answered, asked : int
        Requests of short flows.
    output : dict of str to bytes
        What each process wrote.
    """

    def __init__(self, seed, steps, testbed, answered, asked):
        self.seed = seed
        self.steps = steps
        self.broken = testbed.promises.broken
        self.output = testbed.fleet.output
        self.answered = answered
        self.asked = asked


class Traffic:
    """Callers of short flows, and of long ones that keep asking."""

    def __init__(self, testbed):
        self.testbed = testbed
        self.asked = 0
        self.answered = 0
        self.long = []

    async def run_short(self):
        """Open a flow, ask once and close it, again and again."""
        while True:
            entry = ENTRIES[self.asked % len(ENTRIES)]
            self.testbed.tasks.append(create_task(self.ask_once(entry)))
            await sleep(SHORT_PAUSE_SECONDS)

    async def ask_once(self, entry):
        """Ask once by a new flow; return the seconds until the answer."""
        self.asked += 1
        promises = self.testbed.promises
        began = promises.now
        caller = self.testbed.make_caller(entry)
        answer = None
        if await caller.open():
            answer = await caller.ask(b"short-%d" % caller.address.port)
            await caller.close()
        seconds = promises.now - began
        if answer is not None:
            self.answered += 1
        is_served = answer is not None and seconds <= SERVED_SECONDS
        if not is_served and entry != MOVING and promises.is_calm(began):
            promises.break_promise(
                f"{caller.address} to {entry} had no answer in {seconds:.2f} s"
                f" (resets: {caller.resets})"
            )
        return seconds if answer is not None else None

    async def run_long(self, number):
        """Ask again and again on one flow, and open another if it ends."""
        entry = ENTRIES[number % (len(ENTRIES) - 1)]
        while True:
            caller = self.testbed.make_caller(entry)
            if await caller.open():
                self.long.append(caller)
                await self.keep_asking(caller)
                self.long.remove(caller)
            await sleep(LONG_PAUSE_SECONDS)

    async def keep_asking(self, caller):
        """Ask until the host of a flow is gone."""
        number = 0
        while not caller.resets:
            number += 1
            body = b"long-%d-%d" % (caller.address.port, number)
            await caller.ask(body)
            if self.testbed.find_owner(caller) is None:
                return
            await sleep(LONG_PAUSE_SECONDS)

    async def check_recovered(self):
        """Check that all are served again in time."""
        loop = get_running_loop()
        until = loop.time() + RECOVER_SECONDS
        while loop.time() < until:
            times = await gather(
                *(
                    self.ask_once(ENTRIES[number % (len(ENTRIES) - 1)])
                    for number in range(BATCH)
                )
            )
            if None not in times and max(times) <= SERVED_SECONDS:
                return
        self.testbed.promises.break_promise(
            f"not all served {RECOVER_SECONDS} s after the last fault"
        )

    async def check_long(self):
        """Check that every open flow whose host lives goes on."""
        await gather(*(self.check_one(caller) for caller in list(self.long)))

    async def check_one(self, caller):
        """Check that an open flow goes on."""
        known = len(caller.answers)
        await sleep(RECOVER_SECONDS / 2)
        owner = self.testbed.find_owner(caller)
        if owner is not None and len(caller.answers) <= known:
            self.testbed.promises.break_promise(
                f"{caller.address} hears nothing of {owner.name}"
            )


async def check_changes(testbed):
    """Let callers check that changes still come into force in time.

    Each state of the entry that moves is published once, among them none. The
    first one gets the last revision that a restore took away, if the store has
    not passed it.
    """
    await sleep(STABLE_SECONDS + LAPSE_SECONDS)
    testbed.write_until(testbed.lost_revision - 1)
    await sleep(1.0)
    for _ in range(3):
        testbed.configure()
        await sleep(APPLY_SECONDS + 1.0)


async def play(seed, *size):
    """Play one seed in a world of some size; return its outcome."""
    testbed = Testbed(seed, *size)
    traffic = Traffic(testbed)
    steps = draw_plan(seed)
    try:
        await testbed.start()
        testbed.tasks.append(create_task(traffic.run_short()))
        for number in range(LONG_CALLERS):
            testbed.tasks.append(create_task(traffic.run_long(number)))
        await sleep(1.0)
        began = testbed.promises.now
        applied = []
        for step in steps:
            await sleep(max(0.0, began + step.at - testbed.promises.now))
            applied.append(create_task(testbed.apply(step)))
        await gather(*applied)
        await traffic.check_recovered()
        await traffic.check_long()
        if any(step.kind is Kind.STORE_RESTORED for step in steps):
            await check_changes(testbed)
        testbed.promises.check_ran([*testbed.hosts.values(), *testbed.gone])
        for daemon in (*testbed.balancers, *testbed.agents):
            testbed.promises.check_memory(daemon.name, daemon.read_peak())
        for task in testbed.tasks:
            if task.done():
                task.result()
    finally:
        await testbed.close()
    return Outcome(seed, steps, testbed, traffic.answered, traffic.asked)
