"""Balancer that steers flows by the routes and targets in the store."""

from asyncio import create_task
from asyncio import Event
from asyncio import sleep
from asyncio import Task
from asyncio import timeout
from random import Random
from typing import Any

from logbook import Logger

from chicorycart.balancer.idle_detector import IdleDetector
from chicorycart.clock import LoopClock
from chicorycart.configuration.backoff import Backoff
from chicorycart.links.datagrams import DatagramLink
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.metrics import tally_dropped
from chicorycart.links.sockets import DatagramSocket
from chicorycart.links.sockets import SocketOpener
from chicorycart.operation.events import EventLog
from chicorycart.operation.metrics import Metrics
from chicorycart.operation.stopping import wait_until
from chicorycart.packets.segment import SegmentCodec
from chicorycart.steering.choice import TargetChoice
from chicorycart.steering.cold import ColdTargets
from chicorycart.steering.directory import Directory
from chicorycart.steering.evacuation import EvacuatedDomains
from chicorycart.steering.evacuation_notices import EvacuationNotifier
from chicorycart.steering.evacuation_report import EvacuationReport
from chicorycart.steering.flows import FlowCache
from chicorycart.steering.follow import StoreFollower
from chicorycart.steering.health import HealthTable
from chicorycart.steering.hedging_placer import HedgingPlacer
from chicorycart.steering.history import HistoryCheck
from chicorycart.steering.limits import PAGES_SECONDS
from chicorycart.steering.limits import RESUME_SECONDS
from chicorycart.steering.limits import RETRY_INITIAL_SECONDS
from chicorycart.steering.limits import RETRY_MAX_SECONDS
from chicorycart.steering.limits import STOP_MARGIN_SECONDS
from chicorycart.steering.limits import SWEEP_SECONDS
from chicorycart.steering.output import SteererOutput
from chicorycart.steering.pages import Pages
from chicorycart.steering.parked import ParkedPackets
from chicorycart.steering.placing import FlowPlacer
from chicorycart.steering.probes import TargetProber
from chicorycart.steering.published import PublishedStore
from chicorycart.steering.receivers import MessageReceiver
from chicorycart.steering.routes import RoutesInForce
from chicorycart.steering.searching import OwnerSearch
from chicorycart.steering.settings import SteeringSettings
from chicorycart.steering.steerer import Steerer
from chicorycart.steering.store_pace import limit_gather_seconds
from chicorycart.steering.store_pace import limit_watch_seconds

LOGGER = Logger("process")


