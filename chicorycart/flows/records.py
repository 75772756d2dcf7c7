"""Stores the owner records received from other agents of the service."""

from logbook import Logger
from prometheus_client import CollectorRegistry
from prometheus_client import Counter

from chicorycart.address import unpack_address
from chicorycart.clock import Clock
from chicorycart.defaults import MAX_RECORD_OWNERS
from chicorycart.flows.messages import OwnerRecord

LOGGER = Logger("agent")


class StoredRecord:
    """An owner record and the time at which its lease expires."""

    __slots__ = ("record", "expiry")

    def __init__(self, record: OwnerRecord, expiry: float):
        self.record = record
        self.expiry = expiry


class OwnerRecords:
    """The newest record of each owner, until its lease expires.

    Parameters
    ----------
    clock : Clock
        Expires the records.
    registry : CollectorRegistry
        Where the counter is registered.

    Attributes
    ----------
    incomplete_until : float
        Time at which the last lease of a refused record expires.
    """

    __slots__ = ("clock", "stored", "incomplete_until", "refused")

    def __init__(self, clock: Clock, registry: CollectorRegistry):
        self.clock = clock
        self.stored: dict[int, StoredRecord] = {}
        self.incomplete_until = float("-inf")
        self.refused = Counter(
            "chicorycart_owner_records_refused",
            "Owner records refused for want of room.",
            registry=registry,
        )

    def __len__(self) -> int:
        return len(self.stored)

    def store(self, record: OwnerRecord) -> bool:
        """Store the record unless the stored one is as new or newer.

        A record without buckets is stored as well: until its lease expires,
        it keeps a delayed older record from being accepted.

        Returns
        -------
        bool
            Whether it was stored. False also for a new owner when
            `MAX_RECORD_OWNERS` are stored.
        """
        self.expire()
        stored = self.stored.get(record.owner)
        if stored is not None and not record.is_newer_than(stored.record):
            return False
        expiry = self.clock.now() + record.lease_seconds
        if stored is None and len(self.stored) >= MAX_RECORD_OWNERS:
            self.refuse(record, expiry)
            return False
        self.stored[record.owner] = StoredRecord(record, expiry)
        return True

    def refuse(self, record: OwnerRecord, expiry: float) -> None:
        """Log a record that there is no room for."""
        if record.buckets:
            self.incomplete_until = max(self.incomplete_until, expiry)
        self.refused.inc()
        LOGGER.warning(
            "event=record_refused agent={} agents={}",
            unpack_address(record.owner),
            len(self.stored),
        )

    def is_complete(self) -> bool:
        """Return whether the record of every owner was stored."""
        return self.incomplete_until <= self.clock.now()

    def owners_of(self, bucket: int) -> list[int]:
        """Return the agents that announced displaced flows of the bucket."""
        now = self.clock.now()
        return [
            owner
            for owner, stored in self.stored.items()
            if stored.expiry > now and bucket in stored.record.buckets
        ]

    def expire(self) -> None:
        """Remove the records whose lease has expired."""
        now = self.clock.now()
        expired = [
            o for o, stored in self.stored.items() if stored.expiry <= now
        ]
        for owner in expired:
            del self.stored[owner]
