"""What the pages of a daemon ask it."""

from typing import Any
from typing import Protocol


class StatusSource(Protocol):
    """A daemon that can tell how it is."""

    def is_ready(self) -> bool:
        """Tell whether the daemon takes new work."""

    def describe_status(self) -> dict[str, Any]:
        """Return the status as JSON values."""
