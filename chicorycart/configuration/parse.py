"""Turns published values into services, or refuses them whole."""

from collections.abc import Mapping
from pathlib import Path
from sys import intern
from typing import Any

from chicorycart.address import Address
from chicorycart.address import AddressError
from chicorycart.address import parse_address
from chicorycart.configuration.checksums import digest_body
from chicorycart.configuration.errors import InvalidConfigurationError
from chicorycart.configuration.model import Entry
from chicorycart.configuration.model import Service
from chicorycart.configuration.model import ServiceKind
from chicorycart.configuration.model import Target
from chicorycart.configuration.model import TargetState
from chicorycart.json_text import decode_json
from chicorycart.json_text import JsonError
from chicorycart.schema import find_faults
from chicorycart.schema import load_validator

SERVICE_VALIDATOR = load_validator(
    Path(__file__).with_name("service.schema.json")
)
PROTOCOL_NUMBERS = {"tcp": 6, "udp": 17}
DEFAULT_WEIGHT = 1.0
DEFAULT_SLOTS = 1


def parse_service(name: str, body: bytes) -> Service:
    """Check one published service and build it.

    Parameters
    ----------
    name : str
        Name of the service.
    body : bytes
        The value as it was published, JSON.

    Raises
    ------
    InvalidConfigurationError
        If any part of the value is at fault; nothing of it is used then.
    """
    value = decode_body(name, body)
    faults = find_faults(SERVICE_VALIDATOR, value)
    if faults:
        raise InvalidConfigurationError(
            f"services/{name}{faults[0].path[1:]}",
            faults[0].describe(),
        )
    entry = Entry(
        read_address(f"services/{name}.entry", value["entry"]["address"]),
        PROTOCOL_NUMBERS[value["entry"]["protocol"]],
    )
    kind = ServiceKind(value["kind"])
    if kind is ServiceKind.HTTP and value["entry"]["protocol"] != "tcp":
        raise InvalidConfigurationError(
            f"services/{name}.entry.protocol", "kind http needs tcp"
        )
    targets = tuple(
        parse_target(f"services/{name}.targets[{index}]", item)
        for index, item in enumerate(value["targets"])
    )
    refuse_duplicates(name, targets)
    return Service(
        name,
        entry,
        kind,
        tuple(sorted(targets, key=lambda t: t.name)),
        body,
        digest_body(body),
    )


def decode_body(name: str, body: bytes) -> Any:
    """Return the JSON value of a published body."""
    try:
        return decode_json(body)
    except JsonError as error:
        raise InvalidConfigurationError(
            f"services/{name}", str(error)
        ) from error


def parse_target(path: str, value: dict[str, Any]) -> Target:
    """Build one target from a value that the schema has passed."""
    gateway = value.get("gateway")
    return Target(
        value["name"],
        read_address(f"{path}.agent", value["agent"]),
        intern(value["domain"]),
        float(value.get("weight", DEFAULT_WEIGHT)),
        value.get("slots", DEFAULT_SLOTS),
        TargetState(value.get("state", "active")),
        gateway and read_address(f"{path}.gateway", gateway),
    )


def read_address(path: str, text: str) -> Address:
    """Read an address; name its path if it is at fault."""
    try:
        return parse_address(text)
    except AddressError as error:
        raise InvalidConfigurationError(path, str(error)) from error


def refuse_duplicates(name: str, targets: tuple[Target, ...]) -> None:
    """Raise if two targets share a name or an agent."""
    for label, values in (
        ("name", [t.name for t in targets]),
        ("agent", [t.agent for t in targets]),
    ):
        if len(set(values)) < len(values):
            raise InvalidConfigurationError(
                f"services/{name}.targets", f"two targets share one {label}"
            )


def refuse_shared_entries(services: Mapping[str, Service]) -> None:
    """Raise if two services stand behind one entry or one identifier."""
    keys = {service.entry.key for service in services.values()}
    hashes = {service.identifier for service in services.values()}
    if len(keys) == len(hashes) == len(services):
        return
    entries: dict[tuple[str, int, int], str] = {}
    identifiers: dict[int, str] = {}
    for name, service in sorted(services.items()):
        other = entries.setdefault(service.entry.key, name)
        if other != name:
            raise InvalidConfigurationError(
                f"services/{name}.entry", f"services/{other} has the same"
            )
        other = identifiers.setdefault(service.identifier, name)
        if other != name:
            raise InvalidConfigurationError(
                f"services/{name}", f"services/{other} has the same hash"
            )
