"""Chooses the targets that are asked next for the owner of an open flow."""

from collections.abc import Container
from collections.abc import Iterable

from chicorycart.address import Address
from chicorycart.packets.segment import Segment
from chicorycart.steering.choice import TargetChoice
from chicorycart.steering.entry_services import list_services_with_targets
from chicorycart.steering.flows import SteeredFlow
from chicorycart.steering.follow import StoreFollower
from chicorycart.steering.health import HealthTable
from chicorycart.steering.limits import MAX_CLOSING_TARGETS
from chicorycart.steering.limits import RANKED_TARGETS
from chicorycart.steering.limits import SEARCH_GROUP


class CandidateChoice:
    """Chooses the next group of possible owners of a flow.

    A group are the SEARCH_GROUP targets on which the flow was most likely
    placed of those that were not asked yet.

    The first group is of the service that the weights in force give. The
    others come from the services that may hold flows of the entry: the first
    group of each, then all other targets of each. Targets of services that no
    known version named for the entry are asked last, and only by a balancer
    that may have missed a version.

    Parameters
    ----------
    choice : TargetChoice
        Ranks the possible owners of a flow.
    health : HealthTable
        Tells which targets are suspended.
    follower : StoreFollower
        Knows the services that may hold flows of an entry.

    Attributes
    ----------
    directory : Directory
        Known targets.
    """

    __slots__ = ("choice", "directory", "health", "follower")

    def __init__(
        self,
        choice: TargetChoice,
        health: HealthTable,
        follower: StoreFollower,
    ):
        self.choice = choice
        self.directory = choice.directory
        self.health = health
        self.follower = follower

    def add(self, state: SteeredFlow, segment: Segment) -> list[Address]:
        """Add the next group of targets to the candidates of a flow.

        Suspended and silent targets are added in passing: they may hold the
        flow, but are not expected to answer, so that they delay no others.
        The end of a flow is offered to the most likely targets alone.

        Parameters
        ----------
        state : SteeredFlow
            The flow.
        segment : Segment
            Packet that they will be sent.

        Returns
        -------
        list of Address
            The added targets; empty if every possible owner was asked.
        """
        size = find_group_size(state, segment)
        if not size:
            return []
        is_first = not state.candidates and not state.non_owners
        if is_first and not self.has_remaining(state):
            state.possible_owners.extend(
                self.choice.list_possible_owners(state.service, state.flow)
            )
        if not self.has_unasked(state, segment.entry):
            return []
        added, responsive = self.take_group(state, size)
        services = self.follower.services
        if is_first and services.list_others(segment.entry, state.service):
            # The next group is of other services, so all are ranked then.
            state.possible_owners.clear()
        if added:
            state.awaited = set(responsive)
            state.candidates.update(dict.fromkeys(added))
            state.agent = next(iter(state.candidates))
            state.is_confirmed = False
        return added

    def has_unasked(self, state: SteeredFlow, entry: bytes) -> bool:
        """Tell whether any possible owner of a flow was not asked yet.

        If none remains of those that were ranked, all targets are ranked
        again, since some may have been listed or services added meanwhile.

        Parameters
        ----------
        state : SteeredFlow
            The flow; its possible owners are filled.
        entry : bytes
            Its entry, 6 bytes.
        """
        if not self.has_remaining(state):
            state.possible_owners.extend(self.list_unasked(state, entry))
        return self.has_remaining(state)

    def list_unasked(self, state: SteeredFlow, entry: bytes) -> list[Address]:
        """Return the possible owners of a flow that were not asked yet.

        Of the services that no known version named, only as many are ranked
        at once as have RANKED_TARGETS such targets.
        """
        follower = self.follower
        asked = state.non_owners | state.candidates.keys()
        others = follower.services.list_others(entry, state.service)
        known = [state.service, *others]
        owners = self.rank_services(state.flow, known, asked)
        if (
            not owners
            and entry in follower.routes.current.by_entry
            and not follower.knows_all_services()
        ):
            self.directory.unconfigured.admit()
            for service in list_services_with_targets(self.directory, known):
                owners += self.rank_services(state.flow, [service], asked)
                if len(owners) >= RANKED_TARGETS:
                    break
        return owners

    def rank_services(
        self, flow: bytes, services: Iterable[str], asked: Container[Address]
    ) -> list[Address]:
        """Return the targets of services that were not asked yet.

        The first SEARCH_GROUP of each service precede all others.
        """
        first: list[Address] = []
        later: list[Address] = []
        for service in services:
            ranked = self.choice.list_possible_owners(service, flow, asked)
            first += (a for a in ranked[:SEARCH_GROUP] if a not in asked)
            later += (a for a in ranked[SEARCH_GROUP:] if a not in asked)
        return first + later

    def take_group(
        self, state: SteeredFlow, size: int
    ) -> tuple[list[Address], list[Address]]:
        """Return the targets to be asked next, and the responsive ones.

        Parameters
        ----------
        state : SteeredFlow
            The flow; they are removed from its possible owners.
        size : int
            Number of responsive targets; with the others, twice as many are
            asked at most.
        """
        added: list[Address] = []
        responsive: list[Address] = []
        while (
            len(added) < 2 * size
            and len(responsive) < size
            and self.has_remaining(state)
        ):
            agent = state.possible_owners.popleft()
            added.append(agent)
            if self.is_responsive(agent):
                responsive.append(agent)
        return added, responsive

    def is_responsive(self, agent: Address) -> bool:
        """Tell whether a target is expected to answer at once."""
        return not (
            self.health.is_suspended(agent)
            or self.directory.vanished.is_silent(agent)
        )

    def has_remaining(self, state: SteeredFlow) -> bool:
        """Tell whether a known possible owner of a flow was not asked yet.

        Those that were asked, or are none any more, are removed from the
        possible owners up to the first one that remains.
        """
        owners = state.possible_owners
        while owners and not (
            owners[0] not in state.non_owners
            and owners[0] not in state.candidates
            and self.directory.is_possible_owner(owners[0])
        ):
            owners.popleft()
        return bool(owners)

    def depends_on_probes(self, state: SteeredFlow) -> bool:
        """Tell whether only targets that may end may still hold a flow."""
        agents = state.candidates or [state.agent]
        return all(map(self.directory.vanished.may_end, agents))

    def drop_gone(self, state: SteeredFlow) -> None:
        """Remove the candidates of a flow that hold no flows any more."""
        for agent in list(state.candidates):
            if not self.directory.is_possible_owner(agent):
                state.drop_candidate(agent)
                state.non_owners.add(agent)


def find_group_size(state: SteeredFlow, segment: Segment) -> int:
    """Return how many targets are to be asked next for the owner of a flow.

    Returns
    -------
    int
        0 if the segment ends the flow and enough were asked.
    """
    if not segment.is_closing:
        return SEARCH_GROUP
    asked = len(state.non_owners) + len(state.candidates)
    return max(0, min(SEARCH_GROUP, MAX_CLOSING_TARGETS - asked))
