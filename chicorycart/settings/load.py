"""Reads settings files: JSON with comments, checked whole."""

from pathlib import Path
from typing import Any

import jsonc

from chicorycart.address import Address
from chicorycart.address import AddressError
from chicorycart.address import parse_address
from chicorycart.defaults import REQUEST_DEADLINE_SECONDS
from chicorycart.json_text import decode_json
from chicorycart.json_text import JsonError
from chicorycart.schema import find_faults
from chicorycart.schema import load_validator
from chicorycart.settings.errors import SettingsError
from chicorycart.settings.model import AgentSettings
from chicorycart.settings.model import BalancerSettings
from chicorycart.settings.model import DaemonSettings
from chicorycart.settings.model import LogSettings
from chicorycart.settings.model import PeerSettings

BALANCER_SCHEMA = Path(__file__).with_name("balancer.schema.json")
AGENT_SCHEMA = Path(__file__).with_name("agent.schema.json")
ADDRESS_KEYS = (
    "data",
    "control",
    "fabric",
    "decapsulation",
    "backend",
    "gateway",
)


def load_balancer_settings(path: Path) -> BalancerSettings:
    """Read the settings of a balancer.

    Raises
    ------
    SettingsError
        If the file cannot be read or any value is at fault.
    """
    value = read_settings(path, BALANCER_SCHEMA)
    return BalancerSettings(
        build_daemon_settings(value),
        parse_address(value["fabric"]),
        value.get("stop_seconds"),
    )


def load_agent_settings(path: Path) -> AgentSettings:
    """Read the settings of an agent.

    Raises
    ------
    SettingsError
        If the file cannot be read or any value is at fault.
    """
    value = read_settings(path, AGENT_SCHEMA)
    return AgentSettings(
        build_daemon_settings(value),
        value["service"],
        value["target"],
        parse_address(value["decapsulation"]),
        parse_address(value["backend"]),
        parse_optional(value.get("gateway")),
        value.get("deadline_seconds", REQUEST_DEADLINE_SECONDS),
        value.get("stop_seconds"),
        value.get("hedging", {}).get("share", 0.0),
    )


def read_settings(path: Path, schema: Path) -> dict[str, Any]:
    """Read a file and check it whole; list every fault."""
    try:
        value = decode_json(path.read_text(encoding="utf-8"), jsonc.loads)
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from error
    except JsonError as error:
        raise SettingsError([f"{path}: {error}"]) from error
    except UnicodeDecodeError as error:
        raise SettingsError([f"{path}: not JSON: {error}"]) from error
    faults = find_faults(load_validator(schema), value)
    lines = [f"{path}: {fault}" for fault in faults]
    if not lines:
        lines = [f"{path}: {line}" for line in find_bad_addresses(value)]
    if lines:
        raise SettingsError(lines)
    return value


def find_bad_addresses(value: dict[str, Any]) -> list[str]:
    """Return a line for each address that the pattern let through."""
    lines = list_bad_addresses("$", value)
    for index, peer in enumerate(value.get("peers", [])):
        lines += list_bad_addresses(f"$.peers[{index}]", peer)
    return lines


def list_bad_addresses(path: str, value: dict[str, Any]) -> list[str]:
    """Return a line for each bad address of one object."""
    lines = []
    for key in ADDRESS_KEYS:
        if key not in value:
            continue
        try:
            parse_address(value[key])
        except AddressError as error:
            lines.append(f"{path}.{key}: {error}")
    return lines


def parse_optional(text: str | None) -> Address | None:
    """Read an address that may be absent."""
    return None if text is None else parse_address(text)


def build_daemon_settings(value: dict[str, Any]) -> DaemonSettings:
    """Build the part that all daemons share from a checked value."""
    return DaemonSettings(
        value["name"],
        value["region"],
        value["domain"],
        parse_address(value["data"]),
        parse_address(value["control"]),
        [base.rstrip("/") for base in value["platform"]],
        LogSettings(**value.get("log", {})),
        [build_peer_settings(item) for item in value.get("peers", [])],
    )


def build_peer_settings(value: dict[str, Any]) -> PeerSettings:
    """Build one balancer to begin with from a checked value."""
    return PeerSettings(
        value["name"],
        value["region"],
        value["domain"],
        parse_address(value["data"]),
        parse_address(value["control"]),
    )
