"""Errors of the messages on flow ownership."""

from chicorycart.errors import ChicorycartError


class FlowError(ChicorycartError):
    """A message on flow ownership is malformed or not acceptable."""
