"""HTTP reverse proxy that chooses the target for each request."""

from asyncio import CancelledError
from asyncio import Event
from random import Random

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from tornado.httputil import HTTPHeaders
from tornado.httputil import RequestStartLine

from chicorycart.address import Address
from chicorycart.clock import Clock
from chicorycart.configuration.model import Configuration
from chicorycart.defaults import MAX_ATTEMPTS
from chicorycart.defaults import TARGET_DOWN_SECONDS
from chicorycart.placement.load import Load
from chicorycart.requests.budget import RetryBudget
from chicorycart.requests.caller import Caller
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
from chicorycart.requests.headers import OUTCOME
from chicorycart.requests.hedged import may_hedge
from chicorycart.requests.hedged import RequestHedger
from chicorycart.requests.message import Request
from chicorycart.requests.refusals import build_refusal
from chicorycart.requests.relaying import is_not_run
from chicorycart.requests.relaying import relay_response
from chicorycart.requests.relaying import ResponseBody
from chicorycart.requests.request_log import IDENTIFIER_BITS
from chicorycart.requests.request_log import RequestLog
from chicorycart.requests.resend import may_resend
from chicorycart.requests.service_targets import ServiceTargets
from chicorycart.requests.slots import Slot
from chicorycart.requests.slots import Slots
from chicorycart.requests.validator import RequestValidator
from chicorycart.requests.validator import require_body_length


