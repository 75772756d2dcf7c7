"""Processes, hosts, callers and the operator of one soak."""

from asyncio import create_task
from asyncio import Event
from asyncio import gather
from asyncio import sleep
from collections import deque
from random import Random
from signal import SIGHUP
from signal import SIGKILL
from signal import SIGTERM

from chicorycart.address import Address
from tests.soak.daemons import Daemon
from tests.soak.daemons import RESTART_SECONDS
from tests.soak.endpoints import SoakCaller
from tests.soak.endpoints import SoakHost
from tests.soak.plan import BALANCERS
from tests.soak.plan import Kind
from tests.soak.plan import OF_STORE
from tests.soak.plan import PLACES
from tests.soak.plan import UNPLANNED
from tests.soak.promises import DRAIN_SECONDS
from tests.soak.promises import Promises
from tests.soak.proxies import DatagramProxy
from tests.soak.proxies import Harm
from tests.soak.proxies import StreamProxy
from tests.standins.kv import encode
from tests.standins.kv import make_config
from tests.standins.kv import make_entry
from tests.standins.kv import serve_store
from tests.standins.kv import StandInStore
from tests.standins.processes import CALLERS
from tests.standins.processes import FABRIC_PORT
from tests.standins.processes import HOST_PORT
from tests.standins.processes import INNER_PORT
from tests.standins.processes import OUTBOUND_PORT
from tests.standins.processes import PlatformProcesses
from tests.standins.processes import READY_PORT
from tests.standins.processes import WORK_SECONDS

SERVICES = ("dispatch", "catalogue")
ENTRIES = tuple(Address(f"198.18.0.{n}", 443) for n in (1, 2, 3))
MOVING = ENTRIES[2]
DOORS = 2
BALANCER_MEMBER = 100
POLL_SECONDS = 0.2
LAPSE_SECONDS = 3.2
REUSE_SECONDS = 2.0
COPY_SECONDS = 0.5
COPIES = 18
HEARTBEAT_SECONDS = 1.0
UNLISTED_SECONDS = 2.0
"""Time for which a drained host serves its flows after its entry is gone."""

DETACHED_SECONDS = {
    Kind.KILL: RESTART_SECONDS,
    Kind.KILL_ALL: RESTART_SECONDS,
    Kind.STORE_RESTORED: LAPSE_SECONDS,
}
"""Time after a step in which processes or copied entries still come back."""

UNAVAILABLE = 503
TOO_MANY_CALLS = 429
STORM = 8
FIRST_PORT = 20_000


