"""Sets of buckets as bitmaps."""

from collections.abc import Iterable

from chicorycart.defaults import BUCKETS_PER_SERVICE
from chicorycart.flows.errors import FlowError

BITS_PER_BYTE = 8
BITMAP_BYTES = BUCKETS_PER_SERVICE // BITS_PER_BYTE


def pack_bitmap(buckets: Iterable[int]) -> bytes:
    """Return a bitmap with one bit set for each bucket."""
    bitmap = bytearray(BITMAP_BYTES)
    for bucket in buckets:
        bitmap[bucket // BITS_PER_BYTE] |= 1 << bucket % BITS_PER_BYTE
    return bytes(bitmap)


def unpack_bitmap(bitmap: bytes) -> frozenset[int]:
    """Reverse `pack_bitmap`.

    Raises
    ------
    FlowError
        If the bitmap has another length.
    """
    if len(bitmap) != BITMAP_BYTES:
        raise FlowError(f"a bitmap of {len(bitmap)} bytes")
    return frozenset(
        index * BITS_PER_BYTE + bit
        for index, byte in enumerate(bitmap)
        if byte
        for bit in range(BITS_PER_BYTE)
        if byte >> bit & 1
    )
