"""Tells balancers which mates of an agent lapsed, and which came back."""

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


class Reported:
    """A mate that was reported and has not been settled since.

    Attributes
    ----------
    incarnation : int
        The incarnation that lapsed.
    is_refuted : bool
        Whether the mate has shown a newer incarnation.
    count : int
        Reports sent since the mate last came or went.
    due : float
        Time of the next report.
    """

    __slots__ = ("incarnation", "is_refuted", "count", "due")

    def __init__(self, incarnation: int, due: float):
        self.incarnation = incarnation
        self.is_refuted = False
        self.count = 0
        self.due = due

    def start_again(self, due: float) -> None:
        """Report often at first, since there is news."""
        self.count = 0
        self.due = due


class Reporter:
    """Sends an agent's observations of its mates to a few balancers.

    An agent that hears nobody suspects itself: it reports only once a
    balancer has answered it.

    Parameters
    ----------
    clock : Clock
        Paces the reports.
    table : PeerAgentTable
        What is known of the mates.
    heartbeats : OwnHeartbeat
        Makes the heartbeats that ask balancers for an answer.
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
        "contact_expiry",
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
        self.reported: dict[int, Reported] = {}
        self.contact_expiry = 0.0
        table.subscribe(self)

    def note_answer(self) -> None:
        """Take note that a balancer was heard."""
        self.contact_expiry = self.clock.now() + HEARTBEAT_LEASE_SECONDS

    def resume(self, late_seconds: float) -> None:
        """Forget that anybody answered before the process was paused."""
        self.contact_expiry = 0.0

    def is_connected(self) -> bool:
        """Tell whether a mate or a balancer was heard within its lease."""
        if self.table.hears_anyone():
            return True
        return self.contact_expiry > self.clock.now()

    def change_peer_agent(
        self, peer_agent: PeerAgent, change: PeerAgentChange
    ) -> None:
        """Begin to report a mate that lapsed, or one that came back."""
        now = self.clock.now()
        if change is PeerAgentChange.LAPSED:
            self.reported[peer_agent.agent] = Reported(
                peer_agent.incarnation, now
            )
        elif peer_agent.agent in self.reported:
            self.reported[peer_agent.agent].start_again(now)

    def report(self) -> None:
        """Send the reports that are due."""
        self.note_refuted()
        due = [
            peer_agent
            for peer_agent in self.list_reported()
            if self.take_due(peer_agent)
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
                self.tell_suspect(record)

    def note_refuted(self) -> None:
        """Take note of reported mates with a newer incarnation."""
        for peer_agent in self.list_reported():
            reported = self.reported[peer_agent.agent]
            is_newer = peer_agent.incarnation > reported.incarnation
            if is_newer and not reported.is_refuted:
                reported.is_refuted = True
                reported.start_again(self.clock.now())

    def list_reported(self) -> list[PeerAgent]:
        """Return reported mates; drop those settled or forgotten."""
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

    def take_due(self, peer_agent: PeerAgent) -> bool:
        """Tell whether a report of a mate is due, and plan the next."""
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
        """Return what there is to say of a reported mate."""
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
        """Send records to the balancers; live mates are not among them."""
        told = [
            record
            for record in records
            if not record.is_suspected or self.table.is_lapsed(record.suspect)
        ]
        if not told:
            return
        message = SuspicionMessage(self.heartbeats.sender, True, told)
        body = encode_suspicions(message)
        for balancer in balancers:
            self.sender.send(MessageKind.SUSPICION, body, balancer.data)
        for record in told:
            LOGGER.info(
                "event=reported agent={} incarnation={:x} suspected={}",
                unpack_address(record.suspect),
                record.incarnation,
                record.is_suspected,
            )

    def tell_suspect(self, record: SuspicionRecord) -> None:
        """Let the suspect know, so that it can refute the suspicion."""
        message = SuspicionMessage(self.heartbeats.sender, True, [record])
        self.sender.send(
            MessageKind.SUSPICION,
            encode_suspicions(message),
            unpack_address(record.suspect),
        )

    def ask_balancers(self, balancers: list[Instance]) -> None:
        """Ask balancers for a sign that the own process is connected."""
        for balancer in balancers:
            body = self.heartbeats.encode_next(wants_answer=True)
            self.sender.send(MessageKind.HEARTBEAT, body, balancer.data)
