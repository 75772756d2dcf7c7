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
from chicorycart.membership.heartbeats import OwnHeartbeat
from chicorycart.membership.instances import Balancers
from chicorycart.membership.instances import Instance
from chicorycart.membership.mates import Mate
from chicorycart.membership.mates import MateChange
from chicorycart.membership.mates import MateState
from chicorycart.membership.mates import MateTable
from chicorycart.membership.messages import encode_suspicions
from chicorycart.membership.messages import SuspicionMessage
from chicorycart.membership.messages import SuspicionRecord

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
    table : MateTable
        What is known of the mates.
    own : OwnHeartbeat
        Makes the heartbeats that ask balancers for an answer.
    balancers : Balancers
        The balancers on the instance list.
    sender : Sender
        Sends the reports.
    """

    __slots__ = (
        "clock",
        "table",
        "own",
        "balancers",
        "sender",
        "reported",
        "contact_expiry",
    )

    def __init__(
        self,
        clock: Clock,
        table: MateTable,
        own: OwnHeartbeat,
        balancers: Balancers,
        sender: Sender,
    ):
        self.clock = clock
        self.table = table
        self.own = own
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

    def change_mate(self, mate: Mate, change: MateChange) -> None:
        """Begin to report a mate that lapsed, or one that came back."""
        now = self.clock.now()
        if change is MateChange.LAPSED:
            self.reported[mate.agent] = Reported(mate.incarnation, now)
        elif mate.agent in self.reported:
            self.reported[mate.agent].start_again(now)

    def report(self) -> None:
        """Send the reports that are due."""
        self.note_refuted()
        due = [mate for mate in self.list_reported() if self.take_due(mate)]
        if not due:
            return
        balancers = self.balancers.choose(self.own.service, REPORT_BALANCERS)
        if not self.is_connected():
            LOGGER.info("event=report_withheld reason=hears_nobody")
            self.ask_balancers(balancers)
            return
        records = [self.make_record(mate) for mate in due]
        self.send_records(balancers, records)
        for record in records:
            if record.is_suspected:
                self.tell_suspect(record)

    def note_refuted(self) -> None:
        """Take note of reported mates with a newer incarnation."""
        for mate in self.list_reported():
            reported = self.reported[mate.agent]
            is_newer = mate.incarnation > reported.incarnation
            if is_newer and not reported.is_refuted:
                reported.is_refuted = True
                reported.start_again(self.clock.now())

    def list_reported(self) -> list[Mate]:
        """Return reported mates; drop those settled or forgotten."""
        mates = []
        for agent, reported in list(self.reported.items()):
            mate = self.table.mates.get(agent)
            is_settled = reported.is_refuted and (
                reported.count >= EARLY_REPORTS
            )
            if mate is None or is_settled:
                del self.reported[agent]
            else:
                mates.append(mate)
        return mates

    def take_due(self, mate: Mate) -> bool:
        """Tell whether a report of a mate is due, and plan the next."""
        if mate.state is MateState.UNKNOWN:
            return False
        reported = self.reported[mate.agent]
        now = self.clock.now()
        if now < reported.due:
            return False
        reported.count += 1
        if reported.count >= EARLY_REPORTS:
            reported.due = now + REPORT_SECONDS
        return True

    def make_record(self, mate: Mate) -> SuspicionRecord:
        """Return what there is to say of a reported mate."""
        reported = self.reported[mate.agent]
        incarnation = reported.incarnation
        if reported.is_refuted:
            incarnation = mate.incarnation
        return SuspicionRecord(
            mate.agent,
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
        message = SuspicionMessage(self.own.sender, True, told)
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
        message = SuspicionMessage(self.own.sender, True, [record])
        self.sender.send(
            MessageKind.SUSPICION,
            encode_suspicions(message),
            unpack_address(record.suspect),
        )

    def ask_balancers(self, balancers: list[Instance]) -> None:
        """Ask balancers for a sign that the own process is connected."""
        for balancer in balancers:
            body = self.own.encode_next(wants_answer=True)
            self.sender.send(MessageKind.HEARTBEAT, body, balancer.data)
