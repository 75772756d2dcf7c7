"""Runs the daemons of the platform as processes on loopback."""

from asyncio import create_subprocess_exec
from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import timeout
from asyncio.subprocess import PIPE
from os import environ
from pathlib import Path
from signal import SIGKILL
from socket import AF_INET
from socket import SOCK_DGRAM
from socket import socket
import sys
from tempfile import TemporaryDirectory

from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError

from chicorycart.address import Address
from chicorycart.platform.settings import FILE_VARIABLE
from tests.standins.endpoints import ENTRY
from tests.standins.endpoints import read_head
from tests.standins.endpoints import StandInCaller
from tests.standins.endpoints import StandInHost
from tests.standins.kv import encode
from tests.standins.kv import make_config
from tests.standins.kv import make_entry
from tests.standins.layout import Network
from tests.standins.testbed import ROOT

GROUP = 1
CALLERS = 9
FABRIC_PORT = 28172
HOST_PORT = 28165
OUTBOUND_PORT = 28162
READY_PORT = 28167
INNER_PORT = 28720
READY_SECONDS = 20.0
WORK_SECONDS = 0.005
SETTINGS = """
node = "{name}"
ip = "{ip}"
zone = "riga-a"
portRange = [{inner},{inner_end}]
{side}
[listen]
dataAddr = "{ip}:{fabric}"
ready = "{ip}:{ready}"
{outbound}
[bounds]
drainMs = 3000
graceS = 6
configApplyMs = 3000
flowTtlS = 60
[platform]
address = "{store}"
"""


