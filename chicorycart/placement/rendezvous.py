"""Weighted rendezvous hashing of a bucket over targets."""

from collections.abc import Iterable
from math import log

from xxhash import xxh64_intdigest

from chicorycart.configuration.model import Target

HASH_RANGE = float(1 << 64)


def score_target(target: Target, bucket: int) -> float:
    """Return the score of a target for a bucket; the highest one wins.

    The score is ``weight / -ln(u)`` with ``u`` uniform from the hash, which
    gives each target its share of the weight and moves only the buckets of
    a target that comes, goes or changes its weight.
    """
    digest = xxh64_intdigest(bucket.to_bytes(4, "big"), seed=target.seed)
    uniform = (digest + 1) / (HASH_RANGE + 1)
    return target.weight / -log(uniform) if uniform < 1 else float("inf")


def rank_targets(targets: Iterable[Target], bucket: int) -> list[Target]:
    """Return the targets in falling order of their score for a bucket."""
    return sorted(
        targets, key=lambda t: (score_target(t, bucket), t.name), reverse=True
    )
