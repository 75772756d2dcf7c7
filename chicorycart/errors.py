"""The root of the exception tree."""


class ChicorycartError(Exception):
    """Any error that this package raises on purpose.

    Each layer derives its own errors and turns those from below into them;
    only the command line turns an error into text.
    """