class SteeringBalancer:
    """Builds the parts of a balancer and runs them.

    Parameters
    ----------
    settings : SteeringSettings
        Validated settings.
    codec : SegmentCodec
        Decodes and encodes callers' packets.
    store : PublishedStore
        Where routes and targets are published.
    open_socket : callable, optional
        Opens the sockets for datagrams.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        codec: SegmentCodec,
        store: PublishedStore,
        open_socket: SocketOpener = DatagramSocket,
    ):
        self.settings = settings
        self.metrics = Metrics()
        clock = LoopClock()
        events = EventLog("balancer", clock)
        self.clock = clock
        self.fabric = open_socket(settings.fabric)
        self.link_socket = open_socket(settings.link)
        self.directory = Directory(
            clock, settings.link.port, settings.bounds.flow_ttl_seconds
        )
        self.evacuated = EvacuatedDomains(clock)
        self.follower = StoreFollower(
            store,
            self.directory,
            RoutesInForce(),
            Backoff(Random(), RETRY_INITIAL_SECONDS, RETRY_MAX_SECONDS),
            clock,
            limit_watch_seconds(settings.bounds),
            limit_gather_seconds(settings.bounds),
            self.evacuated,
        )
        self.history = HistoryCheck(store, self.directory, self.follower)
        self.link = DatagramLink(
            self.link_socket, self.directory, tally_dropped(self.metrics)
        )
        self.notifier = EvacuationNotifier(
            self.evacuated, self.directory, self.link, Random()
        )
        health = HealthTable(clock, events)
        self.flows = FlowCache(clock)
        self.cold = ColdTargets(
            clock,
            self.directory,
            self.follower.routes,
            settings.bounds,
            events,
        )
        self.steerer = self.build_steerer(codec, health, events)
        self.evacuation_report = EvacuationReport(
            self.evacuated, self.directory, self.flows
        )
        self.follower.routes.listeners.append(self.steerer.update_waiting)
        self.evacuated.listeners.append(self.steerer.refuse_evacuated)
        self.evacuated.listeners.append(self.cold.handle_transition)
        for kind, handler in (
            (MessageKind.FLOW_REPORT, self.steerer.handle_report),
            (MessageKind.RETURN, self.steerer.handle_return),
            (MessageKind.PROBE_ANSWER, self.steerer.handle_load),
        ):
            self.link.register(kind, MessageReceiver(handler))
        self.prober = TargetProber(self.directory, health, self.link)
        self.pages = Pages(settings, self.metrics, self)
        self.add_gauges(events)
        self.is_stopping = False

    def build_steerer(
        self, codec: SegmentCodec, health: HealthTable, events: EventLog
    ) -> Steerer:
        """Build the handler of callers' packets."""
        output = SteererOutput(
            codec,
            self.follower,
            self.flows,
            self.link,
            self.fabric,
            events,
            self.metrics,
        )
        domain = self.settings.domain
        choice = TargetChoice(
            self.directory, health, domain, self.cold, self.evacuated
        )
        parked = ParkedPackets(self.clock)
        return Steerer(
            codec,
            self.build_placer(choice, health, parked, output),
            OwnerSearch(choice, health, parked, output, self.history),
            health,
            parked,
            output,
            self.notifier,
        )

    def build_placer(
        self,
        choice: TargetChoice,
        health: HealthTable,
        parked: ParkedPackets,
        output: SteererOutput,
    ) -> FlowPlacer:
        """Build the part that places flows, with hedging if it is on."""
        parts = (choice, health, parked, output, self.metrics)
        share = self.settings.hedge_share
        return HedgingPlacer(*parts, share) if share else FlowPlacer(*parts)

    def add_gauges(self, events: EventLog) -> None:
        """Register gauges of the balancer's state and of omitted log lines."""
        follower = self.follower
        for name, text, read in (
            (
                "version",
                "Configuration version in force.",
                lambda: follower.routes.current.version,
            ),
            (
                "store_silent_seconds",
                "Time since the store was heard.",
                lambda: follower.seconds_since_contact,
            ),
            ("store_calls", "Calls of the store.", lambda: follower.calls),
            (
                "store_failures",
                "Calls of the store that failed.",
                lambda: follower.failed_calls,
            ),
            ("flows", "Flows remembered.", lambda: len(self.flows)),
            (
                "waiting",
                "Packets that wait for a target.",
                lambda: len(self.steerer.parked),
            ),
            (
                "targets",
                "Targets known.",
                lambda: len(self.directory.members),
            ),
            (
                "evacuated_domains",
                "Failure domains that are evacuated.",
                lambda: len(self.evacuated.current),
            ),
            (
                "entries_unused",
                "Entries of the store that name no target.",
                lambda: len(self.directory.unused),
            ),
            (
                "cold_targets",
                "Targets that are warming up after their start.",
                lambda: len(self.cold.list_cold()),
            ),
            (
                "log_lines_omitted",
                "Log lines over the budget of their kind.",
                lambda: (
                    events.total_omitted + self.directory.events.total_omitted
                ),
            ),
        ):
            self.metrics.read(f"chicorycart_balancer_{name}", text, read)

    def is_ready(self) -> bool:
        """Tell whether routes and targets are loaded and no stop began."""
        return self.follower.loaded.is_set() and not self.is_stopping

    def describe_status(self) -> dict[str, Any]:
        """Return the fields of the status page."""
        follower = self.follower
        return {
            "name": self.settings.name,
            "role": "balancer",
            "ready": self.is_ready(),
            "version": follower.routes.current.version,
            "era": follower.era,
            "revision": follower.revision,
            "store_away": follower.unreachable_since is not None,
            "flows": len(self.flows),
            "evacuated": self.evacuation_report.describe(),
            "targets": {
                name: str(member.listing.state)
                for name, member in self.directory.members.items()
            },
            "cold": self.cold.describe(),
        }

    async def run(self, stop: Event) -> None:
        """Run until the event is set, then finish the work in progress."""
        tasks = [*self.start(), create_task(self.serve_pages())]
        await stop.wait()
        await self.finish_work()
        for task in tasks:
            task.cancel()
        self.pages.stop()
        self.fabric.close()
        self.link_socket.close()

    def start(self) -> list[Task]:
        """Start to read the store and to receive packets."""
        self.link_socket.start(self.link)
        return [
            create_task(self.follower.run()),
            create_task(self.history.run()),
            create_task(self.history.confirmation.run()),
            create_task(self.serve_fabric()),
            create_task(self.prober.run()),
            create_task(self.notifier.run()),
            create_task(self.resume_waiting()),
            create_task(self.sweep()),
        ]

    async def resume_waiting(self) -> None:
        """Retry packets that wait for a target, as long as it runs."""
        while True:
            await sleep(RESUME_SECONDS)
            self.steerer.resume()

    async def sweep(self) -> None:
        """Forget idle flows as long as the balancer runs."""
        while True:
            await sleep(SWEEP_SECONDS)
            self.cold.sweep()
            idle_seconds = self.follower.routes.current.idle_seconds
            self.flows.sweep(
                idle_seconds or self.settings.bounds.flow_ttl_seconds
            )

    async def serve_fabric(self) -> None:
        """Receive callers' packets once routes and targets are loaded."""
        await self.follower.loaded.wait()
        self.fabric.start(self.steerer)

    async def serve_pages(self) -> None:
        """Serve the pages once routes and targets are loaded.

        Without them the pages are served after PAGES_SECONDS, so that
        operators can see why the balancer is not ready.
        """
        try:
            async with timeout(PAGES_SECONDS):
                await self.follower.loaded.wait()
        except TimeoutError:
            LOGGER.warning(
                "event=not_serving reason={!r}", "no routes read yet"
            )
        self.pages.start()

    async def finish_work(self) -> None:
        """Go on forwarding until the fabric sends no more packets.

        This ends STOP_MARGIN_SECONDS before the platform would kill the
        process.
        """
        self.is_stopping = True
        idle_detector = IdleDetector(self.clock, self.fabric)
        seconds = self.settings.bounds.stop_seconds - STOP_MARGIN_SECONDS
        await wait_until(idle_detector.is_idle, seconds)
