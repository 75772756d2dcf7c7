"""Bounds the requests at the target and queues a few by deadline."""

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
    """Decides which waiting request is next."""

    def key(self, deadline: float, arrival: int) -> tuple[float, int]:
        """Return what waiting requests are sorted by, first one least."""


class DeadlineOrder:
    """The request with the earliest deadline is next."""

    __slots__ = ()

    def key(self, deadline: float, arrival: int) -> tuple[float, int]:
        """Return the deadline; equal ones keep the order of arrival."""
        return (deadline, arrival)


class Waiter:
    """A request that waits for a slot."""

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
    """The right to have one request at the target.

    Attributes
    ----------
    is_stream : bool
        Whether the request counts as a stream rather than in a slot.
    """

    __slots__ = ("slots", "started", "is_stream", "is_released")

    def __init__(self, slots: "Slots", started: float):
        self.slots = slots
        self.started = started
        self.is_stream = False
        self.is_released = False

    @property
    def is_working(self) -> bool:
        """Whether the request holds its slot now."""
        return not self.is_released and not self.is_stream

    def release(self, is_measured: bool = True) -> None:
        """Give the slot back; further calls do nothing."""
        if self.is_released:
            return
        self.is_released = True
        self.slots.reclaim(self, is_measured)

    def become_stream(self) -> None:
        """Free the slot, if there is room for one more stream."""
        if self.is_working:
            self.slots.move_to_streams(self)


class Slots:
    """The slots of one target and the short queue before them.

    Parameters
    ----------
    clock : Clock
        Gives the time that deadlines are in.
    service_time : ServiceTime
        Measured here; predicts whether a deadline can be met.
    limit : int
        Requests at the target at once.
    order : QueueOrder
        Which waiting request is next.
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
        """Requests a second when every slot is in use, as measured."""
        return self.service_time.rate(self.limit)

    @property
    def has_free_slot(self) -> bool:
        """Whether a request would get a slot at once."""
        return self.in_progress < self.limit and not self.waiting

    @property
    def queue_limit(self) -> int:
        """Requests that may wait."""
        return max(self.limit, int(self.rate * QUEUE_SECONDS))

    @property
    def backlog_seconds(self) -> float:
        """Time that the work in progress and queued will take."""
        return (self.in_progress + len(self.waiting)) / self.rate

    def set_limit(self, limit: int) -> None:
        """Change the number of slots; requests at the target go on."""
        self.limit = limit
        self.serve_waiting()

    async def acquire(self, deadline: float) -> Slot:
        """Wait for a slot.

        Raises
        ------
        RefusedError
            At once if the deadline would be missed or the queue is full,
            or later, as soon as a more urgent request makes it so.
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
        """Take a free slot if the request can be done in time.

        An idle target is always tried, since only that measures it anew.
        """
        expected = self.clock.now() + self.service_time.mean_seconds
        if self.in_progress and expected > deadline:
            raise RefusedError("the deadline would be missed")
        return self.occupy()

    async def wait(self, waiter: Waiter) -> Slot:
        """Wait in the queue until served or refused."""
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
        """Take a request out of the queue, or back its slot."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)
        elif not waiter.future.cancelled() and not waiter.future.exception():
            waiter.future.result().release(is_measured=False)

    def refuse_unservable(self) -> None:
        """Refuse what waits beyond the bound or its own deadline."""
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
        """Tell a waiting request that it will not be run."""
        if not waiter.future.done():
            waiter.future.set_exception(RefusedError(reason))

    def occupy(self) -> Slot:
        """Count a request as being at the target."""
        self.in_progress += 1
        return Slot(self, self.clock.now())

    def reclaim(self, slot: Slot, is_measured: bool) -> None:
        """Take a slot back and let the next request have it."""
        if slot.is_stream:
            self.streams -= 1
            return
        self.in_progress -= 1
        if is_measured:
            self.service_time.observe(self.clock.now() - slot.started)
        self.serve_waiting()

    def move_to_streams(self, slot: Slot) -> None:
        """Count a long answer apart from the slots, within its bound."""
        if self.streams >= MAX_STREAMS:
            return
        slot.is_stream = True
        self.streams += 1
        self.in_progress -= 1
        self.serve_waiting()

    def serve_waiting(self) -> None:
        """Hand free slots to the requests that are next."""
        while self.waiting and self.in_progress < self.limit:
            waiter = self.waiting.pop(0)
            if not waiter.future.done():
                waiter.future.set_result(self.occupy())
