"""The request gateway: decides where each request of a service runs."""

from asyncio import CancelledError
from asyncio import Event
from asyncio import get_running_loop
from random import Random

from logbook import Logger
from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from tornado.httputil import HTTPHeaders
from tornado.httputil import RequestStartLine

from chicorycart.address import Address
from chicorycart.clock import Clock
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import Target
from chicorycart.defaults import MAX_ATTEMPTS
from chicorycart.defaults import STREAM_AFTER_SECONDS
from chicorycart.defaults import TARGET_DOWN_SECONDS
from chicorycart.placement.load import Load
from chicorycart.requests.budget import RetryBudget
from chicorycart.requests.caller import Caller
from chicorycart.requests.errors import BadRequestError
from chicorycart.requests.errors import CallerDisconnectedError
from chicorycart.requests.errors import NotRunError
from chicorycart.requests.errors import OutcomeUnknownError
from chicorycart.requests.errors import RefusedError
from chicorycart.requests.errors import RequestError
from chicorycart.requests.errors import ResponseTruncatedError
from chicorycart.requests.errors import TargetUnavailableError
from chicorycart.requests.exchange import Exchange
from chicorycart.requests.exchange import open_exchange
from chicorycart.requests.exchange import ResponseHead
from chicorycart.requests.headers import copy_headers
from chicorycart.requests.headers import OUTCOME
from chicorycart.requests.headers import OUTCOME_NOT_RUN
from chicorycart.requests.headers import OUTCOME_UNKNOWN
from chicorycart.requests.message import Request
from chicorycart.requests.refusals import build_refusal
from chicorycart.requests.refusals import UNAVAILABLE
from chicorycart.requests.service_targets import ServiceTargets
from chicorycart.requests.slots import Slot
from chicorycart.requests.slots import Slots
from chicorycart.requests.validator import RequestValidator
from chicorycart.requests.validator import require_body_length

LOGGER = Logger("decision")
IDENTIFIER_BITS = 128
SAMPLE_RANGE = 1 << IDENTIFIER_BITS


