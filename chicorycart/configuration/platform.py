"""Reads whole versions of the configuration from the platform.

The platform publishes values by key. ``index`` gives the version and the
digest of each shard; ``shards/NN`` gives the digest of each service in it;
``services/NAME`` is one service; ``bundles/NN``, which may be left out, is
the text of every service of a shard. So a change of one service costs a
reader three small values however many services there are, and a first read
takes two values a shard. The shard of a service is the 64-bit xxHash of its
name modulo 64, in two digits.
"""

from typing import Any
from typing import Protocol

from chicorycart.configuration.checksums import digest_body
from chicorycart.configuration.errors import InvalidConfigurationError
from chicorycart.configuration.errors import PlatformError
from chicorycart.configuration.errors import RefusedVersionError
from chicorycart.configuration.errors import SkewedReadError
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import hash_name
from chicorycart.configuration.model import Service
from chicorycart.configuration.parse import parse_service
from chicorycart.configuration.parse import refuse_shared_entries
from chicorycart.configuration.values import ValueSource
from chicorycart.defaults import BUNDLE_MIN_SERVICES
from chicorycart.defaults import PLATFORM_SHARDS
from chicorycart.defaults import SKEWED_READ_TRIES
from chicorycart.json_text import decode_json
from chicorycart.json_text import JsonError
from chicorycart.json_text import MAX_WHOLE_NUMBER


class Pace(Protocol):
    """Something that holds calls back to a rate."""

    async def acquire(self, amount: float) -> None:
        """Wait until the amount is allowed."""


class InForce(Protocol):
    """Something that tells the version in force.

    Attributes
    ----------
    current : Configuration
        The version in force; it may change while a read is under way.
    """

    current: Configuration


class Index:
    """The published version and the digest of each shard."""

    __slots__ = ("version", "shards")

    def __init__(self, version: int, shards: dict[str, str]):
        self.version = version
        self.shards = shards


class Shard:
    """The digests of the services that one shard lists."""

    __slots__ = ("digest", "services")

    def __init__(self, digest: str, services: dict[str, str]):
        self.digest = digest
        self.services = services

    def pick(self, name: str | None) -> "Shard":
        """Return the shard with one service only, or whole if None."""
        if name is None:
            return self
        listed = {n: d for n, d in self.services.items() if n == name}
        return Shard(self.digest, listed)


