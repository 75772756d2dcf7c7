"""Errors raised while reading packets and forwarded messages."""

from chicorycart.errors import ChicorycartError


class PacketError(ChicorycartError):
    """A packet, a forwarded message or the text of a flow is invalid."""
