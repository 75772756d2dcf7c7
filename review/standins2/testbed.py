"""Daemons as processes, the router in front of them, and the settings."""

from asyncio import create_subprocess_exec
from asyncio import create_task
from asyncio import get_running_loop
from asyncio import open_connection
from asyncio import sleep
from asyncio import timeout
from asyncio.subprocess import DEVNULL
from contextlib import suppress
from os import environ
from os import getpid
from pathlib import Path
from signal import SIGKILL
from signal import SIGTERM
from socket import AF_INET
from socket import SOCK_DGRAM
from socket import SOCK_STREAM
from socket import socket
from tempfile import TemporaryDirectory
from time import strftime
from tomllib import loads
from zlib import crc32

from standins2.ends import Client
from standins2.ends import Host
from standins2.ends import open_socket
from standins2.store import Store
from standins2.wire import decode
from standins2.wire import describe

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9102
GRACE_SECONDS = 6.0
RESTART_SECONDS = 0.5
PROBE_SECONDS = 0.5
MISSES = 2
ZONE = "riga-a"
SETTINGS = """
node = "{name}"
role = "{role}"
machineClass = "{kind}"
serves = ["{kind}"]
ip = "{ip}"
zone = "riga-a"
region = "lv-riga"
portRange = [{inner},{inner_end}]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "announce"
heartbeatMs = 770
contracts = ["base","drain","config","cost","recover","flows","platform"]
flowHash = "mod"
deployMode = "agent"
{side}
[zones]
riga-a = "lv-riga"
[listen]
dataAddr = "{ip}:{data}"
ready = "{ip}:{ready}"
{outbound}
[limits]
cpuShare = 0.645
cores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stableMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeMs = 250
maxSkewMs = 12000
recoverS = 12
reorderMs = 2000
flowTtlS = 60
[platform]
address = "{store}"
deployMode = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class Record:
    """Writes what was sent, answered and run, and the rules broken."""

    def __init__(self, folder):
        path = Path(folder) / "record.txt"
        self.file = path.open("w", encoding="utf-8")
        self.start = get_running_loop().time()
        self.faults = []
        self.note(f"begins {strftime('%H:%M:%S')}")

    def note(self, text):
        """Write a line."""
        seconds = get_running_loop().time() - self.start
        self.file.write(f"{seconds:8.3f} {text}\n")
        self.file.flush()

    def fault(self, rule, text):
        """Write that a rule was broken."""
        self.faults.append(rule)
        self.note(f"BROKEN {rule}: {text}")


class Daemon:
    """A machine of the system, and the process that runs on it."""

    def __init__(self, bed, name, ip, service=None):
        self.bed = bed
        self.name = name
        self.ip = ip
        self.service = service
        self.process = None
        self.started_at = 0.0

    async def start(self):
        """Start the process with the command of the deploy file."""
        bed = self.bed
        role = "agent" if self.service else "balancer"
        side = outbound = ""
        if self.service:
            side = f'service = "{self.service}"\napp = "{self.ip}:{bed.app}"'
            outbound = f'outbound = "{self.ip}:{bed.outbound}"'
        text = SETTINGS.format(
            name=self.name,
            role=role,
            kind="side" if self.service else "front",
            ip=self.ip,
            inner=bed.inner,
            inner_end=bed.inner + 15,
            data=bed.data,
            ready=bed.ready,
            side=side,
            outbound=outbound,
            store=f"{bed.store_ip(self.ip)}:{bed.store_port}",
        )
        path = Path(bed.folder.name) / f"{self.name}.toml"
        path.write_text(text, encoding="utf-8")
        log = (Path(bed.folder.name) / f"{self.name}.log").open("ab")
        self.process = await create_subprocess_exec(
            *bed.commands[role].split(),
            cwd=ROOT,
            env={
                "PATH": environ["PATH"],
                "HOME": environ.get("HOME", "/tmp"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "CHICORYCART_NODE_FILE": str(path),
            },
            stdin=DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.started_at = get_running_loop().time()
        bed.record.note(f"started {self.name} pid={self.process.pid}")

    async def stop(self):
        """Stop the process as the platform does."""
        if self.process is None or self.process.returncode is not None:
            return
        self.bed.record.note(f"SIGTERM to {self.name}")
        self.process.send_signal(SIGTERM)
        with suppress(TimeoutError):
            async with timeout(GRACE_SECONDS):
                await self.process.wait()
                self.bed.record.note(f"{self.name} ended")
                return
        self.kill()
        await self.process.wait()

    def kill(self):
        """Kill the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(SIGKILL)
            self.bed.record.note(f"SIGKILL to {self.name}")

    async def restart(self):
        """Stop the process and start it again after a short delay."""
        await self.stop()
        await sleep(RESTART_SECONDS)
        await self.start()


