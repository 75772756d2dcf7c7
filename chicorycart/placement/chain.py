"""Builds the chain of a bucket: the targets to try for a flow, in order."""

from collections.abc import Iterable
from typing import Protocol

from chicorycart.configuration.model import Service
from chicorycart.configuration.model import Target
from chicorycart.defaults import BUCKETS_PER_SERVICE
from chicorycart.defaults import CURRENT_CANDIDATES
from chicorycart.defaults import MAX_CHAIN_LENGTH
from chicorycart.placement.rendezvous import rank_targets


class Suspicions(Protocol):
    """Knows which agents are suspected to be dead."""

    def is_suspected(self, target: Target) -> bool:
        """Return whether the target's agent is currently suspected."""


class NoSuspicions:
    """Suspects no agent."""

    __slots__ = ()

    def is_suspected(self, target: Target) -> bool:
        """Return False."""
        return False


def bucket_of(flow_hash: int) -> int:
    """Return the bucket of a flow within its service."""
    return flow_hash % BUCKETS_PER_SERVICE


def choose_candidates(service: Service, bucket: int) -> list[Target]:
    """Return the targets that may accept a new flow of the bucket.

    If no target is active, the draining ones are the candidates, so that a
    service whose targets all drain still accepts flows.
    """
    active = [t for t in service.targets if t.takes_new_work]
    ranked = rank_targets(active or service.targets, bucket)
    return ranked[:CURRENT_CANDIDATES]


def build_chain(
    service: Service,
    replaced: Iterable[Service],
    bucket: int,
    suspicions: Suspicions,
) -> list[Target]:
    """Return the targets to try for a flow of the bucket, in order.

    Parameters
    ----------
    service : Service
        The service in the configuration in force.
    replaced : iterable of Service
        Its recently replaced states, newest first.
    bucket : int
        Bucket of the flow.
    suspicions : Suspicions
        Suspected targets are moved to the end. They are kept, because
        they may still own open flows.

    Returns
    -------
    list of Target
        Current candidates, then those of replaced states, without
        duplicates, at most `MAX_CHAIN_LENGTH`. If all of them are
        suspected, the other targets of the service are added and those
        that are not suspected come first: during a network partition, one
        of them may be a draining target that owns the flow.
    """
    chain = choose_candidates(service, bucket)
    seen = {target.agent for target in chain}
    for state in replaced:
        for target in choose_candidates(state, bucket):
            if target.agent not in seen:
                seen.add(target.agent)
                chain.append(target)
    if all(map(suspicions.is_suspected, chain)):
        chain += [t for t in service.targets if t.agent not in seen]
    chain.sort(key=suspicions.is_suspected)
    return chain[:MAX_CHAIN_LENGTH]
