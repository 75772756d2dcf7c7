"""Errors of the membership package."""

from chicorycart.errors import ChicorycartError


class MembershipError(ChicorycartError):
    """Base class of the errors of this package."""


class MembershipMessageError(MembershipError):
    """A heartbeat or suspicion message that is malformed or implausible."""


class InstanceListError(MembershipError):
    """An instance list with an invalid entry; the whole list is rejected."""
