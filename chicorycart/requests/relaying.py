"""Relays the response of a target to its caller."""

from asyncio import get_running_loop
from collections.abc import AsyncIterator
from typing import Protocol

from chicorycart.defaults import STREAM_AFTER_SECONDS
from chicorycart.requests.caller import Caller
from chicorycart.requests.exchange import ResponseHead
from chicorycart.requests.headers import copy_headers
from chicorycart.requests.headers import OUTCOME
from chicorycart.requests.headers import OUTCOME_NOT_RUN
from chicorycart.requests.headers import OUTCOME_UNKNOWN
from chicorycart.requests.refusals import UNAVAILABLE
from chicorycart.requests.slots import Slot


class ResponseBody(Protocol):
    """The body of a response."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; fails if it breaks off."""


async def relay_response(
    head: ResponseHead,
    body: ResponseBody,
    caller: Caller,
    slot: Slot | None,
    is_closing: bool,
) -> None:
    """Stream a response to the caller.

    A response that takes longer than `STREAM_AFTER_SECONDS` gives up its
    slot and counts as a stream, so that long downloads do not block other
    requests.

    Parameters
    ----------
    head : ResponseHead
        Status line and header fields.
    body : ResponseBody
        Body.
    caller : Caller
        Gets the response.
    slot : Slot or None
        Slot of the own target that the request holds.
    is_closing : bool
        Whether to close the caller's connection after the response.
    """
    headers = copy_headers(head.headers)
    if headers.get(OUTCOME) != OUTCOME_UNKNOWN:
        headers.pop(OUTCOME, None)
    timer = None
    if slot is not None:
        timer = get_running_loop().call_later(
            STREAM_AFTER_SECONDS, slot.become_stream
        )
    try:
        await caller.begin(
            head.line.code, head.line.reason, headers, is_closing
        )
        async for chunk in body.chunks():
            await caller.write(chunk)
    finally:
        if timer is not None:
            timer.cancel()
    if slot is not None:
        slot.release()
    await caller.end()


def is_not_run(head: ResponseHead) -> bool:
    """Tell whether a response states that the request was not run."""
    outcome = head.headers.get(OUTCOME)
    return head.line.code == UNAVAILABLE and outcome == OUTCOME_NOT_RUN
