"""Routes callers' packets to the agents whose hosts hold their flows."""

from collections import Counter

from chicorycart.address import Address
from chicorycart.packets.errors import PacketError
from chicorycart.packets.segment import Segment
from chicorycart.packets.segment import SegmentCodec
from chicorycart.steering.evacuation_notices import EvacuationNotifier
from chicorycart.steering.evacuation_state import Transition
from chicorycart.steering.flows import SteeredFlow
from chicorycart.steering.health import HealthTable
from chicorycart.steering.late_openings import LateOpenings
from chicorycart.steering.limits import RESUME_BATCH_PER_SERVICE
from chicorycart.steering.messages import decode_probe_answer
from chicorycart.steering.messages import decode_report
from chicorycart.steering.output import SteererOutput
from chicorycart.steering.parked import ParkedPackets
from chicorycart.steering.placing import FlowPlacer
from chicorycart.steering.returns import decode_return
from chicorycart.steering.returns import ReturnHeader
from chicorycart.steering.returns import ReturnReason
from chicorycart.steering.searching import OwnerSearch
from chicorycart.steering.served_services import ServedServices


class Steerer:
    """Dispatches callers' packets from the fabric and agents' messages.

    Parameters
    ----------
    codec : SegmentCodec
        Decodes callers' packets.
    placer : FlowPlacer
        Places opening flows.
    search : OwnerSearch
        Finds the owners of open flows.
    health : HealthTable
        Load and suspension of each target.
    parked : ParkedPackets
        Packets that wait for suspended or full targets.
    output : SteererOutput
        Sends, counts and logs packets.
    notifier : EvacuationNotifier, optional
        Handles what agents decline for an evacuation.
    """

    __slots__ = (
        "codec",
        "placer",
        "search",
        "health",
        "parked",
        "output",
        "notifier",
        "served",
        "late",
    )

    def __init__(
        self,
        codec: SegmentCodec,
        placer: FlowPlacer,
        search: OwnerSearch,
        health: HealthTable,
        parked: ParkedPackets,
        output: SteererOutput,
        notifier: EvacuationNotifier | None = None,
    ):
        self.codec = codec
        self.placer = placer
        self.search = search
        self.health = health
        self.parked = parked
        self.output = output
        self.notifier = notifier
        self.served = ServedServices(self.search.directory)
        self.late = LateOpenings(placer.choice, health)

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Handle one caller's packet from the fabric."""
        try:
            segment = self.codec.decode_inbound(data)
        except PacketError:
            self.output.count("malformed")
            return
        if segment.is_opening:
            self.placer.open(segment)
            return
        state = self.output.flows.find(segment.flow)
        if state is None or state.agent is None:
            # The flow is unknown, or its opening packet is parked here and
            # another balancer placed a retransmission of it.
            state = self.search.begin(segment)
            if state is None:
                return
        elif not state.is_open:
            self.search.forget(segment.flow)
            if not self.placer.complete_opening(state, segment):
                self.search.widen(
                    state, segment, "the caller took another host"
                )
        self.search.forward(state, segment)

    def handle_report(self, body: bytes, source: Address) -> None:
        """Handle an agent's report that its host holds a flow."""
        report = decode_report(body)
        self.search.directory.vanished.record_answer(source)
        self.health.record_answer(source, report.load)
        state = self.output.flows.find(report.flow)
        if state is None:
            return
        if report.is_accepted:
            self.placer.handle_acceptance(state, report, source)
            if state.is_open and state.is_confirmed:
                self.search.release(state)
            self.offer_next(source)
            return
        if state.agent != source or not state.is_confirmed:
            self.output.record(
                "flow_found",
                state.flow,
                "agent={} missed={}",
                source,
                len(state.non_owners),
            )
        self.search.handle_found(state, source)

    def handle_load(self, body: bytes, source: Address) -> None:
        """Handle a load message of an agent that may accept a flow."""
        self.health.record_answer(source, decode_probe_answer(body))
        self.offer_next(source)

    def handle_return(self, body: bytes, source: Address) -> None:
        """Handle a packet that an agent returned undelivered."""
        header, packet = decode_return(body)
        self.search.directory.vanished.record_answer(source)
        segment = self.codec.decode_inbound(packet)
        self.output.count(f"returned {header.reason}")
        self.update_health(header, source)
        if header.reason is ReturnReason.EVACUATED and self.notifier:
            self.notifier.handle_return(header, source)
        state = self.output.flows.find(segment.flow)
        if state is None:
            return
        if segment.is_opening:
            self.placer.handle_return(state, segment, header.reason, source)
        elif header.service and self.served.correct(source, header):
            self.search.ask_again(state, segment, source)
        else:
            self.search.handle_return(state, segment, source)

    def update_health(self, header: ReturnHeader, agent: Address) -> None:
        """Update a target's health by the reason of a return."""
        if header.reason is ReturnReason.STOPPING:
            self.health.suspend(agent, header.reason)
        elif header.reason is not ReturnReason.OTHER_SERVICE:
            self.health.record_answer(agent, header.load)
        if header.reason is ReturnReason.COLD:
            self.placer.choice.cold.close(agent, header.retry_ms)

    def resume(self) -> None:
        """Retry waiting packets whose targets are available again.

        Of each service, only the first packets are looked at in one turn.
        """
        self.search.decisions.retry_due()
        for segment in self.parked.pop_expired():
            self.expire(segment)
        looked_at: Counter[str] = Counter()
        for segment in self.parked.list_waiting():
            state = self.output.flows.find(segment.flow)
            if state is None or state.is_confirmed:
                self.parked.drop(segment.flow)
                continue
            looked_at[state.service] += 1
            if looked_at[state.service] > RESUME_BATCH_PER_SERVICE:
                continue
            if segment.is_opening and self.late.is_too_late(state):
                self.parked.drop(segment.flow)
                self.give_up(segment, "no answer in time")
            elif self.can_resume(state, segment):
                self.parked.drop(segment.flow)
                if segment.is_opening:
                    self.placer.place(state, segment)
                else:
                    self.search.resume(state, segment)

    def update_waiting(self) -> None:
        """Let waiting openings follow the routes that came into force."""
        for packet in list(self.parked.packets.values()):
            segment = packet.segment
            state = self.output.flows.find(segment.flow)
            if state is None or not segment.is_opening or state.is_confirmed:
                continue
            self.parked.drop(segment.flow)
            if self.placer.routes.update(state, segment):
                self.parked.put_opening(segment, state)

    def refuse_evacuated(self, transition: Transition) -> None:
        """Refuse waiting openings at once if no other target is left."""
        if not transition.is_evacuated:
            return
        refused: dict[str, bool] = {}
        for segment in self.parked.list_waiting():
            state = self.output.flows.find(segment.flow)
            if state is None or not segment.is_opening or state.is_confirmed:
                continue
            service = state.service
            if service not in refused:
                refused[service] = self.placer.choice.is_every_evacuated(
                    service
                )
            if refused[service]:
                self.parked.drop(segment.flow)
                self.placer.place(state, segment)

    def offer_next(self, agent: Address) -> None:
        """Offer the next waiting flow to an agent that reported its load."""
        member = self.search.directory.find_by_host(agent.host)
        if member is None or not self.placer.choice.can_queue(member):
            return
        segment = self.parked.find_next(member.listing.service)
        while segment is not None:
            self.parked.drop(segment.flow)
            state = self.output.flows.find(segment.flow)
            if state is not None and not state.is_confirmed:
                self.placer.queue(state, segment, member)
                return
            segment = self.parked.find_next(member.listing.service)

    def can_resume(self, state: SteeredFlow, segment: Segment) -> bool:
        """Tell whether a waiting packet can be sent now."""
        if segment.is_opening:
            return state.timer is None and self.can_place(state)
        return self.search.can_resume(state)

    def can_place(self, state: SteeredFlow) -> bool:
        """Tell whether to place a waiting flow now.

        That is so if its best target has room, and also if no target is
        left at all, not even a closed one, so that the flow is reset at once.
        """
        member = self.placer.choose(state)
        if member is None:
            return not self.placer.choice.has_closed(state.service)
        return self.placer.choice.can_queue(member)

    def expire(self, segment: Segment) -> None:
        """Give up a packet that waited too long, unless its flow is open."""
        state = self.output.flows.find(segment.flow)
        if state is None or state.is_confirmed:
            return
        self.give_up(segment, "no target had room in time")

    def give_up(self, segment: Segment, reason: str) -> None:
        """Count a packet that waited in vain; reset an opening flow."""
        self.output.count("waited in vain")
        if segment.is_opening:
            self.output.reset_flow(segment, reason)
