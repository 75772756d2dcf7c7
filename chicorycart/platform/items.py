"""Decodes the items of the platform's store."""

from reprlib import repr as shorten
from socket import inet_aton
from typing import Any

from chicorycart.address import Address
from chicorycart.address import AddressError
from chicorycart.address import MAX_PORT
from chicorycart.address import parse_address
from chicorycart.json_text import MAX_WHOLE_NUMBER
from chicorycart.steering.errors import StoreError
from chicorycart.steering.published import EvacuationChange
from chicorycart.steering.published import ListedState
from chicorycart.steering.published import Listing
from chicorycart.steering.routes import ColdStart
from chicorycart.steering.routes import DEFAULT_LEVEL
from chicorycart.steering.routes import Route
from chicorycart.steering.routes import RouteTable
from chicorycart.steering.routes import ServiceLevel
from chicorycart.units import MILLISECONDS

CONFIG_KEY = "op/config"
SERVER_PREFIX = "servers/"
EVACUATION_PREFIX = "op/evacuate/"
PORT_BYTES = 2

FIRST_MULTICAST_BYTE = 224
"""First byte of the lowest multicast address; no host has one above."""

MAX_NAME_CHARACTERS = 255
"""Longest name of a service or failure domain; an entry with a longer one is
not kept in memory."""

MAX_PER_SECOND = 65_535
"""Most requests a second that a cold host may be said to bear; the largest
number of a delivery's header."""


def decode_server(name: str, value: Any) -> Listing:
    """Decode the entry of a host.

    Fields that are not used here are checked too: an entry that lacks one was
    not written by a host.

    Raises
    ------
    StoreError
        If a field is missing, of another type or invalid; the host is not
        used then.
    """
    try:
        read_field(value, "version", str)
        read_whole(value, "seq")
        return Listing(
            check_name("key", name),
            read_name(value, "service"),
            read_host_address(value),
            read_name(value, "zone"),
            max(1, read_whole(value, "slots")),
            ListedState(read_field(value, "state", str)),
            read_whole(value, "born"),
            read_whole(value, "coldRemainingMs") / MILLISECONDS,
        )
    except (AddressError, ValueError) as error:
        raise StoreError(f"{SERVER_PREFIX}{name}: {error}") from error


def read_host_address(value: Any) -> Address:
    """Return the address of a host.

    Raises
    ------
    AddressError, ValueError
        If it is missing or cannot be that of one host.
    """
    address = parse_address(read_field(value, "address", str))
    first_byte = int(address.host.partition(".")[0])
    if not 0 < first_byte < FIRST_MULTICAST_BYTE:
        raise AddressError(f"{address}: not the address of one host")
    if address.port == 0:
        raise AddressError(f"{address}: port 0 receives nothing")
    return address


def decode_evacuation(item: dict[str, Any]) -> EvacuationChange:
    """Decode an item that evacuates a zone; its value is not read."""
    return EvacuationChange(
        item["key"].removeprefix(EVACUATION_PREFIX),
        not item.get("tombstone"),
        item["revision"],
    )


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
        idle_ms = read_whole(limits, "idleTimeoutMs", 0)
        services = {
            read_field(service, "name", str): decode_cold_start(service)
            for service in read_optional(value, "services", list, [])
        }
        return RouteTable(
            read_whole(value, "version"),
            routes,
            idle_ms / MILLISECONDS if idle_ms else None,
            services,
            services,
        )
    except (OSError, ValueError) as error:
        raise StoreError(f"{CONFIG_KEY}: {error}") from error


def decode_cold_start(service: dict[str, Any]) -> ColdStart:
    """Decode what the hosts of a service bear after their start.

    A number that is missing or unusable gives no cold time or no limit: the
    rest of the configuration must come into force.
    """
    seconds = service.get("coldStartS")
    per_second = service.get("coldPerS")
    return ColdStart(
        float(seconds) if is_number(seconds, MAX_WHOLE_NUMBER) else 0.0,
        float(per_second) if is_number(per_second, MAX_PER_SECOND) else None,
    )


