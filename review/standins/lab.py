"""A small deployment on loopback: the project's programs among stand-ins."""

from asyncio import create_subprocess_exec
from asyncio import run
from asyncio import sleep
from asyncio import wait_for
from os import environ
from pathlib import Path
from random import Random
from signal import SIGKILL
from signal import SIGTERM
from socket import AF_INET
from socket import SOCK_DGRAM
from socket import SOCK_STREAM
from socket import socket
from tempfile import TemporaryDirectory
from time import monotonic
from tomllib import loads

from standins.clients import Client
from standins.clients import Routers
from standins.hosts import Host
from standins.store import Store

ROOT = Path(__file__).resolve().parents[2]
HELD = 0
BROKEN = 1
NOT_RUN = 2
CASE_SECONDS = 105.0
METRICS_PORT = 9102
READY_SECONDS = 20.0
GRACE_SECONDS = 6.0
RESTART_SECONDS = 0.6
SERVICE = "dispatch"
BOUNDS = {
    "drainMs": 3000,
    "graceS": 6,
    "configApplyMs": 3000,
    "downgradeMs": 250,
    "maxSkewMs": 12000,
    "stableMs": 4000,
    "recoverS": 12,
    "reorderMs": 2000,
    "flowTtlS": 60,
}


class Record:
    """What was sent, answered and run, with the time of each line."""

    def __init__(self, path: Path):
        self.file = path.open("w", encoding="utf-8")
        self.started = monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        seconds = monotonic() - self.started
        print(f"{seconds:8.3f} {text}", file=self.file, flush=True)


class Lab:
    """Balancers, agents with hosts, a store, routers and clients.

    Attributes
    ----------
    has_trouble : bool
        Whether the disruption is to be made.
    """

    def __init__(self, folder: Path, balancers: int, hosts: int):
        self.record = Record(folder / "record.txt")
        self.has_trouble = environ.get("TROUBLE") != "0"
        self.record.write(f"disruption: {self.has_trouble}")
        self.temporary = TemporaryDirectory()
        self.part, ports = find_free_part()
        self.data, self.ready, self.app, self.outbound = ports[:4]
        self.inner, store_port = ports[4:]
        self.store_address = (self.place(2), store_port)
        self.store = Store()
        self.balancers = {
            f"b{n}": self.place(n) for n in range(10, 10 + balancers)
        }
        self.agents = {f"s{n}": self.place(n) for n in range(30, 30 + hosts)}
        self.hosts = {
            name: Host(
                f"h-{name}",
                SERVICE,
                (ip, self.app),
                (ip, self.outbound),
                self.store,
                self.record,
            )
            for name, ip in self.agents.items()
        }
        self.routers = Routers(
            self.place(100),
            self.data,
            self.ready,
            list(self.balancers.values()),
            self.record,
        )
        self.processes = {}
        self.next_port = 20_000

    def place(self, number: int) -> str:
        """Return a loopback address of this deployment."""
        return f"{self.part}.{number}"

    def route(self, port: int) -> tuple[str, int]:
        """Return a route's address and port."""
        return self.place(200), port

    def configure(self, version: int, ports: list[int]) -> float:
        """Write a configuration; return the time of its acknowledgement."""
        host = self.place(200)
        self.store.put_json(
            "op/config",
            {
                "version": version,
                "routes": [
                    {
                        "name": f"r-{port}",
                        "hostname": host,
                        "prefix": f"/{port}/",
                        "service": SERVICE,
                        "type": "safe",
                        "timeoutMs": 2000,
                        "sloMs": 150,
                        "priority": 1,
                    }
                    for port in ports
                ],
                "services": [{"name": SERVICE, "healthPath": "/health"}],
                "limits": {"idleTimeoutMs": 15000},
            },
        )
        self.record.write(f"operator: version {version} with routes {ports}")
        return monotonic()

    async def start(self, ports: list[int]) -> None:
        """Start everything and wait until the balancers are ready."""
        await self.store.start(*self.store_address)
        self.configure(1, ports)
        for host in self.hosts.values():
            await host.start()
        for name in (*self.agents, *self.balancers):
            await self.start_daemon(name)
        await self.routers.start()
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until every balancer is ready."""
        until = monotonic() + READY_SECONDS
        for ip in self.balancers.values():
            while not await self.routers.is_ready(ip):
                if monotonic() > until:
                    raise RuntimeError(f"{ip} is not ready")
                await sleep(0.1)

    async def start_daemon(self, name: str) -> None:
        """Start one daemon with the command of the deploy file."""
        role = "agent" if name in self.agents else "balancer"
        deploy = loads((ROOT / "deploy/system.toml").read_text())
        path = Path(self.temporary.name) / f"{name}.toml"
        path.write_text(self.describe_settings(name))
        log = (Path(self.temporary.name) / f"{name}.log").open("ab")
        kept = ("PATH", "HOME", "LANG")
        self.processes[name] = await create_subprocess_exec(
            *deploy["roles"][role]["run"].split(),
            cwd=ROOT,
            env={
                **{k: environ[k] for k in kept if k in environ},
                "PYTHONPATH": str(ROOT / "target/deps"),
                "CHICORYCART_NODE_FILE": str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write(f"start {name}")

    def describe_settings(self, name: str) -> str:
        """Return the settings file of a daemon."""
        is_agent = name in self.agents
        ip = self.agents.get(name) or self.balancers[name]
        lines = [
            f'node = "{name}"',
            f'serves = ["{"side" if is_agent else "front"}"]',
            f'ip = "{ip}"',
            'zone = "zone-a"',
            'region = "region-a"',
            f"portRange = [{self.inner},{self.inner + 15}]",
            "seeds = []",
            "heartbeatMs = 770",
            'flowHash = "mod"',
            'deployMode = "agent"',
        ]
        if is_agent:
            lines += [f'app = "{ip}:{self.app}"', f'service = "{SERVICE}"']
        lines += [
            "[listen]",
            f'dataAddr = "{ip}:{self.data}"',
            f'ready = "{ip}:{self.ready}"',
        ]
        if is_agent:
            lines.append(f'outbound = "{ip}:{self.outbound}"')
        lines += ["[bounds]", *(f"{k} = {v}" for k, v in BOUNDS.items())]
        store = "{}:{}".format(*self.store_address)
        lines += ["[platform]", f'address = "{store}"', 'deployMode = "read"']
        return "\n".join(lines) + "\n"

    async def kill(self, names: list[str]) -> None:
        """Kill daemons with SIGKILL."""
        for name in names:
            self.record.write(f"kill {name}")
            self.processes[name].send_signal(SIGKILL)
        for name in names:
            await self.processes[name].wait()

    async def roll(self, name: str, pause: float = RESTART_SECONDS) -> None:
        """Stop one daemon as planned and start it after a pause."""
        process = self.processes[name]
        self.record.write(f"SIGTERM {name}")
        process.send_signal(SIGTERM)
        try:
            await wait_for(process.wait(), GRACE_SECONDS)
        except TimeoutError:
            process.send_signal(SIGKILL)
            await process.wait()
        self.record.write(f"{name} ended with {process.returncode}")
        await sleep(pause)
        await self.start_daemon(name)

    def make_client(self, port: int, balancer: str | None = None) -> Client:
        """Return a client with a new port, of a route's port."""
        self.next_port += 1
        return Client(
            self.routers,
            self.record,
            self.next_port,
            self.route(port),
            balancer,
        )

    async def ask_once(
        self, port: int, request_id: str, balancer: str | None = None
    ) -> bool:
        """Open a flow for one request; tell whether it was answered."""
        client = self.make_client(port, balancer)
        is_served = await client.open() and await client.ask(request_id)
        if not is_served:
            self.record.write(f"{request_id} not served")
        client.close()
        return is_served

    def read_log(self, name: str) -> str:
        """Return what a daemon has written."""
        path = Path(self.temporary.name) / f"{name}.log"
        return path.read_text(errors="replace")

    async def stop(self) -> None:
        """End every daemon and keep the end of each log in the record."""
        await self.routers.stop()
        for name, process in self.processes.items():
            if process.returncode is None:
                process.send_signal(SIGKILL)
                await process.wait()
            errors = [
                line
                for line in self.read_log(name).splitlines()
                if "Error" in line or "exception" in line
            ]
            for line in errors[:5]:
                self.record.write(f"log of {name}: {line[:300]}")
        self.temporary.cleanup()


