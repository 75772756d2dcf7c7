"""Reads and watches the platform's configuration service over HTTP.

The platform publishes values by key. ``index`` gives the version and the
digest of each shard; ``shards/NN`` gives the digest of each service in it;
``services/NAME`` is one service. So a change of one service costs a reader
three small values however many services there are.
"""

from json import JSONDecodeError
from json import loads
from typing import Any

from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError

from chicorycart.configuration.errors import PlatformError
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import Service
from chicorycart.configuration.parse import parse_service
from chicorycart.defaults import PLATFORM_TIMEOUT_SECONDS
from chicorycart.defaults import PLATFORM_WATCH_SECONDS

NO_CHANGE = 204


class PlatformClient:
    """Reads configurations from one of several base addresses.

    Parameters
    ----------
    bases : list of str
        Base addresses; the next one is tried after a failure.
    """

    __slots__ = ("bases", "http", "shards", "digests", "services")

    def __init__(self, bases: list[str]):
        self.bases = list(bases)
        self.http = AsyncHTTPClient()
        self.shards: dict[str, str] = {}
        self.digests: dict[str, dict[str, str]] = {}
        self.services: dict[str, Service] = {}

    async def watch_configuration(self, after: int) -> Configuration | None:
        """Wait for a version above ``after`` and read it whole.

        Returns
        -------
        Configuration or None
            None if there was no change within the time of one watch.

        Raises
        ------
        PlatformError
            If the platform did not answer in its documented form.
        InvalidConfigurationError
            If a published value is at fault.
        """
        index = await self.fetch(f"index?after={after}", waits=True)
        if index is None or index["version"] <= after:
            return None
        services = dict(self.services)
        for shard, digest in index["shards"].items():
            if self.shards.get(shard) != digest:
                await self.read_shard(shard, services)
        self.services = services
        self.shards = dict(index["shards"])
        return Configuration(index["version"], services)

    async def read_shard(
        self, shard: str, services: dict[str, Service]
    ) -> None:
        """Bring the services of one shard up to date."""
        digests = await self.fetch(f"shards/{shard}")
        known = self.digests.get(shard, {})
        for name in known.keys() - digests.keys():
            services.pop(name, None)
        for name, digest in digests.items():
            if known.get(name) != digest:
                value = await self.fetch(f"services/{name}")
                services[name] = parse_service(name, value)
        self.digests[shard] = digests

    async def read_instances(self) -> Any:
        """Read the platform's list of instances, unchecked; it may lag."""
        value = await self.fetch("instances")
        return value.get("instances") if isinstance(value, dict) else value

    async def fetch(self, key: str, waits: bool = False) -> Any:
        """Read one value; None if a watch ended without a change."""
        timeout = PLATFORM_TIMEOUT_SECONDS
        if waits:
            timeout += PLATFORM_WATCH_SECONDS
        base = self.bases[0]
        try:
            response = await self.http.fetch(
                f"{base}/v1/values/{key}", request_timeout=timeout
            )
            return None if response.code == NO_CHANGE else loads(response.body)
        except (HTTPClientError, OSError, JSONDecodeError) as error:
            self.bases.append(self.bases.pop(0))
            raise PlatformError(f"{base}: {key}: {error}") from error
