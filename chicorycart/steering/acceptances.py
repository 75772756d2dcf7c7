"""Records which hosts accepted opening flows, and which one a caller took."""

from chicorycart.address import Address
from chicorycart.operation.metrics import Metrics
from chicorycart.packets.segment import Segment
from chicorycart.steering.directory import Directory
from chicorycart.steering.entry_services import record_owner
from chicorycart.steering.flows import SteeredFlow
from chicorycart.steering.health import HealthTable
from chicorycart.steering.messages import FlowReport
from chicorycart.steering.output import join_agents
from chicorycart.steering.output import SteererOutput
from chicorycart.steering.parked import ParkedPackets


class Acceptances:
    """Records the hosts that accepted a flow until its caller has taken one.

    Parameters
    ----------
    directory : Directory
        Known targets.
    health : HealthTable
        Times of work of the targets, for the log.
    parked : ParkedPackets
        Keeps opening packets that no target has accepted yet.
    output : SteererOutput
        Logs what was placed.
    metrics : Metrics
        Registry of the placing-time histogram.
    """

    __slots__ = ("directory", "health", "parked", "output", "answer_times")

    def __init__(
        self,
        directory: Directory,
        health: HealthTable,
        parked: ParkedPackets,
        output: SteererOutput,
        metrics: Metrics,
    ):
        self.directory = directory
        self.health = health
        self.parked = parked
        self.output = output
        self.answer_times = metrics.timings(
            "chicorycart_balancer_placing_seconds",
            "Time from the first offer of an opening packet to its placing.",
        )

    def record(
        self, state: SteeredFlow, report: FlowReport, agent: Address
    ) -> None:
        """Record that a host accepted an opening flow.

        If several hosts did, the acknowledgement number of the caller's
        next packet shows which acceptance the caller received first.
        """
        if state.is_open and not state.has_acknowledged(report.sequence):
            return
        state.accepted[report.sequence] = agent
        if state.is_confirmed and not state.is_open:
            return
        state.stop_timer()
        self.parked.drop(state.flow)
        record_owner(state, self.directory, agent)
        seconds = self.health.clock.now() - state.arrived_at
        self.answer_times.observe(seconds)
        self.output.record(
            "flow_placed",
            state.flow,
            "service={} agent={} tried={} seconds={:.4f} load={}/{:.1f}/{}"
            " work_ms={:.1f} median_ms={:.1f} failed={:.2f}",
            state.service,
            agent,
            join_agents(state.tried),
            seconds,
            report.load.in_progress,
            report.load.mean_in_progress,
            report.load.flows,
            report.load.work_ms,
            self.health.times.find_median(state.service),
            report.load.failed_share,
        )

    def complete(self, state: SteeredFlow, segment: Segment) -> bool:
        """Mark a flow open on the first packet after its opening.

        The flow stays with the host whose acceptance the caller took.

        Returns
        -------
        bool
            False if that is none of the hosts that reported an acceptance:
            its report was lost, or the caller took a host to which another
            balancer had offered the flow.
        """
        state.is_open = True
        state.acknowledged = segment.acknowledged
        state.stop_timer()
        accepted = dict(state.accepted)
        state.accepted.clear()
        state.declined.clear()
        if not accepted:
            return True
        for sequence, agent in accepted.items():
            if state.has_acknowledged(sequence):
                record_owner(state, self.directory, agent)
                return True
        state.is_confirmed = False
        silent = [a for a in state.tried if a not in accepted.values()]
        if silent:
            state.agent = silent[0]
        return False
