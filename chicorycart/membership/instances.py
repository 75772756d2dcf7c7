"""Parses the platform's instance list and selects balancers from it."""

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
    """Whether an instance is about to stop."""

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
        Where it receives the datagrams of balancers and agents.
    control : Address
        Where it serves metrics, health and status.
    region, domain : str
        Region and failure domain.
    state : InstanceState
        Whether it is about to stop.
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
    """Validate a published list and build its entries.

    Raises
    ------
    InstanceListError
        If any entry is invalid; no entry of the list is used then.
    """
    if not isinstance(value, list):
        raise InstanceListError("instances: expected a list of objects")
    instances = [
        parse_instance(f"instances[{index}]", item)
        for index, item in enumerate(value)
    ]
    if len({instance.name for instance in instances}) < len(instances):
        raise InstanceListError("instances: the same name occurs twice")
    return instances


def parse_instance(path: str, value: Any) -> Instance:
    """Validate and build one entry.

    The list is long and is read every few seconds, so the checks are plain
    code, which is faster than a schema.
    """
    if not isinstance(value, dict):
        raise InstanceListError(f"{path}: expected an object")
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
    """Return the non-empty string under a key."""
    text = value.get(key)
    if not isinstance(text, str) or not text:
        raise InstanceListError(f"{path}.{key}: expected a non-empty string")
    return text


def read_port(path: str, value: dict[str, Any], key: str) -> int:
    """Return the port number under a key."""
    port = value.get(key)
    if type(port) is not int or not 0 < port <= MAX_PORT:
        raise InstanceListError(f"{path}.{key}: expected a port (1 to 65535)")
    return port


class InstanceSubscriber(Protocol):
    """A component that uses the instance list."""

    def change_instances(self, instances: list[Instance]) -> None:
        """Replace the previous list by this one."""


class Balancers:
    """Holds the balancers on the instance list, as one process uses them.

    Parameters
    ----------
    domain : str
        Failure domain of the own process.

    Attributes
    ----------
    listed : list of Instance
        All balancers on the list.
    live : list of Instance
        Those that are not leaving; all of them if every one is leaving.
    """

    __slots__ = ("domain", "listed", "live")

    def __init__(self, domain: str):
        self.domain = domain
        self.listed: list[Instance] = []
        self.live: list[Instance] = []

    def change_instances(self, instances: list[Instance]) -> None:
        """Keep the balancers of a list; note which are not leaving."""
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
        """Return balancers in different domains, by rendezvous hashing.

        All processes that choose with one key get the same balancers, except
        that one of the own failure domain, if there is any, is always
        included: where it is not among them it replaces the last and comes
        first.

        Parameters
        ----------
        key : int
            Hash key, such as the identifier of a service.
        count : int
            Largest number of balancers to return.
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