class Testbed:
    """One small deployment as processes on loopback.

    Attributes
    ----------
    in_rotation : list of Daemon
        Balancers that the fabric sends to.
    hosts : dict of int to SoakHost
        By place; the present one each.
    """

    def __init__(self, seed, balancers=BALANCERS, places=PLACES):
        self.random = Random(seed)
        self.balancer_count = balancers
        self.place_count = places
        self.promises = Promises()
        self.kv = StandInStore()
        self.server, self.store_port = serve_store(self.kv)
        self.fleet = PlatformProcesses("")
        self.links = DatagramProxy(self.fleet.network, self.random)
        self.streams = []
        self.balancers = []
        self.agents = []
        self.in_rotation = []
        self.all_in_rotation = Event()
        self.hosts = {}
        self.gone = []
        self.listed = set()
        self.version = 0
        self.births = 1_000
        self.next_port = FIRST_PORT
        self.copies = deque(maxlen=COPIES)
        self.lost_revision = 0
        self.tasks = []

    async def start(self):
        """Start every process and wait until all serve."""
        self.configure()
        for place in range(self.place_count):
            service = SERVICES[place * len(SERVICES) // self.place_count]
            await self.add_agent(place, service)
            self.add_host(place, service)
        for _ in range(self.balancer_count):
            await self.add_balancer()
        self.fleet.open_answers()
        self.tasks.append(create_task(self.copy_store()))
        for daemon in (*self.balancers, *self.agents):
            await self.fleet.wait_ready(daemon.ip)
        await self.all_in_rotation.wait()

    async def copy_store(self):
        """Keep copies of the store of the last seconds."""
        while True:
            self.copies.append(self.kv.copy_state())
            await sleep(COPY_SECONDS)

    async def add_agent(self, place, service):
        """Start the agent of a place."""
        ip = self.fleet.find_ip(place + 1)
        daemon = Daemon(self, f"a{place}", ip, service, "127.0.0.1:1")
        self.agents.append(daemon)
        self.add_door(daemon, place + 1)
        self.tasks.append(create_task(daemon.run()))

    async def add_balancer(self):
        """Start one more balancer with its own way to the store."""
        stream = StreamProxy(self.store_port)
        self.streams.append(stream)
        store = f"127.0.0.1:{await stream.listen()}"
        member = BALANCER_MEMBER + len(self.balancers)
        ip = self.fleet.find_ip(member)
        daemon = Daemon(self, f"b{len(self.balancers)}", ip, None, store)
        self.balancers.append(daemon)
        self.add_door(daemon, member)
        self.tasks.append(create_task(daemon.run()))
        self.tasks.append(create_task(self.follow(daemon)))

    def add_door(self, daemon, member):
        """Give a process an address for the links of others."""
        door = self.fleet.part.place(DOORS, member, INNER_PORT)
        real = Address(daemon.ip, INNER_PORT)
        self.links.add(daemon.name, door, real)

    def add_host(self, place, service):
        """Put a new host at a place and list it."""
        self.births += 1
        ip = self.agents[place].ip
        host = SoakHost(
            self.fleet.network,
            f"i-{self.births}",
            Address(ip, HOST_PORT),
            Address(ip, OUTBOUND_PORT),
            WORK_SECONDS,
            self.promises,
        )
        host.born = self.births
        host.service = service
        host.place = place
        self.hosts[place] = host
        self.list_host(host)

    def list_host(self, host, state="ready", put=None):
        """Write the entry of a host."""
        door = self.fleet.part.place(DOORS, host.place + 1, HOST_PORT)
        entry = make_entry(
            0,
            service=host.service,
            address=str(door),
            state=state,
            born=host.born,
        )
        self.listed.add(host.name)
        put = put or self.kv.put
        put(f"servers/{host.name}", encode(entry))

    def unlist_host(self, host):
        """Remove the entry of a host."""
        if host.name in self.listed:
            self.listed.discard(host.name)
            self.kv.remove(f"servers/{host.name}")

    def configure(self):
        """Publish the next version: one entry moves, or leads nowhere."""
        self.version += 1
        self.promises.configure(self.publish())

    def publish(self, put=None):
        """Write the newest version; return where each entry leads."""
        moving = (*SERVICES, None)[self.version % 3]
        routes = dict(zip(ENTRIES, (*SERVICES, moving), strict=True))
        config = make_config()
        config["version"] = self.version
        config["routes"] = [
            {
                "name": f"r-{entry.host}",
                "hostname": entry.host,
                "prefix": f"/{entry.port}/",
                "service": service,
            }
            for entry, service in routes.items()
            if service is not None
        ]
        put = put or self.kv.put
        put("op/config", encode(config))
        return routes

    async def follow(self, daemon):
        """Keep a balancer in rotation while it says that it is ready."""
        while True:
            page = None
            if not daemon.paused:
                page = await self.fleet.fetch(daemon.ip, READY_PORT, "/ready")
            if page is None and daemon in self.in_rotation:
                self.in_rotation.remove(daemon)
            elif page is not None and daemon not in self.in_rotation:
                self.in_rotation.append(daemon)
                self.in_rotation.sort(key=lambda d: d.name)
            if len(self.in_rotation) == self.balancer_count:
                self.all_in_rotation.set()
            await sleep(POLL_SECONDS)

    def send(self, caller, data):
        """Hand a caller's packet to a balancer in rotation."""
        if self.in_rotation:
            number = caller.address.port % len(self.in_rotation)
            ip = self.in_rotation[number].ip
            self.fleet.answers.send(data, Address(ip, FABRIC_PORT))

    def make_caller(self, entry):
        """Return a caller with a new port."""
        self.next_port += 1
        ip = self.fleet.find_ip(CALLERS)
        caller = SoakCaller(self, ip, self.next_port, entry)
        self.fleet.callers[caller.address] = caller
        return caller

    def find_owner(self, caller):
        """Return the live host that holds the open flow of a caller."""
        flow = (caller.address, caller.entry)
        if caller.host_sequence is None:
            return None
        for host in self.hosts.values():
            if host.flows.get(flow) == caller.host_sequence:
                return host
        return None

    async def apply(self, step):
        """Let one step happen."""
        if step.kind in UNPLANNED:
            self.promises.disturb(
                step.seconds + LAPSE_SECONDS,
                step.seconds + DETACHED_SECONDS.get(step.kind, 0.0),
                step.kind in OF_STORE,
            )
        await ACTIONS[step.kind](self, step)

    def pick(self, step, choices):
        """Return what a step happens to."""
        return choices[step.number % len(choices)]

    def pick_any(self, step):
        """Return the process that a step happens to."""
        return self.pick(step, [*self.balancers, *self.agents])

    async def roll_balancer(self, step):
        """Stop a balancer; it is started again."""
        self.pick(step, self.balancers).signal(SIGTERM)

    async def roll_agent(self, step):
        """Stop an agent; it is started again."""
        self.pick(step, self.agents).signal(SIGTERM)

    async def hang_up(self, step):
        """Send SIGHUP to a process."""
        self.pick_any(step).signal(SIGHUP)

    async def add_one(self, step):
        """Add a balancer."""
        await self.add_balancer()

    async def change_configuration(self, step):
        """Publish a version."""
        self.configure()

    async def storm(self, step):
        """Publish some versions in quick succession."""
        for _ in range(STORM):
            self.configure()
            await sleep(step.seconds / STORM)

    async def replace(self, step):
        """Drain a host and put one of its service in its place."""
        await self.empty(step, lambda host: host.service)

    async def hand_over(self, step):
        """Drain a host and give its address to the other service."""
        first, second = SERVICES
        await self.empty(
            step, lambda host: second if host.service == first else first
        )

    async def empty(self, step, choose_service):
        """Drain a host, end it and start another at its address."""
        host = self.pick(step, list(self.hosts.values()))
        others = [
            other
            for other in self.hosts.values()
            if other.service == host.service
            and other is not host
            and other.name not in self.promises.draining
        ]
        if not others or host.name in self.promises.draining:
            return
        self.promises.draining[host.name] = self.promises.now
        self.list_host(host, "draining")
        await sleep(DRAIN_SECONDS + step.seconds)
        self.unlist_host(host)
        await sleep(UNLISTED_SECONDS)
        service = choose_service(host)
        del self.hosts[host.place]
        self.gone.append(host)
        host.end()
        self.unlist_host(host)
        agent = self.agents[host.place]
        agent.service = service
        agent.signal(SIGTERM)
        await sleep(REUSE_SECONDS)
        self.add_host(host.place, service)

    async def compact(self, step):
        """Let the store forget its history."""
        self.kv.forget_history()

    async def kill(self, step):
        """Kill a process."""
        self.pick_any(step).signal(SIGKILL)

    async def kill_all(self, step):
        """Kill all processes."""
        for daemon in (*self.balancers, *self.agents):
            daemon.signal(SIGKILL)

    async def freeze(self, step):
        """Pause a process."""
        await self.pick_any(step).pause(step.seconds)

    async def crash_host(self, step):
        """Let a host forget everything."""
        self.pick(step, list(self.hosts.values())).restart()

    async def silence_host(self, step):
        """Pause a host."""
        host = self.pick(step, list(self.hosts.values()))
        await host.pause(step.seconds)

    async def cut_link(self, step):
        """Cut one way between a balancer and an agent."""
        ends = [
            self.pick(step, self.balancers).name,
            self.pick(step, self.agents).name,
        ]
        self.random.shuffle(ends)
        await self.links.harm(*ends, Harm(is_cut=True), step.seconds)

    async def silence_links(self, step):
        """Cut all links of an agent."""
        await self.harm_links(step, Harm(is_cut=True))

    async def slow_links(self, step):
        """Delay all links of an agent."""
        await self.harm_links(step, Harm(delay=0.05 * step.seconds))

    async def lose_links(self, step):
        """Lose and repeat on all links of an agent."""
        await self.harm_links(step, Harm(loss=0.1 * step.seconds, repeats=0.2))

    async def harm_links(self, step, harm):
        """Harm all links of an agent, both ways."""
        agent = self.pick(step, self.agents)
        await gather(
            *(
                self.links.harm(*ends, harm, step.seconds)
                for balancer in self.balancers
                for ends in (
                    (balancer.name, agent.name),
                    (agent.name, balancer.name),
                )
            )
        )

    async def lose_store(self, step):
        """Reset the connections to the store while entries lapse."""
        for stream in self.streams:
            stream.is_refusing = True
            stream.reset()
        await sleep(step.seconds)
        lapsed = [h for h in self.hosts.values() if h.name in self.listed]
        for host in lapsed:
            self.unlist_host(host)
        for stream in self.streams:
            stream.is_refusing = False
        for host in lapsed:
            await sleep(step.seconds / 2 / len(lapsed))
            if self.hosts.get(host.place) is host:
                is_draining = host.name in self.promises.draining
                self.list_host(host, "draining" if is_draining else "ready")

    async def restore_store(self, step):
        """Let the store be away and come back from a copy.

        The operator and the hosts write again what the copy lacks, and the
        entries of hosts that had left expire.
        """
        self.lost_revision = max(self.lost_revision, self.kv.revision)
        for stream in self.streams:
            stream.is_refusing = True
            stream.reset()
        await sleep(step.seconds)
        self.kv.restore(self.pick(step, self.copies))
        former = {
            key for key in self.kv.items if key.startswith("servers/")
        } - {f"servers/{host.name}" for host in self.hosts.values()}
        self.publish(self.kv.put_changed)
        for stream in self.streams:
            stream.is_refusing = False
        hosts = list(self.hosts.values())
        for host in hosts:
            await sleep(HEARTBEAT_SECONDS / len(hosts))
            if self.hosts.get(host.place) is host:
                is_draining = host.name in self.promises.draining
                state = "draining" if is_draining else "ready"
                self.list_host(host, state, self.kv.put_changed)
        await sleep(LAPSE_SECONDS - HEARTBEAT_SECONDS)
        for key in former & set(self.kv.items):
            if not self.kv.items[key].get("tombstone"):
                self.kv.remove(key)

    def write_until(self, revision):
        """Write the newest version again until the store has a revision."""
        while self.kv.revision < revision:
            self.publish()

    async def silence_store(self, step):
        """Silence a balancer's connections to the store, for good.

        Those that are opened later than that work.
        """
        await self.silence(step, [self.pick(step, self.streams)])

    async def silence(self, step, streams):
        """Silence connections to the store that are open or opened now."""
        for stream in streams:
            stream.is_silent = True
            stream.silence()
        await sleep(step.seconds)
        for stream in streams:
            stream.is_silent = False

    async def silence_connections(self, step):
        """Silence all open connections to the store; new ones work."""
        for stream in self.streams:
            stream.silence()

    async def lose_answers(self, step):
        """Lose the answers of the store to a balancer."""
        stream = self.pick(step, self.streams)
        stream.loses_answers = True
        await sleep(step.seconds)
        stream.loses_answers = False

    async def silence_for_all(self, step):
        """Let the store answer nobody."""
        await self.silence(step, self.streams)

    async def refuse_busy(self, step):
        """Let the store answer every call with 503."""
        await self.refuse(step, UNAVAILABLE, self.streams)

    async def refuse_one(self, step):
        """Let the store answer every call of a balancer with 429."""
        stream = self.pick(step, self.streams)
        await self.refuse(step, TOO_MANY_CALLS, [stream])

    async def refuse(self, step, status, streams):
        """Let the store answer calls with a status; open ones are cut."""
        for stream in streams:
            stream.status = status
            stream.reset()
        await sleep(step.seconds)
        for stream in streams:
            stream.status = None

    async def slow_store(self, step):
        """Delay the answers of the store to all."""
        for stream in self.streams:
            stream.delay += 0.1 * step.seconds
        await sleep(step.seconds)
        for stream in self.streams:
            stream.delay = max(0.0, stream.delay - 0.1 * step.seconds)

    async def close(self):
        """End everything that was started here."""
        for task in self.tasks:
            task.cancel()
        await gather(*self.tasks, return_exceptions=True)
        for stream in self.streams:
            stream.close()
        await self.fleet.close()
        self.server.stop()


ACTIONS = {
    Kind.ROLL_BALANCER: Testbed.roll_balancer,
    Kind.ROLL_AGENT: Testbed.roll_agent,
    Kind.HANG_UP: Testbed.hang_up,
    Kind.ADD_BALANCER: Testbed.add_one,
    Kind.CONFIGURE: Testbed.change_configuration,
    Kind.CONFIGURE_OFTEN: Testbed.storm,
    Kind.DRAIN: Testbed.replace,
    Kind.HAND_OVER: Testbed.hand_over,
    Kind.COMPACT: Testbed.compact,
    Kind.KILL: Testbed.kill,
    Kind.KILL_ALL: Testbed.kill_all,
    Kind.FREEZE: Testbed.freeze,
    Kind.HOST_CRASH: Testbed.crash_host,
    Kind.HOST_SILENT: Testbed.silence_host,
    Kind.LINK_CUT: Testbed.cut_link,
    Kind.LINK_SILENT: Testbed.silence_links,
    Kind.LINK_SLOW: Testbed.slow_links,
    Kind.LINK_LOSSY: Testbed.lose_links,
    Kind.STORE_DOWN: Testbed.lose_store,
    Kind.STORE_SILENT: Testbed.silence_store,
    Kind.STORE_ONE_WAY: Testbed.lose_answers,
    Kind.STORE_SLOW: Testbed.slow_store,
    Kind.STORE_RESTORED: Testbed.restore_store,
    Kind.STORE_HUNG: Testbed.silence_for_all,
    Kind.STORE_BUSY: Testbed.refuse_busy,
    Kind.STORE_LIMITING: Testbed.refuse_one,
    Kind.CONNECTIONS_SILENT: Testbed.silence_connections,
}
