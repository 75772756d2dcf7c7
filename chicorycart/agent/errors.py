"""Errors of the agent."""

from chicorycart.errors import ChicorycartError


class HostError(ChicorycartError):
    """The own instance cannot tell what was asked of it."""
