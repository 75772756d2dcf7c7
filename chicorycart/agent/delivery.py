"""Decides whether a packet is this agent's, and passes on the others."""

from typing import Protocol

from prometheus_client import CollectorRegistry
from prometheus_client import Counter

from chicorycart.address import Address
from chicorycart.address import unpack_address
from chicorycart.defaults import MAX_HOPS
from chicorycart.flows.openings import OpeningMemory
from chicorycart.flows.table import FlowTable
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.operation.decisions import DecisionLog
from chicorycart.packets.forward import decode_forward
from chicorycart.packets.forward import encode_forward
from chicorycart.packets.forward import Forward
from chicorycart.packets.ipv4 import hash_flow
from chicorycart.packets.ipv4 import Packet
from chicorycart.packets.ipv4 import parse_packet


class Host(Protocol):
    """The agent's own instance."""

    def deliver(self, packet: bytes) -> None:
        """Hand an IPv4 packet to the kernel of the instance."""


class Acceptance(Protocol):
    """Decides whether this agent takes an opening flow."""

    def accepts(self, forward: Forward) -> bool:
        """Tell whether to keep the flow rather than pass it on."""


class Delivery:
    """Takes forwarded packets at one agent.

    Parameters
    ----------
    service : int
        Identifier of the service that the agent belongs to.
    host : Host
        Where owned packets go.
    table : FlowTable
        Owned flows.
    openings : OpeningMemory
        Opening flows that were passed on.
    acceptance : Acceptance
        Decides on opening flows.
    sender : Sender
        Sends to other agents.
    decisions : DecisionLog
        Logs where packets went.
    registry : CollectorRegistry
        Where the counters are registered.
    """

    __slots__ = (
        "service",
        "host",
        "table",
        "openings",
        "acceptance",
        "sender",
        "decisions",
        "packets",
    )

    def __init__(
        self,
        service: int,
        host: Host,
        table: FlowTable,
        openings: OpeningMemory,
        acceptance: Acceptance,
        sender: Sender,
        decisions: DecisionLog,
        registry: CollectorRegistry,
    ):
        self.service = service
        self.host = host
        self.table = table
        self.openings = openings
        self.acceptance = acceptance
        self.sender = sender
        self.decisions = decisions
        self.packets = Counter(
            "chicorycart_agent_packets",
            "Forwarded packets, by what became of them.",
            ["outcome"],
            registry=registry,
        )

    def receive(self, body: bytes, source: Address) -> None:
        """Take one forwarded packet.

        Raises
        ------
        PacketError
            If the message or the packet in it cannot be read.
        """
        forward = decode_forward(body)
        packet = parse_packet(forward.packet)
        if forward.service != self.service:
            self.packets.labels("other service").inc()
            return
        if self.table.owns(packet.flow):
            self.keep(forward, packet, "owner")
        elif packet.is_opening:
            self.place(forward, packet)
        else:
            self.pass_on(forward, packet, "not owner")

    def place(self, forward: Forward, packet: Packet) -> None:
        """Decide on a packet that opens a flow."""
        sent_to = self.openings.recall(packet.flow)
        if sent_to in forward.chain:
            forward.placed = True
            self.send_to(forward, packet, sent_to, "placed before")
        elif forward.placed or self.acceptance.accepts(forward):
            self.keep(forward, packet, "accepted")
        elif forward.position + 1 < len(forward.chain):
            self.openings.remember(
                packet.flow, forward.chain[forward.position + 1]
            )
            self.pass_on(forward, packet, "not accepted")
        else:
            self.keep(forward, packet, "last of chain")

    def keep(self, forward: Forward, packet: Packet, reason: str) -> None:
        """Own the flow and deliver its packet."""
        self.table.touch(packet.flow, packet.is_closing)
        self.host.deliver(forward.packet)
        self.packets.labels(reason).inc()
        self.record(forward, packet, "deliver", reason)

    def pass_on(self, forward: Forward, packet: Packet, reason: str) -> None:
        """Send the packet to the next agent of its chain.

        At the end of the chain the host gets it: its kernel knows no such
        connection and resets the caller's.
        """
        if forward.position + 1 >= len(forward.chain):
            self.host.deliver(forward.packet)
            self.packets.labels("no owner").inc()
            self.record(forward, packet, "reset", "no owner found")
            return
        forward.position += 1
        next_agent = forward.chain[forward.position]
        self.send_to(forward, packet, next_agent, reason)

    def send_to(
        self, forward: Forward, packet: Packet, agent: int, reason: str
    ) -> None:
        """Send the packet to an agent, unless it has gone too far."""
        if forward.hops >= MAX_HOPS:
            self.packets.labels("too many hops").inc()
            self.record(forward, packet, "drop", "too many hops")
            return
        forward.hops += 1
        self.sender.send(
            MessageKind.FORWARD, encode_forward(forward), unpack_address(agent)
        )
        self.packets.labels(reason).inc()
        self.record(forward, packet, f"{agent:x}", reason)

    def record(
        self, forward: Forward, packet: Packet, choice: str, reason: str
    ) -> None:
        """Log the decision on a packet."""
        self.decisions.record(
            packet.flow,
            hash_flow(packet.flow),
            forward.version,
            forward.chain,
            choice,
            reason,
        )
