"""Errors of the membership slice."""

from chicorycart.errors import ChicorycartError


class MembershipError(ChicorycartError):
    """Any fault in what is known of other instances."""


class MembershipMessageError(MembershipError):
    """A heartbeat or suspicion that cannot be read or is not credible."""


class InstanceListError(MembershipError):
    """An instance list that is refused whole."""
