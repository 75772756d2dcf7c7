"""Passes packets between balancers, an agent's own host and callers."""

from collections import OrderedDict

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
from chicorycart.steering.hosted import HostedFlow
from chicorycart.steering.hosted import HostedFlows
from chicorycart.steering.messages import decode_delivery
from chicorycart.steering.messages import DeliveryHeader
from chicorycart.steering.messages import encode_probe_answer
from chicorycart.steering.messages import encode_report
from chicorycart.steering.messages import encode_return
from chicorycart.steering.messages import FlowReport
from chicorycart.steering.messages import ReturnReason


class Relay:
    """Hands callers' packets to the own host and its packets to callers.

    What the host gives back goes to the balancer that sent it, which looks
    for another target.

    Parameters
    ----------
    service : str
        Service of the own host.
    host : Address
        Where the host takes packets.
    codec : SegmentCodec
        Reads and writes callers' packets.
    flows : HostedFlows
        Flows that pass here.
    sender : Sender
        Sends to balancers.
    socket : PacketSender
        Sends to the host and to callers.
    events : EventLog
        Logs what becomes of flows.
    metrics : Metrics
        Where the counters are kept.

    Attributes
    ----------
    waiting : dict of Address to int
        Balancers to tell of room, by the requests in progress below which
        they offer another flow.
    is_stopping : bool
        Whether no more flows are taken.
    """

    __slots__ = (
        "service",
        "identifier",
        "host",
        "codec",
        "flows",
        "sender",
        "socket",
        "events",
        "packets",
        "accept_times",
        "answer_times",
        "waiting",
        "is_stopping",
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
    ):
        self.service = service
        self.identifier = hash_name(service)
        self.host = host
        self.codec = codec
        self.flows = flows
        self.sender = sender
        self.socket = socket
        self.events = events
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
        self.waiting: OrderedDict[Address, int] = OrderedDict()
        self.is_stopping = False

    def receive(self, body: bytes, source: Address) -> None:
        """Take a caller's packet from a balancer."""
        header, packet = decode_delivery(body)
        segment = self.codec.decode_inbound(packet)
        reason = self.find_objection(header, segment)
        if reason is not None:
            self.return_packet(packet, source, reason, segment)
            if reason is ReturnReason.BUSY:
                self.waiting[source] = header.limit
            return
        self.flows.record_inbound(segment, source)
        if segment.is_opening and self.is_full(header):
            # The balancer knows by itself that there is no room for another.
            self.waiting[source] = header.limit
        self.count("delivered")
        self.socket.send(packet, self.host)

    def find_objection(
        self, header: DeliveryHeader, segment: Segment
    ) -> ReturnReason | None:
        """Return why an opening packet is not taken, if it is not."""
        if header.service != self.identifier:
            return ReturnReason.OTHER_SERVICE
        if not segment.is_opening or segment.flow in self.flows.flows:
            return None
        if self.is_stopping:
            return ReturnReason.STOPPING
        return ReturnReason.BUSY if self.is_full(header) else None

    def is_full(self, header: DeliveryHeader) -> bool:
        """Tell whether the host has as much to do as a balancer allows."""
        return 0 < header.limit <= self.flows.count_work()

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Take a packet from the own host."""
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
            self.measure(segment, state.last_active_at - asked_at)
        if segment.is_accepting or state.informed_balancer != state.balancer:
            self.report(segment, state)
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
        self.tell_room()

    def tell_room(self) -> None:
        """Tell as many balancers as the host has room for more flows.

        Those are told whose last flow took the last place or was declined,
        the one that waits for longest first; each offers one flow and goes
        on from the answer.
        """
        offers = 0
        while self.waiting:
            balancer, limit = next(iter(self.waiting.items()))
            if self.flows.count_work() + offers >= limit:
                return
            del self.waiting[balancer]
            offers += 1
            answer = encode_probe_answer(self.flows.describe_load())
            self.sender.send(MessageKind.PROBE_ANSWER, answer, balancer)

    def measure(self, segment: Segment, seconds: float) -> None:
        """Take the time that the host needed into the histograms."""
        if segment.is_accepting:
            self.accept_times.observe(seconds)
        elif segment.payload_bytes:
            self.answer_times.observe(seconds)

    def report(self, segment: Segment, state: HostedFlow) -> None:
        """Tell the balancer of a flow that the host holds it."""
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
        """Send what the host gave back to the balancer it came from."""
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

    def return_packet(
        self,
        packet: bytes,
        balancer: Address,
        reason: ReturnReason,
        segment: Segment,
    ) -> None:
        """Return a packet to a balancer and say why."""
        load = self.flows.describe_load()
        self.count(reason)
        self.sender.send(
            MessageKind.RETURN, encode_return(reason, load, packet), balancer
        )
        self.events.record(
            "packet_returned",
            "flow={} balancer={} reason={} opening={} load={}/{}",
            describe_flow(segment.flow),
            balancer,
            reason,
            segment.is_opening,
            load.in_progress,
            load.flows,
        )

    def count(self, outcome: str) -> None:
        """Count what became of a packet."""
        self.packets.labels(outcome).inc()