class PlatformClient:
    """Reads configurations; keeps nothing of a read that failed.

    Parameters
    ----------
    values : ValueSource
        Where the values are published.
    pace : Pace
        Holds the calls back to the rate of one reader.

    Attributes
    ----------
    refused : int
        Highest version that was refused; it is not read again.
    refused_path : str
        Where in it the fault was.
    """

    __slots__ = ("values", "pace", "shards", "refused", "refused_path")

    def __init__(self, values: ValueSource, pace: Pace):
        self.values = values
        self.pace = pace
        self.shards: dict[str, Shard] = {}
        self.refused = 0
        self.refused_path = ""

    async def watch_configuration(
        self, in_force: InForce
    ) -> Configuration | None:
        """Wait for a version above the one in force and read it whole.

        Parameters
        ----------
        in_force : InForce
            Its services are taken over where their digests still stand.

        Returns
        -------
        Configuration or None
            None if there was no change within the time of one watch.

        Raises
        ------
        PlatformError
            If the platform did not answer in its documented form.
        RefusedVersionError
            If a published value is at fault.
        """
        after = max(in_force.current.version, self.refused)
        await self.pace.acquire(1)
        body = await self.values.watch("index", after)
        return await self.read_version(body, in_force)

    async def read_configuration(
        self, in_force: InForce
    ) -> Configuration | None:
        """Like `watch_configuration`, but answer at once."""
        return await self.read_version(await self.read("index"), in_force)

    async def read_service(
        self, name: str, in_force: InForce
    ) -> Configuration | None:
        """Read one service only, with the version that lists it.

        Returns
        -------
        Configuration or None
            None if the platform has no version above the one in force.
        """
        for _ in range(SKEWED_READ_TRIES):
            body = await self.read("index")
            index = parse_index(body) if body is not None else None
            if index is None or not self.is_later(index, in_force):
                return None
            try:
                return await self.read_index(
                    select_shard(index, name), in_force.current, name
                )
            except SkewedReadError:
                continue
        raise SkewedReadError("values do not fit the index")

    async def read_version(
        self, body: bytes | None, in_force: InForce
    ) -> Configuration | None:
        """Read the version of an index; read the index anew on a skew."""
        for _ in range(SKEWED_READ_TRIES):
            if body is None:
                return None
            index = parse_index(body)
            if not self.is_later(index, in_force):
                return None
            try:
                return await self.read_index(index, in_force.current)
            except SkewedReadError:
                body = await self.read("index")
        raise SkewedReadError("values do not fit the index")

    def is_later(self, index: Index, in_force: InForce) -> bool:
        """Tell whether an index is worth reading."""
        known = max(in_force.current.version, self.refused)
        return index.version > known

    async def read_index(
        self, index: Index, base: Configuration, only: str | None = None
    ) -> Configuration:
        """Read what the index lists; keep it only if all of it is good.

        Parameters
        ----------
        index : Index
            The version and its shards.
        base : Configuration
            Its services are taken over where their digests still stand.
        only : str, optional
            Name of the one service to read.
        """
        shards = {}
        services: dict[str, Service] = {}
        try:
            for key, digest in index.shards.items():
                shards[key] = await self.read_shard(key, digest)
                listed = shards[key].pick(only)
                services.update(await self.read_services(key, listed, base))
            refuse_shared_entries(services)
        except InvalidConfigurationError as error:
            self.refused = index.version
            self.refused_path = error.path
            raise RefusedVersionError(index.version, error) from error
        self.shards = shards
        return Configuration(index.version, services)

    async def read_shard(self, key: str, digest: str) -> Shard:
        """Return a shard, from the last good read if it still stands."""
        known = self.shards.get(key)
        if known is not None and known.digest == digest:
            return known
        body = await self.read_digested(f"shards/{key}", digest)
        value = decode(f"shards/{key}", body)
        if not is_text_map(value):
            raise PlatformError(f"shards/{key}: expected names and digests")
        return Shard(digest, value)

    async def read_services(
        self, key: str, shard: Shard, base: Configuration
    ) -> dict[str, Service]:
        """Return the services of a shard; read only those that changed."""
        services = {}
        missing = []
        for name, digest in shard.services.items():
            known = base.services.get(name)
            if known is not None and known.digest == digest:
                services[name] = known
            else:
                missing.append(name)
        bundle = {}
        if len(missing) >= BUNDLE_MIN_SERVICES:
            bundle = await self.read_bundle(key)
        for name in missing:
            body = bundle.get(name, "").encode()
            if digest_body(body) != shard.services[name]:
                body = await self.read_digested(
                    f"services/{name}", shard.services[name]
                )
            services[name] = parse_service(name, body)
        return services

    async def read_bundle(self, key: str) -> dict[str, str]:
        """Return the texts of a shard's services, if they are published."""
        body = await self.read(f"bundles/{key}")
        value = {} if body is None else decode(f"bundles/{key}", body)
        return value if is_text_map(value) else {}

    async def read_digested(self, key: str, digest: str) -> bytes:
        """Return a value that must have the digest."""
        body = await self.read(key)
        if body is None or digest_body(body) != digest:
            raise SkewedReadError(f"{key}: not of digest {digest}")
        return body

    async def read_instances(self) -> list[dict[str, Any]]:
        """Read the platform's list of instances, which may lag."""
        value = decode("instances", await self.read("instances") or b"{}")
        if not isinstance(value, dict):
            raise PlatformError("instances: expected an object")
        instances = value.get("instances", [])
        if not isinstance(instances, list):
            raise PlatformError("instances: expected a list")
        return instances

    async def read(self, key: str) -> bytes | None:
        """Read one value, held back to the reader's rate."""
        await self.pace.acquire(1)
        return await self.values.read(key)


def parse_index(body: bytes) -> Index:
    """Read the index.

    Raises
    ------
    PlatformError
        If it has another form.
    """
    value = decode("index", body)
    if not isinstance(value, dict):
        raise PlatformError("index: expected an object")
    version = value.get("version")
    if type(version) is not int or not 0 <= version <= MAX_WHOLE_NUMBER:
        raise PlatformError(
            f"index.version: expected a number from 0 to {MAX_WHOLE_NUMBER}"
        )
    if not is_text_map(value.get("shards")):
        raise PlatformError("index.shards: expected names and digests")
    return Index(version, value["shards"])


def select_shard(index: Index, name: str) -> Index:
    """Return the index with no shard but that of one service."""
    key = f"{hash_name(name) % PLATFORM_SHARDS:02}"
    return Index(
        index.version, {k: d for k, d in index.shards.items() if k == key}
    )


def decode(key: str, body: bytes) -> Any:
    """Return the JSON value of a body."""
    try:
        return decode_json(body)
    except JsonError as error:
        raise PlatformError(f"{key}: {error}") from error


def is_text_map(value: Any) -> bool:
    """Tell whether a value is an object that holds only text."""
    return isinstance(value, dict) and all(
        isinstance(item, str) for item in value.values()
    )
