"""Sends a slow request to a second target as well."""

from asyncio import FIRST_COMPLETED
from asyncio import Task
from asyncio import wait

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.clock import Clock
from chicorycart.configuration.model import Target
from chicorycart.hedging import HedgePolicy
from chicorycart.requests.attempt import Attempt
from chicorycart.requests.errors import OutcomeUnknownError
from chicorycart.requests.errors import RequestError
from chicorycart.requests.exchange import Exchange
from chicorycart.requests.exchange import open_exchange
from chicorycart.requests.headers import IDEMPOTENCY_KEY
from chicorycart.requests.message import Request
from chicorycart.requests.request_log import RequestLog
from chicorycart.requests.service_targets import ServiceTargets
from chicorycart.requests.slots import Slot

HEDGED_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
"""Methods of requests of the kinds `safe` and `download`: they change nothing
at a target. Other idempotent methods may be sent again after a failure, but
not twice at the same time, since two runs could take effect in any order."""


class RequestHedger:
    """Runs requests on the own target, and slow ones on a second one.

    The first whole answer is relayed; the other attempt is cancelled.

    Parameters
    ----------
    policy : HedgePolicy
        When to send a hedge, and whether it is allowed.
    service_targets : ServiceTargets
        The other targets of the service.
    own : Address
        Address of the own gateway, by which peer agents know it.
    clock : Clock
        Clock of the deadlines.
    log : RequestLog
        Logs hedges.
    """

    __slots__ = ("policy", "service_targets", "own", "clock", "log")

    def __init__(
        self,
        policy: HedgePolicy,
        service_targets: ServiceTargets,
        own: Address,
        clock: Clock,
        log: RequestLog,
    ):
        self.policy = policy
        self.service_targets = service_targets
        self.own = own
        self.clock = clock
        self.log = log

    async def run(
        self, exchange: Exchange, request: Request, slot: Slot
    ) -> Attempt:
        """Return the attempt whose answer is to be relayed.

        Parameters
        ----------
        exchange : Exchange
            Open connection to the own target.
        request : Request
            A request for which `may_hedge` holds.
        slot : Slot
            Its slot at the own target; freed if the hedge wins.

        Raises
        ------
        RequestError
            If no attempt has an answer. An error of the first attempt
            before a hedge was sent is left to the retry budget.
        """

        async def use_open() -> Exchange:
            return exchange

        started = self.clock.now()
        self.policy.record_first_attempt()
        first = Attempt(use_open, self.clock, None)
        # Set at once, so that `close` closes it in any case.
        first.exchange = exchange
        attempts = [first]
        winner = None
        try:
            beginning = first.begin(request)
            await wait({beginning}, timeout=self.policy.delay_seconds)
            second = None
            if not beginning.done():
                second = self.send_hedge(request, started)
            if second is None:
                await beginning
                winner = first
            else:
                attempts.append(second)
                winner = await self.find_winner(
                    first, beginning, second, request
                )
            return winner
        finally:
            self.record(first, started)
            for attempt in attempts:
                if attempt is not winner:
                    attempt.close()
            if winner is not None and winner is not first:
                slot.release(is_measured=False)

    def record(self, first: Attempt, started: float) -> None:
        """Record the time of the first attempt, or that it had no answer."""
        if first.head is not None:
            self.policy.record_time(first.head_at - started)
        else:
            self.policy.record_unfinished(self.clock.now() - started)

    def send_hedge(self, request: Request, started: float) -> Attempt | None:
        """Return an attempt at a second target, if a hedge may be sent."""
        target = self.find_target()
        quantile = self.policy.delay_seconds
        now = self.clock.now()
        if target is None or now >= request.deadline or quantile is None:
            return None
        if not self.policy.acquire():
            return None
        self.log.log_hedge(
            request,
            self.service_targets.target_name,
            target.name,
            now - started,
            quantile,
        )
        return Attempt(
            lambda: open_exchange(
                target.gateway, self.own.host, request.deadline
            ),
            self.clock,
            target,
        )

    def find_target(self) -> Target | None:
        """Return the least loaded other target that has a free slot.

        One whose load is not known has none.
        """
        for target in self.service_targets.rank():
            load = self.service_targets.loads.load_of(
                pack_address(target.agent)
            )
            if load is None or not load.takes_new_work or load.queued:
                continue
            if load.in_progress < target.slots:
                return target
        return None

    async def find_winner(
        self,
        first: Attempt,
        beginning: Task,
        second: Attempt,
        request: Request,
    ) -> Attempt:
        """Wait for the first whole answer of two attempts.

        An attempt that fails leaves the request to the other one. A second
        target that fails is avoided, as after a failed resend; it would
        reject another copy of the request in any case.
        """
        attempts = {
            first.finish(beginning): first,
            second.finish(second.begin(request)): second,
        }
        pending = set(attempts)
        while pending:
            done, pending = await wait(pending, return_when=FIRST_COMPLETED)
            # If both are done, the first target's answer is taken.
            for task, attempt in attempts.items():
                if task in done and task.exception() is None:
                    self.policy.record_verdict(attempt is second)
                    return attempt
                if task in done and attempt is second:
                    self.service_targets.avoid(second.target)
        self.policy.record_verdict(False)
        raise choose_error([task.exception() for task in attempts])


def choose_error(errors: list[BaseException]) -> BaseException:
    """Return the error that stands for those of both attempts.

    The request counts as not run only if neither target may have run it.
    """
    for error in errors:
        if not isinstance(error, RequestError):
            return error
    for error in errors:
        if isinstance(error, OutcomeUnknownError):
            return error
    return errors[0]


def may_hedge(request: Request) -> bool:
    """Tell whether a request may be at two targets at the same time.

    An idempotency key shows that a request is meant to take effect once,
    whatever its method.
    """
    return (
        request.line.method in HEDGED_METHODS
        and IDEMPOTENCY_KEY not in request.headers
        and request.body.is_complete
        and request.body.can_replay
        and not request.is_forwarded
    )