class Gateway:
    """Runs callers' requests on the own target, or through a mate's agent.

    Parameters
    ----------
    address : Address
        Where this gateway listens; forwarded requests come from its host.
    backend : Address
        Where the target listens.
    slots : Slots
        Bound and queue of the requests at the target.
    service_targets : ServiceTargets
        The own target as configured, and the others of the service.
    budget : RetryBudget
        Bounds what is sent to a second place.
    validator : RequestValidator
        Checks requests and finds their deadlines.
    clock : Clock
        Gives the time that deadlines are in; that of the event loop.
    random : Random
        Makes identifiers and spreads refused callers.
    log_share : float
        Share of requests whose decisions are logged.
    registry : CollectorRegistry
        Where the counters are registered.

    Attributes
    ----------
    is_stopping : bool
        Whether the agent stops; new work goes to mates then.
    in_progress : int
        Requests that have not been answered in full.
    is_idle : Event
        Set while there is none.
    last_request_end : float
        When the last request ended.
    down_until : float
        Until when the target counts as down, since it refused a connection.
    """

    __slots__ = (
        "address",
        "backend",
        "slots",
        "service_targets",
        "budget",
        "validator",
        "clock",
        "random",
        "log_limit",
        "requests",
        "resends",
        "is_stopping",
        "in_progress",
        "is_idle",
        "last_request_end",
        "down_until",
    )

    def __init__(
        self,
        address: Address,
        backend: Address,
        slots: Slots,
        service_targets: ServiceTargets,
        budget: RetryBudget,
        validator: RequestValidator,
        clock: Clock,
        random: Random,
        log_share: float,
        registry: CollectorRegistry,
    ):
        self.address = address
        self.backend = backend
        self.slots = slots
        self.service_targets = service_targets
        self.budget = budget
        self.validator = validator
        self.clock = clock
        self.random = random
        self.log_limit = int(log_share * SAMPLE_RANGE)
        self.requests = Counter(
            "chicorycart_requests",
            "Requests, by what their callers were told.",
            ["outcome"],
            registry=registry,
        )
        self.resends = Counter(
            "chicorycart_request_resends",
            "Requests sent to another place than the own target.",
            registry=registry,
        )
        self.is_stopping = False
        self.in_progress = 0
        self.is_idle = Event()
        self.is_idle.set()
        self.last_request_end = 0.0
        self.down_until = 0.0

    def change_configuration(self, configuration: Configuration) -> None:
        """Take the number of slots from the version now in force."""
        own = self.service_targets.own
        if own is not None:
            self.slots.set_limit(own.slots)

    @property
    def takes_new_work(self) -> bool:
        """Whether opening flows may be placed here."""
        is_down = self.clock.now() < self.down_until
        return not (
            self.is_stopping or self.service_targets.is_leaving or is_down
        )

    def current_load(self) -> Load:
        """Return the load of the own target at this moment."""
        return Load(
            self.slots.in_progress,
            len(self.slots.waiting),
            self.slots.rate,
            self.takes_new_work,
        )

    async def serve(
        self, line: RequestStartLine, headers: HTTPHeaders, caller: Caller
    ) -> None:
        """Answer one request, whatever happens to it."""
        self.in_progress += 1
        self.is_idle.clear()
        identifier = f"{self.random.getrandbits(IDENTIFIER_BITS):032x}"
        try:
            request = self.validator.build_request(
                line, headers, caller, identifier
            )
            await self.answer(request, caller)
        except ResponseTruncatedError as error:
            self.record_outcome(identifier, "cut", str(error))
            caller.abort()
        except (CallerDisconnectedError, CancelledError):
            self.record_outcome(identifier, "caller left", "connection closed")
            raise
        except RequestError as error:
            await self.refuse(identifier, error, caller)
        finally:
            self.in_progress -= 1
            self.last_request_end = self.clock.now()
            if not self.in_progress:
                self.is_idle.set()

    async def answer(self, request: Request, caller: Caller) -> None:
        """Run a request where there is room for it."""
        if request.is_forwarded:
            self.require_free_slot()
        else:
            self.budget.refill()
        await request.body.prefetch()
        require_body_length(request)
        try:
            await self.run_locally(request, caller)
        except (NotRunError, OutcomeUnknownError) as error:
            self.log_decision(request, "not here", str(error))
            await self.resend_to_peer_agents(request, caller, error)

    def require_free_slot(self) -> None:
        """Refuse a forwarded request that would have to wait."""
        if not self.takes_new_work or not self.slots.has_free_slot:
            raise RefusedError("no room for a forwarded request")

    async def run_locally(self, request: Request, caller: Caller) -> None:
        """Run a request on the own target."""
        if (
            not self.takes_new_work
            and self.service_targets.list_active_others()
        ):
            raise TargetUnavailableError("this target takes no new work")
        if request.is_forwarded:
            self.require_free_slot()
        slot = await self.slots.acquire(request.deadline)
        is_measured = False
        try:
            await self.send_to_target(request, caller, slot)
            is_measured = True
        except OutcomeUnknownError:
            is_measured = True
            raise
        finally:
            slot.release(is_measured)

    async def send_to_target(
        self, request: Request, caller: Caller, slot: Slot
    ) -> None:
        """Send a request to the own target."""
        try:
            exchange = await open_exchange(
                self.backend, None, request.deadline
            )
        except NotRunError:
            now = self.clock.now()
            if now < request.deadline:
                self.down_until = now + TARGET_DOWN_SECONDS
            raise
        self.down_until = 0.0
        self.log_decision(request, "target", "slot free")
        await self.run_exchange(exchange, request, caller, slot)

    async def resend_to_peer_agents(
        self, request: Request, caller: Caller, error: RequestError
    ) -> None:
        """Run a request through the agents of mates, within the budget."""
        for peer_agent in self.service_targets.rank()[: MAX_ATTEMPTS - 1]:
            if not self.may_resend(request, error):
                break
            self.resends.inc()
            self.log_decision(request, peer_agent.name, str(error))
            try:
                await self.send_to_peer_agent(request, caller, peer_agent)
                return
            except (NotRunError, OutcomeUnknownError) as failure:
                self.service_targets.avoid(peer_agent)
                error = failure
        raise error

    def may_resend(self, request: Request, error: RequestError) -> bool:
        """Tell whether a request may be tried at another place.

        A request that a leaving target's gateway never sent anywhere does
        not draw on the budget: it reaches one target only, and there are
        no more such requests than open connections.
        """
        is_safe = isinstance(error, NotRunError) or request.is_idempotent
        if not is_safe or request.is_forwarded or not request.body.can_replay:
            return False
        if isinstance(error, BadRequestError):
            return False
        if self.clock.now() >= request.deadline:
            return False
        return (
            isinstance(error, TargetUnavailableError)
            or self.budget.try_acquire()
        )

    async def send_to_peer_agent(
        self, request: Request, caller: Caller, peer_agent: Target
    ) -> None:
        """Send a request to the gateway of a mate."""
        exchange = await open_exchange(
            peer_agent.gateway, self.address.host, request.deadline
        )
        await self.run_exchange(exchange, request, caller, None)

    async def run_exchange(
        self,
        exchange: Exchange,
        request: Request,
        caller: Caller,
        slot: Slot | None,
    ) -> None:
        """Send a request over a connection and its answer to the caller."""
        headers = request.build_upstream_headers(
            self.clock.now(), slot is None
        )
        try:
            head = await exchange.run(
                request.line, headers, request.body, request.deadline
            )
            if is_not_run(head):
                raise NotRunError("the target did not take the request")
            await self.relay_response(head, exchange, caller, slot)
        finally:
            exchange.close()
        self.record_outcome(
            request.identifier, "answered", str(head.line.code)
        )

    async def relay_response(
        self,
        head: ResponseHead,
        exchange: Exchange,
        caller: Caller,
        slot: Slot | None,
    ) -> None:
        """Stream an answer to the caller; a long one frees its slot."""
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
                head.line.code,
                head.line.reason,
                headers,
                not self.takes_new_work,
            )
            async for chunk in exchange.chunks():
                await caller.write(chunk)
        finally:
            if timer is not None:
                timer.cancel()
        if slot is not None:
            slot.release()
        await caller.end()

    async def refuse(
        self, identifier: str, error: RequestError, caller: Caller
    ) -> None:
        """Give the caller its final answer at once."""
        refusal = build_refusal(error, self.slots.backlog_seconds, self.random)
        self.record_outcome(identifier, refusal.headers[OUTCOME], str(error))
        is_closing = not self.takes_new_work or not caller.is_read.is_set()
        await caller.begin(
            refusal.status, refusal.reason, refusal.headers, is_closing
        )
        if caller.method != "HEAD":
            await caller.write(refusal.body)
        await caller.end()

    def record_outcome(
        self, identifier: str, outcome: str, reason: str
    ) -> None:
        """Count and log what became of a request."""
        self.requests.labels(outcome).inc()
        LOGGER.debug(
            "event=request id={} outcome={} reason={}",
            identifier,
            outcome,
            reason,
        )

    def log_decision(self, request: Request, choice: str, reason: str) -> None:
        """Log where a request goes, and why."""
        if int(request.identifier, 16) >= self.log_limit:
            return
        LOGGER.info(
            "event=decision request={} choice={} reason={}",
            request.identifier,
            choice,
            reason,
        )


def is_not_run(head: ResponseHead) -> bool:
    """Tell whether an answer says that the request was not run."""
    outcome = head.headers.get(OUTCOME)
    return head.line.code == UNAVAILABLE and outcome == OUTCOME_NOT_RUN
