"""Agent that relays the flows of its own host."""

from asyncio import create_task
from asyncio import Event
from asyncio import sleep
from asyncio import Task
from typing import Any

from chicorycart.clock import LoopClock
from chicorycart.links.datagrams import DatagramLink
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.metrics import tally_dropped
from chicorycart.links.sockets import DatagramSocket
from chicorycart.links.sockets import SocketOpener
from chicorycart.operation.events import EventLog
from chicorycart.operation.metrics import Metrics
from chicorycart.operation.stopping import wait_until
from chicorycart.packets.segment import SegmentCodec
from chicorycart.steering.evacuation_notices import HostEvacuation
from chicorycart.steering.hosted import HostedFlows
from chicorycart.steering.limits import AGENT_STOP_SECONDS
from chicorycart.steering.limits import PAGES_SECONDS
from chicorycart.steering.limits import SWEEP_SECONDS
from chicorycart.steering.pages import Pages
from chicorycart.steering.probes import ProbeResponder
from chicorycart.steering.relay import Relay
from chicorycart.steering.settings import SteeringSettings


class AnySource:
    """Accepts messages from any address: the platform lists no balancers."""

    __slots__ = ()

    def is_known(self, host: str) -> bool:
        """Return True for every address."""
        return True


class RelayingAgent:
    """Builds the parts of an agent and runs them.

    Parameters
    ----------
    settings : SteeringSettings
        Validated settings.
    codec : SegmentCodec
        Decodes and encodes callers' packets.
    open_socket : callable, optional
        Opens the sockets for datagrams.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        codec: SegmentCodec,
        open_socket: SocketOpener = DatagramSocket,
    ):
        self.settings = settings
        self.metrics = Metrics()
        clock = LoopClock()
        events = EventLog("agent", clock)
        self.host_socket = open_socket(settings.outbound)
        self.link_socket = open_socket(settings.link)
        self.link = DatagramLink(
            self.link_socket, AnySource(), tally_dropped(self.metrics)
        )
        self.flows = HostedFlows(clock, settings.bounds.flow_ttl_seconds)
        evacuation = HostEvacuation(settings.domain, clock)
        self.relay = Relay(
            settings.service,
            settings.host,
            codec,
            self.flows,
            self.link,
            self.host_socket,
            events,
            self.metrics,
            settings.bounds.has_cold_limit,
            evacuation,
        )
        self.link.register(MessageKind.DELIVERY, self.relay)
        self.link.register(MessageKind.EVACUATION, evacuation)
        self.link.register(
            MessageKind.PROBE, ProbeResponder(self.flows, self.link)
        )
        self.pages = Pages(settings, self.metrics, self)
        self.metrics.read(
            "chicorycart_agent_flows",
            "Flows that pass here.",
            lambda: len(self.flows),
        )
        self.metrics.read(
            "chicorycart_agent_requests",
            "Requests that the host has not answered yet.",
            lambda: self.flows.in_progress,
        )
        self.metrics.read(
            "chicorycart_agent_work_ms",
            "Mean time of the host's work on a request; 0 if unknown.",
            lambda: self.flows.work.describe()[0],
        )
        self.metrics.read(
            "chicorycart_agent_failed_share",
            "Share of the last requests that the host failed.",
            lambda: self.flows.work.describe()[1],
        )
        self.metrics.read(
            "chicorycart_agent_log_lines_omitted",
            "Log lines over the budget of their kind.",
            lambda: events.total_omitted,
        )

    def is_ready(self) -> bool:
        """Tell whether the agent is not stopping."""
        return not self.relay.is_stopping

    def describe_status(self) -> dict[str, Any]:
        """Return the fields of the status page."""
        work_ms, failed_share = self.flows.work.describe()
        return {
            "name": self.settings.name,
            "role": "agent",
            "service": self.settings.service,
            "ready": self.is_ready(),
            "flows": len(self.flows),
            "requests": self.flows.in_progress,
            "workMs": round(work_ms, 1),
            "failedShare": round(failed_share, 3),
        }

    async def run(self, stop: Event) -> None:
        """Run until the event is set, then finish the work in progress."""
        tasks = [*self.start(), create_task(self.serve_pages())]
        await stop.wait()
        await self.finish_work()
        for task in tasks:
            task.cancel()
        self.pages.stop()
        self.host_socket.close()
        self.link_socket.close()

    def start(self) -> list[Task]:
        """Start to receive packets."""
        self.host_socket.start(self.relay)
        self.link_socket.start(self.link)
        return [create_task(self.sweep())]

    async def finish_work(self) -> None:
        """Accept no more flows and wait for the host's answers."""
        self.relay.is_stopping = True
        await wait_until(self.is_idle, AGENT_STOP_SECONDS)

    def is_idle(self) -> bool:
        """Tell whether the host has no request in progress."""
        return self.flows.in_progress == 0

    async def serve_pages(self) -> None:
        """Serve the pages after packets that queued up during the start."""
        await sleep(PAGES_SECONDS)
        self.pages.start()

    async def sweep(self) -> None:
        """Forget idle flows as long as the agent runs."""
        while True:
            await sleep(SWEEP_SECONDS)
            self.flows.sweep()