class Fabric:
    """The routers: they forward clients' packets to daemons in rotation."""

    def __init__(self, bed):
        self.bed = bed
        self.client_ip = bed.make_ip(9, 1)
        self.clients = {}
        self.daemons = []
        self.misses = {}
        self.rotation = []
        self.socket = None
        self.router = None
        self.prober = None

    async def start(self, daemons):
        """Forward packets to some daemons."""
        self.daemons = list(daemons)
        bed = self.bed
        self.socket = await open_socket((self.client_ip, bed.data), self.take)
        self.router = await open_socket((bed.make_ip(9, 2), 0), len)
        self.misses = dict.fromkeys((d.name for d in daemons), MISSES)
        self.prober = create_task(self.probe())

    async def probe(self):
        """Ask each daemon twice a second whether it is ready."""
        while True:
            for daemon in self.daemons:
                create_task(self.probe_one(daemon))
            await sleep(PROBE_SECONDS)

    async def probe_one(self, daemon):
        """Ask one daemon whether it is ready."""
        is_ready = await fetch_ready((daemon.ip, self.bed.ready))
        known = self.misses[daemon.name]
        self.misses[daemon.name] = 0 if is_ready else known + 1
        ready = [d for d in self.daemons if self.misses[d.name] < MISSES]
        if 2 * len(ready) < len(self.daemons):
            ready = list(self.daemons)
        if ready != self.rotation:
            self.rotation = ready
            names = ",".join(d.name for d in ready)
            self.bed.record.note(f"in rotation: {names}")

    def choose(self, flow):
        """Return the daemon that gets the packets of a flow now."""
        number = crc32(repr(flow).encode())
        return self.rotation[number % len(self.rotation)]

    def send(self, flow, data):
        """Forward a client's packet."""
        daemon = self.choose(flow)
        self.router.sendto(data, (daemon.ip, self.bed.data))

    def take(self, raw):
        """Pass a packet to its client."""
        packet = decode(raw)
        client = self.clients.get(packet.target)
        if client is not None:
            client.take(packet)

    def note_reset(self, client, whose):
        """Record a reset that a client got, and judge it by FLOW (a)."""
        bed = self.bed
        name = describe(client.flow)
        bed.record.note(f"client got a reset of the {whose}: {name}")
        holder = bed.find_holder(client.flow)
        if whose == "system" and holder is not None and client.expected:
            now = get_running_loop().time()
            bed.record.fault(
                "FLOW",
                f"{name} is open at {holder.name}, which lives and sent no"
                f" reset; age {now - client.opened_at:.1f} s",
            )

    def close(self):
        """Stop."""
        if self.prober is not None:
            self.prober.cancel()
        for part in (self.socket, self.router):
            if part is not None:
                part.close()


