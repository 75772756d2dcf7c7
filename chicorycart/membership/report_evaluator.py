"""Decides when agents' reports suffice for a balancer to suspect an agent."""

from typing import Protocol

from logbook import Logger

from chicorycart.address import Address
from chicorycart.address import unpack_address
from chicorycart.clock import Clock
from chicorycart.defaults import GOSSIP_SECONDS
from chicorycart.defaults import MAX_SUSPICIONS
from chicorycart.defaults import PROBE_SECONDS
from chicorycart.defaults import REPORT_LEASE_SECONDS
from chicorycart.defaults import REPORTERS_NEEDED
from chicorycart.defaults import SUSPICION_LEASE_SECONDS
from chicorycart.links.datagrams import measure_datagram
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.membership.heartbeats import handle_heartbeat
from chicorycart.membership.heartbeats import HeartbeatBuilder
from chicorycart.membership.messages import encode_suspicions
from chicorycart.membership.messages import SuspicionMessage
from chicorycart.membership.messages import SuspicionRecord
from chicorycart.membership.suspicions import SuspicionTable
from chicorycart.pace import TokenBucket

LOGGER = Logger("membership")


class AnswerSubscriber(Protocol):
    """A component that is notified of each heartbeat of an agent."""

    def record_answer(self, agent: int) -> None:
        """Record that an agent (packed address) sent a heartbeat."""


class SuspectReports:
    """The reports that one agent is silent, and the probes sent to it.

    Attributes
    ----------
    incarnation : int
        The newest incarnation that was reported silent.
    reporters : dict of int to float
        Expiry time of each report, by the packed address of the reporter.
    first_probe_at : float or None
        Time of the first unanswered probe.
    last_probe_at : float
        Time of the latest probe.
    """

    __slots__ = (
        "incarnation",
        "reporters",
        "first_probe_at",
        "last_probe_at",
    )

    def __init__(self, incarnation: int):
        self.incarnation = incarnation
        self.reporters: dict[int, float] = {}
        self.first_probe_at: float | None = None
        self.last_probe_at = float("-inf")


class ReportEvaluator:
    """Verifies reports of silent agents with the balancer's own probes.

    A reported agent is probed. One that answers is not suspected, whatever
    is reported. One that does not answer is suspected after
    `GOSSIP_SECONDS` if at least `REPORTERS_NEEDED` agents report it, and
    after `PROBE_SECONDS` if fewer do.

    Parameters
    ----------
    clock : Clock
        Measures the age of reports and probes.
    suspicion_table : SuspicionTable
        Stores the resulting suspicions.
    heartbeats : HeartbeatBuilder
        Encodes the probes, which are heartbeats that ask for an answer.
    sender : Sender
        Sends the probes.
    bucket : TokenBucket
        Limits the bytes of probes per second.
    """

    __slots__ = (
        "clock",
        "suspicion_table",
        "heartbeats",
        "sender",
        "bucket",
        "reports_by_agent",
        "subscribers",
    )

    def __init__(
        self,
        clock: Clock,
        suspicion_table: SuspicionTable,
        heartbeats: HeartbeatBuilder,
        sender: Sender,
        bucket: TokenBucket,
    ):
        self.clock = clock
        self.suspicion_table = suspicion_table
        self.heartbeats = heartbeats
        self.sender = sender
        self.bucket = bucket
        self.reports_by_agent: dict[int, SuspectReports] = {}
        self.subscribers: list[AnswerSubscriber] = []

    def subscribe(self, subscriber: AnswerSubscriber) -> None:
        """Notify the subscriber of each heartbeat that arrives."""
        self.subscribers.append(subscriber)

    def handle_report(self, reporter: int, record: SuspicionRecord) -> None:
        """Process a report that an agent is silent or has returned."""
        if not record.is_suspected:
            self.reports_by_agent.pop(record.suspect, None)
            self.suspicion_table.refute(record.suspect, record.incarnation)
            return
        if len(self.reports_by_agent) >= MAX_SUSPICIONS:
            return
        now = self.clock.now()
        reports = self.reports_by_agent.get(record.suspect)
        if reports is None or reports.incarnation < record.incarnation:
            reports = SuspectReports(record.incarnation)
            self.reports_by_agent[record.suspect] = reports
        elif reports.incarnation > record.incarnation:
            return
        lease = min(record.remaining, REPORT_LEASE_SECONDS)
        reports.reporters[reporter] = now + lease
        if now - reports.last_probe_at >= PROBE_SECONDS:
            self.probe(record.suspect, reports)

    def probe(self, agent: int, reports: SuspectReports) -> None:
        """Ask an agent for a heartbeat, if the rate limit allows."""
        body = self.heartbeats.encode_next(wants_answer=True)
        if not self.bucket.try_acquire(measure_datagram(body)):
            return
        reports.last_probe_at = self.clock.now()
        if reports.first_probe_at is None:
            reports.first_probe_at = reports.last_probe_at
        self.sender.send(MessageKind.HEARTBEAT, body, unpack_address(agent))

    def receive(self, body: bytes, source: Address) -> None:
        """Process a heartbeat and answer it if it asks for an answer.

        Reports against the sender are dropped, since it is alive. A suspected
        sender whose incarnation is not newer is informed of the suspicion, so
        that it can refute it with a higher incarnation.

        Raises
        ------
        MembershipMessageError
            If it is malformed or implausible.
        """
        heartbeat = handle_heartbeat(
            body, source, self.heartbeats, self.sender
        )
        for subscriber in self.subscribers:
            subscriber.record_answer(heartbeat.sender)
        self.reports_by_agent.pop(heartbeat.sender, None)
        stored = self.suspicion_table.records.get(heartbeat.sender)
        if stored is None or not stored.is_suspected:
            return
        if heartbeat.incarnation > stored.incarnation:
            self.suspicion_table.refute(
                heartbeat.sender, heartbeat.incarnation
            )
        else:
            self.notify_suspect(heartbeat.sender, stored.incarnation)

    def notify_suspect(self, agent: int, incarnation: int) -> None:
        """Inform a live agent that it is suspected, so that it can refute."""
        lease = SUSPICION_LEASE_SECONDS
        record = SuspicionRecord(agent, incarnation, 0, lease, True)
        message = SuspicionMessage(self.heartbeats.sender, False, [record])
        self.sender.send(
            MessageKind.SUSPICION,
            encode_suspicions(message),
            unpack_address(agent),
        )

    def check(self) -> None:
        """Suspect reported agents that stayed silent; probe the others."""
        now = self.clock.now()
        for agent, reports in list(self.reports_by_agent.items()):
            reports.reporters = {
                reporter: expiry
                for reporter, expiry in reports.reporters.items()
                if expiry > now
            }
            if not reports.reporters:
                del self.reports_by_agent[agent]
            elif self.is_sufficient(reports):
                self.suspicion_table.suspect(agent, reports.incarnation)
            else:
                self.probe(agent, reports)

    def is_sufficient(self, reports: SuspectReports) -> bool:
        """Return whether reports and unanswered probes justify a suspicion."""
        if reports.first_probe_at is None:
            return False
        silence = self.clock.now() - reports.first_probe_at
        if len(reports.reporters) >= REPORTERS_NEEDED:
            return silence >= GOSSIP_SECONDS
        return silence >= PROBE_SECONDS

    def resume(self, late_seconds: float) -> None:
        """Drop the reports and probes from before a pause of the process."""
        self.reports_by_agent.clear()
