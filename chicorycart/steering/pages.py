"""Pages of readiness, metrics and status of a daemon that steers flows."""

from chicorycart.operation.metrics import Metrics
from chicorycart.operation.status import StatusSource
from chicorycart.steering.settings import SteeringSettings


class Pages:
    """Serves the pages of one daemon.

    Parameters
    ----------
    settings : SteeringSettings
        Where the pages are served.
    metrics : Metrics
        Metrics of the daemon.
    source : StatusSource
        The daemon to ask.
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
        # The web server takes as long to load as all the rest, so packets
        # are served first.
        from chicorycart.operation.endpoints import list_ready_page
        from chicorycart.operation.endpoints import serve_endpoints

        ready = list_ready_page(self.settings.ready_path, self.source)
        self.servers = [
            serve_endpoints(address, self.metrics, self.source, [ready])
            for address in (self.settings.ready, self.settings.metrics)
        ]

    def stop(self) -> None:
        """Listen no longer."""
        for server in self.servers:
            server.stop()
