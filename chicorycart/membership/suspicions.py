"""The agents that a balancer suspects to be dead, each with a lease."""

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
    """A cache of results that depend on which agents are suspected."""

    def clear(self) -> None:
        """Discard everything computed from the earlier suspicions."""


class StoredRecord:
    """A suspicion or refutation as stored, with its expiry time.

    Attributes
    ----------
    suspect, incarnation, renewal, is_suspected
        As in `SuspicionRecord`.
    expiry : float
        Time at which the lease ends, in seconds of the table's clock.
    sends_left : int
        Gossip messages that are still to carry it.
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
    """Holds the newest suspicion or refutation of each agent.

    Records of one agent are ordered by incarnation; within an incarnation a
    suspicion supersedes a refutation; then the higher renewal number wins.
    An expired record is kept for one more lease, so that a delayed copy of
    it is recognised as old and does not bring the suspicion back.

    Parameters
    ----------
    clock : Clock
        Measures the leases.

    Attributes
    ----------
    records : dict of int to StoredRecord
        Newest record of each agent, by its packed address.
    pending_gossip : dict of int to StoredRecord
        Those of the records that are still to be sent to other balancers.
    suspected : dict of int to float
        Expiry time of each suspicion in force, by the agent's packed
        address.
    """

    __slots__ = (
        "clock",
        "records",
        "pending_gossip",
        "suspected",
        "subscribers",
    )

    def __init__(self, clock: Clock):
        self.clock = clock
        self.records: dict[int, StoredRecord] = {}
        self.pending_gossip: dict[int, StoredRecord] = {}
        self.suspected: dict[int, float] = {}
        self.subscribers: list[SuspicionSubscriber] = []

    def subscribe(self, subscriber: SuspicionSubscriber) -> None:
        """Clear the subscriber whenever the suspected agents change."""
        self.subscribers.append(subscriber)

    def is_suspected(self, target: Target) -> bool:
        """Return whether the target's agent is suspected now."""
        if not self.suspected:
            return False
        return self.is_agent_suspected(pack_address(target.agent))

    def is_agent_suspected(self, agent: int) -> bool:
        """Return whether an agent (packed address) is suspected now."""
        return self.suspected.get(agent, 0.0) > self.clock.now()

    def merge(self, record: SuspicionRecord) -> bool:
        """Store a record if it supersedes the stored one of its agent.

        Returns
        -------
        bool
            False if the record is outdated or the table is full.
        """
        stored = self.records.get(record.suspect)
        if stored is None and len(self.records) >= MAX_SUSPICIONS:
            LOGGER.warning("event=suspicion_refused reason=too_many")
            return False
        if stored is not None and sort_key(record) <= sort_key(stored):
            return False
        remaining = min(record.remaining, SUSPICION_LEASE_SECONDS)
        stored = StoredRecord(record, self.clock.now() + remaining)
        self.records[record.suspect] = stored
        self.pending_gossip[record.suspect] = stored
        self.update_suspected(stored)
        return True

    def count_send(self, stored: StoredRecord) -> None:
        """Count one sending of a record; stop its gossip after the last."""
        stored.sends_left -= 1
        if stored.sends_left <= 0:
            self.pending_gossip.pop(stored.suspect, None)

    def suspect(self, agent: int, incarnation: int) -> None:
        """Suspect an agent, or renew a suspicion that is old enough."""
        stored = self.records.get(agent)
        renewal = 1
        if stored is not None and stored.incarnation == incarnation:
            renewal = stored.renewal + 1
            age = SUSPICION_LEASE_SECONDS - (stored.expiry - self.clock.now())
            if stored.is_suspected and age < SUSPICION_RENEWAL_SECONDS:
                return
        lease = SUSPICION_LEASE_SECONDS
        self.merge(SuspicionRecord(agent, incarnation, renewal, lease, True))

    def refute(self, agent: int, incarnation: int) -> None:
        """Withdraw a suspicion, since this incarnation was seen alive."""
        stored = self.records.get(agent)
        if stored is None or not stored.is_suspected:
            return
        lease = SUSPICION_LEASE_SECONDS
        self.merge(SuspicionRecord(agent, incarnation, 0, lease, False))

    def update_suspected(self, stored: StoredRecord) -> None:
        """Update the set of suspected agents by a record just stored."""
        was_suspected = self.is_agent_suspected(stored.suspect)
        if stored.is_suspected:
            self.suspected[stored.suspect] = stored.expiry
        else:
            self.suspected.pop(stored.suspect, None)
        if was_suspected != stored.is_suspected:
            event = "suspected" if stored.is_suspected else "refuted"
            self.announce(event, stored)

    def expire(self) -> None:
        """End expired suspicions and delete records that expired a lease ago.

        The lease for which a record is kept after its expiry is
        `SUSPICION_LEASE_SECONDS`.
        """
        now = self.clock.now()
        for stored in list(self.records.values()):
            if stored.expiry > now:
                continue
            self.pending_gossip.pop(stored.suspect, None)
            if self.suspected.pop(stored.suspect, None) is not None:
                self.announce("lapsed", stored)
            if stored.expiry + SUSPICION_LEASE_SECONDS <= now:
                del self.records[stored.suspect]

    def announce(self, event: str, stored: StoredRecord) -> None:
        """Log a change and clear the subscribers."""
        LOGGER.info(
            "event=suspicion_{} agent={} incarnation={:x}",
            event,
            unpack_address(stored.suspect),
            stored.incarnation,
        )
        for subscriber in self.subscribers:
            subscriber.clear()

    def pick_for_gossip(self, count: int) -> list[SuspicionRecord]:
        """Return the records to send next, those sent least often first.

        Each returned record counts as sent; expired ones are left out.
        """
        now = self.clock.now()
        chosen = nlargest(
            count,
            self.pending_gossip.values(),
            key=lambda stored: stored.sends_left,
        )
        for stored in chosen:
            self.count_send(stored)
        return [
            SuspicionRecord(
                stored.suspect,
                stored.incarnation,
                stored.renewal,
                stored.expiry - now,
                stored.is_suspected,
            )
            for stored in chosen
            if stored.expiry > now
        ]


def sort_key(record: SuspicionRecord | StoredRecord) -> tuple[int, bool, int]:
    """Return the sort key of a record; the highest of an agent is in force."""
    return (record.incarnation, record.is_suspected, record.renewal)
