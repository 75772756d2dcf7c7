"""Errors of the steering package."""

from chicorycart.errors import ChicorycartError


class SteeringMessageError(ChicorycartError):
    """A message between a balancer and an agent cannot be decoded."""


class StoreError(ChicorycartError):
    """A call to the store failed, or the answer has an undocumented form."""


class StoreSilentError(StoreError):
    """A call to the store got no answer in time."""


class HistoryLostError(StoreError):
    """The store has discarded changes after the requested revision."""


class StoreRestoredError(StoreError):
    """The store answers from another era than the one followed."""
