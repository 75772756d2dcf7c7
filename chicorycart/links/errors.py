"""Errors of the links slice."""

from chicorycart.errors import ChicorycartError


class LinkError(ChicorycartError):
    """A socket that cannot be opened or used."""


class SilentLinkError(LinkError):
    """A connection whose peer was silent for too long."""
