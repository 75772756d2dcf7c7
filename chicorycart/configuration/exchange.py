"""Joins the parts by which a balancer keeps its configuration in force."""

from asyncio import create_task
from asyncio import gather
from asyncio import Task
from random import Random

from prometheus_client import CollectorRegistry

from chicorycart.clock import Clock
from chicorycart.configuration.backoff import Backoff
from chicorycart.configuration.delta import DeltaHistory
from chicorycart.configuration.digests import DigestExchange
from chicorycart.configuration.fetch import DeltaSource
from chicorycart.configuration.fetch import VersionFetcher
from chicorycart.configuration.follow import AloneTurns
from chicorycart.configuration.follow import follow_platform
from chicorycart.configuration.follow import PlatformReader
from chicorycart.configuration.follow import ReadingTurns
from chicorycart.configuration.metrics import ConfigurationMetrics
from chicorycart.configuration.peers import DomainPicker
from chicorycart.configuration.peers import PeerPicker
from chicorycart.configuration.peers import PeerTable
from chicorycart.configuration.platform import PlatformClient
from chicorycart.configuration.pusher import PacedSender
from chicorycart.configuration.pusher import VersionPusher
from chicorycart.configuration.readers import ReaderElection
from chicorycart.configuration.serving import DeltaServer
from chicorycart.configuration.start import StartGate
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.configuration.subscriptions import SubscriptionTable
from chicorycart.configuration.version_manager import VersionManager
from chicorycart.defaults import SNAPSHOT_BYTES_BURST
from chicorycart.defaults import SNAPSHOT_BYTES_PER_SECOND
from chicorycart.defaults import VERSION_BYTES_BURST
from chicorycart.defaults import VERSION_BYTES_PER_SECOND
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.pace import TokenBucket


class VersionExchange:
    """Learns versions from the platform and from peers, and passes them on.

    Parameters
    ----------
    store : ConfigurationStore
        Holds the version in force.
    client : PlatformClient
        Reads the platform.
    source : DeltaSource
        Reads from peers.
    sender : Sender
        Sends datagrams to peers.
    table : PeerTable
        The peers; to be told of each instance list.
    random : Random
        Makes every choice.
    clock : Clock
        Measures every wait.
    registry : CollectorRegistry
        Where metrics are registered.
    picker : PeerPicker, optional
        Chooses peers; mostly within the own domain if not given.
    """

    __slots__ = (
        "random",
        "version_manager",
        "history",
        "fetcher",
        "pusher",
        "digests",
        "reader",
        "turns",
        "gate",
        "server",
        "subscriptions",
        "waking",
    )

    def __init__(
        self,
        store: ConfigurationStore,
        client: PlatformClient,
        source: DeltaSource,
        sender: Sender,
        table: PeerTable,
        random: Random,
        clock: Clock,
        registry: CollectorRegistry,
        picker: PeerPicker | None = None,
    ):
        self.random = random
        picker = picker or DomainPicker(table, random)
        metrics = ConfigurationMetrics(registry)
        self.version_manager = VersionManager(store, metrics)
        self.history = DeltaHistory()
        self.fetcher = VersionFetcher(
            self.version_manager, source, picker, random, clock
        )
        paced = PacedSender(
            sender,
            TokenBucket(clock, VERSION_BYTES_PER_SECOND, VERSION_BYTES_BURST),
            metrics.events,
        )
        self.pusher = VersionPusher(
            self.version_manager,
            self.history,
            self.fetcher,
            table,
            picker,
            paced,
        )
        self.digests = DigestExchange(
            self.version_manager,
            self.pusher,
            self.fetcher,
            table,
            picker,
            paced,
        )
        self.turns = ReadingTurns(
            ReaderElection(table), AloneTurns(table, clock, random)
        )
        self.reader = PlatformReader(
            client, self.version_manager, Backoff(random), clock
        )
        self.gate = StartGate(
            self.version_manager,
            self.reader,
            self.turns,
            self.fetcher,
            picker,
            random,
            clock,
        )
        self.server = DeltaServer(
            self.version_manager,
            self.history,
            TokenBucket(
                clock, SNAPSHOT_BYTES_PER_SECOND, SNAPSHOT_BYTES_BURST
            ),
        )
        self.subscriptions = SubscriptionTable(
            self.version_manager, paced, clock
        )
        self.waking: Task[None] | None = None
        store.subscribe(self.history)
        store.subscribe(self.pusher)
        store.subscribe(self.subscriptions)

    @property
    def is_serving(self) -> bool:
        """Whether the process may serve with the version in force."""
        return self.gate.is_open

    def register(self, link) -> None:
        """Take the messages of peers from a link."""
        link.register(MessageKind.VERSION_PUSH, self.pusher)
        link.register(MessageKind.VERSION_DIGEST, self.digests)
        link.register(MessageKind.SUBSCRIPTION, self.subscriptions)

    def notice_version(self, version: int) -> None:
        """Fetch a version that a packet was seen to carry, if it is later."""
        self.fetcher.notice(version, None)

    def resume(self, late_seconds: float) -> None:
        """Ask around anew before serving, since the process was paused."""
        self.gate.close()
        if self.waking is None or self.waking.done():
            self.waking = create_task(self.gate.run())

    async def run(self) -> None:
        """Keep up for as long as the process runs."""
        await gather(
            self.fetcher.run(),
            self.digests.run(self.random),
            self.digests.probe(self.turns.election, self.random),
            self.start_and_follow(),
        )

    async def start_and_follow(self) -> None:
        """Open the gate, then read the platform whenever it is due."""
        await self.gate.run()
        await follow_platform(self.reader, self.turns, self.random)
