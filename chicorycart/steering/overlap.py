"""Calls of the store that overlap, so that none keeps others from asking."""

from asyncio import create_task
from asyncio import FIRST_COMPLETED
from asyncio import Task
from asyncio import wait
from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

from chicorycart.steering.errors import HistoryLostError
from chicorycart.steering.errors import StoreError
from chicorycart.steering.errors import StoreSilentError
from chicorycart.steering.limits import ANSWER_SECONDS
from chicorycart.steering.limits import MAX_PATIENT_SECONDS
from chicorycart.steering.limits import MIN_PATIENT_SECONDS
from chicorycart.steering.limits import RETURN_JITTER
from chicorycart.steering.limits import RETURN_SECONDS
from chicorycart.steering.published import Changes


class OverlappingCalls:
    """Sends calls for the same changes and returns the first answer.

    A connection that was open while the store was silent may stay silent for
    good while new ones work. So a call is given up soon and sent again, while
    a patient one beside it waits for a store with slow answers.

    Parameters
    ----------
    send : callable
        Sends one call that bears some seconds without data.

    Attributes
    ----------
    patient_call : Task or None
        The patient call under way.
    patient_seconds : float
        Time without data that the next patient call bears; the shortest one
        after an answer to another call.
    answer_seconds : float
        Longest time without data that the call bore which was answered last.
    """

    __slots__ = ("send", "patient_call", "patient_seconds", "answer_seconds")

    def __init__(self, send: Callable[[float], Awaitable[Changes]]):
        self.send = send
        self.patient_call: Task[Changes] | None = None
        self.patient_seconds = MIN_PATIENT_SECONDS
        self.answer_seconds = ANSWER_SECONDS

    async def find_first_answer(self, seconds: float) -> Changes:
        """Return the answer to a new call, or to a patient one before it.

        Parameters
        ----------
        seconds : float
            Longest time without data that the new call bears.

        Raises
        ------
        StoreError
            If the new call failed.
        HistoryLostError
            If the store has discarded the changes that one of them asked for.
        """
        call = create_task(self.send(seconds))
        try:
            while not call.done():
                patient = self.patient_call
                await wait(
                    {call, patient} - {None}, return_when=FIRST_COMPLETED
                )
                if patient is not None and patient.done():
                    self.patient_call = None
                    answer = self.read_patient_answer(patient)
                    if answer is not None:
                        return answer
            changes = call.result()
            self.answer_seconds = ANSWER_SECONDS
            self.patient_seconds = MIN_PATIENT_SECONDS
            return changes
        finally:
            discard(call)

    def read_patient_answer(self, call: Task[Changes]) -> Changes | None:
        """Return the answer of a patient call that ended, if it has one."""
        error = call.exception()
        if error is None:
            self.answer_seconds = MAX_PATIENT_SECONDS
            return call.result()
        if isinstance(error, StoreSilentError):
            self.patient_seconds = min(
                2 * self.patient_seconds, MAX_PATIENT_SECONDS
            )
        elif isinstance(error, HistoryLostError) or not isinstance(
            error, StoreError
        ):
            raise error
        return None

    def start_patient(self) -> None:
        """Send a patient call, unless one is under way."""
        if self.patient_call is None:
            self.patient_call = create_task(self.send(self.patient_seconds))

    def drop_patient(self) -> None:
        """Give up the patient call, if one is under way."""
        if self.patient_call is not None:
            discard(self.patient_call)
            self.patient_call = None


def choose_answer_seconds(is_away: bool, random: Random) -> float:
    """Return how long a call bears no data, jittered after a failure."""
    if not is_away:
        return ANSWER_SECONDS
    return RETURN_SECONDS - random.uniform(0.0, RETURN_JITTER)


def discard(call: Task[Changes]) -> None:
    """Give up a call, whether or not it has ended."""
    if not call.cancel() and not call.cancelled():
        # Once retrieved, its error is not reported by asyncio as lost.
        call.exception()
