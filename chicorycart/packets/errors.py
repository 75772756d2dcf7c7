"""Errors of the packets slice."""

from chicorycart.errors import ChicorycartError


class PacketError(ChicorycartError):
    """A caller's packet or a system message that cannot be read."""
