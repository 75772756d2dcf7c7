"""Decodes the items of the platform's store."""

from math import inf
from socket import inet_aton
from typing import Any

from chicorycart.address import AddressError
from chicorycart.address import parse_address
from chicorycart.steering.errors import StoreError
from chicorycart.steering.published import ListedState
from chicorycart.steering.published import Listing
from chicorycart.steering.routes import DEFAULT_LEVEL
from chicorycart.steering.routes import Route
from chicorycart.steering.routes import RouteTable
from chicorycart.steering.routes import ServiceLevel
from chicorycart.units import MILLISECONDS

CONFIG_KEY = "op/config"
SERVER_PREFIX = "servers/"
PORT_BYTES = 2


def decode_server(name: str, value: Any) -> Listing:
    """Decode the entry of a host.

    Raises
    ------
    StoreError
        If a field is missing, of another type or invalid; the host is not
        used then.
    """
    try:
        return Listing(
            name,
            read_field(value, "service", str),
            parse_address(read_field(value, "address", str)),
            read_field(value, "zone", str),
            max(1, read_field(value, "slots", int)),
            ListedState(read_field(value, "state", str)),
            read_optional(value, "born", int, 0),
            read_optional(value, "coldRemainingMs", int, 0) / MILLISECONDS,
        )
    except (AddressError, ValueError) as error:
        raise StoreError(f"{SERVER_PREFIX}{name}: {error}") from error


def decode_config(value: Any) -> RouteTable:
    """Decode the configuration.

    Raises
    ------
    StoreError
        If it is invalid; the configuration in force stays.
    """
    try:
        routes = [
            decode_route(route) for route in read_field(value, "routes", list)
        ]
        limits = read_optional(value, "limits", dict, {})
        idle = read_optional(limits, "idleTimeoutMs", int, None)
        return RouteTable(
            read_field(value, "version", int),
            routes,
            None if idle is None else idle / MILLISECONDS,
        )
    except (OSError, ValueError) as error:
        raise StoreError(f"{CONFIG_KEY}: {error}") from error


def decode_route(value: Any) -> Route:
    """Decode a route.

    Its `hostname` is an IPv4 address in dotted form and its `prefix` a port
    between slashes.

    Raises
    ------
    OSError, ValueError
        If a field is missing, of another type or invalid.
    """
    port = int(read_field(value, "prefix", str).strip("/"))
    entry = inet_aton(read_field(value, "hostname", str)) + port.to_bytes(
        PORT_BYTES, "big"
    )
    level = decode_service_level(value)
    backends = value.get("backends")
    if not backends:
        service = read_field(value, "service", str)
        return Route(entry, ((service, 1.0),), level)
    return Route(
        entry,
        tuple(
            (
                read_field(backend, "service", str),
                float(read_field(backend, "weight", (int, float))),
            )
            for backend in backends
        ),
        level,
    )


def decode_service_level(value: Any) -> ServiceLevel:
    """Decode the service level of a route, whose fields are all optional."""
    return ServiceLevel(
        read_duration(value, "sloMs", DEFAULT_LEVEL.aim_seconds),
        read_duration(value, "timeoutMs", DEFAULT_LEVEL.timeout_seconds),
        read_optional(value, "priority", int, DEFAULT_LEVEL.priority),
    )


def read_duration(value: Any, name: str, default: float) -> float:
    """Return an optional time, given in milliseconds, in seconds.

    Raises
    ------
    ValueError
        If it is of another type, infinite, or not above 0.
    """
    found = read_optional(value, name, (int, float), None)
    if found is None:
        return default
    if not 0 < found < inf:
        raise ValueError(f"{name}: {found!r} is not a finite time above 0")
    return found / MILLISECONDS


def read_field(value: Any, name: str, expected_type: Any) -> Any:
    """Return a required field.

    Raises
    ------
    ValueError
        If it is missing or of another type.
    """
    found = value.get(name) if isinstance(value, dict) else None
    if not isinstance(found, expected_type) or isinstance(found, bool):
        raise ValueError(f"{name}: {found!r} is missing or has the wrong type")
    return found


def read_optional(
    value: Any, name: str, expected_type: Any, default: Any
) -> Any:
    """Return an optional field, or the default if it is missing or null."""
    if not isinstance(value, dict) or value.get(name) is None:
        return default
    return read_field(value, name, expected_type)
