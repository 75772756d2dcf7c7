"""Errors of the flows slice."""

from chicorycart.errors import ChicorycartError


class FlowError(ChicorycartError):
    """A message on flow ownership that cannot be read or believed."""
