"""Sets up the log of a daemon, one key=value line a record."""

import sys

from logbook import lookup_level
from logbook import StreamHandler

from chicorycart.settings.model import LogSettings

LINE_FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}"
    " level={record.level_name} part={record.channel} {record.message}"
)


def start_log(settings: LogSettings) -> None:
    """Write records of the settings' level and above to standard error."""
    handler = StreamHandler(
        sys.stderr,
        level=lookup_level(settings.level.upper()),
        format_string=LINE_FORMAT,
    )
    handler.push_application()
