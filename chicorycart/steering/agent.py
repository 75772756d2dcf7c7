"""Runs an agent that relays the flows of its own host."""

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
from chicorycart.steering.hosted import HostedFlows
from chicorycart.steering.limits import AGENT_STOP_SECONDS
from chicorycart.steering.limits import PAGES_SECONDS
from chicorycart.steering.limits import SWEEP_SECONDS
from chicorycart.steering.pages import Pages
from chicorycart.steering.probes import ProbeResponder
from chicorycart.steering.relay import Relay
from chicorycart.steering.settings import SteeringSettings


class AnySource:
    """Takes messages from everyone: the platform lists no balancers."""

    __slots__ = ()

    def is_known(self, host: str) -> bool:
        """Return True."""
        return True


class RelayingAgent:
    """An agent and its parts.

    Parameters
    ----------
    settings : SteeringSettings
        Checked settings.
    codec : SegmentCodec
        Reads and writes callers' packets.
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
        self.relay = Relay(
            settings.service,
            settings.host,
            codec,
            self.flows,
            self.link,
            self.host_socket,
            events,
            self.metrics,
        )
        self.link.register(MessageKind.DELIVERY, self.relay)
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
            "chicorycart_agent_log_lines_omitted",
            "Log lines over the budget of their kind.",
            lambda: events.total_omitted,
        )

    def is_ready(self) -> bool:
        """Tell whether no stop began."""
        return not self.relay.is_stopping

    def describe_status(self) -> dict[str, Any]:
        """Return name, role and the work at the host."""
        return {
            "name": self.settings.name,
            "role": "agent",
            "service": self.settings.service,
            "ready": self.is_ready(),
            "flows": len(self.flows),
            "requests": self.flows.in_progress,
        }

    async def run(self, stop: Event) -> None:
        """Serve until the event is set."""
        tasks = [*self.start(), create_task(self.serve_pages())]
        await stop.wait()
        await self.finish_work()
        for task in tasks:
            task.cancel()
        self.pages.stop()
        self.host_socket.close()
        self.link_socket.close()

    def start(self) -> list[Task]:
        """Begin to take packets."""
        self.host_socket.start(self.relay)
        self.link_socket.start(self.link)
        return [create_task(self.sweep())]

    async def finish_work(self) -> None:
        """Take no more flows and wait for the host's answers."""
        self.relay.is_stopping = True
        await wait_until(self.is_idle, AGENT_STOP_SECONDS)

    def is_idle(self) -> bool:
        """Tell whether the host works on no request."""
        return self.flows.in_progress == 0

    async def serve_pages(self) -> None:
        """Serve the pages once the packets that waited are served."""
        await sleep(PAGES_SECONDS)
        self.pages.start()

    async def sweep(self) -> None:
        """Forget silent flows for as long as the agent runs."""
        while True:
            await sleep(SWEEP_SECONDS)
            self.flows.sweep()
