"""Sends callers' packets to agents and resets to callers."""

from collections.abc import Collection

from chicorycart.address import Address
from chicorycart.configuration.model import hash_name
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.links.sockets import PacketSender
from chicorycart.operation.events import EventLog
from chicorycart.operation.metrics import Metrics
from chicorycart.packets.flow import describe_flow
from chicorycart.packets.segment import Segment
from chicorycart.packets.segment import SegmentCodec
from chicorycart.steering.entry_services import find_service
from chicorycart.steering.flows import FlowCache
from chicorycart.steering.flows import SteeredFlow
from chicorycart.steering.follow import StoreFollower
from chicorycart.steering.messages import encode_delivery_header
from chicorycart.steering.messages import NO_COLD_TIME

NO_LIMIT = 0


class SteererOutput:
    """Sends packets for a balancer's components; counts and logs them.

    Parameters
    ----------
    codec : SegmentCodec
        Builds resets.
    follower : StoreFollower
        Version and revision of the data in force, for log lines.
    flows : FlowCache
        Cache from which flows are dropped when they are reset.
    sender : Sender
        Sends to agents.
    callers : PacketSender
        Sends to callers.
    events : EventLog
        Logs decisions on flows.
    metrics : Metrics
        Registry of the packet counters.
    """

    __slots__ = (
        "codec",
        "follower",
        "flows",
        "sender",
        "callers",
        "events",
        "packets",
    )

    def __init__(
        self,
        codec: SegmentCodec,
        follower: StoreFollower,
        flows: FlowCache,
        sender: Sender,
        callers: PacketSender,
        events: EventLog,
        metrics: Metrics,
    ):
        self.codec = codec
        self.follower = follower
        self.flows = flows
        self.sender = sender
        self.callers = callers
        self.events = events
        self.packets = metrics.tally(
            "chicorycart_balancer_packets",
            "Packets of callers, by what became of them.",
            "outcome",
        )

    def deliver(
        self,
        state: SteeredFlow,
        packet: bytes,
        agents: Collection[Address],
        limit: int = NO_LIMIT,
        cold: tuple[int, int] = NO_COLD_TIME,
    ) -> None:
        """Send a packet of a flow to agents of the flow's service.

        Parameters
        ----------
        state : SteeredFlow
            The flow.
        packet : bytes
            The packet as the caller sent it.
        agents : collection of Address
            Agents to send it to.
        limit : int, optional
            Requests in progress from which the agent declines an opening
            packet; 0 for no limit.
        cold : tuple of int, optional
            What an opening packet tells of a cold target
            (`ColdTargets.find_notice`).
        """
        header = encode_delivery_header(
            hash_name(state.service), limit, cold=cold
        )
        for agent in agents:
            self.sender.send(MessageKind.DELIVERY, header + packet, agent)

    def ask(
        self,
        state: SteeredFlow,
        packet: bytes,
        agents: Collection[Address],
        asks_owner: bool = False,
    ) -> None:
        """Send a packet of an open flow to possible owners of any service.

        An agent declines packets for another service than its own, so each
        one is sent the hash of its own service.

        Parameters
        ----------
        state : SteeredFlow
            The flow.
        packet : bytes
            The packet as the caller sent it.
        agents : collection of Address
            Agents to send it to.
        asks_owner : bool, optional
            Whether the agent is to report if its host holds the flow.
        """
        encoded_for = None
        header = b""
        for agent in agents:
            service = (
                find_service(self.follower.directory, agent) or state.service
            )
            if service != encoded_for:
                header = encode_delivery_header(
                    hash_name(service), NO_LIMIT, asks_owner
                )
                encoded_for = service
            self.sender.send(MessageKind.DELIVERY, header + packet, agent)

    def reset_flow(self, segment: Segment, reason: str) -> None:
        """Drop a flow and send a reset to its caller."""
        self.flows.drop(segment.flow)
        self.count("reset")
        self.record(
            "flow_reset",
            segment.flow,
            "reason={!r} opening={} copies={}",
            reason,
            segment.is_opening,
            segment.copies if segment.is_opening else 0,
        )
        caller = self.codec.find_caller(segment.flow)
        self.callers.send(self.codec.build_reset(segment), caller)

    def record(self, kind: str, flow: bytes, text: str, *values) -> None:
        """Log a decision on a flow and the configuration it is based on."""
        self.events.record(
            kind,
            "flow={} " + text + " version={} revision={} heard={:.2f}",
            describe_flow(flow),
            *values,
            self.follower.routes.current.version,
            self.follower.revision,
            self.follower.seconds_since_contact,
        )

    def count(self, outcome: str) -> None:
        """Count a packet by its outcome."""
        self.packets.labels(outcome).inc()


def join_agents(agents: Collection[Address]) -> str:
    """Return addresses as a comma-separated list for a log line."""
    return ",".join(map(str, agents))
