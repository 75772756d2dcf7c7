"""Relays packets between balancers, the agent's own host and callers."""

from collections import OrderedDict
from math import ceil

from chicorycart.address import Address
from chicorycart.configuration.model import hash_name
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.links.sockets import PacketSender
from chicorycart.operation.events import EventLog
from chicorycart.operation.metrics import Metrics
from chicorycart.packets.errors import PacketError
from chicorycart.packets.flow import describe_flow
from chicorycart.packets.segment import Segment
from chicorycart.packets.segment import SegmentCodec
from chicorycart.steering.cold_limit import ColdLimit
from chicorycart.steering.evacuation_notices import HostEvacuation
from chicorycart.steering.hosted import HostedFlow
from chicorycart.steering.hosted import HostedFlows
from chicorycart.steering.messages import decode_delivery
from chicorycart.steering.messages import DeliveryHeader
from chicorycart.steering.messages import encode_probe_answer
from chicorycart.steering.messages import encode_report
from chicorycart.steering.messages import FlowReport
from chicorycart.steering.returns import encode_other_service
from chicorycart.steering.returns import encode_return
from chicorycart.steering.returns import ReturnReason
from chicorycart.units import MILLISECONDS

NO_DOMAIN = ""


class Relay:
    """Relays callers' packets to the own host and its answers to callers.

    A packet that the host returns goes back to the balancer that sent it,
    which looks for another target.

    Parameters
    ----------
    service : str
        Service of the own host.
    host : Address
        Where the host receives packets.
    codec : SegmentCodec
        Decodes and encodes callers' packets.
    flows : HostedFlows
        Flows that pass through this agent.
    sender : Sender
        Sends to balancers.
    socket : PacketSender
        Sends to the host and to callers.
    events : EventLog
        Logs the events of flows.
    metrics : Metrics
        Where the metrics are registered.
    has_cold_limit : bool, optional
        Whether the settings limit the openings of cold hosts.
    evacuation : HostEvacuation, optional
        Whether the host's failure domain is evacuated.

    Attributes
    ----------
    awaiting_room : dict of Address to int
        Balancers to notify once the host has room, longest wait first, with
        the number of requests in progress below which each of them offers
        another flow.
    is_stopping : bool
        Whether the agent is stopping and accepts no new flows.
    cold : ColdLimit
        Openings that the host may get while it is cold.
    """

    __slots__ = (
        "service",
        "service_id",
        "host",
        "codec",
        "flows",
        "sender",
        "socket",
        "events",
        "evacuation",
        "packets",
        "accept_times",
        "answer_times",
        "awaiting_room",
        "is_stopping",
        "cold",
    )

    def __init__(
        self,
        service: str,
        host: Address,
        codec: SegmentCodec,
        flows: HostedFlows,
        sender: Sender,
        socket: PacketSender,
        events: EventLog,
        metrics: Metrics,
        has_cold_limit: bool = False,
        evacuation: HostEvacuation | None = None,
    ):
        self.service = service
        self.service_id = hash_name(service)
        self.host = host
        self.codec = codec
        self.flows = flows
        self.sender = sender
        self.socket = socket
        self.events = events
        self.evacuation = evacuation or HostEvacuation(NO_DOMAIN, flows.clock)
        self.packets = metrics.tally(
            "chicorycart_agent_packets",
            "Packets at an agent, by what became of them.",
            "outcome",
        )
        self.accept_times = metrics.timings(
            "chicorycart_agent_accept_seconds",
            "Time from an opening packet to the host's acceptance.",
        )
        self.answer_times = metrics.timings(
            "chicorycart_agent_answer_seconds",
            "Time from a request to the host's answer.",
        )
        self.awaiting_room: OrderedDict[Address, int] = OrderedDict()
        self.is_stopping = False
        self.cold = ColdLimit(flows.clock, has_cold_limit)

    def receive(self, body: bytes, source: Address) -> None:
        """Handle a caller's packet that a balancer delivers."""
        header, packet = decode_delivery(body)
        segment = self.codec.decode_inbound(packet)
        if header.service != self.service_id:
            self.decline_service(packet, source, segment, header.service)
            return
        reason = self.find_rejection_reason(header, segment)
        if reason is not None:
            self.return_packet(packet, source, reason, segment)
            if reason is ReturnReason.BUSY:
                self.awaiting_room[source] = header.limit
            return
        is_new = segment.is_opening and segment.flow not in self.flows.flows
        if segment.is_opening:
            self.flows.work.record_limit(header.limit)
        self.flows.record_inbound(segment, source)
        if header.asks_owner:
            self.flows.forget_informed(segment.flow)
        if segment.is_opening and self.is_full(header):
            # The balancer knows without a message that there is no room for
            # another flow; it is notified once there is.
            self.awaiting_room[source] = header.limit
        self.count("delivered")
        self.socket.send(packet, self.host)
        if is_new:
            self.cold.record_passed()

    def find_rejection_reason(
        self, header: DeliveryHeader, segment: Segment
    ) -> ReturnReason | None:
        """Return why a packet is rejected; None if it is accepted.

        Only opening packets are rejected for load, an evacuation, a stop, or
        a cold host.
        """
        self.cold.record_notice(header.cold_ms, header.cold_per_second)
        if not segment.is_opening or segment.flow in self.flows.flows:
            return None
        if self.is_stopping:
            return ReturnReason.STOPPING
        if self.evacuation.is_evacuated():
            return ReturnReason.EVACUATED
        if self.cold.find_wait_seconds() > 0:
            return ReturnReason.COLD
        return ReturnReason.BUSY if self.is_full(header) else None

    def is_full(self, header: DeliveryHeader) -> bool:
        """Tell whether the host's work has reached a balancer's limit.

        A limit of 0 means none.
        """
        return 0 < header.limit <= self.flows.count_work()

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Handle a packet from the own host."""
        self.cold.record_contact(self.flows.measure_silence())
        self.flows.record_host_contact()
        try:
            segment = self.codec.decode_outbound(data)
        except PacketError as error:
            self.count("malformed")
            self.events.record("host_malformed", "reason={!r}", str(error))
            return
        if segment.is_returned:
            self.handle_returned(segment)
            return
        self.count("answered")
        self.socket.send(data, self.codec.find_caller(segment.flow))
        state = self.flows.find(segment.flow)
        if state is None:
            return
        asked_at = state.requested_at
        self.flows.record_outbound(state, segment)
        if asked_at is not None:
            self.record_latency(segment, state.last_active_at - asked_at)
        if segment.is_accepting or state.informed_balancer != state.balancer:
            self.send_report(segment, state)
        if segment.is_reset:
            self.events.record(
                "host_reset",
                "flow={} in_progress={} flows={}",
                describe_flow(segment.flow),
                self.flows.in_progress,
                len(self.flows),
            )
        if segment.is_closing:
            self.flows.drop(segment.flow)
        self.notify_room()

    def notify_room(self) -> None:
        """Notify as many balancers as the host has room for more flows.

        These are balancers whose last flow took the last place or was
        rejected as busy, longest wait first. Each of them offers one flow and
        continues according to the answer.
        """
        offers = 0
        while self.awaiting_room:
            balancer, limit = next(iter(self.awaiting_room.items()))
            if self.flows.count_work() + offers >= limit:
                return
            del self.awaiting_room[balancer]
            offers += 1
            answer = encode_probe_answer(self.flows.describe_load())
            self.sender.send(MessageKind.PROBE_ANSWER, answer, balancer)

    def record_latency(self, segment: Segment, seconds: float) -> None:
        """Add the time that the host needed to the histograms."""
        if segment.is_accepting:
            self.accept_times.observe(seconds)
        elif segment.payload_bytes:
            self.answer_times.observe(seconds)

    def send_report(self, segment: Segment, state: HostedFlow) -> None:
        """Report to the balancer of a flow that the host holds it."""
        state.informed_balancer = state.balancer
        report = FlowReport(
            segment.flow,
            segment.is_accepting,
            segment.sequence,
            self.flows.describe_load(),
        )
        self.sender.send(
            MessageKind.FLOW_REPORT, encode_report(report), state.balancer
        )
        self.events.record(
            "flow_accepted" if segment.is_accepting else "flow_held",
            "flow={} balancer={} load={}/{}",
            describe_flow(segment.flow),
            state.balancer,
            report.load.in_progress,
            report.load.flows,
        )

    def handle_returned(self, segment: Segment) -> None:
        """Return a packet that the host rejected to its balancer."""
        state = self.flows.drop(segment.flow)
        if state is None:
            self.count("returned late")
            return
        reason = (
            ReturnReason.REFUSED
            if segment.is_opening
            else ReturnReason.NOT_HELD
        )
        self.return_packet(
            self.codec.restore(segment), state.balancer, reason, segment
        )

    def decline_service(
        self, packet: bytes, balancer: Address, segment: Segment, asked: int
    ) -> None:
        """Return a packet of another service than the host's.

        The host may hold its flow all the same, so the balancer is told the
        service under which to ask.

        Parameters
        ----------
        packet : bytes
            The packet as it came.
        balancer : Address
            Balancer that sent it.
        segment : Segment
            The packet.
        asked : int
            Hash of the name of the service in the delivery.
        """
        load = self.flows.describe_load()
        body = encode_other_service(load, packet, self.service_id, asked)
        self.send_return(body, balancer, ReturnReason.OTHER_SERVICE, segment)

    def return_packet(
        self,
        packet: bytes,
        balancer: Address,
        reason: ReturnReason,
        segment: Segment,
    ) -> None:
        """Return a packet to a balancer with the reason."""
        load = self.flows.describe_load()
        retry_ms = 0
        if reason is ReturnReason.COLD:
            retry_ms = ceil(self.cold.find_wait_seconds() * MILLISECONDS)
        era, revision = (
            self.evacuation.find_position()
            if reason is ReturnReason.EVACUATED
            else (0, 0)
        )
        body = encode_return(reason, load, packet, retry_ms, era, revision)
        self.send_return(body, balancer, reason, segment)

    def send_return(
        self,
        body: bytes,
        balancer: Address,
        reason: ReturnReason,
        segment: Segment,
    ) -> None:
        """Send, count and log a returned packet."""
        self.count(reason)
        self.sender.send(MessageKind.RETURN, body, balancer)
        self.events.record(
            "packet_returned",
            "flow={} balancer={} reason={} opening={} load={}/{}",
            describe_flow(segment.flow),
            balancer,
            reason,
            segment.is_opening,
            self.flows.in_progress,
            len(self.flows),
        )

    def count(self, outcome: str) -> None:
        """Count a packet by its outcome."""
        self.packets.labels(outcome).inc()
