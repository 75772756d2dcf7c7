"""Entries that the store publishes, and changes of them."""

from collections.abc import Sequence
from enum import StrEnum
from typing import Protocol

from chicorycart.address import Address
from chicorycart.steering.routes import RouteTable

ENTRY_REMOVED = "entry removed"


class ListedState(StrEnum):
    """State that a host publishes of itself."""

    READY = "ready"
    DRAINING = "draining"


class Listing:
    """The entry of one host in the store.

    Attributes
    ----------
    name : str
        Unique name of the host.
    service : str
        Service that it belongs to.
    address : Address
        Where the host receives packets from its agent.
    domain : str
        Failure domain of its instance.
    slots : int
        Number of requests that it runs concurrently.
    state : ListedState
        Whether it accepts new work.
    incarnation : int
        Start time of the host in milliseconds since 1970, higher after each
        restart under the same name.
    cold_seconds : float
        Time for which the host will still be warming up after its start.
    """

    __slots__ = (
        "name",
        "service",
        "address",
        "domain",
        "slots",
        "state",
        "incarnation",
        "cold_seconds",
    )

    def __init__(
        self,
        name: str,
        service: str,
        address: Address,
        domain: str,
        slots: int,
        state: ListedState,
        incarnation: int,
        cold_seconds: float,
    ):
        self.name = name
        self.service = service
        self.address = address
        self.domain = domain
        self.slots = slots
        self.state = state
        self.incarnation = incarnation
        self.cold_seconds = cold_seconds

    def differs_from(self, before: "Listing") -> bool:
        """Tell whether it changed in more than the warm-up time."""
        return (
            before.state is not self.state
            or before.address != self.address
            or before.service != self.service
            or before.slots != self.slots
            or before.incarnation != self.incarnation
        )


class ListingChange:
    """An entry that was written or removed.

    Attributes
    ----------
    name : str
        Name of the host.
    revision : int
        Revision of the store at the change.
    listing : Listing or None
        None if the entry was removed or cannot be read.
    reason : str
        Why there is no listing; ENTRY_REMOVED if the entry was removed.
    """

    __slots__ = ("name", "revision", "listing", "reason")

    def __init__(
        self,
        name: str,
        revision: int,
        listing: Listing | None,
        reason: str = "",
    ):
        self.name = name
        self.revision = revision
        self.listing = listing
        self.reason = reason


class EvacuationChange:
    """An evacuation that was written or taken back.

    Attributes
    ----------
    domain : str
        Name of the failure domain, as it stands in the key.
    is_evacuated : bool
        Whether its item was written; False if it was removed.
    revision : int
        Revision of the store at the change.
    """

    __slots__ = ("domain", "is_evacuated", "revision")

    def __init__(self, domain: str, is_evacuated: bool, revision: int):
        self.domain = domain
        self.is_evacuated = is_evacuated
        self.revision = revision


class Changes:
    """Result of one read or watch of the store.

    Attributes
    ----------
    era : int
        Number of the store's era, which changes when the store is restored
        from a copy. Revisions of different eras cannot be compared.
    revision : int
        Revision after which the next watch begins.
    listings : list of ListingChange
        Changed entries of hosts, in order; in a full read, all entries.
    routes : RouteTable or None
        Routes of the newest configuration, if the read had one.
    fault : str
        Why the configuration cannot be decoded; empty if it can.
    asked_at : float
        Time at which the call was sent; all changes up to then are known.
    evacuations : sequence of EvacuationChange
        Changed evacuations, in order; in a full read, all evacuations.
    """

    __slots__ = (
        "era",
        "revision",
        "listings",
        "routes",
        "fault",
        "asked_at",
        "evacuations",
    )

    def __init__(
        self,
        era: int,
        revision: int,
        listings: list[ListingChange],
        routes: RouteTable | None,
        fault: str = "",
        evacuations: Sequence[EvacuationChange] = (),
    ):
        self.era = era
        self.revision = revision
        self.listings = listings
        self.routes = routes
        self.fault = fault
        self.evacuations = evacuations
        self.asked_at = 0.0

    def is_restored_since(self, era: int, revision: int) -> bool:
        """Tell whether the store was restored since it was at a position.

        A store without eras shows it by a lower revision.
        """
        return self.era != era or self.revision < revision


class PublishedStore(Protocol):
    """A store that can be read and watched."""

    async def read_all(self, answer_seconds: float) -> Changes:
        """Read all entries; a later watch returns changes made meanwhile.

        Parameters
        ----------
        answer_seconds : float
            Longest time in which nothing of an answer arrives.

        Raises
        ------
        StoreSilentError
            If nothing arrived for that time.
        StoreError
            If the call failed or its answer is not of the documented form.
        """

    async def watch(
        self, after: int, seconds: float, answer_seconds: float
    ) -> Changes:
        """Wait for changes after a revision.

        Parameters
        ----------
        after : int
            Changes with a higher revision are returned.
        seconds : float
            Time for which the store may wait for a change; 0 asks for past
            changes only.
        answer_seconds : float
            Longest time beyond that in which nothing of the answer arrives.

        Raises
        ------
        HistoryLostError
            If the store has discarded some of these changes.
        StoreSilentError
            If nothing arrived for that time.
        StoreError
            If the call failed or its answer is not of the documented form.
        """

    async def read_changes(self, after: int, answer_seconds: float) -> Changes:
        """Return the changes of hosts' entries after a revision, in order.

        Parameters
        ----------
        after : int
            Changes with a higher revision are returned.
        answer_seconds : float
            Longest time in which nothing of the answer arrives.

        Raises
        ------
        HistoryLostError
            If the store has discarded some of these changes.
        StoreSilentError
            If nothing arrived for that time.
        StoreError
            If the call failed or its answer is not of the documented form.
        """
