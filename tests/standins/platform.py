"""Stands in for the platform's configuration service."""

from asyncio import Event
from asyncio import timeout
from json import dumps
from json import loads
from typing import Any

from tornado.web import Application
from tornado.web import RequestHandler
from xxhash import xxh64_hexdigest

from chicorycart.address import Address
from chicorycart.configuration.errors import PlatformError
from chicorycart.configuration.model import hash_name

SHARDS = 64
CONFLICT = 409
UNAVAILABLE = 503
NOT_FOUND = 404
NO_CHANGE = 204
WATCH_SECONDS = 30.0


def encode(value: Any) -> bytes:
    """Return the bytes under which a value is published."""
    return dumps(value, sort_keys=True).encode()


def digest(value: Any) -> str:
    """Return the digest of a value's published bytes."""
    return xxh64_hexdigest(encode(value))


def shard_of(name: str) -> str:
    """Return the shard that lists a service."""
    return f"{hash_name(name) % SHARDS:02}"


class Platform:
    """Numbered configuration, read and watched, changed by patches.

    Attributes
    ----------
    is_down : bool
        Whether every call fails.
    stale : tuple or None
        Version and services that readers get in place of the present ones.
    calls : int
        Calls answered, a waiting watch counted as one.
    """

    def __init__(self):
        self.version = 0
        self.services: dict[str, Any] = {}
        self.instances: list[dict[str, Any]] = []
        self.is_down = False
        self.stale: tuple[int, dict[str, Any]] | None = None
        self.calls = 0
        self.changed = Event()
        self.server = None

    def listen(self, address: Address) -> None:
        """Serve on an address."""
        application = Application(
            [
                ("/v1/values/(.+)", ValueHandler, {"platform": self}),
                ("/v1/configuration", PatchHandler, {"platform": self}),
            ],
            log_function=lambda handler: None,
        )
        self.server = application.listen(address.port, address.host)

    def patch(self, base: int, services: dict[str, Any]) -> int | None:
        """Apply a patch to a version; None if it is outdated.

        A service whose value is None is removed.
        """
        if base != self.version:
            return None
        self.services = {**self.services, **services}
        for name in [n for n, v in services.items() if v is None]:
            del self.services[name]
        self.version += 1
        self.changed.set()
        self.changed = Event()
        return self.version

    def set_stale(self, is_stale: bool) -> None:
        """Freeze what readers see, or let them see the present."""
        self.stale = (self.version, self.services) if is_stale else None

    def read(self, key: str) -> Any:
        """Return the value of a key, None if there is none."""
        version, services = self.stale or (self.version, self.services)
        if key == "index":
            names = sorted(services)
            shards = {
                shard: digest(self.read_shard(shard, services))
                for shard in {shard_of(name) for name in names}
            }
            return {"version": version, "shards": shards}
        if key == "instances":
            return {"instances": self.instances}
        folder, _, name = key.partition("/")
        if folder == "shards":
            return self.read_shard(name, services)
        if folder == "bundles":
            listed = self.read_shard(name, services)
            return {s: encode(services[s]).decode() for s in listed}
        return services.get(name)

    def read_shard(self, shard: str, services: dict[str, Any]) -> Any:
        """Return the digests of the services in a shard."""
        return {
            name: digest(value)
            for name, value in sorted(services.items())
            if shard_of(name) == shard
        }

    def close(self) -> None:
        """Stop serving."""
        if self.server is not None:
            self.server.stop()


class PlatformValues:
    """Reads the stand-in without a network, for virtual time.

    Attributes
    ----------
    calls : int
        Calls of this reader, a waiting watch counted as one.
    reach : callable
        Tells whether the reader reaches the platform now.
    """

    def __init__(self, platform: Platform, reach=lambda: True):
        self.platform = platform
        self.reach = reach
        self.calls = 0

    async def read(self, key: str) -> bytes | None:
        """Return the value of a key, None if there is none."""
        self.calls += 1
        self.platform.calls += 1
        if self.platform.is_down or not self.reach():
            raise PlatformError(f"{key}: platform out of reach")
        value = self.platform.read(key)
        return None if value is None else encode(value)

    async def watch(self, key: str, after: int) -> bytes | None:
        """Return the value once its version exceeds ``after``."""
        body = await self.read(key)
        if loads(body)["version"] > after:
            return body
        try:
            # wait_for of Python 3.11 may lose a cancellation.
            async with timeout(WATCH_SECONDS):
                await self.platform.changed.wait()
        except TimeoutError:
            return None
        return await self.read(key)


class ValueHandler(RequestHandler):
    """Reads and waiting watches."""

    def initialize(self, platform: Platform) -> None:
        """Take the platform."""
        self.platform = platform

    async def get(self, key: str) -> None:
        """Answer with a value, at once or when its version rises."""
        self.platform.calls += 1
        after = int(self.get_query_argument("after", "-1"))
        value = self.platform.read(key)
        while key == "index" and value["version"] <= after:
            try:
                async with timeout(WATCH_SECONDS):
                    await self.platform.changed.wait()
            except TimeoutError:
                self.set_status(NO_CHANGE)
                return
            value = self.platform.read(key)
        if self.platform.is_down:
            self.set_status(UNAVAILABLE)
        elif value is None:
            self.set_status(NOT_FOUND)
        else:
            self.finish(encode(value))


class PatchHandler(RequestHandler):
    """An operator's patch against a numbered version."""

    def initialize(self, platform: Platform) -> None:
        """Take the platform."""
        self.platform = platform

    def patch(self) -> None:
        """Apply the patch, or refuse it if its version is outdated."""
        base = int(self.get_query_argument("version"))
        version = self.platform.patch(base, loads(self.request.body))
        if version is None:
            self.set_status(CONFLICT)
        self.finish({"version": self.platform.version})
