"""Serves metrics, health, readiness and status of a daemon."""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any
from typing import Protocol

from tornado.httpserver import HTTPServer
from tornado.routing import Rule
from tornado.web import Application
from tornado.web import RequestHandler
from tornado.web import URLSpec

from chicorycart.address import Address
from chicorycart.operation.status import StatusSource

UNAVAILABLE = 503


class MetricSource(Protocol):
    """A registry or collector of metrics."""

    def collect(self) -> Iterable[Any]:
        """Return every metric."""


class MetricsHandler(RequestHandler):
    """Answers with the metrics in the Prometheus text format."""

    def initialize(self, registry: MetricSource) -> None:
        """Take the registry to report."""
        self.registry = registry

    def get(self) -> None:
        """Answer ``GET /metrics``."""
        # Loaded by the first reader, so that a daemon starts sooner.
        from prometheus_client import CONTENT_TYPE_LATEST
        from prometheus_client import generate_latest

        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.write(generate_latest(self.registry))


class HealthHandler(RequestHandler):
    """Answers as long as the event loop runs."""

    def get(self) -> None:
        """Answer ``GET /healthz``."""
        self.write("ok\n")


class ReadyHandler(RequestHandler):
    """Answers whether the daemon takes new work."""

    def initialize(self, source: StatusSource) -> None:
        """Take the daemon to ask."""
        self.source = source

    def get(self) -> None:
        """Answer ``GET /readyz``."""
        if self.source.is_ready():
            self.write("ready\n")
            return
        self.set_status(UNAVAILABLE)
        self.write("not ready\n")


class StatusHandler(RequestHandler):
    """Answers with the status as JSON."""

    def initialize(self, source: StatusSource) -> None:
        """Take the daemon to ask."""
        self.source = source

    def get(self) -> None:
        """Answer ``GET /status``."""
        self.write(self.source.describe_status())


def list_ready_page(path: str, source: StatusSource) -> Rule:
    """Return the page of readiness under another path."""
    return URLSpec(path, ReadyHandler, {"source": source})


def serve_endpoints(
    address: Address,
    registry: MetricSource,
    source: StatusSource,
    routes: Sequence[Rule] = (),
) -> HTTPServer:
    """Listen on the control address of a daemon.

    Parameters
    ----------
    address : Address
        Where to listen.
    registry : MetricSource
        The metrics to report.
    source : StatusSource
        The daemon to ask.
    routes : sequence of Rule
        Pages that only this daemon has.
    """
    application = Application(
        [
            *routes,
            ("/metrics", MetricsHandler, {"registry": registry}),
            ("/healthz", HealthHandler),
            ("/readyz", ReadyHandler, {"source": source}),
            ("/status", StatusHandler, {"source": source}),
        ],
        log_function=lambda handler: None,
    )
    return application.listen(address.port, address.host)
