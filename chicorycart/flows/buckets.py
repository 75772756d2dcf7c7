"""Encodes sets of buckets as bitmaps."""

from collections.abc import Iterable

from chicorycart.defaults import BUCKETS_PER_SERVICE
from chicorycart.flows.errors import FlowError

BITS_PER_BYTE = 8
BITMAP_BYTES = BUCKETS_PER_SERVICE // BITS_PER_BYTE


def pack_bitmap(buckets: Iterable[int]) -> bytes:
    """Return a bitmap in which the bits of the buckets are set."""
    bitmap = bytearray(BITMAP_BYTES)
    for bucket in buckets:
        bitmap[bucket // BITS_PER_BYTE] |= 1 << bucket % BITS_PER_BYTE
    return bytes(bitmap)


def unpack_bitmap(bitmap: bytes) -> frozenset[int]:
    """Return the buckets whose bits are set in the bitmap.

    Raises
    ------
    FlowError
        If the bitmap is not `BITMAP_BYTES` long.
    """
    if len(bitmap) != BITMAP_BYTES:
        raise FlowError(
            f"owner record: bitmap of {len(bitmap)} bytes, expected 1 bit for"
            " each bucket of a service"
        )
    return frozenset(
        index * BITS_PER_BYTE + bit
        for index, byte in enumerate(bitmap)
        if byte
        for bit in range(BITS_PER_BYTE)
        if byte >> bit & 1
    )
