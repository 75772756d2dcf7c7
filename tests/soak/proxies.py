"""Pass datagrams and connections on, or harm them on their way."""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import get_running_loop
from asyncio import IncompleteReadError
from asyncio import open_connection
from asyncio import sleep
from asyncio import start_server

CHUNK_BYTES = 65_536
REFUSAL = b"HTTP/1.1 %d Refused\r\nContent-Length: 0\r\n\r\n"


class Harm:
    """What happens to the datagrams from one place to another.

    Attributes
    ----------
    delay : float
        Seconds by which each comes later.
    loss, repeats : float
        Share that is lost, and share that comes twice.
    is_cut : bool
        Whether none passes.
    """

    __slots__ = ("delay", "loss", "repeats", "is_cut")

    def __init__(self, delay=0.0, loss=0.0, repeats=0.0, is_cut=False):
        self.delay = delay
        self.loss = loss
        self.repeats = repeats
        self.is_cut = is_cut


class DatagramProxy:
    """Stands between balancers and agents, each under an address of its own.

    What a balancer sends to an agent's address here leaves by the address
    that stands for the balancer, so the answer comes back here too.

    Parameters
    ----------
    network : LoopbackNetwork
        Opens sockets.
    random : Random
        Decides what is lost or repeated.

    Attributes
    ----------
    harms : dict of (str, str) to list of Harm
        What is wrong between two places, sender first.
    """

    def __init__(self, network, random):
        self.network = network
        self.random = random
        self.doors = {}
        self.names = {}
        self.harms = {}

    def add(self, name, door, real):
        """Open the door of a place whose process is at a real address."""
        self.names[real] = name
        self.doors[name] = Door(self, self.network.open(door), name, real)

    def carry(self, source, door, data):
        """Pass a datagram on to the place behind a door."""
        sender = self.names.get(source)
        if sender is None:
            return
        delay = 0.0
        copies = 1
        for harm in self.harms.get((sender, door.name), ()):
            if harm.is_cut or self.random.random() < harm.loss:
                return
            delay += harm.delay
            copies += self.random.random() < harm.repeats
        out = self.doors[sender].socket
        for _ in range(copies):
            if delay:
                get_running_loop().call_later(delay, out.send, data, door.real)
            else:
                out.send(data, door.real)

    async def harm(self, sender, receiver, harm, seconds):
        """Harm one way between two places for some time."""
        harms = self.harms.setdefault((sender, receiver), [])
        harms.append(harm)
        await sleep(seconds)
        harms.remove(harm)


class Door:
    """The address under which one place is met."""

    def __init__(self, proxy, socket, name, real):
        self.proxy = proxy
        self.socket = socket
        self.name = name
        self.real = real
        socket.start(self)

    def handle_datagram(self, data, source):
        """Take a datagram for the place behind the door."""
        self.proxy.carry(source, self, data)


class Connection:
    """One connection of a process to the store.

    Attributes
    ----------
    down, up : StreamWriter
        Its ends: to the process and to the store.
    is_silent : bool
        Whether nothing passes any more, for good.
    """

    def __init__(self, down, up):
        self.down = down
        self.up = up
        self.is_silent = False


class StreamProxy:
    """Stands between one process and the store.

    Attributes
    ----------
    is_refusing : bool
        Whether new connections are reset at once.
    status : int or None
        Status with which every call is answered in place of the store.
    delay : float
        Seconds by which answers come later.
    is_silent : bool
        Whether new connections are silent for good.
    loses_answers : bool
        Whether a connection on which the store answers is silent from then on.
    """

    def __init__(self, port):
        self.upstream = port
        self.is_refusing = False
        self.status = None
        self.delay = 0.0
        self.is_silent = False
        self.loses_answers = False
        self.connections = set()
        self.tasks = set()

    async def listen(self):
        """Listen on a free port and return it."""
        self.server = await start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        """Join one connection with one to the store."""
        if self.is_refusing:
            writer.transport.abort()
            return
        if self.status is not None:
            await refuse(reader, writer, self.status)
            return
        up_reader, up_writer = await open_connection(
            "127.0.0.1", self.upstream
        )
        connection = Connection(writer, up_writer)
        connection.is_silent = self.is_silent
        self.connections.add(connection)
        self.tasks |= {
            create_task(self.ask(connection, reader)),
            create_task(self.answer(connection, up_reader)),
        }

    async def ask(self, connection, reader):
        """Pass calls on until the process closes the connection."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if not connection.is_silent:
                    connection.up.write(data)
                    await connection.up.drain()
        except (OSError, CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            connection.up.close()
            connection.down.close()

    async def answer(self, connection, reader):
        """Pass answers on until the store closes the connection.

        The process is not told of that on a silent one.
        """
        try:
            while data := await reader.read(CHUNK_BYTES):
                await sleep(self.delay)
                connection.is_silent |= self.loses_answers
                if not connection.is_silent:
                    connection.down.write(data)
                    await connection.down.drain()
        except (OSError, CancelledError):
            pass
        finally:
            if not connection.is_silent:
                connection.down.close()

    def silence(self):
        """Leave every open connection silent for good."""
        for connection in self.connections:
            connection.is_silent = True

    def reset(self):
        """Reset every open connection."""
        for connection in list(self.connections):
            connection.up.transport.abort()
            connection.down.transport.abort()

    def close(self):
        """Stop listening and end every connection."""
        self.server.close()
        self.reset()
        for task in self.tasks:
            task.cancel()


async def refuse(reader, writer, status):
    """Answer a call with a status."""
    try:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(REFUSAL % status)
        await writer.drain()
    except (OSError, IncompleteReadError):
        pass
    finally:
        writer.close()
