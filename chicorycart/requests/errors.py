"""Errors of the requests slice."""

from chicorycart.errors import ChicorycartError

BAD_GATEWAY = 502


class RequestError(ChicorycartError):
    """A request that does not end with an answer of a target."""


class NotRunError(RequestError):
    """It is certain that no target ran the request."""


class RefusedError(NotRunError):
    """The gateway turned the request away before it was sent anywhere."""


class TargetUnavailableError(NotRunError):
    """The own target is leaving, stopping or known to be down."""


class OutcomeUnknownError(RequestError):
    """A target may have read the request; nobody knows if it ran.

    Attributes
    ----------
    status : int
        HTTP status that the caller gets.
    """

    def __init__(self, message: str, status: int = BAD_GATEWAY):
        super().__init__(message)
        self.status = status


class ResponseTruncatedError(RequestError):
    """An answer that had begun to reach the caller broke off."""


class BadRequestError(NotRunError):
    """A request that the gateway cannot take as it is.

    Attributes
    ----------
    status : int
        HTTP status that tells the caller why.
    """

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


class CallerDisconnectedError(RequestError):
    """The caller closed its connection before its request was read."""
