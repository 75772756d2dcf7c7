"""What the store publishes, and the events that change it."""

from enum import StrEnum
from typing import Protocol

from chicorycart.address import Address
from chicorycart.steering.routes import RouteTable

ENTRY_REMOVED = "entry removed"


class ListedState(StrEnum):
    """What a host says of itself."""

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
        Where the host takes packets from its agent.
    domain : str
        Failure domain of its instance.
    slots : int
        Requests that it runs at once.
    state : ListedState
        Whether it takes new work.
    incarnation : int
        Start of the host, in milliseconds since 1970; a host that starts
        again under its name has a higher one. 0 if it is not told.
    cold_seconds : float
        Time for which the host will still be slow after its start.
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
        Why there is none; ENTRY_REMOVED if it was removed.
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


class Changes:
    """What one read of the store gave.

    Attributes
    ----------
    revision : int
        Revision to go on from.
    listings : list of ListingChange
        Changed entries of hosts, in order; all of them in a whole read.
    routes : RouteTable or None
        The newest configuration, if there is one.
    fault : str
        Why a configuration that is there cannot be read.
    """

    __slots__ = ("revision", "listings", "routes", "fault")

    def __init__(
        self,
        revision: int,
        listings: list[ListingChange],
        routes: RouteTable | None,
        fault: str = "",
    ):
        self.revision = revision
        self.listings = listings
        self.routes = routes
        self.fault = fault


class PublishedStore(Protocol):
    """A store that can be read and watched."""

    async def read_all(self, answer_seconds: float) -> Changes:
        """Read everything; changes made meanwhile are seen by a watch.

        Parameters
        ----------
        answer_seconds : float
            Time that each answer may take.

        Raises
        ------
        StoreError
            If the store did not answer in its documented form.
        """

    async def watch(
        self, after: int, seconds: float, answer_seconds: float
    ) -> Changes:
        """Wait for changes above a revision, for at most some seconds.

        Parameters
        ----------
        after : int
            The revision.
        seconds : float
            Time for which the store may wait.
        answer_seconds : float
            Time that its answer may take beyond that.

        Raises
        ------
        HistoryLostError
            If the changes since then are no longer known.
        StoreError
            If the store did not answer in its documented form.
        """

    async def read_changes(
        self, after: int, answer_seconds: float
    ) -> list[ListingChange]:
        """Return the changes of entries above a revision, in their order.

        Parameters
        ----------
        after : int
            The revision.
        answer_seconds : float
            Time that the answer may take.

        Raises
        ------
        HistoryLostError
            If not all of them are known any more.
        StoreError
            If the store did not answer in its documented form.
        """
