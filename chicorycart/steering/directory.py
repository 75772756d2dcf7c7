"""Table of each service's targets, kept up to date from the store."""

from collections.abc import Callable
from collections.abc import Collection
from reprlib import repr as shorten

from logbook import Logger

from chicorycart.address import Address
from chicorycart.clock import Clock
from chicorycart.operation.events import EventLog
from chicorycart.steering.former_entries import FormerEntries
from chicorycart.steering.limits import LAPSE_SECONDS
from chicorycart.steering.members import is_older
from chicorycart.steering.members import log_listed
from chicorycart.steering.members import make_target
from chicorycart.steering.members import Member
from chicorycart.steering.published import ENTRY_REMOVED
from chicorycart.steering.published import Listing
from chicorycart.steering.published import ListingChange
from chicorycart.steering.unconfigured import UnconfiguredHosts
from chicorycart.steering.unused_entries import UnusedEntries
from chicorycart.steering.vanished_targets import VanishedTargets

LOGGER = Logger("directory")


class Directory:
    """Table of targets by service, updated by the changes in the store.

    A target whose entry vanishes while it is not draining is kept for a short
    time and ranked behind all others: entries expire while the store is
    unreachable, and live hosts are listed again soon after its return. The
    host of a draining target may still serve its flows after its entry was
    removed, so the target counts as leaving until its agent is silent.

    Other processes write entries too. One of a service that is not configured
    names no target, but it may be that of a host whose service has left the
    configuration: it is asked for open flows that no target holds.

    Parameters
    ----------
    clock : Clock
        Measures the times below.
    agent_port : int
        Port on which every agent receives messages.
    flow_ttl_seconds : float
        Idle time after which a flow may be forgotten.
    lapse_seconds : float, optional
        Time for which a target that vanished may still get new flows.

    Attributes
    ----------
    members : dict of str to Member
        All targets by name.
    former : FormerEntries
        Removed entries, and starts of hosts that have ended.
    vanished : VanishedTargets
        Targets that vanished and may be alive.
    unused : UnusedEntries
        Entries in the store that name no target.
    unconfigured : UnconfiguredHosts
        Finds those of them that may be hosts with open flows.
    configured_services : set of str
        Names of the services that a configuration has named so far.
    told_services : dict of str to str
        Services that agents told, by IP address, where entries name others.
    listed_changes : int
        Counts the changes of the list.
    observe_listed : callable or None
        Called with each target whose entry was read, and the one that it
        replaces, if any.
    """

    __slots__ = (
        "clock",
        "agent_port",
        "lapse_seconds",
        "members",
        "former",
        "services",
        "by_agent_host",
        "vanished",
        "unused",
        "unconfigured",
        "configured_services",
        "told_services",
        "listed_changes",
        "observe_listed",
        "events",
    )

    def __init__(
        self,
        clock: Clock,
        agent_port: int,
        flow_ttl_seconds: float,
        lapse_seconds: float = LAPSE_SECONDS,
    ):
        self.clock = clock
        self.agent_port = agent_port
        self.lapse_seconds = lapse_seconds
        self.events = EventLog("directory", clock)
        self.members: dict[str, Member] = {}
        self.former = FormerEntries()
        self.services: dict[str, dict[str, Member]] = {}
        self.by_agent_host: dict[str, Member] = {}
        self.vanished = VanishedTargets(clock, flow_ttl_seconds)
        self.unused = UnusedEntries(self.events)
        self.unconfigured = UnconfiguredHosts(
            self.unused, self.vanished, self.by_agent_host, agent_port
        )
        self.configured_services: set[str] = set()
        self.told_services: dict[str, str] = {}
        self.listed_changes = 0
        self.observe_listed: Callable[[Member, Member | None], None] | None = (
            None
        )

    @property
    def changes(self) -> int:
        """Number of changes of the possible owners of flows or their order.

        These are changes of entries, and targets that vanish, end, or prove
        to be alive after all.
        """
        return self.listed_changes + self.vanished.changes

    def replace(
        self,
        changes: list[ListingChange],
        revision: int,
        is_restored: bool = False,
    ) -> None:
        """Apply a full read; targets missing from it have vanished.

        Parameters
        ----------
        changes : list of ListingChange
            All entries.
        revision : int
            Revision of the store at the read.
        is_restored : bool, optional
            Whether the store was restored from a copy since the last read.
            The known revisions then order nothing any more.
        """
        self.former.removed_revisions.clear()
        if is_restored:
            self.former.copied_revision = revision
            self.unconfigured.admit()
            self.unused.clear()
            for member in self.members.values():
                member.revision = 0
            changes = self.former.drop_outdated(changes, self.members)
        present = {change.name for change in changes}
        for change in changes:
            self.apply(change)
        for name in [n for n in self.members if n not in present]:
            self.remove(name, revision, "missing from the store")
        self.unconfigured.discard_missing(present)

    def apply(self, change: ListingChange) -> None:
        """Apply one changed entry, unless a later revision was applied."""
        known = self.members.get(change.name)
        last = (
            known.revision
            if known
            else self.former.removed_revisions.get(change.name, 0)
        )
        if change.revision < last:
            return
        reason = self.find_fault(change)
        if not reason:
            self.put(change.listing, change.revision)
            return
        self.remove(change.name, change.revision, reason)
        if reason == ENTRY_REMOVED:
            self.unconfigured.discard_entry(change.name)
        else:
            self.unused.record(
                change.name, change.revision, reason, change.listing
            )

    def find_fault(self, change: ListingChange) -> str:
        """Return why a changed entry names no target; empty if it does."""
        if change.listing is None:
            return change.reason
        service = change.listing.service
        if service in self.configured_services:
            return ""
        return f"service {shorten(service)} is not configured"

    def add_services(self, services: Collection[str]) -> None:
        """Use the entries of services that a configuration names.

        Those of earlier configurations stay, since open flows may go on.
        """
        if self.configured_services.issuperset(services):
            return
        self.configured_services.update(services)
        for entry in self.unused.list_readable():
            listing = entry.listing
            self.apply(ListingChange(listing.name, entry.revision, listing))

    def put(self, listing: Listing, revision: int) -> None:
        """Add a target, or replace it by its changed entry."""
        self.unused.discard(listing.name)
        listing = self.former.correct_state(listing, revision)
        other = self.by_agent_host.get(listing.address.host)
        if other is not None and other.listing.name != listing.name:
            if is_older(listing, revision, other):
                other.took_over_address = True
                self.former.record_removed(listing.name, revision)
                return
            self.discard_replaced(other, listing.name)
        known = self.members.get(listing.name)
        if known is not None:
            self.discard(known)
        target = make_target(listing, self.agent_port)
        agent = target.agent
        member = Member(target, listing, revision)
        member.took_over_address = (
            known.took_over_address if known is not None else other is not None
        )
        self.members[listing.name] = member
        self.services.setdefault(listing.service, {})[listing.name] = member
        self.by_agent_host[agent.host] = member
        self.vanished.discard(agent)
        self.told_services.pop(agent.host, None)
        self.listed_changes += 1
        if self.observe_listed is not None:
            self.observe_listed(member, known)
        if (
            known is None
            or known.lapses_at is not None
            or listing.differs_from(known.listing)
        ):
            log_listed(listing, revision)

    def discard_replaced(self, member: Member, successor: str) -> None:
        """Discard a target whose address another one has taken over."""
        name = member.listing.name
        LOGGER.info(
            "event=target_gone target={} reason={!r}",
            name,
            f"address taken over by {successor}",
        )
        self.former.record_removed(name, member.revision)
        self.former.record_retired(member.listing)
        self.discard(member)

    def remove(self, name: str, revision: int, reason: str) -> None:
        """Apply the removal of an entry.

        A draining target gets no more flows and departs at once, any other
        is discarded after lapse_seconds.
        """
        self.former.record_removed(name, revision)
        member = self.members.get(name)
        if member is None or member.lapses_at is not None:
            return
        member.revision = revision
        if member.takes_new_work:
            member.lapses_at = self.clock.now() + self.lapse_seconds
            self.listed_changes += 1
            LOGGER.warning(
                "event=target_lapsed target={} service={} reason={!r}"
                " revision={} gone_in_seconds={:.1f}",
                name,
                member.listing.service,
                reason,
                revision,
                self.lapse_seconds,
            )
            return
        self.discard(member)
        self.record_vanished(member.listing, True, was_heard=True)
        LOGGER.info(
            "event=target_leaving target={} agent={} reason={!r} revision={}",
            name,
            member.target.agent,
            reason,
            revision,
        )

    def discard(self, member: Member) -> None:
        """Remove a target from every table."""
        name = member.listing.name
        self.members.pop(name, None)
        self.services.get(member.listing.service, {}).pop(name, None)
        if self.by_agent_host.get(member.target.agent.host) is member:
            del self.by_agent_host[member.target.agent.host]

    def list_members(self, service: str) -> list[Member]:
        """Return the targets of a service, after discarding expired ones."""
        now = self.clock.now()
        members = self.services.get(service, {})
        for member in [m for m in members.values() if m.lapses_at is not None]:
            if now >= member.lapses_at:
                self.discard(member)
                self.record_vanished(member.listing, was_heard=True)
                LOGGER.warning(
                    "event=target_gone target={} reason={!r}",
                    member.listing.name,
                    f"not listed again for {self.lapse_seconds:.1f} s",
                )
        return list(members.values())

    def list_present(self) -> list[Member]:
        """Return the targets of all services that the store lists now."""
        return [m for m in self.members.values() if m.lapses_at is None]

    def was_known(self, name: str) -> bool:
        """Tell whether a target was known at the last full read or since."""
        return name in self.members or name in self.former.removed_revisions

    def record_vanished(
        self,
        listing: Listing,
        was_draining: bool = False,
        was_heard: bool = False,
    ) -> None:
        """Record a host that may be alive; see `VanishedTargets.record`."""
        if listing.address.host in self.by_agent_host:
            return
        if was_draining:
            self.former.record_retired(listing)
        self.vanished.record(
            make_target(listing, self.agent_port),
            listing,
            was_draining or self.former.is_retired(listing),
            was_heard,
        )

    def find_by_host(self, host: str) -> Member | None:
        """Return the target whose agent has this IP address."""
        return self.by_agent_host.get(host)

    def is_possible_owner(self, agent: Address) -> bool:
        """Tell whether the host of an agent may hold flows."""
        return self.is_known(agent.host) and not self.vanished.has_ended(agent)

    def is_known(self, host: str) -> bool:
        """Tell whether this is the IP address of a known agent."""
        return (
            host in self.by_agent_host
            or self.vanished.find(Address(host, self.agent_port)) is not None
        )
