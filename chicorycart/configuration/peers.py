"""The balancers that a process learns versions from."""

from collections.abc import Iterable
from random import Random
from typing import Protocol

from chicorycart.address import Address
from chicorycart.clock import Clock
from chicorycart.defaults import MAX_KEPT_PEERS
from chicorycart.defaults import PEER_KEEP_SECONDS
from chicorycart.defaults import PUSH_REMOTE_SHARE

BALANCER_ROLE = "balancer"


class Peer(Protocol):
    """An entry of the instance list.

    Attributes
    ----------
    name, role, domain : str
        Unique name, role of the daemon there and its failure domain.
    data, control : Address
        Where it takes datagrams and serves whole versions.
    """

    name: str
    role: str
    domain: str
    data: Address
    control: Address


class PeerTable:
    """The listed balancers and those that were heard lately.

    The list lags and may be wrong: a balancer that it leaves out stays for
    as long as it is heard.

    Parameters
    ----------
    own : str
        Name of the own instance, which is no peer.
    domain : str
        Own failure domain.
    clock : Clock
        Ages what was heard.

    Attributes
    ----------
    last_contacts : dict of Address to float
        When each peer was last heard, by its data address.
    """

    __slots__ = (
        "own",
        "domain",
        "clock",
        "peers",
        "last_contacts",
        "listed_at",
    )

    def __init__(self, own: str, domain: str, clock: Clock):
        self.own = own
        self.domain = domain
        self.clock = clock
        self.peers: dict[Address, Peer] = {}
        self.last_contacts: dict[Address, float] = {}
        self.listed_at: dict[Address, float] = {}

    def change_instances(self, instances: Iterable[Peer]) -> None:
        """Take over a list; keep those who are heard without it."""
        now = self.clock.now()
        listed = {
            instance.data: instance
            for instance in instances
            if instance.role == BALANCER_ROLE and instance.name != self.own
        }
        kept = [
            address
            for address in self.peers
            if address not in listed
            and now - self.last_contact(address) <= PEER_KEEP_SECONDS
        ]
        kept.sort(key=self.last_contact, reverse=True)
        for address in kept[:MAX_KEPT_PEERS]:
            listed[address] = self.peers[address]
        self.peers = listed
        self.listed_at = {
            address: self.listed_at.get(address, now) for address in listed
        }
        self.last_contacts = {
            a: t for a, t in self.last_contacts.items() if a in listed
        }

    def resolve(self, source: Address) -> Address:
        """Return the data address of a peer that may send from another port.

        A peer whose path went silent goes on from a new source port.
        """
        if source in self.peers:
            return source
        same_host = (a for a in self.peers if a.host == source.host)
        return next(same_host, source)

    def find(self, source: Address) -> Peer | None:
        """Return the peer that a datagram came from, if it is known."""
        return self.peers.get(self.resolve(source))

    def record_contact(self, source: Address) -> None:
        """Remember that a datagram came from a peer."""
        address = self.resolve(source)
        if address in self.peers:
            self.last_contacts[address] = self.clock.now()

    def last_contact(self, address: Address) -> float:
        """Return when a peer was last heard; long ago if never."""
        return self.last_contacts.get(address, float("-inf"))

    def is_silent(self, address: Address, seconds: float) -> bool:
        """Tell whether a peer was neither heard nor first listed lately."""
        since = max(
            self.last_contact(address),
            self.listed_at.get(address, float("-inf")),
        )
        return self.clock.now() - since > seconds

    def has_heard_any(self, seconds: float) -> bool:
        """Tell whether any peer was heard lately."""
        oldest = self.clock.now() - seconds
        return any(at >= oldest for at in self.last_contacts.values())

    def list_domain(self) -> list[Peer]:
        """Return the peers of the own failure domain."""
        return [p for p in self.peers.values() if p.domain == self.domain]


class PeerPicker(Protocol):
    """Chooses the peers that versions are exchanged with."""

    def pick(self, count: int) -> list[Peer]:
        """Return up to so many different peers."""


class FlatPicker:
    """Picks among all peers alike.

    Parameters
    ----------
    table : PeerTable
        The peers.
    random : Random
        Makes the choice.
    """

    __slots__ = ("table", "random", "known", "peers")

    def __init__(self, table: PeerTable, random: Random):
        self.table = table
        self.random = random
        self.known: dict[Address, Peer] | None = None
        self.peers: list[Peer] = []

    def pick(self, count: int) -> list[Peer]:
        """Return up to so many different peers."""
        if self.known is not self.table.peers:
            self.known = self.table.peers
            self.peers = list(self.known.values())
        return self.random.sample(self.peers, min(count, len(self.peers)))


class DomainPicker:
    """Picks mostly within the own failure domain.

    Parameters
    ----------
    table : PeerTable
        The peers.
    random : Random
        Makes the choice.
    remote_share : float, optional
        Share of the choices that fall outside the own domain.
    """

    __slots__ = (
        "table",
        "random",
        "remote_share",
        "known",
        "near",
        "remote",
    )

    def __init__(
        self,
        table: PeerTable,
        random: Random,
        remote_share: float = PUSH_REMOTE_SHARE,
    ):
        self.table = table
        self.random = random
        self.remote_share = remote_share
        self.known: dict[Address, Peer] | None = None
        self.near: list[Peer] = []
        self.remote: list[Peer] = []

    def pick(self, count: int) -> list[Peer]:
        """Return up to so many different peers."""
        if self.known is not self.table.peers:
            self.sort_peers()
        remote = sum(
            self.random.random() < self.remote_share for _ in range(count)
        )
        remote = max(remote, count - len(self.near))
        remote = min(remote, len(self.remote))
        near = min(count - remote, len(self.near))
        return [
            *self.random.sample(self.near, near),
            *self.random.sample(self.remote, remote),
        ]

    def sort_peers(self) -> None:
        """Part the peers into those of the own domain and the others."""
        self.known = self.table.peers
        domain = self.table.domain
        peers = self.known.values()
        self.near = [p for p in peers if p.domain == domain]
        self.remote = [p for p in peers if p.domain != domain]
