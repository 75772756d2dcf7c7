"""Keeps the chains of the buckets that packets came for."""

from collections import OrderedDict

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.configuration.model import Service
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.defaults import CHAIN_CACHE_ENTRIES
from chicorycart.packets.forward import encode_header
from chicorycart.placement.chain import build_chain
from chicorycart.placement.chain import Suspicions


class Route:
    """A chain, ready to be sent along.

    Attributes
    ----------
    chain : tuple of int
        Packed addresses of the agents to try, in order.
    first : Address or None
        Where the first agent takes datagrams; None without any target.
    header : bytes
        What goes between the version and a packet.
    """

    __slots__ = ("chain", "first", "header")

    def __init__(
        self, service: int, chain: tuple[int, ...], first: Address | None
    ):
        self.chain = chain
        self.first = first
        self.header = encode_header(service, chain, hops=1)


class ServiceBasis:
    """All that the chains of one service depend on.

    Parameters
    ----------
    service : Service
        The service as it is in force.
    store : ConfigurationStore
        Gives its replaced states.
    suspicions : Suspicions
        Gives the suspected ones of their targets.
    """

    __slots__ = ("service", "replaced", "suspected")

    def __init__(
        self,
        service: Service,
        store: ConfigurationStore,
        suspicions: Suspicions,
    ):
        self.service = service
        self.replaced = store.list_replaced(service.name)
        self.suspected = frozenset(
            target.agent
            for state in (service, *self.replaced)
            for target in state.targets
            if suspicions.is_suspected(target)
        )

    def gives_chains_of(self, other: "ServiceBasis") -> bool:
        """Tell whether chains built on the other one are still right."""
        return (
            self.suspected == other.suspected
            and self.service.has_state_of(other.service)
            and len(self.replaced) == len(other.replaced)
            and all(map(Service.has_state_of, self.replaced, other.replaced))
        )


class ServiceChains:
    """The chains of one service.

    Attributes
    ----------
    basis : ServiceBasis
        What they were built on.
    changes : int
        Changes of suspicions at the time when the basis was looked at.
    expiry : float
        When a replaced state leaves the basis.
    routes : dict of int to Route
        By bucket.
    shared : dict of tuple to Route
        By chain, since many buckets have the same.
    packed : dict of Address to int
        Packed addresses of the agents.
    """

    __slots__ = ("basis", "changes", "expiry", "routes", "shared", "packed")

    def __init__(self, basis: ServiceBasis):
        self.basis = basis
        self.changes = 0
        self.expiry = 0.0
        self.routes: dict[int, Route] = {}
        self.shared: dict[tuple[int, ...], Route] = {}
        self.packed: dict[Address, int] = {}

    def build(self, bucket: int, suspicions: Suspicions) -> Route:
        """Build the chain of a bucket."""
        service = self.basis.service
        targets = build_chain(service, self.basis.replaced, bucket, suspicions)
        chain = tuple(self.pack(target.agent) for target in targets)
        route = self.shared.get(chain)
        if route is None:
            first = targets[0].agent if targets else None
            route = Route(service.identifier, chain, first)
            self.shared[chain] = route
        self.routes[bucket] = route
        return route

    def pack(self, agent: Address) -> int:
        """Return the packed address, the same object at each call."""
        packed = self.packed.get(agent)
        if packed is None:
            packed = self.packed[agent] = pack_address(agent)
        return packed


class ChainCache:
    """Chains by service and bucket, built when first needed.

    What chains depend on is compared service by service when a packet of
    the service comes: a new version or suspicion costs nothing for the
    services that it leaves alone. When there are too many chains, those of
    the least recently used service go.

    Parameters
    ----------
    store : ConfigurationStore
        Gives the service's current and replaced states.
    suspicions : Suspicions
        Moves suspected agents to the end of a chain.
    """

    __slots__ = ("store", "suspicions", "services", "changes", "count")

    def __init__(self, store: ConfigurationStore, suspicions: Suspicions):
        self.store = store
        self.suspicions = suspicions
        self.services: OrderedDict[int, ServiceChains] = OrderedDict()
        self.changes = 0
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def clear(self) -> None:
        """Look again at what is suspected before chains are used."""
        self.changes += 1

    def find(self, service: Service, bucket: int) -> Route:
        """Return the route of a bucket."""
        chains = self.services.get(service.identifier)
        if chains is None or not self.is_current(chains, service):
            chains = self.renew(chains, service)
        self.services.move_to_end(service.identifier)
        route = chains.routes.get(bucket)
        if route is None:
            route = chains.build(bucket, self.suspicions)
            self.count += 1
            self.shrink()
        return route

    def is_current(self, chains: ServiceChains, service: Service) -> bool:
        """Tell whether nothing has changed since the chains were renewed."""
        return (
            chains.basis.service is service
            and chains.changes == self.changes
            and self.store.clock.now() < chains.expiry
        )

    def renew(
        self, chains: ServiceChains | None, service: Service
    ) -> ServiceChains:
        """Keep the chains of a service if they are right, else drop them."""
        basis = ServiceBasis(service, self.store, self.suspicions)
        if chains is None or not basis.gives_chains_of(chains.basis):
            self.count -= len(chains.routes) if chains else 0
            chains = ServiceChains(basis)
            self.services[service.identifier] = chains
        chains.basis = basis
        chains.changes = self.changes
        chains.expiry = self.store.next_expiry(service.name)
        return chains

    def shrink(self) -> None:
        """Drop the least recently used services while there are too many."""
        while self.count > CHAIN_CACHE_ENTRIES and len(self.services) > 1:
            _, chains = self.services.popitem(last=False)
            self.count -= len(chains.routes)
