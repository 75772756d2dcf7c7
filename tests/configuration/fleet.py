"""Many balancers' version exchanges over an in-memory network."""

from asyncio import create_task
from asyncio import Event
from asyncio import get_running_loop
from asyncio import sleep
from random import Random

from prometheus_client import CollectorRegistry

from chicorycart.address import Address
from chicorycart.clock import LoopClock
from chicorycart.configuration.errors import BusyError
from chicorycart.configuration.errors import PeerError
from chicorycart.configuration.exchange import VersionExchange
from chicorycart.configuration.messages import decode_delta
from chicorycart.configuration.peers import DomainPicker
from chicorycart.configuration.peers import PeerTable
from chicorycart.configuration.platform import PlatformClient
from chicorycart.configuration.service_follower import ServiceFollower
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.defaults import READER_CALLS_BURST
from chicorycart.defaults import READER_CALLS_PER_SECOND
from chicorycart.links.datagrams import MessageKind
from chicorycart.pace import TokenBucket
from tests.standins.platform import PlatformValues

DELAY_SECONDS = (0.001, 0.003)
UDP_IP_BYTES = 28


class ListedInstance:
    """One entry of the instance list."""

    def __init__(self, number, domain):
        high, low = divmod(number, 250)
        host = f"10.0.{high}.{low}"
        self.name = f"balancer-{number}"
        self.role = "balancer"
        self.domain = domain
        self.data = Address(host, 7001)
        self.control = Address(host, 7002)


class Member:
    """One balancer: a new life after each start, the same address."""

    def __init__(self, fleet, entry):
        self.fleet = fleet
        self.entry = entry
        self.task = None
        self.side = 0
        self.is_paused = False
        self.awake = Event()
        self.awake.set()
        self.sent_bytes = 0
        self.far_bytes = 0
        self.served = []
        self.lives = []

    def start(self):
        """Begin a life that knows nothing but the list."""
        fleet = self.fleet
        clock = LoopClock()
        random = Random(fleet.random.random())
        self.store = ConfigurationStore(clock)
        self.values = PlatformValues(fleet.platform, self.reaches_platform)
        self.table = PeerTable(self.entry.name, self.entry.domain, clock)
        self.table.change_instances(fleet.listed)
        self.receivers = {}
        self.registry = CollectorRegistry()
        self.exchange = VersionExchange(
            self.store,
            PlatformClient(
                self.values,
                TokenBucket(
                    clock, READER_CALLS_PER_SECOND, READER_CALLS_BURST
                ),
            ),
            self,
            self,
            self.table,
            random,
            clock,
            self.registry,
            fleet.make_picker(self.table, random),
        )
        self.exchange.register(self)
        self.lives.append([])
        self.store.subscribe(self)
        self.task = create_task(self.exchange.run())

    def stop(self):
        """End this life without notice."""
        self.task.cancel()
        self.task = None

    def is_up(self):
        """Tell whether the process runs."""
        return self.task is not None

    def reaches_platform(self):
        """Tell whether calls to the platform come through."""
        return self.is_up() and not self.is_paused and self.side == 0

    def pause(self):
        """Neither send nor take anything until the process wakes up."""
        self.is_paused = True
        self.awake.clear()

    def wake(self, late_seconds):
        """Go on after a pause; what came in meanwhile is lost."""
        self.is_paused = False
        self.awake.set()
        self.exchange.resume(late_seconds)

    def register(self, kind, receiver):
        """Hand the messages of one kind to the receiver."""
        self.receivers[kind] = receiver

    def change_configuration(self, configuration):
        """Note when each version came into force."""
        key = (self.entry.name, configuration.version)
        self.fleet.in_force_at[key] = get_running_loop().time()
        self.lives[-1].append(configuration.version)

    def send(self, kind, body, destination):
        """Send one datagram; it may be lost."""
        fleet = self.fleet
        if self.is_paused:
            return
        size = len(body) + 1 + UDP_IP_BYTES
        self.sent_bytes += size
        other = fleet.by_data[destination]
        if other.entry.domain != self.entry.domain:
            self.far_bytes += size
        if not fleet.reaches(self, other):
            return
        if kind in fleet.dropped or other in fleet.drops_incoming:
            return
        if fleet.random.random() < fleet.loss:
            return
        delay = fleet.random.uniform(*DELAY_SECONDS)
        get_running_loop().call_later(
            delay, other.take, kind, body, self.entry.data
        )

    def take(self, kind, body, source):
        """Take one datagram."""
        if self.is_up() and not self.is_paused and kind in self.receivers:
            self.receivers[kind].receive(body, source)

    async def fetch_delta(self, peer, after):
        """Read from a peer as over HTTP."""
        server = await self.reach_server(peer)
        try:
            body = server.serve_delta(after)
        except BusyError as error:
            raise PeerError("busy") from error
        if body is None:
            return None
        self.fleet.by_data[peer.data].served.append(len(body))
        return decode_delta(body)

    async def fetch_version(self, peer):
        """Read a peer's version as over HTTP."""
        return (await self.reach_server(peer)).serve_version()

    async def reach_server(self, peer):
        """Return a peer's server after a round trip."""
        other = self.fleet.by_data[peer.data]
        await self.awake.wait()
        await sleep(self.fleet.random.uniform(*DELAY_SECONDS))
        if not self.fleet.reaches(self, other) or other.is_paused:
            await sleep(1)
            raise PeerError("no answer")
        return other.exchange.server

    @property
    def version(self):
        """Version in force in this life."""
        return self.store.current.version


