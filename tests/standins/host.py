"""Stands in for the kernel of a target's instance."""

from asyncio import create_task
from asyncio import open_connection
from random import Random

import dpkt
from dpkt.tcp import TH_ACK
from dpkt.tcp import TH_RST
from dpkt.tcp import TH_SYN

from chicorycart.address import Address
from chicorycart.links.sockets import DatagramSocket
from tests.standins.relay import pump
from tests.standins.relay import Relay
from tests.standins.segments import build_packet
from tests.standins.segments import Connection


class Host:
    """Unpacks IP in UDP and plays the segments into real connections.

    Parameters
    ----------
    address : Address
        The decapsulation port.
    listener : Address
        Where real connections go: the gateway, or the target itself.
    fabric : Address
        Where answers are sent, straight to the caller.
    random : Random
        Chooses sequence numbers.

    Attributes
    ----------
    resets : int
        Segments answered with a reset, since no connection was known.
    """

    def __init__(
        self,
        address: Address,
        listener: Address,
        fabric: Address,
        random: Random,
    ):
        self.socket = DatagramSocket(address)
        self.listener = listener
        self.fabric = fabric
        self.random = random
        self.resets = 0
        self.connections: dict[tuple[Address, Address], Connection] = {}
        self.tasks = set()

    def start(self) -> None:
        """Begin to take packets."""
        self.socket.start(self)

    def carry(self, packet: bytes) -> None:
        """Send one packet of an answer to the caller."""
        self.socket.send(packet, self.fabric)

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Take one packet from the agent."""
        ip = dpkt.ip.IP(data)
        segment = ip.data
        caller = Address(".".join(map(str, ip.src)), segment.sport)
        entry = Address(".".join(map(str, ip.dst)), segment.dport)
        connection = self.connections.get((caller, entry))
        is_opening = segment.flags & (TH_SYN | TH_ACK) == TH_SYN
        if connection is None and is_opening:
            connection = self.accept(caller, entry)
        if connection is None:
            self.refuse(caller, entry, segment)
            return
        connection.handle_segment(segment)
        if connection.closed:
            self.connections.pop((caller, entry), None)

    def accept(self, caller: Address, entry: Address) -> Connection:
        """Begin a connection and play it into a real one."""
        relay = Relay()
        connection = Connection(entry, caller, self, relay, self.random)
        self.connections[caller, entry] = connection
        task = create_task(self.play(relay, connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return connection

    async def play(self, relay: Relay, connection: Connection) -> None:
        """Join the real connection to that of segments."""
        try:
            reader, writer = await open_connection(*self.listener)
        except OSError:
            connection.reset()
            return
        relay.attach(writer)
        await connection.opened.wait()
        await pump(reader, connection)

    def refuse(
        self, caller: Address, entry: Address, segment: dpkt.tcp.TCP
    ) -> None:
        """Reset a connection that this host does not know."""
        if segment.flags & TH_RST:
            return
        self.resets += 1
        reset = dpkt.tcp.TCP(seq=segment.ack, flags=TH_RST)
        self.carry(build_packet(entry, caller, reset))

    def close(self) -> None:
        """Stop taking packets and break every connection silently."""
        for task in list(self.tasks):
            task.cancel()
        for connection in list(self.connections.values()):
            connection.close()
        self.socket.close()
