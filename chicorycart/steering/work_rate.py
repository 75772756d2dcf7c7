"""Time that a host works on a request, and the share that it fails."""

from collections import deque
from collections import OrderedDict
from itertools import islice

from chicorycart.clock import Clock
from chicorycart.steering.limits import MIN_RATED_REQUESTS
from chicorycart.steering.limits import QUEUE_PER_SLOT
from chicorycart.steering.limits import RATE_SECONDS
from chicorycart.steering.limits import RATED_REQUESTS
from chicorycart.steering.limits import REORDERED_SECONDS
from chicorycart.steering.limits import UNANSWERED_SECONDS

MILLISECONDS = 1e3


class EndedRequest:
    """A request that ended.

    Attributes
    ----------
    ended_at : float
        Time of its end.
    seconds : float
        Time for which the host worked on it.
    has_failed : bool
        Whether the host broke it off or did not answer it.
    """

    __slots__ = ("ended_at", "seconds", "has_failed")

    def __init__(self, ended_at: float, seconds: float, has_failed: bool):
        self.ended_at = ended_at
        self.seconds = seconds
        self.has_failed = has_failed


class WorkRate:
    """Measures a host's time of work on its last requests.

    A host runs as many requests as it has slots, and the others wait in the
    order of arrival. The work on a request therefore starts when it arrives
    at a free slot, or when the answer to an earlier request frees one. It
    ends at the first data of the answer.

    Of each flow, one request at a time is known: packets of a caller that
    come before the answer belong to it.

    Parameters
    ----------
    clock : Clock
        Measures the times.

    Attributes
    ----------
    slots : int
        Slots of the host, as the limits of deliveries show them; 0 before
        the first.
    running : dict of bytes to float
        Times at which the work on the running requests started, by flow.
    waiting : dict of bytes to float
        Arrival times of the waiting requests by flow, oldest first.
    ended : deque of EndedRequest
        The last requests that ended.
    answered, failed : int
        Number of them that the host answered, and that it failed.
    answered_seconds : float
        Sum of the times of work of the answered ones.
    answered_at : float
        Time of the host's last answer.
    """

    __slots__ = (
        "clock",
        "slots",
        "running",
        "waiting",
        "ended",
        "answered",
        "failed",
        "answered_seconds",
        "answered_at",
    )

    def __init__(self, clock: Clock):
        self.clock = clock
        self.slots = 0
        self.running: dict[bytes, float] = {}
        self.waiting: OrderedDict[bytes, float] = OrderedDict()
        self.ended: deque[EndedRequest] = deque()
        self.answered = 0
        self.failed = 0
        self.answered_seconds = 0.0
        self.answered_at = clock.now()

    def record_limit(self, limit: int) -> None:
        """Learn the host's slots from the limit of an opening packet.

        Balancers limit a flow to the slots of its target, or to
        QUEUE_PER_SLOT times as many if they know that the slots are in use.
        """
        if limit and limit != QUEUE_PER_SLOT * self.slots:
            self.slots = limit
            self.start_waiting()

    def record_request(self, flow: bytes) -> None:
        """Record that a request arrived on a flow."""
        if flow in self.running or flow in self.waiting:
            return
        self.waiting[flow] = self.clock.now()
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start the oldest waiting requests while slots are free."""
        while self.waiting and len(self.running) < max(self.slots, 1):
            flow, _ = self.waiting.popitem(last=False)
            self.running[flow] = self.clock.now()

    def record_answer(self, flow: bytes) -> None:
        """Record the first data of the answer to a request, if one runs."""
        now = self.clock.now()
        self.start_overtaken(flow)
        started_at = self.remove(flow)
        if started_at is not None:
            self.add(EndedRequest(now, now - started_at, False))
            self.answered_at = now
            self.start_waiting()

    def record_failure(self, flow: bytes) -> None:
        """Record that the host broke a flow off, with its request, if any."""
        now = self.clock.now()
        started_at = self.remove(flow)
        if started_at is not None:
            self.add(EndedRequest(now, now - started_at, True))
            self.start_waiting()

    def record_abandoned(self, flow: bytes) -> None:
        """Record that a flow ended for another reason than the host's.

        Its request says something about the host only if it took longer than
        others.
        """
        now = self.clock.now()
        started_at = self.remove(flow)
        if started_at is None:
            return
        seconds = now - started_at
        if seconds > self.compute_mean():
            has_failed = seconds > UNANSWERED_SECONDS
            self.add(EndedRequest(now, seconds, has_failed))
        self.start_waiting()

    def remove(self, flow: bytes) -> float | None:
        """Remove a request; return when its work started, if it is known."""
        started_at = self.running.pop(flow, None)
        if started_at is None and flow in self.waiting:
            return max(self.waiting.pop(flow), self.answered_at)
        return started_at

    def start_overtaken(self, flow: bytes) -> None:
        """Start the requests that wait before one that is answered.

        The host has taken them, and may never answer them. Of requests that
        arrive at about the same time, the host may run either first.
        """
        if flow not in self.waiting:
            return
        limit = self.waiting[flow] - REORDERED_SECONDS
        while True:
            first, arrived_at = next(iter(self.waiting.items()))
            if arrived_at > limit:
                return
            del self.waiting[first]
            self.running[first] = max(arrived_at, self.answered_at)

    def add(self, request: EndedRequest) -> None:
        """Add a request that ended; drop the oldest one beyond the limit."""
        self.ended.append(request)
        self.count(request, 1)
        if len(self.ended) > RATED_REQUESTS:
            self.count(self.ended.popleft(), -1)

    def count(self, request: EndedRequest, sign: int) -> None:
        """Add a request to the sums, or subtract it with a sign of -1."""
        if request.has_failed:
            self.failed += sign
        else:
            self.answered += sign
            self.answered_seconds += sign * request.seconds

    def drop_old(self) -> None:
        """Drop the requests that ended before the last RATE_SECONDS."""
        oldest = self.clock.now() - RATE_SECONDS
        while self.ended and self.ended[0].ended_at <= oldest:
            self.count(self.ended.popleft(), -1)

    def compute_mean(self) -> float:
        """Return the mean time of answered requests in seconds, 0 if none."""
        self.drop_old()
        return self.answered_seconds / self.answered if self.answered else 0.0

    def describe(self) -> tuple[float, float]:
        """Return the time of work and the failed share of the last requests.

        Returns
        -------
        work_ms : float
            Mean time of work in milliseconds; 0 if too few requests are
            known. A request that has run for longer than the mean counts
            with its time so far, and a failed one not at all: it may have
            failed at once.
        failed_share : float
            Share of the requests that the host broke off or has not answered
            for UNANSWERED_SECONDS, from 0 to 1; 0 if too few are known.
        """
        mean = self.compute_mean()
        now = self.clock.now()
        # The oldest ones; a report must not take longer with many of them.
        oldest = islice(self.running.values(), RATED_REQUESTS)
        running = [now - started_at for started_at in oldest]
        late = [seconds for seconds in running if seconds > mean]
        timed = self.answered + len(late)
        work_ms = 0.0
        if self.slots and timed >= MIN_RATED_REQUESTS:
            seconds = mean * self.answered + sum(late)
            work_ms = seconds / timed * MILLISECONDS
        unanswered = sum(seconds > UNANSWERED_SECONDS for seconds in late)
        known = len(self.ended) + unanswered
        if known < MIN_RATED_REQUESTS:
            return work_ms, 0.0
        return work_ms, (self.failed + unanswered) / known
