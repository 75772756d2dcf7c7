"""Places new flows on targets by offering their opening packets."""

from asyncio import get_running_loop

from chicorycart.address import Address
from chicorycart.operation.metrics import Metrics
from chicorycart.packets.segment import Segment
from chicorycart.steering.acceptances import Acceptances
from chicorycart.steering.choice import find_queue_limit
from chicorycart.steering.choice import TargetChoice
from chicorycart.steering.flows import SteeredFlow
from chicorycart.steering.health import HealthTable
from chicorycart.steering.limits import LATE_TIMER_SECONDS
from chicorycart.steering.limits import MAX_OPENING_TARGETS
from chicorycart.steering.limits import OPENING_TIMEOUT_SECONDS
from chicorycart.steering.members import Member
from chicorycart.steering.messages import FlowReport
from chicorycart.steering.opening_routes import OpeningRoutes
from chicorycart.steering.output import join_agents
from chicorycart.steering.output import SteererOutput
from chicorycart.steering.parked import ParkedPackets
from chicorycart.steering.returns import ReturnReason

EVERY_TARGET_EVACUATED = "every target is evacuated"


class FlowPlacer:
    """Offers the opening packet of a flow to targets until one accepts.

    Each offer carries a limit of requests in progress, and an agent above
    it declines, so that placement goes by the actual load even if the
    balancer's view of it is out of date. A target that does not answer in
    time is suspended and the next one is tried. While no target has room,
    opening packets wait at the balancer, where later ones can overtake
    those that have already waited too long for a prompt answer.

    Parameters
    ----------
    choice : TargetChoice
        Chooses targets.
    health : HealthTable
        Load and suspension of each target.
    parked : ParkedPackets
        Keeps opening packets that no target has accepted yet.
    output : SteererOutput
        Sends packets.
    metrics : Metrics
        Registry of the placing-time histogram.

    Attributes
    ----------
    routes : OpeningRoutes
        Keeps the flows on the routes in force.
    acceptances : Acceptances
        Records which hosts accepted flows.
    """

    __slots__ = (
        "choice",
        "health",
        "parked",
        "output",
        "routes",
        "acceptances",
    )

    def __init__(
        self,
        choice: TargetChoice,
        health: HealthTable,
        parked: ParkedPackets,
        output: SteererOutput,
        metrics: Metrics,
    ):
        self.choice = choice
        self.health = health
        self.parked = parked
        self.output = output
        self.routes = OpeningRoutes(output)
        self.acceptances = Acceptances(
            choice.directory, health, parked, output, metrics
        )

    def open(self, segment: Segment) -> None:
        """Handle the opening packet of a new flow, or a retransmission."""
        output = self.output
        route = self.routes.find(segment)
        if route is None:
            output.reset_flow(segment, "no route")
            return
        state = output.flows.find(segment.flow)
        if state is None or state.first_sequence != segment.sequence:
            state = output.flows.add(segment.flow, route)
            state.first_sequence = segment.sequence
            state.copies = segment.copies
            state.arrived_at = self.health.clock.now()
        elif state.is_confirmed and self.may_repeat(state, segment):
            # The host accepted the flow, but its answer to the caller was
            # lost: the host answers the retransmission.
            cold = self.choice.cold.find_notice(state.agent)
            output.deliver(state, segment.raw, [state.agent], cold=cold)
            return
        elif segment.copies <= state.copies or (
            state.is_confirmed and state.is_open
        ):
            # Duplicated by the network, not retransmitted by the caller.
            output.count("repeated")
            return
        # A host in an evacuated domain, or of another service, may have
        # accepted it, but its answer was lost.
        state.is_confirmed = False
        state.copies = segment.copies
        self.routes.update(state, segment)
        if self.parked.is_waiting(state.flow):
            self.parked.put_opening(segment, state)
            output.count("parked")
            return
        state.stop_timer()
        if self.parked.has_openings(
            state.service
        ) and not self.choice.is_every_evacuated(state.service):
            self.park(state, segment)
            return
        self.place(state, segment)

    def may_repeat(self, state: SteeredFlow, segment: Segment) -> bool:
        """Tell whether the host that accepted a flow may get a copy.

        A host that has restarted since would take it for a new flow.
        """
        return self.routes.is_followed(
            state, segment
        ) and not self.choice.is_agent_evacuated(state.agent)

    def place(
        self,
        state: SteeredFlow,
        segment: Segment,
        returned: ReturnReason | None = None,
    ) -> None:
        """Offer an opening packet to the next target, or let it wait.

        Parameters
        ----------
        state : SteeredFlow
            The flow.
        segment : Segment
            Its opening packet.
        returned : ReturnReason, optional
            Why the last target returned it. If no other target is left, the
            flow is reset; if the targets only failed to answer, or are cold
            and at their limit, it waits.
        """
        if not self.routes.update(state, segment):
            return
        if self.choice.is_every_evacuated(state.service):
            self.output.reset_flow(segment, EVERY_TARGET_EVACUATED)
            return
        member = None
        declined = [m for m in state.declined if self.choice.accepts(m)]
        if len(state.tried) < MAX_OPENING_TARGETS:
            member = self.choose(state)
        if member is not None:
            agent = member.target.agent
            # A busy target is only chosen if the others are not expected to
            # answer earlier, so trying them in turn would only cost time.
            if self.health.is_busy(agent, member.target.slots):
                self.queue(state, segment, member)
            else:
                state.may_queue = False
                self.offer(state, segment, agent, member.target.slots)
        elif declined:
            aim = state.level.aim_seconds
            least = min(
                declined,
                key=lambda m: self.health.estimate_time(m, aim),
            )
            self.queue(state, segment, least)
        else:
            self.handle_no_target(state, segment, returned)

    def handle_no_target(
        self,
        state: SteeredFlow,
        segment: Segment,
        returned: ReturnReason | None,
    ) -> None:
        """Let an opening packet wait, or reset the flow if that is useless."""
        if self.choice.has_closed(state.service):
            self.park(state, segment)
        elif returned is not None:
            self.output.reset_flow(segment, f"last target: {returned}")
        elif state.tried:
            self.park(state, segment)
        else:
            self.output.reset_flow(segment, "no target")

    def choose(self, state: SteeredFlow) -> Member | None:
        """Return the target that a flow is offered to next, if any is left."""
        return self.choice.choose(
            state.service, state.flow, state.tried, state.level.aim_seconds
        )

    def queue(
        self, state: SteeredFlow, segment: Segment, member: Member
    ) -> None:
        """Offer a packet to a target's queue, or park it if that is full."""
        limit = find_queue_limit(member)
        agent = member.target.agent
        is_closed = self.choice.cold.is_closed(agent)
        if self.health.has_room(agent, limit) and not is_closed:
            state.may_queue = True
            self.offer(state, segment, agent, limit)
        else:
            self.park(state, segment)

    def park(self, state: SteeredFlow, segment: Segment) -> None:
        """Keep an opening packet until a target may accept it."""
        self.output.record(
            "flow_waits",
            state.flow,
            "service={} tried={} busy={} waiting={}",
            state.service,
            join_agents(state.tried),
            state.may_queue or bool(state.declined),
            len(self.parked),
        )
        self.output.count("parked")
        state.tried.clear()
        state.declined.clear()
        self.parked.put_opening(segment, state)

    def offer(
        self, state: SteeredFlow, segment: Segment, agent: Address, limit: int
    ) -> None:
        """Send an opening packet to an agent and start the timer for it.

        Parameters
        ----------
        state : SteeredFlow
            The flow.
        segment : Segment
            Its opening packet.
        agent : Address
            Agent of the target.
        limit : int
            Requests in progress from which the agent declines the flow.
        """
        if agent not in state.tried:
            state.tried.append(agent)
        state.agent = agent
        state.asked_at = self.health.clock.now()
        self.health.record_offer(agent)
        cold = self.choice.cold.find_notice(agent)
        self.output.deliver(state, segment.raw, [agent], limit, cold=cold)
        self.start_timer(state, segment, agent)

    def start_timer(
        self, state: SteeredFlow, segment: Segment, agent: Address
    ) -> None:
        """Start the timer for the answer to an offered opening packet."""
        loop = get_running_loop()
        due = loop.time() + OPENING_TIMEOUT_SECONDS
        state.timer = loop.call_at(
            due, self.handle_timeout, state, segment, agent, due
        )

    def handle_timeout(
        self,
        state: SteeredFlow,
        segment: Segment,
        agent: Address,
        due: float,
    ) -> None:
        """Suspend an agent that did not answer and try another target."""
        state.timer = None
        if state.is_confirmed:
            return
        if get_running_loop().time() - due > LATE_TIMER_SECONDS:
            # The balancer was too busy to run the timer on time, so the
            # answer may still be unread in the socket: wait once more.
            self.start_timer(state, segment, agent)
            return
        self.health.suspend(agent, "no word of an opening flow")
        self.place(state, segment)

    def handle_acceptance(
        self, state: SteeredFlow, report: FlowReport, agent: Address
    ) -> None:
        """Record that a host accepted an opening flow."""
        self.acceptances.record(state, report, agent)

    def handle_return(
        self,
        state: SteeredFlow,
        segment: Segment,
        reason: ReturnReason,
        agent: Address,
    ) -> None:
        """Place an opening flow on another target after a return.

        Nothing follows from that of a target whose service the flow has left.
        """
        member = self.choice.directory.find_by_host(agent.host)
        has_left = (
            agent not in state.tried
            and member is not None
            and member.listing.service != state.service
        )
        if state.is_confirmed or state.agent != agent or has_left:
            return
        state.stop_timer()
        if reason is ReturnReason.BUSY:
            self.handle_declined(state, segment, agent)
        elif reason is ReturnReason.COLD:
            # A flow that was parked meanwhile goes on in one of its turns.
            if agent in state.tried:
                state.tried.remove(agent)
                self.place(state, segment)
        elif reason is ReturnReason.EVACUATED:
            # The choice leaves the agent out, so it uses up no attempt.
            state.tried = [a for a in state.tried if a != agent]
            self.place(state, segment)
        else:
            self.place(state, segment, reason)

    def handle_declined(
        self, state: SteeredFlow, segment: Segment, agent: Address
    ) -> None:
        """Try other targets after a busy agent declined a flow.

        An agent that declined a queued offer was the least loaded one, so
        the packet waits then.
        """
        member = self.choice.directory.find_by_host(agent.host)
        if state.may_queue or member is None:
            self.park(state, segment)
            return
        state.declined.append(member)
        self.place(state, segment)

    def complete_opening(self, state: SteeredFlow, segment: Segment) -> bool:
        """Mark a flow open on the first packet after its opening.

        Returns
        -------
        bool
            Whether its host is known (`Acceptances.complete`).
        """
        return self.acceptances.complete(state, segment)
