"""Sets up the log of a daemon, one key=value line a record."""

from os import set_blocking
from os import write

from logbook import lookup_level
from logbook import StreamHandler

from chicorycart.settings.model import LogSettings

LINE_FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}"
    " level={record.level_name} part={record.channel} {record.message}"
)
STANDARD_OUTPUT = 1


class UnblockedOutput:
    """Writes lines to a descriptor; drops those that it does not take.

    A reader that is slow or gone never holds up a packet. A line is written
    whole or cut at its end, and the next one that is taken tells how many
    were dropped.

    Parameters
    ----------
    descriptor : int
        Where lines go; made non-blocking.

    Attributes
    ----------
    dropped : int
        Lines dropped so far.
    """

    __slots__ = ("descriptor", "dropped", "untold")

    def __init__(self, descriptor: int):
        set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.dropped = 0
        self.untold = 0

    def write(self, text: str) -> None:
        """Write a line now or never."""
        if self.untold:
            text = f"{text.rstrip()} dropped_before={self.untold}\n"
        try:
            write(self.descriptor, text.encode(errors="replace"))
            self.untold = 0
        except OSError:
            # A full pipe, or one whose reader is gone: only counted, since
            # there is nowhere to tell it.
            self.dropped += 1
            self.untold += 1

    def flush(self) -> None:
        """Do nothing: every line was written at once."""


def start_log(settings: LogSettings) -> UnblockedOutput:
    """Write records of the settings' level and above to standard output."""
    output = UnblockedOutput(STANDARD_OUTPUT)
    handler = StreamHandler(
        output,
        level=lookup_level(settings.level.upper()),
        format_string=LINE_FORMAT,
    )
    handler.push_application()
    return output
