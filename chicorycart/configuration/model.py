"""The configuration as the rest of the system sees it."""

from enum import StrEnum
from functools import cached_property

from xxhash import xxh64_intdigest

from chicorycart.address import Address
from chicorycart.configuration.checksums import sum_weights
from chicorycart.configuration.checksums import weigh_service
from chicorycart.configuration.checksums import weigh_version


def hash_name(name: str) -> int:
    """Return the 64-bit hash that messages carry in place of a name."""
    return xxh64_intdigest(name.encode())


class ServiceKind(StrEnum):
    """How the packets of a service reach its targets."""

    HTTP = "http"
    PACKET = "packet"


class TargetState(StrEnum):
    """Whether a target takes new work."""

    ACTIVE = "active"
    DRAINING = "draining"


class Target:
    """One target of a service, with the agent beside it.

    Attributes
    ----------
    name : str
        Unique within the service.
    agent : Address
        Where the agent takes datagrams.
    domain : str
        Failure domain of its instance.
    weight : float
        Strength relative to the others, before any is measured.
    slots : int
        Requests that the target runs at once.
    state : TargetState
        Whether it takes new work.
    gateway : Address or None
        Where the agent's request gateway takes forwarded requests.
    """

    __slots__ = (
        "name",
        "agent",
        "domain",
        "weight",
        "slots",
        "state",
        "seed",
        "gateway",
    )

    def __init__(
        self,
        name: str,
        agent: Address,
        domain: str,
        weight: float,
        slots: int,
        state: TargetState,
        gateway: Address | None = None,
    ):
        self.name = name
        self.agent = agent
        self.domain = domain
        self.weight = weight
        self.slots = slots
        self.state = state
        self.seed = hash_name(name)
        self.gateway = gateway

    @property
    def takes_new_work(self) -> bool:
        """Whether opening flows may be placed here."""
        return self.state is TargetState.ACTIVE


class Entry:
    """The address at which callers reach a service.

    Attributes
    ----------
    address : Address
        Destination address and port of the callers' packets.
    protocol : int
        IP protocol number, 6 for TCP or 17 for UDP.
    key : tuple of str, int and int
        Host, port and protocol, for look-ups.
    """

    __slots__ = ("address", "protocol", "key")

    def __init__(self, address: Address, protocol: int):
        self.address = address
        self.protocol = protocol
        self.key = (*address, protocol)


class Service:
    """A named entry, its kind and its targets.

    Attributes
    ----------
    name : str
        Unique name.
    identifier : int
        64-bit hash of the name, used in messages.
    entry : Entry
        Where callers reach it.
    kind : ServiceKind
        How packets reach the targets.
    targets : tuple of Target
        In order of name.
    body : bytes
        The value as it was published, which peers pass on unchanged.
    digest : str
        Digest of the published value.
    """

    __slots__ = (
        "name",
        "identifier",
        "entry",
        "kind",
        "targets",
        "body",
        "digest",
    )

    def __init__(
        self,
        name: str,
        entry: Entry,
        kind: ServiceKind,
        targets: tuple[Target, ...],
        body: bytes = b"",
        digest: str = "",
    ):
        self.name = name
        self.identifier = hash_name(name)
        self.entry = entry
        self.kind = kind
        self.targets = targets
        self.body = body
        self.digest = digest

    def has_state_of(self, other: "Service | None") -> bool:
        """Tell whether the other was built from the same value."""
        if other is None:
            return False
        return (
            self is other
            or bool(self.digest)
            and (self.digest == other.digest)
        )

    def find_target(self, name: str) -> Target | None:
        """Return the target of that name, if there is one."""
        for target in self.targets:
            if target.name == name:
                return target
        return None


class Configuration:
    """All services at one version; never changed once made.

    Attributes
    ----------
    version : int
        Number given by the platform; 0 means that none was read yet.
    services : dict of str to Service
        By name.
    """

    def __init__(self, version: int, services: dict[str, Service]):
        self.version = version
        self.services = services

    @cached_property
    def by_entry(self) -> dict[tuple[str, int, int], Service]:
        """Services by host, port and protocol of their entry."""
        return {s.entry.key: s for s in self.services.values()}

    @cached_property
    def by_identifier(self) -> dict[int, Service]:
        """Services by the identifier that messages carry."""
        return {s.identifier: s for s in self.services.values()}

    @cached_property
    def content(self) -> int:
        """Checksum over the names and digests of all services."""
        return sum_weights(
            weigh_service(name, service.digest)
            for name, service in self.services.items()
        )

    @property
    def fingerprint(self) -> int:
        """Checksum over the version and its content."""
        return sum_weights((self.content, weigh_version(self.version)))


EMPTY_CONFIGURATION = Configuration(0, {})
