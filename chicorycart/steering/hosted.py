"""The flows that pass an agent, and the work that they mean to its host."""

from collections import OrderedDict
from math import exp

from chicorycart.address import Address
from chicorycart.clock import Clock
from chicorycart.packets.segment import Segment
from chicorycart.steering.limits import FIRST_REQUEST_SECONDS
from chicorycart.steering.limits import LOAD_AVERAGE_SECONDS
from chicorycart.steering.limits import MAX_FLOWS
from chicorycart.steering.limits import MAX_REQUEST_SECONDS
from chicorycart.steering.limits import OPENING_TIMEOUT_SECONDS
from chicorycart.steering.messages import TargetLoad


class HostedFlow:
    """What an agent knows of one flow of its host.

    Attributes
    ----------
    balancer : Address
        Balancer that sent the last packet of the flow.
    informed_balancer : Address or None
        Balancer that was told that the host holds the flow.
    requested_at : float or None
        Time of the request that the host has not answered yet, or of the
        opening of the flow.
    is_counted : bool
        Whether the flow counts among the requests in progress.
    last_active_at : float
        Time of the last packet, either way.
    """

    __slots__ = (
        "balancer",
        "informed_balancer",
        "requested_at",
        "is_counted",
        "last_active_at",
    )

    def __init__(self, balancer: Address, now: float):
        self.balancer = balancer
        self.informed_balancer: Address | None = None
        self.requested_at: float | None = None
        self.is_counted = False
        self.last_active_at = now


class HostedFlows:
    """Keeps the flows of one host and counts its work.

    The host itself is the truth about its flows; this table only tells
    which balancer to answer and how busy the host is.

    Parameters
    ----------
    clock : Clock
        Measures work and silence.
    idle_seconds : float
        Silence after which a flow is forgotten.
    """

    __slots__ = (
        "clock",
        "idle_seconds",
        "flows",
        "openings",
        "in_progress",
        "mean_in_progress",
        "averaged_at",
        "unanswered_since",
    )

    def __init__(self, clock: Clock, idle_seconds: float):
        self.clock = clock
        self.idle_seconds = idle_seconds
        self.flows: OrderedDict[bytes, HostedFlow] = OrderedDict()
        self.openings: OrderedDict[bytes, float] = OrderedDict()
        self.in_progress = 0
        self.mean_in_progress = 0.0
        self.averaged_at = clock.now()
        self.unanswered_since: float | None = None

    def is_host_unresponsive(self) -> bool:
        """Tell whether the host left an opening packet unanswered."""
        return (
            self.unanswered_since is not None
            and self.clock.now() - self.unanswered_since
            > OPENING_TIMEOUT_SECONDS
        )

    def record_host_contact(self) -> None:
        """Take note that the host sent anything."""
        self.unanswered_since = None

    def __len__(self) -> int:
        return len(self.flows)

    def describe_load(self) -> TargetLoad:
        """Return the work at the host."""
        self.count_work()
        self.update_mean()
        return TargetLoad(
            self.in_progress, len(self.flows), self.mean_in_progress
        )

    def count_work(self) -> int:
        """Return the requests in progress, and those about to come.

        A flow whose caller does not ask soon after its opening is no work.
        """
        oldest = self.clock.now() - FIRST_REQUEST_SECONDS
        while self.openings:
            flow, opened_at = next(iter(self.openings.items()))
            if opened_at > oldest:
                break
            self.clear_in_progress(flow, self.flows[flow])
        return self.in_progress

    def update_mean(self) -> None:
        """Take the requests in progress since the last change into the mean.

        The weight of the past falls exponentially with its age.
        """
        now = self.clock.now()
        share = exp((self.averaged_at - now) / LOAD_AVERAGE_SECONDS)
        self.mean_in_progress = (
            share * self.mean_in_progress + (1 - share) * self.in_progress
        )
        self.averaged_at = now

    def record_inbound(self, segment: Segment, balancer: Address) -> None:
        """Take note of a caller's packet that goes to the host."""
        now = self.clock.now()
        state = self.find(segment.flow)
        if state is None:
            state = self.flows[segment.flow] = HostedFlow(balancer, now)
            if len(self.flows) > MAX_FLOWS:
                self.drop(next(iter(self.flows)))
        state.balancer = balancer
        state.last_active_at = now
        if segment.is_opening and self.unanswered_since is None:
            self.unanswered_since = now
        if segment.is_closing:
            self.finish_request(segment.flow, state)
            return
        if segment.is_opening:
            if state.requested_at is None:
                state.requested_at = now
                self.openings[segment.flow] = now
                self.mark_in_progress(state)
        elif segment.payload_bytes:
            state.requested_at = now
            self.openings.pop(segment.flow, None)
            self.mark_in_progress(state)

    def mark_in_progress(self, state: HostedFlow) -> None:
        """Count a flow among the requests in progress."""
        if not state.is_counted:
            state.is_counted = True
            self.update_mean()
            self.in_progress += 1

    def clear_in_progress(self, flow: bytes, state: HostedFlow) -> None:
        """Count a flow among the requests in progress no longer."""
        self.openings.pop(flow, None)
        if state.is_counted:
            state.is_counted = False
            self.update_mean()
            self.in_progress -= 1

    def find(self, flow: bytes) -> HostedFlow | None:
        """Return a flow, and mark it as used."""
        state = self.flows.get(flow)
        if state is not None:
            self.flows.move_to_end(flow)
        return state

    def record_outbound(self, state: HostedFlow, segment: Segment) -> None:
        """Take note of a packet that the host sent to a caller."""
        state.last_active_at = self.clock.now()
        if segment.payload_bytes:
            self.finish_request(segment.flow, state)

    def finish_request(self, flow: bytes, state: HostedFlow) -> None:
        """Take note that the host works on nothing for a flow."""
        state.requested_at = None
        self.clear_in_progress(flow, state)

    def drop(self, flow: bytes) -> HostedFlow | None:
        """Forget a flow."""
        state = self.flows.pop(flow, None)
        if state is not None:
            self.finish_request(flow, state)
        return state

    def sweep(self) -> None:
        """Forget silent flows and requests that were never answered."""
        now = self.clock.now()
        for flow, state in list(self.flows.items()):
            if now - state.last_active_at > self.idle_seconds:
                self.drop(flow)
            elif (
                state.requested_at is not None
                and now - state.requested_at > MAX_REQUEST_SECONDS
            ):
                self.finish_request(flow, state)
