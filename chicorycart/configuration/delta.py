"""Makes and applies the differences between versions."""

from collections import deque

from chicorycart.configuration.checksums import digest_body
from chicorycart.configuration.checksums import sum_weights
from chicorycart.configuration.checksums import weigh_service
from chicorycart.configuration.checksums import weigh_version
from chicorycart.configuration.errors import DeltaMismatchError
from chicorycart.configuration.errors import InvalidConfigurationError
from chicorycart.configuration.errors import RefusedVersionError
from chicorycart.configuration.messages import Delta
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import EMPTY_CONFIGURATION
from chicorycart.configuration.model import Service
from chicorycart.configuration.parse import parse_service
from chicorycart.configuration.parse import refuse_shared_entries
from chicorycart.defaults import DELTA_HISTORY


class Step:
    """The names of the services that one change of version touched."""

    __slots__ = ("base", "names")

    def __init__(self, base: int, names: frozenset[str]):
        self.base = base
        self.names = names


class DeltaHistory:
    """Which services changed since each of the last versions.

    Told of every version that comes into force, it makes the delta that
    leads from an older one to the present.
    """

    __slots__ = ("current", "steps")

    def __init__(self):
        self.current = EMPTY_CONFIGURATION
        self.steps: deque[Step] = deque(maxlen=DELTA_HISTORY)

    def change_configuration(self, configuration: Configuration) -> None:
        """Note what differs from the version before."""
        if self.current.version:
            names = list_differences(self.current, configuration)
            self.steps.append(Step(self.current.version, names))
        self.current = configuration

    def make_delta(self, base: int) -> Delta:
        """Return what leads from a version to the present one.

        A base that is too old, or 0, gives the whole version. The delta
        also fits every version between its base and the present.
        """
        oldest = self.steps[0].base if self.steps else self.current.version
        if base == 0 or base < oldest:
            return self.build(0, frozenset(self.current.services))
        names: set[str] = set()
        lowest = self.current.version
        for step in reversed(self.steps):
            if lowest <= base:
                break
            names |= step.names
            lowest = step.base
        return self.build(lowest, frozenset(names))

    def build(self, base: int, names: frozenset[str]) -> Delta:
        """Return a delta that brings the named services up to date."""
        services = self.current.services
        return Delta(
            base,
            self.current.version,
            self.current.fingerprint,
            {n: services[n].body for n in sorted(names) if n in services},
            sorted(n for n in names if n not in services),
        )


def list_differences(
    before: Configuration, after: Configuration
) -> frozenset[str]:
    """Return the names of the services that differ."""
    gone = before.services.keys() - after.services.keys()
    changed = (
        name
        for name, service in after.services.items()
        if not service.has_state_of(before.services.get(name))
    )
    return frozenset(gone).union(changed)


def apply_delta(
    current: Configuration,
    delta: Delta,
    parsed: dict[str, Service] | None = None,
) -> Configuration:
    """Return the version that a delta leads to.

    Parameters
    ----------
    current : Configuration
        The version in force; it is left as it is. Its services are taken
        over where their digests still stand.
    delta : Delta
        What a peer sent.
    parsed : dict of str to Service, optional
        Services that were built from the delta already.

    Raises
    ------
    DeltaMismatchError
        If the delta needs a later base, or its result has another
        checksum than it names.
    RefusedVersionError
        If the result is the named version, but a value in it is at fault.
    """
    if delta.base > current.version:
        raise DeltaMismatchError(f"delta from version {delta.base}")
    base = {} if delta.base == 0 else current.services
    digests = {n: digest_body(b) for n, b in delta.changed.items()}
    content = find_content(current, base, delta, digests)
    fingerprint = sum_weights((content, weigh_version(delta.version)))
    if fingerprint != delta.fingerprint:
        raise DeltaMismatchError(f"checksum of version {delta.version}")
    services = dict(base)
    for name in delta.removed:
        services.pop(name, None)
    parsed = parsed or {}
    try:
        for name, body in delta.changed.items():
            known = current.services.get(name)
            if known is None or known.digest != digests[name]:
                known = parsed.get(name) or parse_service(name, body)
            services[name] = known
        refuse_shared_entries(services)
    except InvalidConfigurationError as error:
        raise RefusedVersionError(delta.version, error) from error
    configuration = Configuration(delta.version, services)
    configuration.content = content
    return configuration


def find_content(
    current: Configuration,
    base: dict[str, Service],
    delta: Delta,
    digests: dict[str, str],
) -> int:
    """Return the checksum that the content of the result will have."""
    total = current.content if base else 0
    for name in digests.keys() | set(delta.removed):
        if name in base:
            total -= weigh_service(name, base[name].digest)
    for name, digest in digests.items():
        total += weigh_service(name, digest)
    return sum_weights((total,))