class LoopbackSocket:
    """A datagram socket on the loop of the test."""

    def __init__(self, address):
        self.address = address
        self.socket = socket(AF_INET, SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind(address)
        self.received = 0

    def start(self, datagram_handler):
        """Hand every datagram to the taker."""
        self.datagram_handler = datagram_handler
        get_running_loop().add_reader(self.socket.fileno(), self.read)

    def read(self):
        """Read what is there."""
        while True:
            try:
                data, source = self.socket.recvfrom(65536)
            except OSError:
                return
            self.received += 1
            self.datagram_handler.handle_datagram(data, Address(*source))

    def send(self, data, destination):
        """Send one datagram."""
        self.socket.sendto(data, destination)
        return True

    def close(self):
        """Release the socket, if it is open."""
        if self.socket.fileno() < 0:
            return
        get_running_loop().remove_reader(self.socket.fileno())
        self.socket.close()


class LoopbackNetwork:
    """Opens sockets of the stand-ins on loopback."""

    def __init__(self):
        self.sockets = []

    def open(self, address):
        """Return a new socket."""
        opened = LoopbackSocket(Address(*address))
        self.sockets.append(opened)
        return opened


class PlatformProcesses:
    """Daemons as processes, hosts and callers as stand-ins.

    Attributes
    ----------
    program : tuple of str
        Arguments to the interpreter that start a daemon.
    processes : dict
        By name.
    output : dict of str to bytes
        What each wrote to its standard output.
    """

    def __init__(self, store):
        self.store = store
        self.program = ("-m", "chicorycart.platform")
        self.network = LoopbackNetwork()
        self.part = Network()
        self.folder = TemporaryDirectory()
        self.processes = {}
        self.output = {}
        self.readers = []
        self.hosts = {}
        self.callers = {}
        self.balancers = []
        self.answers = None
        self.next_port = 30_000

    def find_ip(self, member):
        """Return the loopback address of a member."""
        return self.part.place(GROUP, member, 0).host

    async def wait_written(self, name, text):
        """Wait until a process has written a text."""
        async with timeout(READY_SECONDS):
            is_written = False
            while not is_written:
                await sleep(0.02)
                is_written = text in self.output[name]

    async def start(self, name, ip, service=None, store=None):
        """Start a daemon."""
        side = outbound = ""
        if service is not None:
            side = f'service = "{service}"\napp = "{ip}:{HOST_PORT}"'
            outbound = f'outbound = "{ip}:{OUTBOUND_PORT}"'
        elif Address(ip, FABRIC_PORT) not in self.balancers:
            self.balancers.append(Address(ip, FABRIC_PORT))
        text = SETTINGS.format(
            name=name,
            ip=ip,
            inner=INNER_PORT,
            inner_end=INNER_PORT + 15,
            side=side,
            fabric=FABRIC_PORT,
            ready=READY_PORT,
            outbound=outbound,
            store=store or self.store,
        )
        await self.start_with(name, text)

    def add_host(self, name, ip):
        """Put a host beside the agent at an address."""
        host = StandInHost(
            self.network,
            name,
            Address(ip, HOST_PORT),
            Address(ip, OUTBOUND_PORT),
            work=WORK_SECONDS,
        )
        self.hosts[name] = host
        return host

    async def start_with(self, name, text):
        """Start a daemon with the text of a settings file."""
        path = Path(self.folder.name) / f"{name}.toml"
        path.write_text(text)
        process = await create_subprocess_exec(
            sys.executable,
            *self.program,
            cwd=ROOT,
            env={**environ, FILE_VARIABLE: str(path)},
            stdout=PIPE,
        )
        self.processes[name] = process
        self.output.setdefault(name, b"")
        self.readers.append(create_task(self.read(name)))

    async def read(self, name):
        """Keep what a process writes."""
        while data := await self.processes[name].stdout.read(65536):
            self.output[name] += data

    async def fetch(self, ip, port, path):
        """Return a page of a daemon, None if there is none."""
        try:
            answer = await AsyncHTTPClient().fetch(f"http://{ip}:{port}{path}")
        except (HTTPClientError, OSError):
            return None
        return answer.body.decode()

    async def wait_ready(self, ip):
        """Wait until a daemon says that it is ready."""
        async with timeout(READY_SECONDS):
            is_ready = False
            while not is_ready:
                await sleep(0.1)
                page = await self.fetch(ip, READY_PORT, "/ready")
                is_ready = page is not None

    def send(self, caller, data):
        """Hand a caller's packet to one of the balancers."""
        number = caller.address.port % len(self.balancers)
        self.answers.send(data, self.balancers[number])

    async def start_all(self, store, service, hosts, balancers):
        """Start the daemons of one service; members by name."""
        store.put("op/config", encode(make_config()))
        for name, member in hosts.items():
            ip = self.find_ip(member)
            entry = make_entry(1, address=f"{ip}:{HOST_PORT}")
            store.put(f"servers/{name}", encode(entry))
            self.add_host(name, ip)
            await self.start(name, ip, service)
        for name, member in balancers.items():
            await self.start(name, self.find_ip(member))
        for member in (*hosts.values(), *balancers.values()):
            await self.wait_ready(self.find_ip(member))

    def open_answers(self):
        """Open the socket that callers send and get packets by."""
        address = Address(self.find_ip(CALLERS), FABRIC_PORT)
        self.answers = self.network.open(address)
        self.answers.start(self)

    def make_caller(self):
        """Return a caller with a new port."""
        if self.answers is None:
            self.open_answers()
        self.next_port += 1
        caller = StandInCaller(
            self.network,
            self,
            self.find_ip(CALLERS),
            self.next_port,
            ENTRY,
        )
        self.callers[caller.address] = caller
        return caller

    def handle_datagram(self, data, source):
        """Hand a packet to the caller that it is for."""
        caller = self.callers.get(read_head(data)[1])
        if caller is not None:
            caller.handle_datagram(data, source)

    def signal(self, number):
        """Send every process a signal."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(number)

    async def close(self):
        """End every process that was started here."""
        self.signal(SIGKILL)
        for reader in self.readers:
            reader.cancel()
        await gather(*self.readers, return_exceptions=True)
        for process in self.processes.values():
            # What nobody read yet would keep the pipe, and the wait, open.
            await process.communicate()
        for opened in self.network.sockets:
            opened.close()
        self.folder.cleanup()
        self.part.release()
