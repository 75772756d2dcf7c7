"""Offers a slow opening packet to a second target as well."""

from asyncio import get_running_loop

from chicorycart.address import Address
from chicorycart.hedging import HedgePolicy
from chicorycart.operation.metrics import Metrics
from chicorycart.packets.segment import Segment
from chicorycart.steering.choice import TargetChoice
from chicorycart.steering.flows import SteeredFlow
from chicorycart.steering.health import HealthTable
from chicorycart.steering.limits import LATE_TIMER_SECONDS
from chicorycart.steering.limits import OPENING_TIMEOUT_SECONDS
from chicorycart.steering.members import Member
from chicorycart.steering.messages import FlowReport
from chicorycart.steering.opening_hedge import OpeningHedge
from chicorycart.steering.output import SteererOutput
from chicorycart.steering.parked import ParkedPackets
from chicorycart.steering.placing import FlowPlacer
from chicorycart.steering.returns import ReturnReason


class HedgingPlacer(FlowPlacer):
    """Places flows, and hedges the first offer of their opening packets.

    The second target is asked while the first may still accept. Each keeps
    its own acceptance, and the caller's acknowledgement shows which one it
    took, as for a packet that was offered again after the time-out. A hedge
    suspends no target; only if the first one fails does the second offer
    become a usual one, with the rest of its time-out.

    Parameters
    ----------
    choice, health, parked, output, metrics
        As for `FlowPlacer`.
    share : float
        Hedges per opening packet, above 0.
    """

    __slots__ = ("policy",)

    def __init__(
        self,
        choice: TargetChoice,
        health: HealthTable,
        parked: ParkedPackets,
        output: SteererOutput,
        metrics: Metrics,
        share: float,
    ):
        super().__init__(choice, health, parked, output, metrics)
        outcomes = metrics.tally(
            "chicorycart_hedges",
            "Calls for second offers, and how the ones that were sent ended.",
            "outcome",
        )
        self.policy = HedgePolicy(health.clock, share, outcomes)

    def offer(
        self, state: SteeredFlow, segment: Segment, agent: Address, limit: int
    ) -> None:
        """Send an opening packet; start the timer for a hedge if it is due.

        Offers to a target's queue are not hedged: all others are as busy.
        """
        super().offer(state, segment, agent, limit)
        if len(state.tried) > 1 or state.may_queue:
            return
        self.policy.record_first_attempt()
        hedge = OpeningHedge(agent, segment.copies, self.health.clock.now())
        state.hedge = hedge
        delay = self.policy.delay_seconds
        if delay is not None and delay < OPENING_TIMEOUT_SECONDS:
            loop = get_running_loop()
            due = loop.time() + delay
            hedge.timer = loop.call_at(
                due, self.handle_due, state, segment, hedge, due, delay
            )

    def handle_due(
        self,
        state: SteeredFlow,
        segment: Segment,
        hedge: OpeningHedge,
        due: float,
        quantile: float,
    ) -> None:
        """Offer an opening packet that was not accepted to a second target.

        A balancer that was too busy to run the timer on time may not have
        read the acceptance yet, so it sends none.
        """
        hedge.timer = None
        is_late = get_running_loop().time() - due > LATE_TIMER_SECONDS
        if is_late or state.timer is None or state.agent != hedge.first:
            return
        if not self.routes.is_followed(state, segment):
            return
        member = self.choice.choose(state.service, state.flow, state.tried)
        if member is None or not self.may_take_hedge(member):
            return
        if not self.policy.acquire():
            return
        agent = member.target.agent
        hedge.second = agent
        hedge.sent_at = self.health.clock.now()
        state.tried.append(agent)
        self.health.record_offer(agent)
        self.output.deliver(state, segment.raw, [agent], member.target.slots)
        self.output.record(
            "hedge_sent",
            state.flow,
            "service={} first={} second={} waited={:.4f} quantile={:.4f}",
            state.service,
            hedge.first,
            agent,
            hedge.sent_at - hedge.offered_at,
            quantile,
        )

    def may_take_hedge(self, member: Member) -> bool:
        """Tell whether a target is warm, up and has a free slot.

        It gets new work at all only if it neither drains nor leaves.
        """
        return (
            self.choice.is_available(member)
            and member.listing.cold_seconds <= 0
            and not self.choice.cold.is_cold(member)
            and self.health.has_room(member.target.agent, member.target.slots)
        )

    def place(
        self,
        state: SteeredFlow,
        segment: Segment,
        returned: ReturnReason | None = None,
    ) -> None:
        """Offer an opening packet to the next target after one failed.

        While a hedge is under way, that is its target, which has the packet
        already.
        """
        hedge = state.hedge
        if hedge is not None:
            hedge.stop_timer()
            if self.awaits_second(hedge, segment):
                self.await_second(state, segment, hedge)
                return
            self.abandon(state, hedge)
        super().place(state, segment, returned)

    def awaits_second(self, hedge: OpeningHedge, segment: Segment) -> bool:
        """Tell whether the second target may still accept in time."""
        return (
            hedge.second is not None
            and not hedge.is_only_offer
            and hedge.copies == segment.copies
            and self.health.clock.now()
            < hedge.sent_at + OPENING_TIMEOUT_SECONDS
        )

    def await_second(
        self, state: SteeredFlow, segment: Segment, hedge: OpeningHedge
    ) -> None:
        """Make the second offer a usual one, as the first target failed."""
        hedge.is_only_offer = True
        agent = state.agent = hedge.second
        rest = (
            hedge.sent_at + OPENING_TIMEOUT_SECONDS - self.health.clock.now()
        )
        due = get_running_loop().time() + rest
        state.timer = get_running_loop().call_at(
            due, self.handle_timeout, state, segment, agent, due
        )

    def abandon(self, state: SteeredFlow, hedge: OpeningHedge) -> None:
        """Record that neither offer was accepted in time."""
        state.hedge = None
        waited = self.health.clock.now() - hedge.offered_at
        self.policy.record_unfinished(waited)
        if hedge.second is not None:
            self.policy.record_verdict(False)

    def handle_return(
        self,
        state: SteeredFlow,
        segment: Segment,
        reason: ReturnReason,
        agent: Address,
    ) -> None:
        """Place a returned flow again; the first offer outlives its hedge."""
        hedge = state.hedge
        if hedge is None or hedge.second != agent or hedge.is_only_offer:
            super().handle_return(state, segment, reason, agent)
            return
        hedge.second = None
        self.policy.record_verdict(False)
        member = self.choice.directory.find_by_host(agent.host)
        if reason is ReturnReason.BUSY and member is not None:
            state.declined.append(member)

    def handle_acceptance(
        self, state: SteeredFlow, report: FlowReport, agent: Address
    ) -> None:
        """Record an acceptance; the first one decides on the hedge."""
        super().handle_acceptance(state, report, agent)
        hedge = state.hedge
        if hedge is None or not state.is_confirmed:
            return
        state.hedge = None
        hedge.stop_timer()
        seconds = self.health.clock.now() - hedge.offered_at
        if agent == hedge.first:
            self.policy.record_time(seconds)
        else:
            self.policy.record_unfinished(seconds)
        if hedge.second is None:
            return
        has_won = agent == hedge.second
        self.policy.record_verdict(has_won)
        loser, offered_at = (
            (hedge.first, hedge.offered_at)
            if has_won
            else (hedge.second, hedge.sent_at)
        )
        self.health.withdraw_offer(loser, offered_at)

    def complete_opening(self, state: SteeredFlow, segment: Segment) -> bool:
        """Mark a flow open; a hedge that was not sent yet is dropped."""
        if state.hedge is not None:
            state.hedge.stop_timer()
            state.hedge = None
        return super().complete_opening(state, segment)