class Gateway:
    """Proxies requests to the own target, or to a peer agent's gateway.

    A request that the own target did not run is sent again through peer
    agents, within the retry budget.

    Parameters
    ----------
    address : Address
        Where this gateway listens. Requests that it forwards to peer agents
        use its host as their source address, by which these know it.
    backend : Address
        Where the target listens.
    slots : Slots
        Concurrency limit of the target, and the queue before it.
    service_targets : ServiceTargets
        The own target and the other targets of the service, as configured.
    budget : RetryBudget
        Limits how many requests are sent again to peer agents.
    validator : RequestValidator
        Validates requests and sets their deadlines.
    clock : Clock
        Clock of all deadlines; must be that of the event loop, whose
        timeouts are set to these deadlines.
    random : Random
        Generates request identifiers and spreads Retry-After values.
    log_share : float
        Share of requests (0 to 1) whose routing decisions are logged.
    registry : CollectorRegistry
        Registry of the counters.

    Attributes
    ----------
    hedger : RequestHedger or None
        Runs requests that may be at two targets; None if hedging is off.
    is_stopping : bool
        Whether the agent is stopping; new requests then go to peer agents.
    in_progress : int
        Requests whose response has not been sent in full.
    is_idle : Event
        Set while no request is in progress.
    last_request_end : float
        Time on `clock` at which the last request ended.
    down_until : float
        Time on `clock` until which the own target counts as down, because
        connecting to it failed.
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
        "log",
        "hedger",
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
        self.log = RequestLog(log_share, registry)
        self.hedger: RequestHedger | None = None
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
        """Set the number of slots from the configuration now in force."""
        own = self.service_targets.own
        if own is not None:
            self.slots.set_limit(own.slots)

    @property
    def takes_new_work(self) -> bool:
        """Whether new flows and requests may be sent to the own target."""
        is_down = self.clock.now() < self.down_until
        return not (
            self.is_stopping or self.service_targets.is_leaving or is_down
        )

    def current_load(self) -> Load:
        """Return the current load of the own target."""
        return Load(
            self.slots.in_progress,
            len(self.slots.waiting),
            self.slots.rate,
            self.takes_new_work,
        )

    async def serve(
        self, line: RequestStartLine, headers: HTTPHeaders, caller: Caller
    ) -> None:
        """Handle one request; every error of it is reported to its caller."""
        self.in_progress += 1
        self.is_idle.clear()
        identifier = f"{self.random.getrandbits(IDENTIFIER_BITS):032x}"
        try:
            request = self.validator.build_request(
                line, headers, caller, identifier
            )
            await self.handle(request, caller)
        except ResponseTruncatedError as error:
            self.log.record_outcome(identifier, "cut", str(error))
            caller.abort()
        except (CallerDisconnectedError, CancelledError):
            reason = "connection closed"
            self.log.record_outcome(identifier, "caller left", reason)
            raise
        except RequestError as error:
            await self.refuse(identifier, error, caller)
        finally:
            self.in_progress -= 1
            self.last_request_end = self.clock.now()
            if not self.in_progress:
                self.is_idle.set()

    async def handle(self, request: Request, caller: Caller) -> None:
        """Run a request on the own target, or else through a peer agent.

        A forwarded request must get a slot at once and is never forwarded
        again.
        """
        if request.is_forwarded:
            self.require_free_slot()
        else:
            self.budget.refill()
        await request.body.prefetch()
        require_body_length(request)
        try:
            await self.run_locally(request, caller)
        except (NotRunError, OutcomeUnknownError) as error:
            self.log.log_decision(request, "not here", str(error))
            await self.resend_to_peer_agents(request, caller, error)

    def require_free_slot(self) -> None:
        """Refuse a forwarded request that would have to queue for a slot."""
        if not self.takes_new_work or not self.slots.has_free_slot:
            raise RefusedError("no room for a forwarded request")

    async def run_locally(self, request: Request, caller: Caller) -> None:
        """Run a request on the own target once it has a slot."""
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
        """Send a request to the own target; a failed connect marks it down.

        A connect that failed because the deadline had passed says nothing
        about the target, so it does not mark it down.
        """
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
        self.log.log_decision(request, "target", "slot free")
        if self.hedger is None or not may_hedge(request):
            await self.run_exchange(exchange, request, caller, slot)
            return
        answer = await self.hedger.run(exchange, request, slot)
        try:
            await self.relay(answer.head, answer, request, caller, slot)
        finally:
            answer.close()

    async def resend_to_peer_agents(
        self, request: Request, caller: Caller, error: RequestError
    ) -> None:
        """Try a request at peer agents in turn, within the retry budget."""
        for peer_agent in self.service_targets.rank()[: MAX_ATTEMPTS - 1]:
            if not may_resend(request, error, self.clock.now(), self.budget):
                break
            self.resends.inc()
            self.log.log_decision(request, peer_agent.name, str(error))
            try:
                exchange = await open_exchange(
                    peer_agent.gateway, self.address.host, request.deadline
                )
                await self.run_exchange(exchange, request, caller, None)
                return
            except (NotRunError, OutcomeUnknownError) as failure:
                self.service_targets.avoid(peer_agent)
                error = failure
        raise error

    async def run_exchange(
        self,
        exchange: Exchange,
        request: Request,
        caller: Caller,
        slot: Slot | None,
    ) -> None:
        """Send a request over a connection and relay the response."""
        headers = request.build_upstream_headers(
            self.clock.now(), slot is None
        )
        try:
            head = await exchange.run(
                request.line, headers, request.body, request.deadline
            )
            if is_not_run(head):
                raise NotRunError("the target did not take the request")
            await self.relay(head, exchange, request, caller, slot)
        finally:
            exchange.close()

    async def relay(
        self,
        head: ResponseHead,
        body: ResponseBody,
        request: Request,
        caller: Caller,
        slot: Slot | None,
    ) -> None:
        """Relay a response to the caller and record the outcome."""
        is_closing = not self.takes_new_work
        await relay_response(head, body, caller, slot, is_closing)
        status = str(head.line.code)
        self.log.record_outcome(request.identifier, "answered", status)

    async def refuse(
        self, identifier: str, error: RequestError, caller: Caller
    ) -> None:
        """Send the caller an error response of the gateway's own.

        The connection is closed after it if the gateway takes no new work or
        the request was not read to its end.
        """
        refusal = build_refusal(error, self.slots.backlog_seconds, self.random)
        outcome = refusal.headers[OUTCOME]
        self.log.record_outcome(identifier, outcome, str(error))
        is_closing = not self.takes_new_work or not caller.is_read.is_set()
        await caller.begin(
            refusal.status, refusal.reason, refusal.headers, is_closing
        )
        if caller.method != "HEAD":
            await caller.write(refusal.body)
        await caller.end()
