"""Weighted rendezvous hashing of buckets to targets."""

from collections.abc import Iterable
from math import log

from xxhash import xxh64_intdigest

from chicorycart.configuration.model import Target

HASH_RANGE = float(1 << 64)


def score_target(target: Target, bucket: int) -> float:
    """Return the score of a target for a bucket; the highest score wins.

    The score is ``weight / -ln(u)``, where the hash gives ``u``, uniform in
    (0, 1]. Each target wins buckets in proportion to its weight, and when a
    target is added, removed or reweighted, only buckets that it wins or
    loses move.
    """
    digest = xxh64_intdigest(bucket.to_bytes(4, "big"), seed=target.seed)
    uniform = (digest + 1) / (HASH_RANGE + 1)
    return target.weight / -log(uniform) if uniform < 1 else float("inf")


def rank_targets(targets: Iterable[Target], bucket: int) -> list[Target]:
    """Return the targets by descending score for the bucket."""
    return sorted(
        targets, key=lambda t: (score_target(t, bucket), t.name), reverse=True
    )
