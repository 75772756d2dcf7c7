"""One attempt at a request of which two may be under way."""

from asyncio import create_task
from asyncio import Task
from asyncio import timeout
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from chicorycart.clock import Clock
from chicorycart.configuration.model import Target
from chicorycart.defaults import REPLAY_BODY_BYTES
from chicorycart.defaults import STREAM_AFTER_SECONDS
from chicorycart.requests.errors import NotRunError
from chicorycart.requests.errors import OutcomeUnknownError
from chicorycart.requests.errors import ResponseTruncatedError
from chicorycart.requests.exchange import Exchange
from chicorycart.requests.exchange import ResponseHead
from chicorycart.requests.headers import OUTCOME
from chicorycart.requests.headers import OUTCOME_UNKNOWN
from chicorycart.requests.message import Request
from chicorycart.requests.relaying import is_not_run

MAX_COLLECTED_BYTES = REPLAY_BODY_BYTES
"""Part of a body after which an attempt wins before its answer is whole;
answers under way hold no more memory than request bodies."""

MAX_COLLECT_SECONDS = STREAM_AFTER_SECONDS
"""Time from its head after which an attempt wins before its answer is whole,
since what is still being sent then counts as a stream."""


class Attempt:
    """Sends a request once and collects the answer until it can win.

    Parameters
    ----------
    open_exchange : callable
        Connects to the target, or to the gateway of its agent.
    clock : Clock
        Measures `head_at`.
    target : Target or None
        Target whose agent's gateway that is; None for the own target.

    Attributes
    ----------
    exchange : Exchange or None
        The connection, once it is open.
    head : ResponseHead or None
        Head of the answer, once it was received.
    head_at : float
        Time at which it was received.
    collected : list of bytes
        Beginning of its body, until it is relayed.
    is_whole : bool
        Whether that is all of it.
    tasks : list of Task
        What `close` cancels.
    """

    __slots__ = (
        "open_exchange",
        "clock",
        "target",
        "exchange",
        "head",
        "head_at",
        "collected",
        "is_whole",
        "tasks",
    )

    def __init__(
        self,
        open_exchange: Callable[[], Awaitable[Exchange]],
        clock: Clock,
        target: Target | None,
    ):
        self.open_exchange = open_exchange
        self.clock = clock
        self.target = target
        self.exchange: Exchange | None = None
        self.head: ResponseHead | None = None
        self.head_at = 0.0
        self.collected: list[bytes] = []
        self.is_whole = False
        self.tasks: list[Task] = []

    def begin(self, request: Request) -> Task:
        """Send the request; the task ends with the head of its answer."""
        return self.start(self.receive_head(request))

    def finish(self, beginning: Task) -> Task:
        """Collect the answer; the task ends once it can win."""
        return self.start(self.collect(beginning))

    def start(self, work: Coroutine[Any, Any, Any]) -> Task:
        """Start a task that `close` cancels."""
        task = create_task(work)
        # Its error may come after the other attempt has won.
        task.add_done_callback(lambda t: t.cancelled() or t.exception())
        self.tasks.append(task)
        return task

    async def receive_head(self, request: Request) -> None:
        """Send the request and receive the head of the answer.

        Raises
        ------
        NotRunError
            If no connection opens or the answer says that it was not run.
        OutcomeUnknownError
            If no answer begins.
        """
        self.exchange = await self.open_exchange()
        headers = request.build_upstream_headers(
            self.clock.now(), self.target is not None
        )
        head = await self.exchange.run(
            request.line, headers, request.body, request.deadline
        )
        if is_not_run(head):
            raise NotRunError("the target did not take the request")
        self.head = head
        self.head_at = self.clock.now()

    async def collect(self, beginning: Task) -> "Attempt":
        """Collect the answer until it is whole or one of the limits is met.

        Raises
        ------
        OutcomeUnknownError
            If the answer breaks off, or is a gateway's own that the outcome
            is unknown: the other attempt may still have a target's answer.
        """
        await beginning
        if self.head.headers.get(OUTCOME) == OUTCOME_UNKNOWN:
            raise OutcomeUnknownError(
                "a gateway has no answer", self.head.line.code
            )
        size = 0
        try:
            async with timeout(MAX_COLLECT_SECONDS):
                while size < MAX_COLLECTED_BYTES:
                    chunk = await self.exchange.read()
                    if chunk is None:
                        self.is_whole = True
                        break
                    self.collected.append(chunk)
                    size += len(chunk)
        except TimeoutError:
            pass
        except ResponseTruncatedError as error:
            raise OutcomeUnknownError(str(error)) from error
        return self

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body, with what was collected of it first."""
        while self.collected:
            yield self.collected.pop(0)
        if not self.is_whole:
            async for chunk in self.exchange.chunks():
                yield chunk

    def close(self) -> None:
        """Cancel the attempt by closing its connection."""
        for task in self.tasks:
            task.cancel()
        if self.exchange is not None:
            self.exchange.close()
