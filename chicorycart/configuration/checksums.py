"""Checksums of published values and of whole versions."""

from collections.abc import Iterable

from xxhash import xxh64_hexdigest
from xxhash import xxh64_intdigest

FINGERPRINT_MASK = (1 << 64) - 1


def digest_body(body: bytes) -> str:
    """Return the digest of a value, taken over its published bytes."""
    return xxh64_hexdigest(body)


def weigh_service(name: str, digest: str) -> int:
    """Return what one service adds to the fingerprint of its version."""
    return xxh64_intdigest(f"{name}\0{digest}".encode())


def weigh_version(version: int) -> int:
    """Return what the number adds to the fingerprint of a version."""
    return xxh64_intdigest(version.to_bytes(8, "big"))


def sum_weights(weights: Iterable[int]) -> int:
    """Return the checksum of a set of weights.

    A sum modulo 2**64 does not depend on the order and follows a change of
    one service without a look at the others.
    """
    return sum(weights) & FINGERPRINT_MASK
