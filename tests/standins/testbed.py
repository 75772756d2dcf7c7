"""Runs the real daemons as processes among the stand-ins."""

from asyncio import create_subprocess_exec
from asyncio import sleep
from asyncio import wait_for
from asyncio.subprocess import Process
from json import dumps
from json import loads
from pathlib import Path
from random import Random
from signal import SIGKILL
from signal import Signals
from signal import SIGTERM
import sys
from tempfile import TemporaryDirectory
from typing import Any

from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPResponse

from chicorycart.address import Address
from tests.standins.fabric import Fabric
from tests.standins.host import Host
from tests.standins.layout import CONTROL_PORT
from tests.standins.layout import DATA_PORT
from tests.standins.layout import FABRIC_PORT
from tests.standins.layout import Network
from tests.standins.layout import PLATFORM_PORT
from tests.standins.layout import ServicePlan
from tests.standins.platform import Platform
from tests.standins.target import StandInTarget

ROOT = Path(__file__).resolve().parent.parent.parent
STOP_SECONDS = 20.0
LOG_TAIL_LINES = 60
READY_SECONDS = 30.0
POLL_SECONDS = 0.05
REQUEST_SECONDS = 30.0


class Testbed:
    """Both users' machines in small: stand-ins here, daemons as processes.

    Parameters
    ----------
    network : Network
        The loopback range to use.
    services : list of ServicePlan
        What to run.
    seed : int
        Seed of the spraying, losses and sequence numbers.
    log : Path or None
        File that takes the daemons' logs.
    """

    def __init__(
        self,
        network: Network,
        services: list[ServicePlan],
        seed: int = 1,
        log: Path | None = None,
    ):
        self.network = network
        self.services = {plan.name: plan for plan in services}
        self.random = Random(seed)
        self.folder = TemporaryDirectory()
        self.log = (log or Path(self.folder.name) / "log").open("ab")
        self.platform = Platform()
        self.platform_address = network.place(2, 1, PLATFORM_PORT)
        self.fabric = Fabric(network.place(3, 1, FABRIC_PORT), self.random)
        self.hosts: dict[str, Host] = {}
        self.targets: dict[str, StandInTarget] = {}
        self.seeds: list[dict[str, str]] = []
        self.processes: dict[str, Process] = {}
        self.controls: dict[str, Address] = {}
        self.http = AsyncHTTPClient(force_instance=True, max_clients=1000)

    async def start(self, balancers: int = 3) -> None:
        """Start everything and wait until every daemon is ready."""
        self.seeds = [self.plan_seed(n + 1) for n in range(balancers)]
        self.platform.listen(self.platform_address)
        self.platform.patch(
            0, {name: plan.publish() for name, plan in self.services.items()}
        )
        self.list_planned()
        self.fabric.start()
        for number in range(1, balancers + 1):
            await self.start_balancer(number, wait=False)
        for plan in self.services.values():
            await self.fabric.open_entry(plan.entry)
            for member in range(len(plan.hosts)):
                self.start_target(plan, member)
                await self.start_agent(plan, member, wait=False)
        for name in list(self.processes):
            await self.wait_ready(name)

    def list_planned(self) -> None:
        """Put all that is to be started on the platform's list."""
        for number in range(1, len(self.seeds) + 1):
            self.list_balancer(number)
        for plan in self.services.values():
            for member, host in enumerate(plan.hosts):
                place = {
                    "data": str(host.data),
                    "region": plan.region,
                    "domain": plan.domain(member),
                }
                self.list_instance(plan.target_name(member), "agent", place)

    def list_balancer(self, number: int) -> None:
        """Put a balancer on the platform's list."""
        seed = self.plan_seed(number)
        self.list_instance(seed["name"], "balancer", seed)

    def start_target(self, plan: ServicePlan, member: int) -> None:
        """Start a target and the host that it runs on."""
        name = plan.target_name(member)
        layout = plan.hosts[member]
        target = StandInTarget(plan.name, name, plan.slots)
        target.listen(layout.backend)
        self.targets[name] = target
        listener = layout.gateway if plan.kind == "http" else layout.backend
        host = Host(
            layout.decapsulation, listener, self.fabric.address, self.random
        )
        host.start()
        self.hosts[name] = host

    async def start_balancer(self, number: int, wait: bool = True) -> None:
        """Start a balancer and let the fabric use it."""
        seed = self.plan_seed(number)
        name = seed["name"]
        fabric = self.network.place(1, number, FABRIC_PORT)
        settings = self.common_settings(
            name,
            seed["region"],
            seed["domain"],
            self.network.place(1, number, DATA_PORT),
            self.network.place(1, number, CONTROL_PORT),
        )
        settings["fabric"] = str(fabric)
        await self.start_daemon("balancer", name, settings)
        if wait:
            await self.wait_ready(name)
        self.fabric.balancers.append(fabric)

    def plan_seed(self, number: int) -> dict[str, str]:
        """Return a balancer as the settings of other daemons name it."""
        return {
            "name": f"balancer-{number}",
            "region": "riga",
            "domain": f"riga-{'abc'[number % 3]}",
            "data": str(self.network.place(1, number, DATA_PORT)),
            "control": str(self.network.place(1, number, CONTROL_PORT)),
        }

    async def start_agent(
        self, plan: ServicePlan, member: int, wait: bool = True
    ) -> None:
        """Start the agent beside a target."""
        name = plan.target_name(member)
        layout = plan.hosts[member]
        settings = self.common_settings(
            name,
            plan.region,
            plan.domain(member),
            layout.data,
            layout.control,
        )
        settings["service"] = plan.name
        settings["target"] = name
        settings["decapsulation"] = str(layout.decapsulation)
        settings["backend"] = str(layout.backend)
        if plan.kind == "http":
            settings["gateway"] = str(layout.gateway)
        await self.start_daemon("agent", name, settings)
        if wait:
            await self.wait_ready(name)

    def common_settings(
        self,
        name: str,
        region: str,
        domain: str,
        data: Address,
        control: Address,
    ) -> dict[str, Any]:
        """Return the settings that every daemon has."""
        self.controls[name] = control
        return {
            "name": name,
            "region": region,
            "domain": domain,
            "data": str(data),
            "control": str(control),
            "platform": [f"http://{self.platform_address}"],
            "peers": self.seeds,
        }

    def list_instance(
        self, name: str, role: str, settings: dict[str, Any]
    ) -> None:
        """Put an instance on the platform's list."""
        host, _, port = settings["data"].partition(":")
        self.platform.instances = [
            instance
            for instance in self.platform.instances
            if instance["name"] != name
        ]
        self.platform.instances.append(
            {
                "name": name,
                "role": role,
                "address": host,
                "data_port": int(port),
                "control_port": CONTROL_PORT,
                "region": settings["region"],
                "domain": settings["domain"],
                "state": "live",
            }
        )

    async def start_daemon(
        self, command: str, name: str, settings: dict[str, Any]
    ) -> None:
        """Start one process."""
        path = Path(self.folder.name) / f"{name}.json"
        path.write_text(dumps(settings, indent=2))
        self.processes[name] = await create_subprocess_exec(
            sys.executable,
            "-m",
            "chicorycart.commands.daemon",
            command,
            "--settings",
            str(path),
            cwd=ROOT,
            stdout=self.log,
            stderr=self.log,
        )

    async def wait_ready(self, name: str) -> None:
        """Wait until a daemon says that it is ready."""
        try:
            await self.wait_until(lambda: self.is_ready(name), READY_SECONDS)
        except TimeoutError as error:
            message = f"{name}: {error}\n{self.read_log_tail()}"
            raise TimeoutError(message) from error

    def read_log_tail(self) -> str:
        """Return the last lines that the daemons logged."""
        lines = Path(self.log.name).read_text().splitlines()
        return "\n".join(lines[-LOG_TAIL_LINES:])

    async def wait_serving(self, name: str) -> None:
        """Wait until a daemon has a version in force."""

        async def has_version() -> bool:
            try:
                status = loads(await self.read_status(name))
            except (HTTPClientError, OSError):
                return False
            return status["version"] > 0

        await self.wait_until(has_version, READY_SECONDS)

    async def is_ready(self, name: str) -> bool:
        """Ask a daemon whether it is ready."""
        try:
            url = f"http://{self.controls[name]}/readyz"
            await self.http.fetch(url, request_timeout=2)
        except (HTTPClientError, OSError):
            return False
        return True

    async def is_unready(self, name: str) -> bool:
        """Ask a daemon whether it takes no new work."""
        return not await self.is_ready(name)

    async def read_status(self, name: str) -> str:
        """Return the status of a daemon as JSON text."""
        url = f"http://{self.controls[name]}/status"
        response = await self.http.fetch(url)
        return response.body.decode()

    async def wait_until(self, condition, seconds: float) -> None:
        """Wait until the condition holds; fail after the time."""
        for _ in range(int(seconds / POLL_SECONDS)):
            if await condition():
                return
            await sleep(POLL_SECONDS)
        raise TimeoutError(f"not so within {seconds} s")

    def signal(self, name: str, signal: Signals) -> None:
        """Send a signal to a daemon that this world started."""
        self.processes[name].send_signal(signal)

    async def kill(self, name: str) -> None:
        """Kill a daemon without warning."""
        self.signal(name, SIGKILL)
        await self.processes.pop(name).wait()

    async def stop(self, name: str) -> int:
        """Ask a daemon to stop; return its exit code.

        The fabric leaves out a balancer that says it is not ready.
        """
        self.signal(name, SIGTERM)
        await self.wait_until(lambda: self.is_unready(name), READY_SECONDS)
        host = self.controls[name].host
        self.fabric.balancers = [
            address
            for address in self.fabric.balancers
            if address.host != host
        ]
        code = await wait_for(self.processes[name].wait(), STOP_SECONDS)
        del self.processes[name]
        return code

    def change_target(self, service: str, name: str, **changes: Any) -> int:
        """Publish a version in which one target is changed."""
        value = dict(self.platform.services[service])
        value["targets"] = [
            {**target, **changes} if target["name"] == name else target
            for target in value["targets"]
        ]
        return self.platform.patch(self.platform.version, {service: value})

    def url(self, service: str, path: str) -> str:
        """Return the address of a path at the entry of a service."""
        return f"http://{self.services[service].entry}{path}"

    async def request(
        self, service: str, path: str, method: str = "GET", **options: Any
    ) -> HTTPResponse:
        """Send one request as a caller does."""
        options.setdefault("request_timeout", REQUEST_SECONDS)
        return await self.http.fetch(
            self.url(service, path),
            method=method,
            raise_error=False,
            **options,
        )

    async def book(self, service: str, booking: str) -> HTTPResponse:
        """Send one booking."""
        return await self.request(
            service, f"/bookings/{booking}", "POST", body=b""
        )

    async def close(self) -> None:
        """End every process that was started, and the stand-ins."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for part in (*self.hosts.values(), *self.targets.values()):
            part.close()
        self.fabric.close()
        self.platform.close()
        self.http.close()
        self.log.close()
        self.folder.cleanup()
        self.network.release()
