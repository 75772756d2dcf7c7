"""Errors of sockets and connections."""

from chicorycart.errors import ChicorycartError


class LinkError(ChicorycartError):
    """A socket or connection that cannot be opened or used."""


class SilentLinkError(LinkError):
    """A connection whose peer sent nothing within the timeout."""
