"""Errors of requests that the gateway handles."""

from chicorycart.errors import ChicorycartError

BAD_GATEWAY = 502


class RequestError(ChicorycartError):
    """A request that ends without a complete response of a target."""


class NotRunError(RequestError):
    """A request that certainly no target has run."""


class RefusedError(NotRunError):
    """The gateway refused the request and sent it to no target."""


class TargetUnavailableError(NotRunError):
    """The own target is draining, stopping or known to be down."""


class OutcomeUnknownError(RequestError):
    """A target may or may not have run the request.

    Attributes
    ----------
    status : int
        HTTP status of the error response.
    """

    def __init__(self, message: str, status: int = BAD_GATEWAY):
        super().__init__(message)
        self.status = status


class ResponseTruncatedError(RequestError):
    """A response was truncated after its head was received."""


class BadRequestError(NotRunError):
    """A request that is malformed or exceeds a limit.

    Attributes
    ----------
    status : int
        HTTP status of the error response.
    """

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


class CallerDisconnectedError(RequestError):
    """The caller closed its connection before the response ended."""
