"""Services that may hold the open flows of an entry."""

from collections.abc import Iterable

from chicorycart.address import Address
from chicorycart.clock import Clock
from chicorycart.steering.directory import Directory
from chicorycart.steering.flows import SteeredFlow
from chicorycart.steering.routes import NO_ROUTES
from chicorycart.steering.routes import RoutesInForce
from chicorycart.steering.routes import RouteTable


class EntryServices:
    """Records the services that versions of the configuration named.

    Open flows stay with the service that took them, whatever later versions
    say, and other balancers may have opened them by any version that the
    store has held. A service that left a route is kept for as long as a flow
    may be idle, and longer while it is configured, since flows that are used
    live on.

    Parameters
    ----------
    clock : Clock
        Measures for how long services are kept.
    routes : RoutesInForce
        The routes in force.
    flow_ttl_seconds : float
        Idle time after which a flow may be forgotten.

    Attributes
    ----------
    published : RouteTable
        The routes that were read last. After the store was restored from a
        copy, their version may be lower than the one in force; balancers
        that have started since then use them.
    superseded : RouteTable
        The routes that were in force when routes were recorded last.
    former : dict of bytes to dict of str to float
        Services that left the route of an entry, with the time; only entries
        with such services.
    gap_at : float or None
        Time of the last reading of routes before which others may have been
        published that were not read; None before the first one.
    changes : int
        Number of readings of routes.
    """

    __slots__ = (
        "clock",
        "routes",
        "flow_ttl_seconds",
        "published",
        "superseded",
        "former",
        "gap_at",
        "changes",
    )

    def __init__(
        self, clock: Clock, routes: RoutesInForce, flow_ttl_seconds: float
    ):
        self.clock = clock
        self.routes = routes
        self.flow_ttl_seconds = flow_ttl_seconds
        self.published: RouteTable = NO_ROUTES
        self.superseded: RouteTable = NO_ROUTES
        self.former: dict[bytes, dict[str, float]] = {}
        self.gap_at: float | None = None
        self.changes = 0

    def record(self, routes: RouteTable) -> None:
        """Record routes that were read, whether or not they are in force.

        An answer of the store has the newest version only, so a gap between
        two versions shows that others were not read.
        """
        now = self.clock.now()
        before = self.published
        if (
            self.gap_at is None
            or not 0 <= routes.version - before.version <= 1
        ):
            self.gap_at = now
        self.changes += 1
        self.published = routes
        self.record_former(before, now)
        if self.superseded is not before:
            self.record_former(self.superseded, now)
        self.superseded = self.routes.current
        self.drop_expired(now)

    def record_former(self, before: RouteTable, now: float) -> None:
        """Record the services of earlier routes that present ones lack."""
        for entry, route in before.by_entry.items():
            named = self.list_named(entry)
            left = {name for name, _ in route.services}.difference(named)
            if left:
                former = self.former.setdefault(entry, {})
                former.update(dict.fromkeys(sorted(left), now))

    def drop_expired(self, now: float) -> None:
        """Drop former services that are not configured and hold no flows.

        This runs at an answer of the store only, so that none is dropped
        while the store is out of reach.
        """
        configured = self.routes.current.services | self.published.services
        oldest = now - self.flow_ttl_seconds
        for entry, former in list(self.former.items()):
            for name, left_at in list(former.items()):
                if left_at < oldest and name not in configured:
                    del former[name]
            if not former:
                del self.former[entry]

    def list_named(self, entry: bytes) -> dict[str, None]:
        """Return the services that present routes name for an entry.

        Those of weight 0 are among them.
        """
        named: dict[str, None] = {}
        for table in (self.routes.current, self.published):
            route = table.by_entry.get(entry)
            if route is not None:
                named.update((name, None) for name, _ in route.services)
        return named

    def list_others(self, entry: bytes, service: str) -> list[str]:
        """Return the known services of an entry other than a given one.

        Returns
        -------
        list of str
            Those of the present routes first; empty for most entries, and
            if the entry has no route in force.
        """
        if entry not in self.routes.current.by_entry:
            return []
        known = self.list_named(entry)
        known.update(dict.fromkeys(self.former.get(entry, ())))
        known.pop(service, None)
        return list(known)

    def is_complete(self, since: float) -> bool:
        """Tell whether every version was read that may have opened a flow.

        Parameters
        ----------
        since : float
            Time since which the store has been followed without a break.
        """
        if self.gap_at is None:
            return False
        complete_since = max(self.gap_at, since)
        return self.clock.now() - complete_since > self.flow_ttl_seconds


def find_service(directory: Directory, agent: Address) -> str | None:
    """Return the service of an agent's host; None if it is not known."""
    told = directory.told_services.get(agent.host)
    if told is not None:
        return told
    member = directory.find_by_host(agent.host)
    if member is not None:
        return member.listing.service
    vanished = directory.vanished.find(agent)
    return vanished.listing.service if vanished is not None else None


def record_owner(
    state: SteeredFlow, directory: Directory, agent: Address
) -> None:
    """Record the agent whose host holds a flow, and the host's service.

    Another version of the configuration, or another balancer, may have
    offered the flow to the host of another service than the present one.
    """
    state.record_owner(agent)
    state.service = find_service(directory, agent) or state.service


def list_services_with_targets(
    directory: Directory, excluded: Iterable[str]
) -> list[str]:
    """Return the services that have targets, also vanished ones.

    Parameters
    ----------
    directory : Directory
        Known targets.
    excluded : iterable of str
        Services to leave out.
    """
    services = dict.fromkeys(directory.services)
    for vanished in directory.vanished.list_all():
        services[vanished.listing.service] = None
    for name in excluded:
        services.pop(name, None)
    return list(services)