def is_number(value: Any, highest: float) -> bool:
    """Tell whether a value is a number from 0 to the highest."""
    return (
        isinstance(value, (int, float))
        and not isinstance(value, bool)
        and 0 <= value <= highest
    )


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
    if not 0 <= port <= MAX_PORT:
        raise ValueError(f"prefix: {port} is not a port")
    entry = inet_aton(read_field(value, "hostname", str)) + port.to_bytes(
        PORT_BYTES, "big"
    )
    level = decode_service_level(value)
    backends = read_optional(value, "backends", list, [])
    if not backends:
        service = read_field(value, "service", str)
        return Route(entry, ((service, 1.0),), level)
    return Route(entry, tuple(map(decode_backend, backends)), level)


def decode_backend(value: Any) -> tuple[str, float]:
    """Decode the name and weight of one of several services of a route.

    Raises
    ------
    ValueError
        If a field is missing, of another type or invalid.
    """
    service = read_field(value, "service", str)
    weight = read_field(value, "weight", (int, float))
    if not 0 <= weight <= MAX_WHOLE_NUMBER:
        raise ValueError(f"weight: {shorten(weight)} is out of range")
    return service, float(weight)


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
        If it is of another type, too large, or not above 0.
    """
    found = read_optional(value, name, (int, float), None)
    if found is None:
        return default
    if not 0 < found <= MAX_WHOLE_NUMBER:
        raise ValueError(f"{name}: {shorten(found)} is out of range")
    return found / MILLISECONDS


def read_whole(value: Any, name: str, default: int | None = None) -> int:
    """Return a whole number from 0.

    Parameters
    ----------
    value : Any
        The object with the field.
    name : str
        Name of the field.
    default : int, optional
        Result for a field that is missing or null; without it the field is
        required.

    Raises
    ------
    ValueError
        If it is missing, of another type, below 0 or too large.
    """
    if default is None:
        found = read_field(value, name, int)
    else:
        found = read_optional(value, name, int, default)
    if not 0 <= found <= MAX_WHOLE_NUMBER:
        raise ValueError(f"{name}: {shorten(found)} is out of range")
    return found


def read_name(value: Any, name: str) -> str:
    """Return a text that is used as a name.

    Raises
    ------
    ValueError
        If it is missing, no text, empty or too long.
    """
    return check_name(name, read_field(value, name, str))


def check_name(field: str, name: str) -> str:
    """Return a name that can be hashed and sent.

    JSON can hold half of a character (a lone surrogate), which UTF-8 cannot.

    Raises
    ------
    ValueError
        If it is empty, too long, or has half of a character.
    """
    if not 0 < len(name) <= MAX_NAME_CHARACTERS:
        raise ValueError(
            f"{field}: expected 1 to {MAX_NAME_CHARACTERS} characters, found"
            f" {len(name)}"
        )
    try:
        name.encode()
    except UnicodeEncodeError as error:
        raise ValueError(f"{field}: not UTF-8: {error.reason}") from error
    return name


def read_field(value: Any, name: str, expected_type: Any) -> Any:
    """Return a required field.

    Raises
    ------
    ValueError
        If it is missing or of another type.
    """
    found = value.get(name) if isinstance(value, dict) else None
    if not isinstance(found, expected_type) or isinstance(found, bool):
        # A plain repr of a nested value may exceed the interpreter's limit.
        raise ValueError(
            f"{name}: {shorten(found)} is missing or has the wrong type"
        )
    return found


def read_optional(
    value: Any, name: str, expected_type: Any, default: Any
) -> Any:
    """Return an optional field, or the default if it is missing or null."""
    if not isinstance(value, dict) or value.get(name) is None:
        return default
    return read_field(value, name, expected_type)
