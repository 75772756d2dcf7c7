"""The platform's list of instances, checked and kept."""

from enum import StrEnum
from heapq import nlargest
from socket import AF_INET
from socket import inet_pton
from sys import intern
from typing import Any
from typing import Protocol

from xxhash import xxh64_intdigest

from chicorycart.address import Address
from chicorycart.address import MAX_PORT
from chicorycart.membership.errors import InstanceListError


class InstanceRole(StrEnum):
    """Which daemon runs on an instance."""

    BALANCER = "balancer"
    AGENT = "agent"


class InstanceState(StrEnum):
    """Whether an instance is about to go."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance:
    """One entry of the instance list.

    Attributes
    ----------
    name : str
        Unique name.
    role : InstanceRole
        Which daemon runs there.
    data : Address
        Where it takes datagrams of the system.
    control : Address
        Where it serves metrics, health and status.
    region, domain : str
        Region and failure domain.
    state : InstanceState
        Whether it is about to go.
    """

    __slots__ = (
        "name",
        "role",
        "data",
        "control",
        "region",
        "domain",
        "state",
    )

    def __init__(
        self,
        name: str,
        role: InstanceRole,
        data: Address,
        control: Address,
        region: str,
        domain: str,
        state: InstanceState,
    ):
        self.name = name
        self.role = role
        self.data = data
        self.control = control
        self.region = region
        self.domain = domain
        self.state = state


def parse_instances(value: Any) -> list[Instance]:
    """Check a published list and build its entries.

    Raises
    ------
    InstanceListError
        If any entry is at fault; nothing of the list is used then.
    """
    if not isinstance(value, list):
        raise InstanceListError("instances: a list is needed")
    instances = [
        parse_instance(f"instances[{index}]", item)
        for index, item in enumerate(value)
    ]
    if len({instance.name for instance in instances}) < len(instances):
        raise InstanceListError("instances: two entries share one name")
    return instances


def parse_instance(path: str, value: Any) -> Instance:
    """Check and build one entry.

    The list is long and is read again and again, so that the checks are
    plain code rather than a schema.
    """
    if not isinstance(value, dict):
        raise InstanceListError(f"{path}: an object is needed")
    host = read_text(path, value, "address")
    try:
        inet_pton(AF_INET, host)
        return Instance(
            read_text(path, value, "name"),
            InstanceRole(read_text(path, value, "role")),
            Address(host, read_port(path, value, "data_port")),
            Address(host, read_port(path, value, "control_port")),
            intern(read_text(path, value, "region")),
            intern(read_text(path, value, "domain")),
            InstanceState(read_text(path, value, "state")),
        )
    except (OSError, ValueError) as error:
        raise InstanceListError(f"{path}: {error}") from error


def read_text(path: str, value: dict[str, Any], key: str) -> str:
    """Return a text that must be there."""
    text = value.get(key)
    if not isinstance(text, str) or not text:
        raise InstanceListError(f"{path}.{key}: a text is needed")
    return text


def read_port(path: str, value: dict[str, Any], key: str) -> int:
    """Return a port that must be there."""
    port = value.get(key)
    if type(port) is not int or not 0 < port <= MAX_PORT:
        raise InstanceListError(f"{path}.{key}: a port is needed")
    return port


class InstanceSubscriber(Protocol):
    """Something that is told when another list was read."""

    def change_instances(self, instances: list[Instance]) -> None:
        """Take over the list."""


class Balancers:
    """The balancers on the instance list, from one process's view.

    Parameters
    ----------
    domain : str
        Failure domain of the own process.
    """

    __slots__ = ("domain", "listed", "live")

    def __init__(self, domain: str):
        self.domain = domain
        self.listed: list[Instance] = []
        self.live: list[Instance] = []

    def change_instances(self, instances: list[Instance]) -> None:
        """Keep the balancers of a list; those that leave come last."""
        self.listed = [
            instance
            for instance in instances
            if instance.role is InstanceRole.BALANCER
        ]
        self.live = [
            balancer
            for balancer in self.listed
            if balancer.state is InstanceState.LIVE
        ] or self.listed

    def choose(self, key: int, count: int) -> list[Instance]:
        """Return some balancers, the same ones for all who ask with a key.

        The first stands in the own failure domain if there is any; the
        others are the same for every domain, and each in another one.

        Parameters
        ----------
        key : int
            Identifier of what the balancers are chosen for.
        count : int
            How many are wanted.
        """
        best: dict[str, Instance] = {}
        scores: dict[str, int] = {}
        for balancer in self.live:
            score = xxh64_intdigest(balancer.name.encode(), seed=key)
            if score > scores.get(balancer.domain, -1):
                scores[balancer.domain] = score
                best[balancer.domain] = balancer
        ranked = nlargest(count, best, key=lambda domain: scores[domain])
        if self.domain in best and self.domain not in ranked:
            ranked = [self.domain, *ranked[:-1]]
        return [best[domain] for domain in ranked]
