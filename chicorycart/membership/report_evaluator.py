"""Decides when reports against an agent are enough to suspect it."""

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
    """Something that is told which agents are heard."""

    def note_answer(self, agent: int) -> None:
        """Take note that an agent (packed address) was heard."""


class Case:
    """The reports against one agent.

    Attributes
    ----------
    incarnation : int
        The newest incarnation that was reported.
    reporters : dict of int to float
        When each report lapses, by the packed address of the reporter.
    first_probe_at : float or None
        Time of the first probe that the agent has not answered.
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
    """Weighs reports against what the balancer sees itself.

    A reported agent is probed. One that answers is not suspected, whatever
    is reported; one that is silent is suspected on the word of several
    reporters, or of one after a longer silence.

    Parameters
    ----------
    clock : Clock
        Ages reports and probes.
    suspicion_table : SuspicionTable
        Takes the suspicions.
    heartbeats : OwnHeartbeat
        Makes the probes.
    sender : Sender
        Sends the probes.
    bucket : TokenBucket
        Bounds the bytes of probes a second.
    """

    __slots__ = (
        "clock",
        "suspicion_table",
        "heartbeats",
        "sender",
        "bucket",
        "cases",
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
        self.cases: dict[int, Case] = {}
        self.subscribers: list[AnswerSubscriber] = []

    def subscribe(self, subscriber: AnswerSubscriber) -> None:
        """Tell the subscriber of each agent that is heard."""
        self.subscribers.append(subscriber)

    def handle_report(self, reporter: int, record: SuspicionRecord) -> None:
        """Take what an agent says of one of its mates."""
        if not record.is_suspected:
            self.cases.pop(record.suspect, None)
            self.suspicion_table.refute(record.suspect, record.incarnation)
            return
        if len(self.cases) >= MAX_SUSPICIONS:
            return
        now = self.clock.now()
        case = self.cases.get(record.suspect)
        if case is None or case.incarnation < record.incarnation:
            case = Case(record.incarnation)
            self.cases[record.suspect] = case
        elif case.incarnation > record.incarnation:
            return
        lease = min(record.remaining, REPORT_LEASE_SECONDS)
        case.reporters[reporter] = now + lease
        if now - case.last_probe_at >= PROBE_SECONDS:
            self.probe(record.suspect, case)

    def probe(self, agent: int, case: Case) -> None:
        """Ask an agent for a heartbeat, if the budget allows."""
        body = self.heartbeats.encode_next(wants_answer=True)
        if not self.bucket.try_acquire(measure_datagram(body)):
            return
        case.last_probe_at = self.clock.now()
        if case.first_probe_at is None:
            case.first_probe_at = case.last_probe_at
        self.sender.send(MessageKind.HEARTBEAT, body, unpack_address(agent))

    def receive(self, body: bytes, source: Address) -> None:
        """Take a heartbeat; answer it if asked to.

        Raises
        ------
        MembershipMessageError
            If it cannot be read or is not credible.
        """
        heartbeat = handle_heartbeat(
            body, source, self.heartbeats, self.sender
        )
        for subscriber in self.subscribers:
            subscriber.note_answer(heartbeat.sender)
        self.cases.pop(heartbeat.sender, None)
        kept = self.suspicion_table.records.get(heartbeat.sender)
        if kept is None or not kept.is_suspected:
            return
        if heartbeat.incarnation > kept.incarnation:
            self.suspicion_table.refute(
                heartbeat.sender, heartbeat.incarnation
            )
        else:
            self.tell_suspect(heartbeat.sender, kept.incarnation)

    def tell_suspect(self, agent: int, incarnation: int) -> None:
        """Let a live agent know that it is suspected."""
        lease = SUSPICION_LEASE_SECONDS
        record = SuspicionRecord(agent, incarnation, 0, lease, True)
        message = SuspicionMessage(self.heartbeats.sender, False, [record])
        self.sender.send(
            MessageKind.SUSPICION,
            encode_suspicions(message),
            unpack_address(agent),
        )

    def check(self) -> None:
        """Suspect the agents against whom there is enough."""
        now = self.clock.now()
        for agent, case in list(self.cases.items()):
            case.reporters = {
                reporter: expiry
                for reporter, expiry in case.reporters.items()
                if expiry > now
            }
            if not case.reporters:
                del self.cases[agent]
            elif self.is_enough(case):
                self.suspicion_table.suspect(agent, case.incarnation)
            else:
                self.probe(agent, case)

    def is_enough(self, case: Case) -> bool:
        """Tell whether a silent agent is to be suspected."""
        if case.first_probe_at is None:
            return False
        silence = self.clock.now() - case.first_probe_at
        if len(case.reporters) >= REPORTERS_NEEDED:
            return silence >= GOSSIP_SECONDS
        return silence >= PROBE_SECONDS

    def resume(self, late_seconds: float) -> None:
        """Forget reports and probes of the time before a pause."""
        self.cases.clear()
