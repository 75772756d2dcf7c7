"""Concurrency limit of a target, with a short queue by deadline."""

from asyncio import CancelledError
from asyncio import Future
from asyncio import get_running_loop
from asyncio import timeout
from bisect import insort
from itertools import count
from typing import Protocol

from chicorycart.clock import Clock
from chicorycart.defaults import MAX_STREAMS
from chicorycart.defaults import QUEUE_SECONDS
from chicorycart.requests.errors import RefusedError
from chicorycart.requests.service_time import ServiceTime


class QueueOrder(Protocol):
    """Order in which queued requests get a slot."""

    def key(self, deadline: float, arrival: int) -> tuple[float, int]:
        """Return the sort key of a request; the lowest gets the next slot."""


class DeadlineOrder:
    """Earliest deadline first."""

    __slots__ = ()

    def key(self, deadline: float, arrival: int) -> tuple[float, int]:
        """Return the sort key; equal deadlines keep the order of arrival."""
        return (deadline, arrival)


class Waiter:
    """A queued request.

    Its future gets a `Slot`, or a `RefusedError` if it is refused.
    """

    __slots__ = ("key", "deadline", "future")

    def __init__(
        self, key: tuple[float, int], deadline: float, future: Future
    ):
        self.key = key
        self.deadline = deadline
        self.future = future

    def __lt__(self, other: "Waiter") -> bool:
        return self.key < other.key


class Slot:
    """One of the requests that the target may run at the same time.

    Attributes
    ----------
    is_stream : bool
        Whether the request counts as a stream and not towards the limit.
    """

    __slots__ = ("slots", "started", "is_stream", "is_released")

    def __init__(self, slots: "Slots", started: float):
        self.slots = slots
        self.started = started
        self.is_stream = False
        self.is_released = False

    @property
    def is_working(self) -> bool:
        """Whether the request still counts towards the limit."""
        return not self.is_released and not self.is_stream

    def release(self, is_measured: bool = True) -> None:
        """Free the slot; further calls do nothing.

        Parameters
        ----------
        is_measured : bool
            Whether the time that it was held counts as a service time.
        """
        if self.is_released:
            return
        self.is_released = True
        self.slots.reclaim(self, is_measured)

    def become_stream(self) -> None:
        """Free the slot and count as a stream, if streams are below limit."""
        if self.is_working:
            self.slots.move_to_streams(self)


class Slots:
    """The slots of one target and the queue before them.

    Parameters
    ----------
    clock : Clock
        Clock of the deadlines.
    service_time : ServiceTime
        Mean time that a request holds a slot. It is updated here, and
        predicts whether a deadline can be met.
    limit : int
        Requests that the target may run at the same time.
    order : QueueOrder
        Order of the queue; earliest deadline first if left out.
    """

    __slots__ = (
        "clock",
        "service_time",
        "limit",
        "order",
        "in_progress",
        "streams",
        "waiting",
        "arrivals",
    )

    def __init__(
        self,
        clock: Clock,
        service_time: ServiceTime,
        limit: int,
        order: QueueOrder | None = None,
    ):
        self.clock = clock
        self.service_time = service_time
        self.limit = limit
        self.order = order or DeadlineOrder()
        self.in_progress = 0
        self.streams = 0
        self.waiting: list[Waiter] = []
        self.arrivals = count()

    @property
    def rate(self) -> float:
        """Requests per second with every slot in use, as measured."""
        return self.service_time.rate(self.limit)

    @property
    def has_free_slot(self) -> bool:
        """Whether a request would get a slot without queueing."""
        return self.in_progress < self.limit and not self.waiting

    @property
    def queue_limit(self) -> int:
        """Longest queue, in requests."""
        return max(self.limit, int(self.rate * QUEUE_SECONDS))

    @property
    def backlog_seconds(self) -> float:
        """Seconds until the requests in progress and queued are done."""
        return (self.in_progress + len(self.waiting)) / self.rate

    def set_limit(self, limit: int) -> None:
        """Change the number of slots; requests in progress go on."""
        self.limit = limit
        self.serve_waiting()

    async def acquire(self, deadline: float) -> Slot:
        """Return a slot, waiting in the queue for it if none is free.

        Raises
        ------
        RefusedError
            If the deadline would be missed or the queue is full: at once,
            or later when a request with an earlier deadline arrives.
        """
        if self.has_free_slot:
            return self.acquire_free(deadline)
        future = get_running_loop().create_future()
        key = self.order.key(deadline, next(self.arrivals))
        waiter = Waiter(key, deadline, future)
        insort(self.waiting, waiter)
        self.refuse_unservable()
        return await self.wait(waiter)

    def acquire_free(self, deadline: float) -> Slot:
        """Return a free slot if the request can be done by its deadline.

        An idle target gets the request whatever its mean service time:
        without it, a mean that is too high would never be corrected.
        """
        expected = self.clock.now() + self.service_time.mean_seconds
        if self.in_progress and expected > deadline:
            raise RefusedError("the deadline would be missed")
        return self.occupy()

    async def wait(self, waiter: Waiter) -> Slot:
        """Wait in the queue for a slot or for a refusal."""
        try:
            async with timeout(waiter.deadline - self.clock.now()):
                return await waiter.future
        except TimeoutError as error:
            self.remove_waiter(waiter)
            raise RefusedError("the deadline passed in the queue") from error
        except CancelledError:
            self.remove_waiter(waiter)
            raise

    def remove_waiter(self, waiter: Waiter) -> None:
        """Remove a request from the queue, or free the slot it just got."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)
        elif not waiter.future.cancelled() and not waiter.future.exception():
            waiter.future.result().release(is_measured=False)

    def refuse_unservable(self) -> None:
        """Refuse queued requests over the limit or late for their deadline."""
        now = self.clock.now()
        rate = self.rate
        mean_seconds = self.service_time.mean_seconds
        kept = []
        for waiter in self.waiting:
            done = now + (len(kept) + 1) / rate + mean_seconds
            if done > waiter.deadline:
                self.refuse(waiter, "the deadline would be missed")
            elif len(kept) >= self.queue_limit:
                self.refuse(waiter, "the queue is full")
            else:
                kept.append(waiter)
        self.waiting = kept

    def refuse(self, waiter: Waiter, reason: str) -> None:
        """Make `acquire` raise `RefusedError` for a queued request."""
        if not waiter.future.done():
            waiter.future.set_exception(RefusedError(reason))

    def occupy(self) -> Slot:
        """Count one more request in progress and return its slot."""
        self.in_progress += 1
        return Slot(self, self.clock.now())

    def reclaim(self, slot: Slot, is_measured: bool) -> None:
        """Free a released slot and give it to the next queued request."""
        if slot.is_stream:
            self.streams -= 1
            return
        self.in_progress -= 1
        if is_measured:
            self.service_time.observe(self.clock.now() - slot.started)
        self.serve_waiting()

    def move_to_streams(self, slot: Slot) -> None:
        """Count a long response as a stream, so that its slot is free.

        At `MAX_STREAMS` it keeps its slot, which bounds open responses.
        """
        if self.streams >= MAX_STREAMS:
            return
        slot.is_stream = True
        self.streams += 1
        self.in_progress -= 1
        self.serve_waiting()

    def serve_waiting(self) -> None:
        """Give free slots to queued requests, in order."""
        while self.waiting and self.in_progress < self.limit:
            waiter = self.waiting.pop(0)
            if not waiter.future.done():
                waiter.future.set_result(self.occupy())
