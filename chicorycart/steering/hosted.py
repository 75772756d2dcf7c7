"""Flows of an agent's host, and the requests in progress on them."""

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
from chicorycart.steering.work_rate import WorkRate

SEQUENCE_RANGE = 1 << 32


class HostedFlow:
    """State of one flow of an agent's host.

    Attributes
    ----------
    balancer : Address
        Balancer that sent the last packet of the flow.
    informed_balancer : Address or None
        Balancer to which the agent last reported that the host holds the
        flow.
    requested_at : float or None
        Time of the request that the host has not answered yet, or of the
        opening packet if no request came yet; None if nothing is pending.
    is_counted : bool
        Whether the flow is counted as a request in progress.
    last_sequence : int or None
        Highest sequence number of the caller's data.
    last_active_at : float
        Time of the last packet in either direction.
    """

    __slots__ = (
        "balancer",
        "informed_balancer",
        "requested_at",
        "is_counted",
        "last_sequence",
        "last_active_at",
    )

    def __init__(self, balancer: Address, now: float):
        self.balancer = balancer
        self.informed_balancer: Address | None = None
        self.requested_at: float | None = None
        self.is_counted = False
        self.last_sequence: int | None = None
        self.last_active_at = now

    def record_sequence(self, sequence: int) -> bool:
        """Record a data packet's number; return whether it is a later one.

        A packet that the caller repeats, or that another one overtook, is no
        further request.
        """
        if self.last_sequence is not None:
            ahead = (sequence - self.last_sequence) % SEQUENCE_RANGE
            if ahead == 0 or ahead > SEQUENCE_RANGE // 2:
                return False
        self.last_sequence = sequence
        return True


class HostedFlows:
    """Table of the flows of one host, with a count of requests in progress.

    The host alone decides which flows it holds. This table only tells to
    which balancer the agent reports, and how busy the host is.

    Parameters
    ----------
    clock : Clock
        Measures request times and idle time.
    idle_seconds : float
        Idle time after which a flow is dropped.

    Attributes
    ----------
    flows : dict of bytes to HostedFlow
        Flows by five-tuple, least recently used first.
    openings : dict of bytes to float
        Opening times of the flows that count as work although their callers
        have sent no request yet.
    in_progress : int
        Requests without an answer, including those of `openings`.
    mean_in_progress : float
        Exponentially weighted mean of `in_progress`.
    averaged_at : float
        Time of the last update of the mean.
    unanswered_since : float or None
        Time of the first opening packet since the host's last packet.
    work : WorkRate
        Measures the host's time of work on requests.
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
        "work",
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
        self.work = WorkRate(clock)

    def is_host_unresponsive(self) -> bool:
        """Tell whether the host left an opening packet unanswered too long."""
        return self.measure_silence() > OPENING_TIMEOUT_SECONDS

    def measure_silence(self) -> float:
        """Return for how long the host left an opening packet unanswered."""
        if self.unanswered_since is None:
            return 0.0
        return self.clock.now() - self.unanswered_since

    def record_host_contact(self) -> None:
        """Record that the host sent a packet."""
        self.unanswered_since = None

    def __len__(self) -> int:
        return len(self.flows)

    def describe_load(self) -> TargetLoad:
        """Return the load of the host, as agents report it to balancers."""
        self.count_work()
        self.update_mean()
        return TargetLoad(
            self.in_progress,
            len(self.flows),
            self.mean_in_progress,
            *self.work.describe(),
        )

    def count_work(self) -> int:
        """Return the requests in progress and those expected at once.

        A new flow counts as a request for a short time only: if its caller
        sends none by then, it no longer counts.
        """
        oldest = self.clock.now() - FIRST_REQUEST_SECONDS
        while self.openings:
            flow, opened_at = next(iter(self.openings.items()))
            if opened_at > oldest:
                break
            self.clear_in_progress(flow, self.flows[flow])
        return self.in_progress

    def update_mean(self) -> None:
        """Update the mean of the requests in progress.

        The mean is weighted exponentially by age.
        """
        now = self.clock.now()
        share = exp((self.averaged_at - now) / LOAD_AVERAGE_SECONDS)
        self.mean_in_progress = (
            share * self.mean_in_progress + (1 - share) * self.in_progress
        )
        self.averaged_at = now

    def record_inbound(self, segment: Segment, balancer: Address) -> None:
        """Record a caller's packet that goes to the host."""
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
            self.record_request(segment, state, now)

    def record_request(
        self, segment: Segment, state: HostedFlow, now: float
    ) -> None:
        """Record a caller's data packet."""
        state.requested_at = now
        self.openings.pop(segment.flow, None)
        self.mark_in_progress(state)
        if state.record_sequence(segment.sequence):
            self.work.record_request(segment.flow)

    def forget_informed(self, flow: bytes) -> None:
        """Let the agent report a flow again with the host's next packet.

        Its balancer may have restarted, or lost the last report.
        """
        state = self.flows.get(flow)
        if state is not None:
            state.informed_balancer = None

    def mark_in_progress(self, state: HostedFlow) -> None:
        """Count a flow as a request in progress, if it is not yet."""
        if not state.is_counted:
            state.is_counted = True
            self.update_mean()
            self.in_progress += 1

    def clear_in_progress(self, flow: bytes, state: HostedFlow) -> None:
        """Stop counting a flow as a request in progress."""
        self.openings.pop(flow, None)
        if state.is_counted:
            state.is_counted = False
            self.update_mean()
            self.in_progress -= 1

    def find(self, flow: bytes) -> HostedFlow | None:
        """Return the state of a flow, if known, and mark it as used."""
        state = self.flows.get(flow)
        if state is not None:
            self.flows.move_to_end(flow)
        return state

    def record_outbound(self, state: HostedFlow, segment: Segment) -> None:
        """Record a packet from the host to a caller."""
        state.last_active_at = self.clock.now()
        if segment.is_reset:
            self.work.record_failure(segment.flow)
        if segment.payload_bytes:
            self.work.record_answer(segment.flow)
            self.finish_request(segment.flow, state)

    def finish_request(self, flow: bytes, state: HostedFlow) -> None:
        """Record that no request of a flow is pending any more."""
        state.requested_at = None
        self.work.record_abandoned(flow)
        self.clear_in_progress(flow, state)

    def drop(self, flow: bytes) -> HostedFlow | None:
        """Drop a flow and return its state, if it was known."""
        state = self.flows.pop(flow, None)
        if state is not None:
            self.finish_request(flow, state)
        return state

    def sweep(self) -> None:
        """Drop idle flows, and stop counting requests never answered."""
        now = self.clock.now()
        for flow, state in list(self.flows.items()):
            if now - state.last_active_at > self.idle_seconds:
                self.drop(flow)
            elif (
                state.requested_at is not None
                and now - state.requested_at > MAX_REQUEST_SECONDS
            ):
                self.finish_request(flow, state)