class AgentMember(Member):
    """One agent, which follows a single service."""

    def __init__(self, fleet, entry, service):
        super().__init__(fleet, entry)
        self.service = service

    def start(self):
        """Begin a life that knows nothing but the list."""
        fleet = self.fleet
        clock = LoopClock()
        self.store = ConfigurationStore(clock)
        self.values = PlatformValues(fleet.platform, self.reaches_platform)
        self.table = PeerTable(self.entry.name, self.entry.domain, clock)
        self.table.change_instances(fleet.listed)
        self.registry = CollectorRegistry()
        pace = TokenBucket(clock, READER_CALLS_PER_SECOND, READER_CALLS_BURST)
        self.exchange = ServiceFollower(
            self.service,
            self.store,
            PlatformClient(self.values, pace),
            self,
            self.table,
            Random(fleet.random.random()),
            clock,
            self.registry,
        )
        self.receivers = {MessageKind.SERVICE_UPDATE: self.exchange}
        self.lives.append([])
        self.store.subscribe(self)
        self.task = create_task(self.exchange.run())


class Fleet:
    """Members in failure domains, on one list, around one platform."""

    def __init__(
        self,
        platform,
        count,
        domains,
        seed=1,
        loss=0.0,
        make_picker=DomainPicker,
    ):
        self.platform = platform
        self.random = Random(seed)
        self.loss = loss
        self.make_picker = make_picker
        self.listed = [
            ListedInstance(number, f"domain-{number % domains}")
            for number in range(count)
        ]
        self.members = [Member(self, entry) for entry in self.listed]
        self.by_data = {m.entry.data: m for m in self.members}
        self.in_force_at = {}
        self.drops_incoming = set()
        self.dropped = set()

    def add_agents(self, count, domains):
        """Start agents, each beside a target of another service."""
        agents = []
        for number in range(count):
            entry = ListedInstance(
                10_000 + number, f"domain-{number % domains}"
            )
            entry.role = "agent"
            agent = AgentMember(self, entry, f"s-{number}")
            self.by_data[entry.data] = agent
            self.members.append(agent)
            agent.start()
            agents.append(agent)
        return agents

    def start(self):
        """Start every member."""
        for member in self.members:
            member.start()

    def reaches(self, one, other):
        """Tell whether two members can talk."""
        return one.is_up() and other.is_up() and one.side == other.side

    def up(self):
        """Return the members that run."""
        return [member for member in self.members if member.is_up()]

    async def wait_in_force(self, version, seconds, members=None):
        """Wait until members have a version in force and may serve."""
        loop = get_running_loop()
        deadline = loop.time() + seconds
        while True:
            late = [
                member.entry.name
                for member in members or self.up()
                if member.version < version or not member.exchange.is_serving
            ]
            if not late:
                return
            assert loop.time() < deadline, f"not at {version}: {late[:5]}"
            await sleep(0.1)