async def fetch_ready(address):
    """Tell whether a daemon answers 200 to `GET /ready`."""
    try:
        async with timeout(PROBE_SECONDS):
            reader, writer = await open_connection(*address)
            writer.write(
                b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
            try:
                line = await reader.readline()
            finally:
                writer.close()
                with suppress(OSError):
                    await writer.wait_closed()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line


class Testbed:
    """A small deployment on loopback addresses of its own.

    Attributes
    ----------
    daemons : list of Daemon
        Every daemon that was started.
    hosts : list of Host
        Every host, also those that have ended.
    """

    __test__ = False

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = TemporaryDirectory()
        self.network = find_network()
        ports = find_ports(self.make_ip(1, 1), 24)
        self.data, self.ready, self.app, self.outbound = ports[:4]
        self.store_port = ports[4]
        self.inner = ports[5]
        self.store = Store(self.record)
        self.fabric = Fabric(self)
        self.daemons = []
        self.hosts = []
        self.clients = []
        self.next_port = 20_000
        text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        roles = loads(text)["roles"]
        self.commands = {name: role["run"] for name, role in roles.items()}

    def make_ip(self, group, number):
        """Return a loopback address of this testbed."""
        return f"127.{self.network}.{group}.{number}"

    def store_ip(self, ip):
        """Return the address at which a machine reaches the store."""
        _, _, group, number = ip.split(".")
        return self.make_ip(100 + int(group), number)

    async def add_daemon(self, name, group, number, service=None):
        """Start a machine with its daemon."""
        ip = self.make_ip(group, number)
        daemon = Daemon(self, name, ip, service)
        if all(d.ip != ip for d in self.daemons):
            address = self.store_ip(ip), self.store_port
            await self.store.listen(address, name)
        self.daemons.append(daemon)
        await daemon.start()
        return daemon

    async def add_host(self, name, daemon, ahead=0.0):
        """Start the host beside an agent, whose clock may be ahead."""
        host = Host(
            name,
            daemon.service,
            (daemon.ip, self.app),
            (daemon.ip, self.outbound),
            self.store,
            self.record,
            ZONE,
            ahead,
        )
        self.hosts.append(host)
        await host.start()
        self.record.note(f"host {name} of {daemon.service} starts")
        return host

    def configure(self, version, routes, services, times=(1200, 143)):
        """Write a configuration; routes by entry, timeout and aim in ms."""
        self.record.note(f"configuration {version}: {routes} {services}")
        self.store.put(
            "op/config",
            {
                "version": version,
                "routes": [
                    {
                        "name": f"r-{port}",
                        "hostname": ip,
                        "prefix": f"/{port}/",
                        "type": "safe",
                        "timeoutMs": times[0],
                        "sloMs": times[1],
                        "priority": 2,
                        "service": service,
                        "attempts": 2,
                    }
                    for (ip, port), service in routes.items()
                ],
                "services": [
                    {
                        "name": name,
                        "healthPath": "/health",
                        "maxConns": 2000,
                        "protocol": "h1",
                        "tls": False,
                    }
                    for name in services
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            },
        )

    async def wait_ready(self, daemons, seconds=20.0):
        """Wait until some daemons are ready."""
        async with timeout(seconds):
            for daemon in daemons:
                is_ready = False
                while not is_ready:
                    await sleep(0.1)
                    is_ready = await fetch_ready((daemon.ip, self.ready))

    def make_client(self, entry):
        """Return a client with a new port."""
        self.next_port += 1
        client = Client(self.fabric, self.next_port, entry, self.record)
        self.clients.append(client)
        return client

    def find_holder(self, flow):
        """Return the living host that holds a flow open, if any."""
        for host in self.hosts:
            held = host.flows.get(flow)
            if host.socket is not None and held is not None:
                is_own = flow in host.resets
                if held.is_open and not held.has_ended and not is_own:
                    return host
        return None

    async def close(self):
        """End everything that was started here."""
        self.fabric.close()
        for host in self.hosts:
            host.end()
        for daemon in self.daemons:
            daemon.kill()
        for daemon in self.daemons:
            if daemon.process is not None:
                await daemon.process.wait()
                self.copy_log(daemon)
        self.store.close()
        await sleep(0.1)
        self.folder.cleanup()

    def copy_log(self, daemon):
        """Put the log lines that tell of resets into the record."""
        path = Path(self.folder.name) / f"{daemon.name}.log"
        if not path.exists():
            return
        words = ("flow_reset", "in_force", "entry_unused", "Traceback")
        for line in path.read_text(errors="replace").splitlines():
            if any(word in line for word in words):
                self.record.file.write(f"{daemon.name}: {line}\n")


def find_network():
    """Return the second byte of loopback addresses that nobody uses."""
    for step in range(200):
        number = 20 + (getpid() + step) % 200
        with socket(AF_INET, SOCK_STREAM) as probe:
            try:
                probe.bind((f"127.{number}.1.1", METRICS_PORT))
            except OSError:
                continue
            return number
    raise RuntimeError("every loopback network is in use")


def find_ports(ip, count):
    """Return ports in a row that are free for TCP and UDP."""
    for first in range(21_000, 30_000, count):
        if all(is_free(ip, first + step) for step in range(count)):
            return list(range(first, first + count))
    raise RuntimeError("no free ports")


def is_free(ip, port):
    """Tell whether nobody has a port."""
    for kind in (SOCK_STREAM, SOCK_DGRAM):
        with socket(AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True
