"""Decides whether a packet is this agent's, and passes on the others."""

from typing import Protocol

from chicorycart.address import Address
from chicorycart.agent.opening import OpeningPlacement
from chicorycart.agent.output import PacketOutput
from chicorycart.agent.search import OwnerSearch
from chicorycart.flows.service_agents import ServiceAgents
from chicorycart.flows.table import FlowTable
from chicorycart.packets.errors import PacketError
from chicorycart.packets.flow import is_udp
from chicorycart.packets.forward import decode_forward
from chicorycart.packets.forward import Forward
from chicorycart.packets.ipv4 import Packet
from chicorycart.packets.ipv4 import parse_packet


class VersionWatcher(Protocol):
    """Something that fetches versions that were seen."""

    def notice_version(self, version: int) -> None:
        """Learn that a packet carried this version."""


class Delivery:
    """Takes forwarded packets at one agent.

    Parameters
    ----------
    service : int
        Identifier of the service that the agent belongs to.
    service_agents : ServiceAgents
        The agents and the entries of the service.
    table : FlowTable
        Owned flows.
    output : PacketOutput
        Delivers, sends on or drops packets.
    openings : OpeningPlacement
        Places packets that may open a flow.
    search : OwnerSearch
        Passes on packets of flows that others own.
    versions : VersionWatcher or None
        Told of versions later than the one in force here.
    """

    __slots__ = (
        "service",
        "service_agents",
        "table",
        "output",
        "openings",
        "search",
        "versions",
    )

    def __init__(
        self,
        service: int,
        service_agents: ServiceAgents,
        table: FlowTable,
        output: PacketOutput,
        openings: OpeningPlacement,
        search: OwnerSearch,
        versions: VersionWatcher | None = None,
    ):
        self.service = service
        self.service_agents = service_agents
        self.table = table
        self.output = output
        self.openings = openings
        self.search = search
        self.versions = versions

    def receive(self, body: bytes, source: Address) -> None:
        """Take one forwarded packet.

        Raises
        ------
        PacketError
            If the message or the packet in it cannot be read.
        """
        try:
            forward = decode_forward(body)
            packet = parse_packet(forward.packet)
        except PacketError:
            self.output.count("malformed")
            raise
        if forward.service != self.service:
            self.output.count("other service")
        elif not self.service_agents.serves(packet.entry):
            self.output.count("other entry")
        else:
            self.route(forward, packet, source)

    def route(self, forward: Forward, packet: Packet, source: Address) -> None:
        """Deliver a packet of an owned flow; seek the owner of others."""
        if self.versions and forward.version > self.service_agents.version:
            self.versions.notice_version(forward.version)
        if self.table.owns(packet.flow):
            self.output.keep(forward, packet, "owner")
        elif packet.is_opening or is_udp(packet.flow):
            self.openings.place(forward, packet, source)
        else:
            self.search.forward_to_next(forward, packet)
