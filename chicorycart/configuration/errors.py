"""Errors of the configuration slice."""

from chicorycart.errors import ChicorycartError


class ConfigurationError(ChicorycartError):
    """Any fault of a published configuration or of its source."""


class InvalidConfigurationError(ConfigurationError):
    """A published value that is refused whole.

    Attributes
    ----------
    path : str
        Where in the value the fault is.
    """

    def __init__(self, path: str, reason: str):
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class RefusedVersionError(ConfigurationError):
    """A published version that is refused whole.

    Attributes
    ----------
    version : int
        The version that is refused.
    path : str
        Where in it the fault is.
    """

    def __init__(self, version: int, fault: InvalidConfigurationError):
        super().__init__(f"version {version}: {fault}")
        self.version = version
        self.path = fault.path


class PlatformError(ConfigurationError):
    """The platform did not answer, or not in its documented form."""


class SkewedReadError(PlatformError):
    """A value that does not fit the index, since one of them changed."""


class MessageError(ConfigurationError):
    """A message of a peer that cannot be read."""


class DeltaMismatchError(ConfigurationError):
    """A delta that does not lead to the version that it names."""


class PeerError(ConfigurationError):
    """A peer did not answer, or not in the documented form."""


class BusyError(ConfigurationError):
    """The own process hands out no more for now."""
