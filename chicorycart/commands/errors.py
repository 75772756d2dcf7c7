"""Errors of the command line, with the exit code each one gives."""

from chicorycart.errors import ChicorycartError

EXIT_OK = 0
EXIT_UNREACHABLE = 1
EXIT_BAD_INPUT = 2
EXIT_NOT_FOUND = 3


class CommandError(ChicorycartError):
    """A command that could not do what it was asked.

    Attributes
    ----------
    exit_code : int
        What the process ends with.
    """

    exit_code = EXIT_UNREACHABLE


class UnreachableError(CommandError):
    """A daemon or the platform did not answer."""


class BadInputError(CommandError):
    """A file or an argument is at fault."""

    exit_code = EXIT_BAD_INPUT


class NotFoundError(CommandError):
    """What was asked for does not exist."""

    exit_code = EXIT_NOT_FOUND
