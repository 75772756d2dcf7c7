"""Reads the settings file that the platform writes for each process."""

from collections.abc import Mapping
from math import nan
from os import environ
from pathlib import Path
from tomllib import loads
from tomllib import TOMLDecodeError
from typing import Any

from chicorycart.address import Address
from chicorycart.address import AddressError
from chicorycart.address import parse_address
from chicorycart.hedging import MAX_HEDGE_SHARE
from chicorycart.json_text import MAX_WHOLE_NUMBER
from chicorycart.settings.errors import SettingsError
from chicorycart.steering.settings import Bounds
from chicorycart.steering.settings import SteeringSettings
from chicorycart.units import MILLISECONDS

FILE_VARIABLE = "CHICORYCART_NODE_FILE"
SHARE_VARIABLE = "CHICORYCART_HEDGE_SHARE"
READY_PATH = "/ready"
LINK_PORT_OFFSET = 0
"""Offset in `portRange` of the port for messages between the daemons."""

METRICS_PORT = 9102
"""Port of metrics and status; the same as in deploy/system.toml."""


def load_platform_settings(
    environment: Mapping[str, str] = environ,
) -> SteeringSettings:
    """Read the settings file that the environment variable names.

    Raises
    ------
    SettingsError
        If the file cannot be read or a value is missing or invalid.
    """
    path = environment.get(FILE_VARIABLE)
    if path is None:
        raise SettingsError([f"{FILE_VARIABLE} is not set"])
    try:
        value = loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from error
    except (TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: not TOML: {error}"]) from error
    except RecursionError as error:
        raise SettingsError([f"{path}: nested too deeply"]) from error
    share = parse_share(environment.get(SHARE_VARIABLE, "0"))
    try:
        return decode_settings(value, share)
    except (AddressError, KeyError, IndexError, TypeError) as error:
        raise SettingsError([f"{path}: {error!r}"]) from error


def parse_share(text: str) -> float:
    """Parse the share of opening packets that may be hedged.

    Raises
    ------
    SettingsError
        If it is not a number in the allowed range.
    """
    try:
        share = float(text)
    except ValueError:
        share = nan
    if not 0 <= share <= MAX_HEDGE_SHARE:
        raise SettingsError(
            [
                f"{SHARE_VARIABLE}: {text!r} is not a number from 0 to"
                f" {MAX_HEDGE_SHARE}"
            ]
        )
    return share


def decode_settings(
    value: dict[str, Any], hedge_share: float
) -> SteeringSettings:
    """Map the platform's settings to those of a daemon."""
    listen = value["listen"]
    ports = value["portRange"]
    bounds = value["bounds"]
    return SteeringSettings(
        value["node"],
        value["zone"],
        parse_address(listen["dataAddr"]),
        Address(value["ip"], ports[0] + LINK_PORT_OFFSET),
        parse_address(listen["ready"]),
        READY_PATH,
        Address(value["ip"], METRICS_PORT),
        parse_address(value["platform"]["address"]),
        value.get("service"),
        parse_optional(value.get("app")),
        parse_optional(listen.get("outbound")),
        Bounds(
            bounds["configApplyMs"] / MILLISECONDS,
            bounds["drainMs"] / MILLISECONDS,
            bounds["graceS"],
            bounds["flowTtlS"],
            read_bound(bounds, "coldOver"),
            read_bound(bounds, "coldSlack"),
            read_optional_time(bounds, "evacuateMs"),
        ),
        hedge_share,
    )


def read_bound(bounds: dict[str, Any], name: str) -> float | None:
    """Return an optional bound.

    Raises
    ------
    TypeError
        If it is not a finite number from 0.
    """
    found = bounds.get(name)
    if found is None:
        return None
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise TypeError(f"{name}: expected a number")
    if not 0 <= found <= MAX_WHOLE_NUMBER:
        raise TypeError(f"{name}: expected a number from 0")
    return float(found)


def read_optional_time(bounds: dict[str, Any], name: str) -> float | None:
    """Return an optional time, given in milliseconds, in seconds."""
    found = read_bound(bounds, name)
    return None if found is None else found / MILLISECONDS


def parse_optional(text: str | None) -> Address | None:
    """Parse an optional address."""
    return None if text is None else parse_address(text)
