"""Reads single values from the platform's configuration service."""

from typing import Protocol

from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError

from chicorycart.configuration.errors import PlatformError
from chicorycart.defaults import PLATFORM_TIMEOUT_SECONDS
from chicorycart.defaults import PLATFORM_WATCH_SECONDS

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

    __slots__ = ("bases", "http")

    def __init__(self, bases: list[str]):
        self.bases = list(bases)
        self.http = AsyncHTTPClient()

    async def read(self, key: str) -> bytes | None:
        """Return the value of a key, None if there is none."""
        return await self.fetch(key, PLATFORM_TIMEOUT_SECONDS)

    async def watch(self, key: str, after: int) -> bytes | None:
        """Return the value once its version exceeds ``after``."""
        seconds = PLATFORM_TIMEOUT_SECONDS + PLATFORM_WATCH_SECONDS
        return await self.fetch(f"{key}?after={after}", seconds)

    async def fetch(self, key: str, seconds: float) -> bytes | None:
        """Send one call; go to the next base address if it fails."""
        base = self.bases[0]
        try:
            response = await self.http.fetch(
                f"{base}/v1/values/{key}", request_timeout=seconds
            )
        except (HTTPClientError, OSError) as error:
            if getattr(error, "code", None) == NOT_FOUND:
                return None
            self.bases.append(self.bases.pop(0))
            raise PlatformError(f"{base}: {key}: {error}") from error
        return None if response.code == NO_CHANGE else response.body
