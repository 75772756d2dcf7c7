"""Ranks the targets of a service for a flow and chooses among them."""

from collections.abc import Collection
from collections.abc import Container
from math import floor

from chicorycart.address import Address
from chicorycart.configuration.model import Target
from chicorycart.defaults import CURRENT_CANDIDATES
from chicorycart.packets.flow import hash_flow
from chicorycart.placement.chain import bucket_of
from chicorycart.placement.rendezvous import score_target
from chicorycart.steering.cold import ColdTargets
from chicorycart.steering.directory import Directory
from chicorycart.steering.evacuation import EvacuatedDomains
from chicorycart.steering.health import HealthTable
from chicorycart.steering.limits import COLD_WORK_FACTOR
from chicorycart.steering.limits import DEFAULT_AIM_SECONDS
from chicorycart.steering.limits import LOAD_STEP_PER_SLOT
from chicorycart.steering.limits import QUEUE_PER_SLOT
from chicorycart.steering.members import Member

ROUNDING = 1e-9


class TargetChoice:
    """Chooses targets for new flows and ranks possible owners of open ones.

    The ranking of a flow is rendezvous hashing over the listed targets, so
    it is the same at every balancer: one that has no state of a flow finds
    its owner among the first.

    Parameters
    ----------
    directory : Directory
        Targets of each service.
    health : HealthTable
        Load and suspension of each target.
    domain : str
        Failure domain of the own instance; traffic to targets there does
        not leave the domain.
    cold : ColdTargets
        Targets that are cold, and those that get no openings for now.
    evacuated : EvacuatedDomains, optional
        Failure domains whose targets get no new flows.
    """

    __slots__ = ("directory", "health", "domain", "cold", "evacuated")

    def __init__(
        self,
        directory: Directory,
        health: HealthTable,
        domain: str,
        cold: ColdTargets,
        evacuated: EvacuatedDomains | None = None,
    ):
        self.directory = directory
        self.health = health
        self.domain = domain
        self.cold = cold
        self.evacuated = evacuated or EvacuatedDomains(directory.clock)

    def rank(self, service: str, flow: bytes) -> list[Member]:
        """Return all targets of a service in the preference order of a flow.

        Targets that are no longer listed come last.
        """
        bucket = bucket_of(hash_flow(flow))
        members = self.directory.list_members(service)
        members.sort(
            key=lambda m: (m.lapses_at is None, *score(m.target, bucket)),
            reverse=True,
        )
        return members

    def list_possible_owners(
        self, service: str, flow: bytes, asked: Container[Address] = ()
    ) -> list[Address]:
        """Return the agents that may hold an open flow, most likely first.

        Draining and leaving targets, and those of a service that left the
        configuration, keep the places that they had when flows were placed on
        them.

        Parameters
        ----------
        service : str
            Service whose targets are ranked.
        flow : bytes
            Five-tuple.
        asked : container of Address, optional
            Agents that were asked already. If there are no others, none is
            returned, which saves ranking them.
        """
        bucket = bucket_of(hash_flow(flow))
        members = self.directory.list_members(service)
        vanished = self.directory.vanished.list_possible_owners(service)
        if all(m.target.agent in asked for m in (*members, *vanished)):
            return []
        targets = [
            *((True, m.target) for m in members if m.lapses_at is None),
            *((True, v.target) for v in vanished if v.keeps_rank),
            *((False, m.target) for m in members if m.lapses_at is not None),
        ]
        targets.sort(
            key=lambda ranked: (ranked[0], *score(ranked[1], bucket)),
            reverse=True,
        )
        return [
            *(target.agent for _, target in targets),
            *(v.target.agent for v in vanished if not v.keeps_rank),
        ]

    def choose(
        self,
        service: str,
        flow: bytes,
        excluded: Collection[Address],
        aim_seconds: float = DEFAULT_AIM_SECONDS,
    ) -> Member | None:
        """Return the target that an opening flow is offered to next.

        Parameters
        ----------
        service : str
            Service of the flow.
        flow : bytes
            Five-tuple.
        excluded : collection of Address
            Agents that the flow was already offered to.
        aim_seconds : float, optional
            Latency objective of the flow's route.

        Returns
        -------
        Member or None
            The one of the first candidates with the shortest expected time
            to an answer; among those of about the same time, a warm one, and
            then one of the own failure domain. None if no target is left that
            accepts new flows now.
        """
        members = self.rank(service, flow)
        self.health.refresh_times(service, members)
        available = [
            member
            for member in members
            if self.accepts(member)
            and member.target.agent not in excluded
            and not self.cold.is_closed(member.target.agent)
        ]
        # The sort is stable, so it keeps the preference order of the flow
        # among targets that are up and among those that may be down.
        available.sort(key=self.may_be_down)
        candidates = available[: max(1, CURRENT_CANDIDATES - len(excluded))]
        return min(
            candidates,
            key=lambda member: self.compute_cost(member, aim_seconds),
            default=None,
        )

    def may_be_down(self, member: Member) -> bool:
        """Tell whether a target is suspended or no longer listed."""
        return member.lapses_at is not None or self.health.is_suspended(
            member.target.agent
        )

    def is_available(self, member: Member) -> bool:
        """Tell whether a target seems to be up and accepts new flows."""
        return (
            self.accepts(member)
            and not self.may_be_down(member)
            and not self.cold.is_closed(member.target.agent)
        )

    def can_queue(self, member: Member) -> bool:
        """Tell whether a flow may be queued at a target."""
        return self.is_available(member) and self.health.has_room(
            member.target.agent, find_queue_limit(member)
        )

    def accepts(self, member: Member) -> bool:
        """Tell whether new flows may be placed on a target."""
        return member.takes_new_work and not self.evacuated.covers(member)

    def has_closed(self, service: str) -> bool:
        """Tell whether a closed target of a service accepts flows later."""
        return bool(self.cold.closed_until) and any(
            self.accepts(member) and self.cold.is_closed(member.target.agent)
            for member in self.directory.list_members(service)
        )

    def is_every_evacuated(self, service: str) -> bool:
        """Tell whether only evacuated targets would accept new flows."""
        if not self.evacuated.has_any():
            return False
        takers = [
            member
            for member in self.directory.list_members(service)
            if member.takes_new_work
        ]
        return bool(takers) and all(map(self.evacuated.covers, takers))

    def is_agent_evacuated(self, agent: Address) -> bool:
        """Tell whether an agent's host is in an evacuated domain."""
        if not self.evacuated.current:
            return False
        known = self.directory.find_by_host(
            agent.host
        ) or self.directory.vanished.find(agent)
        return known is not None and self.evacuated.is_evacuated(
            known.target.domain
        )

    def compute_cost(
        self, member: Member, aim_seconds: float
    ) -> tuple[bool, int, bool, bool, float]:
        """Return the sort key of a candidate; the lowest is chosen."""
        own_time = 1 / member.target.slots
        waiting = self.health.estimate_time(member, aim_seconds) - own_time
        is_cold = self.cold.is_cold(member)
        if is_cold:
            waiting *= COLD_WORK_FACTOR
        # Steps go without the flow itself, so that those of targets that are
        # all alike are those of their work. The difference of two fractions
        # may fall just below a step.
        return (
            self.may_be_down(member),
            floor((waiting + ROUNDING) / LOAD_STEP_PER_SLOT),
            is_cold,
            member.target.domain != self.domain,
            waiting + own_time,
        )


def find_queue_limit(member: Member) -> int:
    """Return the requests in progress from which a target gets no flow."""
    return QUEUE_PER_SLOT * member.target.slots


def score(target: Target, bucket: int) -> tuple[float, str]:
    """Return the sort key of a target in the preference order of a bucket."""
    return score_target(target, bucket), target.name
