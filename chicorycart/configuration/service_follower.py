"""Keeps one service and the version up to date at an agent."""

from asyncio import sleep
from heapq import nlargest
from random import Random

from logbook import Logger
from prometheus_client import CollectorRegistry
from xxhash import xxh64_intdigest

from chicorycart.address import Address
from chicorycart.clock import Clock
from chicorycart.configuration.backoff import Backoff
from chicorycart.configuration.checksums import digest_body
from chicorycart.configuration.errors import InvalidConfigurationError
from chicorycart.configuration.errors import RefusedVersionError
from chicorycart.configuration.follow import AloneTurns
from chicorycart.configuration.follow import PlatformReader
from chicorycart.configuration.messages import decode_update
from chicorycart.configuration.messages import encode_subscription
from chicorycart.configuration.messages import ServiceUpdate
from chicorycart.configuration.messages import Subscription
from chicorycart.configuration.metrics import ConfigurationMetrics
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import hash_name
from chicorycart.configuration.model import Service
from chicorycart.configuration.parse import parse_service
from chicorycart.configuration.peers import Peer
from chicorycart.configuration.peers import PeerTable
from chicorycart.configuration.platform import PlatformClient
from chicorycart.configuration.pusher import PacedSender
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.configuration.version_manager import VersionManager
from chicorycart.defaults import NOTICES_PER_SECOND
from chicorycart.defaults import START_PEERS
from chicorycart.defaults import START_WAIT_SECONDS
from chicorycart.defaults import SUBSCRIBE_SECONDS
from chicorycart.defaults import SUBSCRIPTION_RETRY_SECONDS
from chicorycart.defaults import SUBSCRIPTION_SILENCE_SECONDS
from chicorycart.defaults import SUBSCRIPTIONS_PER_AGENT
from chicorycart.defaults import VERSION_BYTES_BURST
from chicorycart.defaults import VERSION_BYTES_PER_SECOND
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.pace import TokenBucket

LOGGER = Logger("configuration")


