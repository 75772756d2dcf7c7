"""Reports to balancers which peer agents fell silent or came back."""

from logbook import Logger

from chicorycart.address import unpack_address
from chicorycart.clock import Clock
from chicorycart.defaults import EARLY_REPORTS
from chicorycart.defaults import HEARTBEAT_LEASE_SECONDS
from chicorycart.defaults import REPORT_BALANCERS
from chicorycart.defaults import REPORT_LEASE_SECONDS
from chicorycart.defaults import REPORT_SECONDS
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.membership.heartbeats import HeartbeatBuilder
from chicorycart.membership.instances import Balancers
from chicorycart.membership.instances import Instance
from chicorycart.membership.messages import encode_suspicions
from chicorycart.membership.messages import SuspicionMessage
from chicorycart.membership.messages import SuspicionRecord
from chicorycart.membership.peer_agents import PeerAgent
from chicorycart.membership.peer_agents import PeerAgentChange
from chicorycart.membership.peer_agents import PeerAgentState
from chicorycart.membership.peer_agents import PeerAgentTable

LOGGER = Logger("membership")


class ReportState:
    """The reporting state of a peer agent whose lease lapsed.

    Kept until the peer agent is forgotten, or until it was reported alive
    `EARLY_REPORTS` times.

    Attributes
    ----------
    incarnation : int
        The incarnation that lapsed.
    is_refuted : bool
        Whether the peer agent has sent a newer incarnation since.
    count : int
        Reports sent since the state of the peer agent last changed.
    due : float
        Time of the next report.
    """

    __slots__ = ("incarnation", "is_refuted", "count", "due")

    def __init__(self, incarnation: int, due: float):
        self.incarnation = incarnation
        self.is_refuted = False
        self.count = 0
        self.due = due

    def restart_schedule(self, due: float) -> None:
        """Return to frequent reports, since the state changed."""
        self.count = 0
        self.due = due


