"""HTTP pages of readiness, metrics and status."""

from chicorycart.operation.metrics import Metrics
from chicorycart.operation.status import StatusSource
from chicorycart.steering.settings import SteeringSettings


class Pages:
    """Serves the HTTP pages of one daemon.

    Parameters
    ----------
    settings : SteeringSettings
        The addresses to serve them at.
    metrics : Metrics
        The daemon's metrics.
    source : StatusSource
        The daemon, which describes its readiness and status.
    """

    __slots__ = ("settings", "metrics", "source", "servers")

    def __init__(
        self,
        settings: SteeringSettings,
        metrics: Metrics,
        source: StatusSource,
    ):
        self.settings = settings
        self.metrics = metrics
        self.source = source
        self.servers = []

    def start(self) -> None:
        """Listen on the addresses of readiness and of metrics."""
        # Importing the web server takes as long as all other imports
        # together, so it is done after packets are served.
        from chicorycart.operation.endpoints import list_ready_page
        from chicorycart.operation.endpoints import serve_endpoints

        ready = list_ready_page(self.settings.ready_path, self.source)
        self.servers = [
            serve_endpoints(address, self.metrics, self.source, [ready])
            for address in (self.settings.ready, self.settings.metrics)
        ]

    def stop(self) -> None:
        """Stop all servers."""
        for server in self.servers:
            server.stop()
