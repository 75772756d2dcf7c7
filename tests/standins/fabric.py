"""Stands in for the fabric: sprays callers' packets over the balancers."""

from asyncio import AbstractServer
from asyncio import get_running_loop
from asyncio import start_server
from asyncio import StreamReader
from asyncio import StreamWriter
from random import Random

import dpkt

from chicorycart.address import Address
from chicorycart.links.sockets import DatagramSocket
from tests.standins.relay import pump
from tests.standins.relay import Relay
from tests.standins.segments import Connection


class Fabric:
    """Takes real connections at the entries and sprays their segments.

    Parameters
    ----------
    address : Address
        Where hosts send their answers.
    random : Random
        Chooses a balancer for each packet, and which ones are lost.

    Attributes
    ----------
    balancers : list of Address
        Where packets are sent, each to one at random.
    loss, reorder : float
        Share of packets that are lost or delayed.
    broken : int
        Connections that were reset from the other end.
    """

    def __init__(self, address: Address, random: Random):
        self.socket = DatagramSocket(address)
        self.address = self.socket.address
        self.random = random
        self.balancers: list[Address] = []
        self.loss = 0.0
        self.reorder = 0.0
        self.reorder_seconds = 0.02
        self.broken = 0
        self.connections: dict[tuple[Address, Address], Connection] = {}
        self.servers: list[AbstractServer] = []

    def start(self) -> None:
        """Begin to take answers."""
        self.socket.start(self)

    async def open_entry(self, entry: Address) -> None:
        """Take callers' connections at an entry."""

        async def serve(reader: StreamReader, writer: StreamWriter) -> None:
            await self.serve(entry, reader, writer)

        self.servers.append(await start_server(serve, *entry))

    async def serve(
        self, entry: Address, reader: StreamReader, writer: StreamWriter
    ) -> None:
        """Play one caller's connection."""
        caller = Address(*writer.get_extra_info("peername"))
        relay = Relay()
        relay.attach(writer)
        connection = Connection(caller, entry, self, relay, self.random)
        self.connections[caller, entry] = connection
        connection.open()
        await connection.opened.wait()
        await pump(reader, connection)
        if relay.was_reset:
            self.broken += 1

    def carry(self, packet: bytes) -> None:
        """Send one packet to a balancer at random."""
        if not self.balancers or self.random.random() < self.loss:
            return
        balancer = self.random.choice(self.balancers)
        if self.random.random() < self.reorder:
            get_running_loop().call_later(
                self.reorder_seconds, self.socket.send, packet, balancer
            )
        else:
            self.socket.send(packet, balancer)

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Take one packet of an answer."""
        ip = dpkt.ip.IP(data)
        segment = ip.data
        caller = Address(".".join(map(str, ip.dst)), segment.dport)
        entry = Address(".".join(map(str, ip.src)), segment.sport)
        connection = self.connections.get((caller, entry))
        if connection is None:
            return
        connection.handle_segment(segment)
        if connection.closed:
            self.connections.pop((caller, entry), None)

    def close(self) -> None:
        """Stop taking connections and packets."""
        for server in self.servers:
            server.close()
        for connection in list(self.connections.values()):
            connection.close()
        self.socket.close()