class Reporter:
    """Sends an agent's reports on its peer agents to a few balancers.

    An agent that receives heartbeats from no peer agent may be cut off
    itself: it then reports nothing until a balancer has answered it.

    Parameters
    ----------
    clock : Clock
        Schedules the reports.
    table : PeerAgentTable
        Holds the state of the peer agents.
    heartbeats : HeartbeatBuilder
        Encodes the heartbeats that ask balancers for an answer.
    balancers : Balancers
        The balancers on the instance list.
    sender : Sender
        Sends the reports.
    """

    __slots__ = (
        "clock",
        "table",
        "heartbeats",
        "balancers",
        "sender",
        "reported",
        "balancer_contact_expiry",
    )

    def __init__(
        self,
        clock: Clock,
        table: PeerAgentTable,
        heartbeats: HeartbeatBuilder,
        balancers: Balancers,
        sender: Sender,
    ):
        self.clock = clock
        self.table = table
        self.heartbeats = heartbeats
        self.balancers = balancers
        self.sender = sender
        self.reported: dict[int, ReportState] = {}
        self.balancer_contact_expiry = 0.0
        table.subscribe(self)

    def record_answer(self) -> None:
        """Record that a balancer sent a heartbeat."""
        self.balancer_contact_expiry = (
            self.clock.now() + HEARTBEAT_LEASE_SECONDS
        )

    def resume(self, late_seconds: float) -> None:
        """Ignore answers from before a pause of the process."""
        self.balancer_contact_expiry = 0.0

    def is_connected(self) -> bool:
        """Return whether a heartbeat of another process arrived recently."""
        if self.table.has_recent_contact():
            return True
        return self.balancer_contact_expiry > self.clock.now()

    def change_peer_agent(
        self, peer_agent: PeerAgent, change: PeerAgentChange
    ) -> None:
        """Start to report a peer agent that lapsed, or that it came back."""
        now = self.clock.now()
        if change is PeerAgentChange.LAPSED:
            self.reported[peer_agent.agent] = ReportState(
                peer_agent.incarnation, now
            )
        elif peer_agent.agent in self.reported:
            self.reported[peer_agent.agent].restart_schedule(now)

    def report(self) -> None:
        """Send the reports that are due."""
        self.update_refuted()
        due = [
            peer_agent
            for peer_agent in self.list_reported()
            if self.schedule_if_due(peer_agent)
        ]
        if not due:
            return
        balancers = self.balancers.choose(
            self.heartbeats.service, REPORT_BALANCERS
        )
        if not self.is_connected():
            LOGGER.info("event=report_withheld reason=hears_nobody")
            self.ask_balancers(balancers)
            return
        records = [self.make_record(peer_agent) for peer_agent in due]
        self.send_records(balancers, records)
        for record in records:
            if record.is_suspected:
                self.notify_suspect(record)

    def update_refuted(self) -> None:
        """Mark reported peer agents that have sent a newer incarnation."""
        for peer_agent in self.list_reported():
            reported = self.reported[peer_agent.agent]
            is_newer = peer_agent.incarnation > reported.incarnation
            if is_newer and not reported.is_refuted:
                reported.is_refuted = True
                reported.restart_schedule(self.clock.now())

    def list_reported(self) -> list[PeerAgent]:
        """Return the peer agents to report on; drop finished entries.

        An entry is finished when its peer agent is no longer in the table,
        or was reported alive often enough.
        """
        peer_agents = []
        for agent, reported in list(self.reported.items()):
            peer_agent = self.table.peer_agents.get(agent)
            is_settled = reported.is_refuted and (
                reported.count >= EARLY_REPORTS
            )
            if peer_agent is None or is_settled:
                del self.reported[agent]
            else:
                peer_agents.append(peer_agent)
        return peer_agents

    def schedule_if_due(self, peer_agent: PeerAgent) -> bool:
        """Return whether a report is due; if so, schedule the next one."""
        if peer_agent.state is PeerAgentState.UNKNOWN:
            return False
        reported = self.reported[peer_agent.agent]
        now = self.clock.now()
        if now < reported.due:
            return False
        reported.count += 1
        if reported.count >= EARLY_REPORTS:
            reported.due = now + REPORT_SECONDS
        return True

    def make_record(self, peer_agent: PeerAgent) -> SuspicionRecord:
        """Build the record that reports a peer agent as silent or alive."""
        reported = self.reported[peer_agent.agent]
        incarnation = reported.incarnation
        if reported.is_refuted:
            incarnation = peer_agent.incarnation
        return SuspicionRecord(
            peer_agent.agent,
            incarnation,
            0,
            REPORT_LEASE_SECONDS,
            not reported.is_refuted,
        )

    def send_records(
        self, balancers: list[Instance], records: list[SuspicionRecord]
    ) -> None:
        """Send records to the balancers, as far as they still hold.

        A peer agent that is no longer lapsed is not reported as silent.
        """
        current = [
            record
            for record in records
            if not record.is_suspected or self.table.is_lapsed(record.suspect)
        ]
        if not current:
            return
        message = SuspicionMessage(self.heartbeats.sender, True, current)
        body = encode_suspicions(message)
        for balancer in balancers:
            self.sender.send(MessageKind.SUSPICION, body, balancer.data)
        for record in current:
            LOGGER.info(
                "event=reported agent={} incarnation={:x} suspected={}",
                unpack_address(record.suspect),
                record.incarnation,
                record.is_suspected,
            )

    def notify_suspect(self, record: SuspicionRecord) -> None:
        """Inform the suspect, so that it can refute the suspicion."""
        message = SuspicionMessage(self.heartbeats.sender, True, [record])
        self.sender.send(
            MessageKind.SUSPICION,
            encode_suspicions(message),
            unpack_address(record.suspect),
        )

    def ask_balancers(self, balancers: list[Instance]) -> None:
        """Ask balancers for a heartbeat, to learn whether any is reachable."""
        for balancer in balancers:
            body = self.heartbeats.encode_next(wants_answer=True)
            self.sender.send(MessageKind.HEARTBEAT, body, balancer.data)
