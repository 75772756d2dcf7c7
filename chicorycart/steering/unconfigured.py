"""Hosts of services that no known configuration names."""

from collections.abc import Container
from collections.abc import Mapping

from chicorycart.address import Address
from chicorycart.steering.members import make_target
from chicorycart.steering.members import Member
from chicorycart.steering.published import ListedState
from chicorycart.steering.published import Listing
from chicorycart.steering.unused_entries import UnusedEntries
from chicorycart.steering.vanished_targets import VanishedTargets


class UnconfiguredHosts:
    """Takes hosts of unconfigured services for possible owners of flows.

    A service may leave the configuration while its hosts hold flows. A
    balancer that starts later cannot tell its entries from those of other
    programs, so these hosts get no new flows, and are asked for open ones
    after all others.

    Parameters
    ----------
    unused : UnusedEntries
        Entries that name no target.
    vanished : VanishedTargets
        Receives the hosts.
    listed : Mapping of str to Member
        Listed targets by the IP address of their agents. Nothing else at such
        an address is asked.
    agent_port : int
        Port on which every agent receives messages.

    Attributes
    ----------
    admitted : tuple of (int, int, int, float) or None
        What the last admission depended on.
    """

    __slots__ = ("unused", "vanished", "listed", "agent_port", "admitted")

    def __init__(
        self,
        unused: UnusedEntries,
        vanished: VanishedTargets,
        listed: Mapping[str, Member],
        agent_port: int,
    ):
        self.unused = unused
        self.vanished = vanished
        self.listed = listed
        self.agent_port = agent_port
        self.admitted: tuple[int, int, int, float] | None = None

    def admit(self) -> None:
        """Record the hosts of the entries in the store.

        Many searches may ask for that at once, so nothing is done while
        nothing has changed.
        """
        if self.admitted == self.find_position():
            return
        for entry in self.unused.list_readable():
            self.record(entry.listing)
        self.admitted = self.find_position()

    def find_position(self) -> tuple[int, int, int, float]:
        """Return what the admission depends on.

        Its last part is the time, in steps of half the time for which an
        admission holds.
        """
        vanished = self.vanished
        return (
            self.unused.changes,
            vanished.changes,
            len(self.listed),
            vanished.clock.now() // (vanished.flow_ttl_seconds / 2),
        )

    def record(self, listing: Listing) -> None:
        """Record the host of an entry."""
        if listing.address.host not in self.listed:
            target = make_target(listing, self.agent_port)
            self.vanished.record_unconfigured(target, listing)

    def record_removed(self, listing: Listing) -> None:
        """Record the host of an entry that was removed.

        One that was draining ends soon.
        """
        self.record(listing)
        agent = Address(listing.address.host, self.agent_port)
        vanished = self.vanished.find(agent)
        if (
            vanished is not None
            and vanished.is_unconfigured
            and vanished.target.name == listing.name
        ):
            vanished.was_draining = listing.state is ListedState.DRAINING

    def discard_entry(self, name: str) -> None:
        """Forget an entry that was removed, but not its host."""
        entry = self.unused.discard(name)
        if entry is not None and entry.listing is not None:
            self.record_removed(entry.listing)

    def discard_missing(self, present: Container[str]) -> None:
        """Forget the entries that are not among those of a full read."""
        for name in self.unused.list_missing(present):
            self.discard_entry(name)
