"""Errors of the settings slice."""

from chicorycart.errors import ChicorycartError


class SettingsError(ChicorycartError):
    """A settings file that cannot be used; names every fault.

    Attributes
    ----------
    faults : list of str
        One line for each fault: file, path, value, what is allowed.
    """

    def __init__(self, faults: list[str]):
        super().__init__("\n".join(faults))
        self.faults = faults
