"""The ordered list of targets that a flow's packets are offered to."""

from collections.abc import Iterable
from typing import Protocol

from chicorycart.configuration.model import Service
from chicorycart.configuration.model import Target
from chicorycart.defaults import BUCKETS_PER_SERVICE
from chicorycart.defaults import CURRENT_CANDIDATES
from chicorycart.defaults import MAX_CHAIN_LENGTH
from chicorycart.placement.rendezvous import rank_targets


class Suspicions(Protocol):
    """Tells which agents are suspected to be dead."""

    def is_suspected(self, target: Target) -> bool:
        """Tell whether the target's agent is suspected now."""


class NoSuspicions:
    """Suspects nobody."""

    __slots__ = ()

    def is_suspected(self, target: Target) -> bool:
        """Return False."""
        return False


def bucket_of(flow_hash: int) -> int:
    """Return the bucket of a flow within its service."""
    return flow_hash % BUCKETS_PER_SERVICE


def choose_candidates(service: Service, bucket: int) -> list[Target]:
    """Return the targets that may accept a flow of this bucket.

    When no target takes new work, those that drain are the candidates, so
    that a configuration with every target draining still serves.
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
    """Return the chain of a bucket.

    Parameters
    ----------
    service : Service
        The service as it is in force.
    replaced : iterable of Service
        Its recently replaced states, newest first.
    bucket : int
        Bucket of the flow.
    suspicions : Suspicions
        Suspected targets go to the end; they are not left out, since
        they may own open flows.

    Returns
    -------
    list of Target
        Current candidates, then those of replaced states, each once. If
        all of them are suspected, whoever of the service is not goes first:
        on one side of a partition that may be an owner that drains.
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
