"""Calls of the store that overlap, so that none keeps others from asking."""

from asyncio import create_task
from asyncio import FIRST_COMPLETED
from asyncio import Task
from asyncio import wait
from collections.abc import Awaitable
from collections.abc import Callable

from chicorycart.clock import Clock
from chicorycart.steering.errors import HistoryLostError
from chicorycart.steering.errors import StoreError
from chicorycart.steering.limits import ANSWER_SECONDS
from chicorycart.steering.limits import MAX_ANSWER_SECONDS
from chicorycart.steering.limits import PATIENT_CALL_SECONDS
from chicorycart.steering.published import Changes


class OverlappingCalls:
    """Sends calls for the same changes and returns the first answer.

    A connection that was open while the store was silent may stay silent for
    good while new ones work. So each call is given up soon and sent again.
    Patient calls wait beside them for a store with slow answers.

    Parameters
    ----------
    send : callable
        Sends one call that bears some seconds without data.
    clock : Clock
        Spaces the patient calls.

    Attributes
    ----------
    patient_calls : set of Task
        Calls under way that bear MAX_ANSWER_SECONDS.
    patient_since : float
        Time at which the last of them was sent.
    answer_seconds : float
        Longest time without data that the call bore which was answered last.
    """

    __slots__ = (
        "send",
        "clock",
        "patient_calls",
        "patient_since",
        "answer_seconds",
    )

    def __init__(
        self, send: Callable[[float], Awaitable[Changes]], clock: Clock
    ):
        self.send = send
        self.clock = clock
        self.patient_calls: set[Task[Changes]] = set()
        self.patient_since = -PATIENT_CALL_SECONDS
        self.answer_seconds = ANSWER_SECONDS

    async def find_first_answer(self) -> Changes:
        """Return the answer to a new call, or to a patient one before it.

        Raises
        ------
        StoreError
            If the new call failed.
        HistoryLostError
            If the store has discarded the changes that one of them asked for.
        """
        self.answer_seconds = ANSWER_SECONDS
        call = create_task(self.send(ANSWER_SECONDS))
        try:
            while not call.done():
                await wait(
                    {call, *self.patient_calls}, return_when=FIRST_COMPLETED
                )
                answer = self.take_patient_answer()
                if answer is not None:
                    self.answer_seconds = MAX_ANSWER_SECONDS
                    return answer
            return call.result()
        finally:
            discard(call)

    def take_patient_answer(self) -> Changes | None:
        """Return the answer of a patient call, None if none has one.

        Raises
        ------
        HistoryLostError
            If the store has discarded the changes that one of them asked for.
        """
        for call in [c for c in self.patient_calls if c.done()]:
            self.patient_calls.discard(call)
            error = call.exception()
            if error is None:
                return call.result()
            if not isinstance(error, StoreError) or isinstance(
                error, HistoryLostError
            ):
                raise error
        return None

    def start_patient(self) -> None:
        """Send a patient call, unless one was sent just before."""
        now = self.clock.now()
        if now - self.patient_since >= PATIENT_CALL_SECONDS:
            self.patient_since = now
            call = create_task(self.send(MAX_ANSWER_SECONDS))
            self.patient_calls.add(call)

    def drop_patient(self) -> None:
        """Give up the patient calls."""
        for call in self.patient_calls:
            discard(call)
        self.patient_calls.clear()


def discard(call: Task[Changes]) -> None:
    """Give up a call, whether or not it has ended."""
    if not call.cancel() and not call.cancelled():
        # Once retrieved, its error is not reported by asyncio as lost.
        call.exception()
