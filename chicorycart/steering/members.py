"""Targets in a balancer's list, with their entries in the store."""

from logbook import Logger

from chicorycart.address import Address
from chicorycart.configuration.model import Target
from chicorycart.configuration.model import TargetState
from chicorycart.steering.published import ListedState
from chicorycart.steering.published import Listing

LOGGER = Logger("directory")
EQUAL_WEIGHT = 1.0
TARGET_STATES = {
    ListedState.READY: TargetState.ACTIVE,
    ListedState.DRAINING: TargetState.DRAINING,
}


class Member:
    """A target in the directory, with its latest entry in the store.

    Attributes
    ----------
    target : Target
        The target in the form that placement ranks.
    listing : Listing
        Its entry in the store.
    revision : int
        Revision of the store at which the entry was last written or removed.
    lapses_at : float or None
        Time at which a target whose entry vanished is discarded; None while
        it is listed.
    took_over_address : bool
        Whether the store also listed a former host at the same address.
    """

    __slots__ = (
        "target",
        "listing",
        "revision",
        "lapses_at",
        "took_over_address",
    )

    def __init__(self, target: Target, listing: Listing, revision: int):
        self.target = target
        self.listing = listing
        self.revision = revision
        self.lapses_at: float | None = None
        self.took_over_address = False

    @property
    def takes_new_work(self) -> bool:
        """Whether new flows may be placed on the target."""
        return self.target.takes_new_work


def make_target(listing: Listing, agent_port: int) -> Target:
    """Return the target of an entry in the form that placement ranks."""
    return Target(
        listing.name,
        Address(listing.address.host, agent_port),
        listing.domain,
        EQUAL_WEIGHT,
        listing.slots,
        TARGET_STATES[listing.state],
    )


def log_listed(listing: Listing, revision: int) -> None:
    """Log an entry that is new or has changed."""
    LOGGER.info(
        "event=target_listed target={} service={} address={} state={}"
        " slots={} incarnation={} cold_seconds={:.1f} revision={}",
        listing.name,
        listing.service,
        listing.address,
        listing.state,
        listing.slots,
        listing.incarnation,
        listing.cold_seconds,
        revision,
    )


def is_older(listing: Listing, revision: int, other: Member) -> bool:
    """Tell whether an entry is older than the other one at its address.

    The entry of a host that died stays in the store until it expires, beside
    the entry of the host that was started at the same address.
    """
    known = other.listing.incarnation, other.revision
    return (listing.incarnation, revision) < known
