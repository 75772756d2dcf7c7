"""Errors of the links slice."""

from chicorycart.errors import ChicorycartError


class LinkError(ChicorycartError):
    """A socket that cannot be opened or used."""
