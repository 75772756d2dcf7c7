"""Steps on calls of the store that overlap."""

from asyncio import get_running_loop
from asyncio import sleep

from behave import given
from behave import then
from behave import when
from hypothesis import given as for_all
from hypothesis import strategies

from chicorycart.steering.errors import HistoryLostError
from chicorycart.steering.errors import StoreError
from chicorycart.steering.errors import StoreSilentError
from chicorycart.steering.limits import MAX_PATIENT_SECONDS
from chicorycart.steering.overlap import OverlappingCalls

NEW_SECONDS = 0.9
ENDS = {
    "is answered": None,
    "is refused": StoreError("refused"),
    "stays unanswered": StoreSilentError("silent"),
    "finds the history lost": HistoryLostError("lost"),
}
STEPS = strategies.integers(1, 8)


class ScriptedStore:
    """Ends calls as told, in the order in which they are sent.

    Attributes
    ----------
    script : list of (float, str)
        Seconds after which each call ends, and how.
    sent : list of float
        What each call bears.
    open_calls : int
        Calls that have not ended.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.sent = []
        self.open_calls = 0

    async def send(self, answer_seconds):
        """End a call by the script; its answer is its number."""
        number = len(self.sent)
        self.sent.append(answer_seconds)
        seconds, end = self.script[number]
        self.open_calls += 1
        try:
            await sleep(seconds)
        finally:
            self.open_calls -= 1
        if ENDS[end] is not None:
            raise ENDS[end]
        return number


async def play(store):
    """Send a patient and a new call; return the calls, result and time."""
    calls = OverlappingCalls(store.send)
    calls.start_patient()
    began = get_running_loop().time()
    try:
        result = await calls.find_first_answer(NEW_SECONDS)
    except StoreError as error:
        result = error
    return calls, result, get_running_loop().time() - began


@given("a patient call that {end} after {seconds:g} s")
def set_patient(context, end, seconds):
    context.store = ScriptedStore((seconds, end))


@when("a new call {end} after {seconds:g} s")
def send_new(context, end, seconds):
    context.store.script.append((seconds, end))
    context.calls, context.result, context.seconds = context.run(
        play(context.store)
    )


@then("its answer is returned after {seconds:g} s and no call is under way")
def check_patient(context, seconds):
    check_ended(context, 0, seconds)
    assert context.calls.answer_seconds == MAX_PATIENT_SECONDS


@then("the new one is returned after {seconds:g} s and no call is under way")
def check_new(context, seconds):
    check_ended(context, 1, seconds)


@then("the loss is reported after {seconds:g} s and no call is under way")
def check_loss(context, seconds):
    check_ended(context, ENDS["finds the history lost"], seconds)


def check_ended(context, result, seconds):
    """Check the result, its time, and that nothing waits."""
    assert context.result is result or context.result == result
    assert abs(context.seconds - seconds) < 0.01, context.seconds
    context.run(sleep(0))
    assert context.store.open_calls == 0


@then(
    "the refusal is reported after {seconds:g} s and the patient call waits on"
)
def check_waiting(context, seconds):
    assert context.result is ENDS["is refused"], context.result
    assert abs(context.seconds - seconds) < 0.01, context.seconds
    assert context.store.open_calls == 1
    context.calls.drop_patient()
    context.run(sleep(0))
    assert context.store.open_calls == 0


@then("patient calls in vain bear 2, 4, 8 and 8 s without data")
def check_growth(context):
    turn = ((0.1, "stays unanswered"), (0.2, "is refused"))
    store = context.store = ScriptedStore(*turn * 4)
    calls = context.calls = OverlappingCalls(store.send)

    async def run():
        for _ in range(4):
            calls.start_patient()
            try:
                await calls.find_first_answer(NEW_SECONDS)
            except StoreError:
                continue

    context.run(run())
    assert store.sent[::2] == [2.0, 4.0, 8.0, 8.0], store.sent


@then("after an answer to a new call 2 s again")
def check_reset(context):
    context.store.script += [(0.1, "is answered"), (9.0, "is answered")]

    async def run():
        await context.calls.find_first_answer(NEW_SECONDS)
        context.calls.start_patient()
        await sleep(0)
        context.calls.drop_patient()

    context.run(run())
    assert context.store.sent[-1] == 2.0, context.store.sent


@then("any two calls give what ends first, or the failure of the new one")
def check_any(context):
    ends = strategies.sampled_from(sorted(ENDS))

    @for_all(STEPS, ends, STEPS, ends)
    def check(patient_steps, patient_end, new_steps, new_end):
        store = ScriptedStore(
            (patient_steps / 10, patient_end), (new_steps / 10, new_end)
        )
        calls, result, _ = context.run(play(store))
        calls.drop_patient()
        is_patient_first = patient_steps <= new_steps
        if is_patient_first and patient_end == "is answered":
            assert result == 0, result
        elif is_patient_first and patient_end == "finds the history lost":
            assert result is ENDS[patient_end], result
        elif new_end == "is answered":
            assert result == 1, result
        else:
            assert result is ENDS[new_end], result
        context.run(sleep(0))
        assert store.open_calls == 0

    check()