def find_free_part() -> tuple[str, list[int]]:
    """Return three bytes of loopback addresses and six free ports there."""
    random = Random()
    for _ in range(50):
        part = f"127.{random.randrange(20, 250)}.{random.randrange(250)}"
        base = random.randrange(21_000, 29_000)
        ports = [base + 20 * n for n in range(6)]
        if all(is_free(f"{part}.10", port) for port in (*ports, METRICS_PORT)):
            return part, ports
    raise RuntimeError("no free ports")


def is_free(host: str, port: int) -> bool:
    """Tell whether a port can be bound, for TCP and UDP."""
    for kind in (SOCK_STREAM, SOCK_DGRAM):
        with socket(AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def run_case(play, folder: Path, balancers: int, hosts: int) -> int:
    """Play a case and return the exit code of its script.

    Parameters
    ----------
    play : callable
        Plays the case in a lab; returns what broke the rule.
    folder : Path
        Folder of the case.
    balancers, hosts : int
        Size of the deployment.
    """
    try:
        return run(play_case(play, folder, balancers, hosts))
    except Exception as error:
        print(f"the case could not run: {error!r}")
        return NOT_RUN


async def play_case(play, folder: Path, balancers: int, hosts: int) -> int:
    """Play a case in a lab of its own, and end what was started."""
    lab = Lab(folder, balancers, hosts)
    try:
        broken = await wait_for(play(lab), CASE_SECONDS)
    except Exception as error:  # An exit code of 1 means a broken rule.
        lab.record.write(f"the case could not run: {error!r}")
        code = NOT_RUN
    else:
        for text in broken:
            lab.record.write(f"BROKEN: {text}")
        code = BROKEN if broken else HELD
    finally:
        await lab.stop()
    lab.record.write(f"exit code {code}")
    return code
