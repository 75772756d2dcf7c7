"""The suspicions that a balancer holds, each with its lease."""

from heapq import nlargest
from typing import Protocol

from logbook import Logger

from chicorycart.address import pack_address
from chicorycart.address import unpack_address
from chicorycart.clock import Clock
from chicorycart.configuration.model import Target
from chicorycart.defaults import GOSSIP_SENDS
from chicorycart.defaults import MAX_SUSPICIONS
from chicorycart.defaults import SUSPICION_LEASE_SECONDS
from chicorycart.defaults import SUSPICION_RENEWAL_SECONDS
from chicorycart.membership.messages import SuspicionRecord

LOGGER = Logger("membership")


class SuspicionSubscriber(Protocol):
    """Something that depends on who is suspected."""

    def clear(self) -> None:
        """Drop what was derived from earlier suspicions."""


class KeptRecord:
    """A record with the time at which it lapses.

    Attributes
    ----------
    suspect, incarnation, renewal, is_suspected
        As in `SuspicionRecord`.
    expiry : float
        Time at which it lapses.
    sends_left : int
        Times that it is still passed on.
    """

    __slots__ = (
        "suspect",
        "incarnation",
        "renewal",
        "is_suspected",
        "expiry",
        "sends_left",
    )

    def __init__(self, record: SuspicionRecord, expiry: float):
        self.suspect = record.suspect
        self.incarnation = record.incarnation
        self.renewal = record.renewal
        self.is_suspected = record.is_suspected
        self.expiry = expiry
        self.sends_left = GOSSIP_SENDS


class SuspicionTable:
    """Records by suspect; the newest one counts.

    A record is newer if its incarnation is higher, then if it suspects
    rather than refutes, then if it was renewed more often. A lapsed record
    is kept for one more lease, so that late copies of it are recognised.

    Parameters
    ----------
    clock : Clock
        Measures the leases.
    """

    __slots__ = ("clock", "records", "fresh", "suspected", "subscribers")

    def __init__(self, clock: Clock):
        self.clock = clock
        self.records: dict[int, KeptRecord] = {}
        self.fresh: dict[int, KeptRecord] = {}
        self.suspected: dict[int, float] = {}
        self.subscribers: list[SuspicionSubscriber] = []

    def subscribe(self, subscriber: SuspicionSubscriber) -> None:
        """Tell the subscriber whenever another agent is suspected or not."""
        self.subscribers.append(subscriber)

    def is_suspected(self, target: Target) -> bool:
        """Tell whether the target's agent is suspected now."""
        if not self.suspected:
            return False
        return self.is_agent_suspected(pack_address(target.agent))

    def is_agent_suspected(self, agent: int) -> bool:
        """Tell whether an agent (packed address) is suspected now."""
        return self.suspected.get(agent, 0.0) > self.clock.now()

    def merge(self, record: SuspicionRecord) -> bool:
        """Take a record if it is newer than what is known.

        Returns
        -------
        bool
            Whether it was taken.
        """
        kept = self.records.get(record.suspect)
        if kept is None and len(self.records) >= MAX_SUSPICIONS:
            LOGGER.warning("event=suspicion_refused reason=too_many")
            return False
        if kept is not None and order_of(record) <= order_of(kept):
            return False
        remaining = min(record.remaining, SUSPICION_LEASE_SECONDS)
        kept = KeptRecord(record, self.clock.now() + remaining)
        self.records[record.suspect] = kept
        self.fresh[record.suspect] = kept
        self.apply(kept)
        return True

    def use_send(self, kept: KeptRecord) -> None:
        """Count one time that a record was passed on."""
        kept.sends_left -= 1
        if kept.sends_left <= 0:
            self.fresh.pop(kept.suspect, None)

    def suspect(self, agent: int, incarnation: int) -> None:
        """Suspect an agent on own evidence, or renew the suspicion."""
        kept = self.records.get(agent)
        renewal = 1
        if kept is not None and kept.incarnation == incarnation:
            renewal = kept.renewal + 1
            age = SUSPICION_LEASE_SECONDS - (kept.expiry - self.clock.now())
            if kept.is_suspected and age < SUSPICION_RENEWAL_SECONDS:
                return
        lease = SUSPICION_LEASE_SECONDS
        self.merge(SuspicionRecord(agent, incarnation, renewal, lease, True))

    def refute(self, agent: int, incarnation: int) -> None:
        """Take note that an incarnation of an agent was seen alive."""
        kept = self.records.get(agent)
        if kept is None or not kept.is_suspected:
            return
        lease = SUSPICION_LEASE_SECONDS
        self.merge(SuspicionRecord(agent, incarnation, 0, lease, False))

    def apply(self, kept: KeptRecord) -> None:
        """Let a new record decide whether its agent is suspected."""
        was_suspected = self.is_agent_suspected(kept.suspect)
        if kept.is_suspected:
            self.suspected[kept.suspect] = kept.expiry
        else:
            self.suspected.pop(kept.suspect, None)
        if was_suspected != kept.is_suspected:
            event = "suspected" if kept.is_suspected else "refuted"
            self.announce(event, kept)

    def expire(self) -> None:
        """Let leases lapse, and forget what lapsed a lease ago."""
        now = self.clock.now()
        for kept in list(self.records.values()):
            if kept.expiry > now:
                continue
            self.fresh.pop(kept.suspect, None)
            if self.suspected.pop(kept.suspect, None) is not None:
                self.announce("lapsed", kept)
            if kept.expiry + SUSPICION_LEASE_SECONDS <= now:
                del self.records[kept.suspect]

    def announce(self, event: str, kept: KeptRecord) -> None:
        """Log a change and tell the subscribers."""
        LOGGER.info(
            "event=suspicion_{} agent={} incarnation={:x}",
            event,
            unpack_address(kept.suspect),
            kept.incarnation,
        )
        for subscriber in self.subscribers:
            subscriber.clear()

    def take_fresh(self, count: int) -> list[SuspicionRecord]:
        """Return the records to pass on next, those least passed on first."""
        now = self.clock.now()
        chosen = nlargest(
            count, self.fresh.values(), key=lambda kept: kept.sends_left
        )
        for kept in chosen:
            self.use_send(kept)
        return [
            SuspicionRecord(
                kept.suspect,
                kept.incarnation,
                kept.renewal,
                kept.expiry - now,
                kept.is_suspected,
            )
            for kept in chosen
            if kept.expiry > now
        ]


def order_of(record: SuspicionRecord | KeptRecord) -> tuple[int, bool, int]:
    """Return what orders the records on one suspect."""
    return (record.incarnation, record.is_suspected, record.renewal)
