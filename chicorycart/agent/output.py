"""Where an agent sends packets, with the log and the counters of it."""

from typing import Protocol

from prometheus_client import CollectorRegistry
from prometheus_client import Counter

from chicorycart.address import unpack_address
from chicorycart.defaults import MAX_HOPS
from chicorycart.flows.service_agents import ServiceAgents
from chicorycart.flows.table import FlowTable
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.operation.decisions import DecisionLog
from chicorycart.packets.flow import hash_flow
from chicorycart.packets.forward import encode_forward
from chicorycart.packets.forward import Forward
from chicorycart.packets.ipv4 import Packet


class Host(Protocol):
    """The agent's own instance."""

    def deliver(self, packet: bytes) -> None:
        """Hand an IPv4 packet to the kernel of the instance."""


class PacketOutput:
    """Delivers, sends on or drops packets at one agent.

    Parameters
    ----------
    host : Host
        Where owned packets go.
    table : FlowTable
        Owned flows.
    service_agents : ServiceAgents
        The only agents that packets are sent to.
    sender : Sender
        Sends to other agents.
    decisions : DecisionLog
        Logs where packets went.
    registry : CollectorRegistry
        Where the counters are registered.
    """

    __slots__ = (
        "host",
        "table",
        "service_agents",
        "sender",
        "decisions",
        "packets",
        "counters",
    )

    def __init__(
        self,
        host: Host,
        table: FlowTable,
        service_agents: ServiceAgents,
        sender: Sender,
        decisions: DecisionLog,
        registry: CollectorRegistry,
    ):
        self.host = host
        self.table = table
        self.service_agents = service_agents
        self.sender = sender
        self.decisions = decisions
        self.packets = Counter(
            "chicorycart_agent_packets",
            "Forwarded packets, by what became of them.",
            ["outcome"],
            registry=registry,
        )
        self.counters: dict[str, Counter] = {}

    def keep(self, forward: Forward, packet: Packet, reason: str) -> None:
        """Own the flow and deliver its packet."""
        self.table.touch(packet.flow, packet.is_closing, packet.is_opening)
        self.host.deliver(forward.packet)
        self.count(reason)
        self.record(forward, packet, "deliver", reason)

    def reset(self, forward: Forward, packet: Packet) -> None:
        """End a flow that nobody owns.

        The kernel of the own host knows no such connection and resets the
        caller's.
        """
        self.host.deliver(forward.packet)
        self.count("no owner")
        self.record(forward, packet, "reset", "no owner found")

    def drop(self, forward: Forward, packet: Packet, reason: str) -> None:
        """Drop a packet; the caller sends it again."""
        self.count(reason)
        self.record(forward, packet, "drop", reason)

    def send_to(
        self, forward: Forward, packet: Packet, agent: int, reason: str
    ) -> None:
        """Send the packet to a known agent, unless it has gone too far."""
        if not self.service_agents.is_known(agent):
            self.drop(forward, packet, "unknown agent")
            return
        if forward.hops >= MAX_HOPS:
            self.drop(forward, packet, "too many hops")
            return
        forward.hops += 1
        self.sender.send(
            MessageKind.FORWARD, encode_forward(forward), unpack_address(agent)
        )
        self.count(reason)
        self.record(forward, packet, f"{agent:x}", reason)

    def count(self, outcome: str) -> None:
        """Count what became of a packet."""
        counter = self.counters.get(outcome)
        if counter is None:
            counter = self.counters[outcome] = self.packets.labels(outcome)
        counter.inc()

    def record(
        self, forward: Forward, packet: Packet, choice: str, reason: str
    ) -> None:
        """Log the decision on a packet."""
        flow_hash = hash_flow(packet.flow)
        if self.decisions.covers(flow_hash):
            self.decisions.record(
                packet.flow,
                flow_hash,
                forward.version,
                forward.chain,
                choice,
                reason,
            )
