"""Counts and logs what the gateway does with requests."""

from logbook import Logger
from prometheus_client import CollectorRegistry
from prometheus_client import Counter

from chicorycart.requests.message import Request

LOGGER = Logger("decision")
IDENTIFIER_BITS = 128
SAMPLE_RANGE = 1 << IDENTIFIER_BITS


class RequestLog:
    """Counts requests by outcome and logs a sample of the decisions.

    Parameters
    ----------
    log_share : float
        Share of requests (0 to 1) whose routing decisions are logged.
    registry : CollectorRegistry
        Registry of the counter.
    """

    __slots__ = ("log_limit", "requests")

    def __init__(self, log_share: float, registry: CollectorRegistry):
        self.log_limit = int(log_share * SAMPLE_RANGE)
        self.requests = Counter(
            "chicorycart_requests",
            "Requests, by what their callers were told.",
            ["outcome"],
            registry=registry,
        )

    def record_outcome(
        self, identifier: str, outcome: str, reason: str
    ) -> None:
        """Count and log the outcome of a request."""
        self.requests.labels(outcome).inc()
        LOGGER.debug(
            "event=request id={} outcome={} reason={}",
            identifier,
            outcome,
            reason,
        )

    def log_decision(self, request: Request, choice: str, reason: str) -> None:
        """Log where a request is sent and why, for a sample of requests."""
        if self.is_sampled(request):
            LOGGER.info(
                "event=decision request={} choice={} reason={}",
                request.identifier,
                choice,
                reason,
            )

    def log_hedge(
        self,
        request: Request,
        first: str,
        second: str,
        waited_seconds: float,
        quantile_seconds: float,
    ) -> None:
        """Log that a request was sent to a second target as well."""
        if self.is_sampled(request):
            LOGGER.info(
                "event=hedge_sent request={} first={} second={} waited={:.4f}"
                " quantile={:.4f}",
                request.identifier,
                first,
                second,
                waited_seconds,
                quantile_seconds,
            )

    def is_sampled(self, request: Request) -> bool:
        """Tell whether the decisions on a request are logged.

        The identifier decides, so all agents that log the same share sample
        the same requests.
        """
        return int(request.identifier, 16) < self.log_limit
