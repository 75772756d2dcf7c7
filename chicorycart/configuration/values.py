"""Reads single values from the platform's configuration service."""

from typing import Protocol

from chicorycart.configuration.errors import PlatformError
from chicorycart.defaults import PLATFORM_TIMEOUT_SECONDS
from chicorycart.defaults import PLATFORM_WATCH_SECONDS
from chicorycart.links.errors import LinkError
from chicorycart.links.http import HttpClient

OK = 200
NO_CHANGE = 204
NOT_FOUND = 404


class ValueSource(Protocol):
    """Something that publishes values by key."""

    async def read(self, key: str) -> bytes | None:
        """Return the value of a key, None if there is none.

        Raises
        ------
        PlatformError
            If the platform did not answer.
        """

    async def watch(self, key: str, after: int) -> bytes | None:
        """Return the value once its version exceeds ``after``.

        None if that did not come within the time of one watch.
        """


class HttpValues:
    """Reads values over HTTP from one of several base addresses.

    Parameters
    ----------
    bases : list of str
        Base addresses; the next one is tried after a failure.
    """

    __slots__ = ("source",)

    def __init__(self, bases: list[str]):
        self.source = HttpClient(bases)

    async def read(self, key: str) -> bytes | None:
        """Return the value of a key, None if there is none."""
        return await self.fetch(key, PLATFORM_TIMEOUT_SECONDS)

    async def watch(self, key: str, after: int) -> bytes | None:
        """Return the value once its version exceeds ``after``."""
        seconds = PLATFORM_TIMEOUT_SECONDS + PLATFORM_WATCH_SECONDS
        return await self.fetch(f"{key}?after={after}", seconds)

    async def fetch(self, key: str, seconds: float) -> bytes | None:
        """Send one call; None if there is no such value or no change."""
        try:
            answer = await self.source.get(f"/v1/values/{key}", seconds)
        except LinkError as error:
            raise PlatformError(str(error)) from error
        if answer.status in (NOT_FOUND, NO_CHANGE):
            return None
        if answer.status != OK:
            raise PlatformError(f"{key}: answered with {answer.status}")
        return answer.body
