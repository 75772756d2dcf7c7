"""Owner records that were heard from other agents of the service."""

from chicorycart.clock import Clock
from chicorycart.defaults import MAX_RECORD_OWNERS
from chicorycart.flows.messages import OwnerRecord


class HeldRecord:
    """A record and the time at which it lapses."""

    __slots__ = ("record", "expiry")

    def __init__(self, record: OwnerRecord, expiry: float):
        self.record = record
        self.expiry = expiry


class OwnerRecords:
    """The newest record of each owner, for as long as its lease runs.

    Parameters
    ----------
    clock : Clock
        Ages the records.
    """

    __slots__ = ("clock", "held")

    def __init__(self, clock: Clock):
        self.clock = clock
        self.held: dict[int, HeldRecord] = {}

    def __len__(self) -> int:
        return len(self.held)

    def take(self, record: OwnerRecord) -> bool:
        """Keep the record unless it is older than the one held.

        A record without buckets is kept as well: while its lease runs, an
        older record that was delayed cannot come back into force.

        Returns
        -------
        bool
            Whether it was kept.
        """
        self.expire()
        held = self.held.get(record.owner)
        if held is None and len(self.held) >= MAX_RECORD_OWNERS:
            return False
        if held is not None and not record.is_newer_than(held.record):
            return False
        expiry = self.clock.now() + record.lease_seconds
        self.held[record.owner] = HeldRecord(record, expiry)
        return True

    def owners_of(self, bucket: int) -> list[int]:
        """Return the agents that may own displaced flows of the bucket."""
        now = self.clock.now()
        return [
            owner
            for owner, held in self.held.items()
            if held.expiry > now and bucket in held.record.buckets
        ]

    def expire(self) -> None:
        """Forget records whose lease ran out."""
        now = self.clock.now()
        lapsed = [o for o, held in self.held.items() if held.expiry <= now]
        for owner in lapsed:
            del self.held[owner]
