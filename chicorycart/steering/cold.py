"""Targets that are warming up, as a balancer knows them."""

from math import ceil
from math import floor
from reprlib import repr as shorten

from chicorycart.address import Address
from chicorycart.clock import Clock
from chicorycart.operation.events import EventLog
from chicorycart.steering.directory import Directory
from chicorycart.steering.evacuation_state import Transition
from chicorycart.steering.follow import RoutesInForce
from chicorycart.steering.limits import COLD_STEP_SECONDS
from chicorycart.steering.limits import COLD_WINDOW_SECONDS
from chicorycart.steering.limits import RESUME_SECONDS
from chicorycart.steering.members import Member
from chicorycart.steering.messages import MAX_COLD_MS
from chicorycart.steering.messages import MAX_COUNT
from chicorycart.steering.messages import NO_COLD_TIME
from chicorycart.steering.routes import ColdStart
from chicorycart.steering.routes import NO_ROUTES
from chicorycart.steering.settings import Bounds
from chicorycart.units import MILLISECONDS


class ColdTargets:
    """Cold targets as a balancer knows them, and those closed for now.

    Parameters
    ----------
    clock : Clock
        Measures cold times, from the moment at which an entry was read.
    directory : Directory
        Known targets; its entries are observed from now on.
    routes : RoutesInForce
        Cold starts of the services.
    bounds : Bounds
        Factor and slack of the limits; without both of them no target counts
        as cold.
    events : EventLog
        Logs closed targets and services without a limit.

    Attributes
    ----------
    cold_until : dict of Address to float
        End of the cold time that the entry of a target shows, by its agent.
    marked_at : dict of str to float
        Time since which all targets of a domain count as cold, for the cold
        start of their service.
    closed_until : dict of Address to float
        Time until which a target gets no openings from this balancer, since
        its agent declined one.
    limits : dict of str to int
        Openings that a cold target of a service may get in a second.
    version : int
        Version of the configuration that the limits are of.
    """

    __slots__ = (
        "clock",
        "directory",
        "routes",
        "bounds",
        "events",
        "cold_until",
        "marked_at",
        "closed_until",
        "limits",
        "version",
    )

    def __init__(
        self,
        clock: Clock,
        directory: Directory,
        routes: RoutesInForce,
        bounds: Bounds,
        events: EventLog,
    ):
        self.clock = clock
        self.directory = directory
        self.routes = routes
        self.bounds = bounds
        self.events = events
        self.cold_until: dict[Address, float] = {}
        self.marked_at: dict[str, float] = {}
        self.closed_until: dict[Address, float] = {}
        self.limits: dict[str, int] = {}
        self.version = NO_ROUTES.version
        directory.observe_listed = self.record_listed

    def record_listed(self, member: Member, known: Member | None) -> None:
        """Record the cold time of an entry that was just read.

        An entry that is read once more, as it was written before, shows the
        rest of the cold time at its writing: it does not begin anew.
        """
        if not self.bounds.has_cold_limit:
            return
        agent = member.target.agent
        if (
            known is not None
            and known.revision == member.revision
            and known.target.agent == agent
            and known.listing.incarnation == member.listing.incarnation
        ):
            return
        if member.listing.cold_seconds > 0:
            self.cold_until[agent] = (
                self.clock.now() + member.listing.cold_seconds
            )
        else:
            self.cold_until.pop(agent, None)

    def mark_domain_cold(self, domain: str) -> None:
        """Take every target of a failure domain as cold from now on.

        It lasts for the cold start of the target's service, or for the rest
        that its entry shows if that is longer.
        """
        if self.bounds.has_cold_limit:
            self.marked_at[domain] = self.clock.now()

    def handle_transition(self, transition: Transition) -> None:
        """Take the targets of a domain as cold once it is taken back."""
        if not transition.is_evacuated:
            self.mark_domain_cold(transition.domain)

    def find_seconds(self, member: Member) -> float:
        """Return the rest of a target's cold time; 0 if it is warm."""
        until = self.cold_until.get(member.target.agent, 0.0)
        marked_at = self.marked_at.get(member.listing.domain)
        if marked_at is not None:
            start = self.find_cold_start(member.listing.service)
            until = max(until, marked_at + start.seconds)
        return max(0.0, until - self.clock.now())

    def find_cold_start(self, service: str) -> ColdStart:
        """Return the configured cold start of a service."""
        return self.routes.current.cold_starts.get(service, NO_COLD_START)

    def is_cold(self, member: Member) -> bool:
        """Tell whether a target is warming up."""
        return self.find_seconds(member) > 0

    def list_cold(self) -> list[Member]:
        """Return the cold targets."""
        if not self.cold_until and not self.marked_at:
            return []
        members = self.directory.members.values()
        return [member for member in members if self.is_cold(member)]

    def describe(self) -> dict[str, float]:
        """Return the rest of the cold time of each cold target, in seconds."""
        return {
            member.listing.name: round(self.find_seconds(member), 1)
            for member in self.list_cold()
        }

    def find_notice(self, agent: Address) -> tuple[int, int]:
        """Return what an opening packet tells the agent of a target.

        Returns
        -------
        tuple of int
            Rest of the cold time in milliseconds, rounded up so that few
            headers differ, and the limit in openings a second; NO_COLD_TIME
            for a warm target and for one without a limit.
        """
        member = self.directory.find_by_host(agent.host)
        if member is None:
            return NO_COLD_TIME
        seconds = self.find_seconds(member)
        if not seconds:
            return NO_COLD_TIME
        self.update_limits()
        service = member.listing.service
        limit = self.limits.get(service)
        if limit is None:
            return NO_COLD_TIME
        if not self.find_cold_start(service).per_second:
            if self.is_mostly_cold(service):
                return NO_COLD_TIME
            # The agent keeps a limit for the time that it was told. After a
            # loss of power, balancers see most targets cold only once they
            # have read all entries.
            seconds = COLD_STEP_SECONDS
        step_ms = round(COLD_STEP_SECONDS * MILLISECONDS)
        steps = ceil(seconds / COLD_STEP_SECONDS)
        return min(steps * step_ms, MAX_COLD_MS), limit

    def is_mostly_cold(self, service: str) -> bool:
        """Tell whether fewer than half of a service's targets are warm.

        A rate of 0 would then leave its callers without service until the
        targets are warm.
        """
        takers = [
            member
            for member in self.directory.services.get(service, {}).values()
            if member.takes_new_work
        ]
        return 2 * sum(map(self.is_cold, takers)) > len(takers)

    def close(self, agent: Address, retry_ms: int) -> None:
        """Leave a target out for openings until the time that it told."""
        now = self.clock.now()
        if not self.is_closed(agent):
            self.events.record(
                "target_closed",
                "agent={} reason={!r} retry_ms={}",
                agent,
                "cold and at its limit",
                retry_ms,
            )
        # Shorter than a turn of the waiting packets, it would be offered and
        # declined once a round trip.
        seconds = max(retry_ms / MILLISECONDS, RESUME_SECONDS)
        until = now + min(seconds, COLD_WINDOW_SECONDS)
        self.closed_until[agent] = max(
            until, self.closed_until.get(agent, until)
        )

    def is_closed(self, agent: Address) -> bool:
        """Tell whether a target gets no openings for now."""
        until = self.closed_until.get(agent)
        return until is not None and self.clock.now() < until

    def sweep(self) -> None:
        """Drop what has expired; read the limits of a new configuration."""
        now = self.clock.now()
        self.update_limits()
        for times in (self.cold_until, self.closed_until):
            for agent in [a for a, until in times.items() if until <= now]:
                del times[agent]
        starts = self.routes.current.cold_starts.values()
        longest = max((start.seconds for start in starts), default=0.0)
        for domain, since in list(self.marked_at.items()):
            if since + longest <= now:
                del self.marked_at[domain]

    def update_limits(self) -> None:
        """Work out the limits once for each version of the configuration."""
        routes = self.routes.current
        if not self.bounds.has_cold_limit or routes.version == self.version:
            return
        self.version = routes.version
        self.limits = {}
        unlimited = []
        for service in sorted(routes.services):
            per_second = self.find_cold_start(service).per_second
            if per_second is None:
                unlimited.append(service)
                continue
            limit = per_second * self.bounds.cold_over + self.bounds.cold_slack
            self.limits[service] = floor(min(limit, MAX_COUNT))
        if unlimited:
            self.events.record(
                "cold_limit_unused",
                "version={} services={} count={}",
                routes.version,
                shorten(unlimited),
                len(unlimited),
            )


NO_COLD_START = ColdStart(0.0, None)