class ServiceFollower:
    """Learns the states of one service from a few balancers.

    It subscribes to balancers of its own domain, chosen by rendezvous
    hash, and takes others when they fall silent. It serves once every
    balancer that it asked has answered or the longest wait is over, with
    the highest version that it was told.

    Parameters
    ----------
    service : str
        Name of the service.
    store : ConfigurationStore
        Holds the version in force, with this service only.
    client : PlatformClient
        Reads the platform when no balancer is heard.
    sender : Sender
        Sends datagrams to balancers.
    table : PeerTable
        The balancers; to be told of each instance list.
    random : Random
        Spreads the renewals.
    clock : Clock
        Measures every wait.
    registry : CollectorRegistry
        Where metrics are registered.

    Attributes
    ----------
    is_serving : bool
        Whether the process may serve with the version in force.
    """

    __slots__ = (
        "service",
        "version_manager",
        "reader",
        "sender",
        "table",
        "random",
        "clock",
        "alone",
        "notices",
        "is_serving",
        "deadline",
        "waits_for",
        "unanswered",
    )

    def __init__(
        self,
        service: str,
        store: ConfigurationStore,
        client: PlatformClient,
        sender: Sender,
        table: PeerTable,
        random: Random,
        clock: Clock,
        registry: CollectorRegistry,
    ):
        metrics = ConfigurationMetrics(registry)
        self.service = service
        self.version_manager = VersionManager(store, metrics)
        self.reader = PlatformReader(
            client, self.version_manager, Backoff(random), clock
        )
        self.sender = PacedSender(
            sender,
            TokenBucket(clock, VERSION_BYTES_PER_SECOND, VERSION_BYTES_BURST),
            metrics.events,
        )
        self.table = table
        self.random = random
        self.clock = clock
        self.alone = AloneTurns(table, clock, random)
        self.notices = TokenBucket(clock, NOTICES_PER_SECOND, 1)
        self.is_serving = False
        self.deadline: float | None = None
        self.waits_for: set[Address] | None = None
        self.unanswered: dict[Address, float] = {}

    def notice_version(self, version: int) -> None:
        """Ask for a version that a packet was seen to carry."""
        if self.version_manager.is_acceptable(
            version
        ) and self.notices.try_acquire(1):
            self.subscribe(self.choose_balancers(SUBSCRIPTIONS_PER_AGENT))

    def resume(self, late_seconds: float) -> None:
        """Ask around anew before serving, since the process was paused."""
        self.is_serving = False
        self.deadline = None
        self.waits_for = None

    async def run(self) -> None:
        """Renew the subscriptions for as long as the process runs."""
        backoff = Backoff(self.random)
        while True:
            if self.alone.take_turn():
                await self.reader.read_service(self.service)
            if self.is_serving:
                self.subscribe(self.choose_balancers(SUBSCRIPTIONS_PER_AGENT))
                await sleep(self.random.uniform(0.5, 1.0) * SUBSCRIBE_SECONDS)
                backoff.reset()
            else:
                self.ask_around()
                await backoff.wait(SUBSCRIBE_SECONDS)
                self.check_started()

    def ask_around(self) -> None:
        """Ask the balancers whose answer is needed before serving."""
        if self.deadline is None:
            self.deadline = self.clock.now() + START_WAIT_SECONDS
        chosen = self.choose_balancers(START_PEERS)
        if self.waits_for is None and chosen:
            self.waits_for = {peer.data for peer in chosen}
        self.subscribe(chosen)

    def check_started(self) -> None:
        """Serve once enough is known."""
        if self.deadline is None:
            # A pause ended while the answers were waited for.
            return
        is_late = self.clock.now() >= self.deadline
        has_asked = self.waits_for is not None
        if self.version_manager.version and (
            is_late or (has_asked and not self.waits_for)
        ):
            self.is_serving = True
            LOGGER.info(
                "event=started version={}", self.version_manager.version
            )

    def choose_balancers(self, count: int) -> list[Peer]:
        """Return balancers to learn from, those of the own domain first."""
        self.forget_silences()
        peers = [
            peer
            for peer in self.table.peers.values()
            if not self.is_silent(peer.data)
        ]
        # When all are silent the list is as good as any other.
        return nlargest(
            count, peers or self.table.peers.values(), key=self.rank
        )

    def is_silent(self, address: Address) -> bool:
        """Tell whether a balancer has left subscriptions unanswered."""
        now = self.clock.now()
        since = self.unanswered.get(address, now)
        return now - since > SUBSCRIPTION_SILENCE_SECONDS

    def forget_silences(self) -> None:
        """Give balancers that were silent for long another chance."""
        oldest = self.clock.now() - SUBSCRIPTION_RETRY_SECONDS
        for address, since in list(self.unanswered.items()):
            if since < oldest:
                del self.unanswered[address]

    def rank(self, peer: Peer) -> tuple[bool, int]:
        """Return the rank value of a balancer for this agent."""
        seed = hash_name(self.table.own)
        score = xxh64_intdigest(peer.name.encode(), seed=seed)
        return (peer.domain == self.table.domain, score)

    def subscribe(self, balancers: list[Peer]) -> None:
        """Send a subscription to each of the balancers."""
        current = self.version_manager.store.current
        known = current.services.get(self.service)
        digest = known.digest if known is not None else ""
        body = encode_subscription(
            Subscription(self.service, current.version, digest)
        )
        now = self.clock.now()
        for balancer in balancers:
            self.unanswered.setdefault(balancer.data, now)
            self.sender.send(MessageKind.SUBSCRIPTION, body, balancer.data)

    def receive(self, body: bytes, source: Address) -> None:
        """Take an update from a balancer."""
        update = decode_update(body)
        self.table.record_contact(source)
        balancer = self.table.resolve(source)
        self.unanswered.pop(balancer, None)
        if self.version_manager.is_acceptable(
            update.version
        ) and not self.take(update):
            # The state itself was lost on the way.
            self.notice_version(update.version)
            return
        if self.waits_for:
            self.waits_for.discard(balancer)

    def take(self, update: ServiceUpdate) -> bool:
        """Put an update in force; False if its state did not come along."""
        services = {}
        if update.digest:
            known = self.version_manager.store.current.services.get(
                self.service
            )
            if known is None or known.digest != update.digest:
                if digest_body(update.body) != update.digest:
                    return False
                known = self.parse(update)
            if known is None:
                return True
            services[self.service] = known
        self.version_manager.activate(Configuration(update.version, services))
        return True

    def parse(self, update: ServiceUpdate) -> Service | None:
        """Build the service; refuse the version if it is at fault."""
        try:
            return parse_service(self.service, update.body)
        except InvalidConfigurationError as error:
            self.version_manager.refuse(
                RefusedVersionError(update.version, error)
            )
            return None
