"""Reads what the tool shows: the platform, daemons and files."""

from asyncio import gather
from pathlib import Path
from typing import Any

import jsonc
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError

from chicorycart.address import Address
from chicorycart.clock import LoopClock
from chicorycart.commands.errors import BadInputError
from chicorycart.commands.errors import UnreachableError
from chicorycart.configuration.errors import ConfigurationError
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.platform import PlatformClient
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.configuration.values import HttpValues
from chicorycart.defaults import READER_CALLS_BURST
from chicorycart.defaults import READER_CALLS_PER_SECOND
from chicorycart.defaults import TOOL_TIMEOUT_SECONDS
from chicorycart.json_text import decode_json
from chicorycart.json_text import JsonError
from chicorycart.pace import TokenBucket


class Answer:
    """What one daemon answered.

    Attributes
    ----------
    address : Address
        Control address that was asked.
    value : dict or None
        Decoded answer; None if there was none.
    error : str
        Why there was none.
    """

    __slots__ = ("address", "value", "error")

    def __init__(
        self,
        address: Address,
        value: dict[str, Any] | None,
        error: str = "",
    ):
        self.address = address
        self.value = value
        self.error = error


def open_platform(platform: str) -> PlatformClient:
    """Return a client that reads from one base address."""
    pace = TokenBucket(
        LoopClock(), READER_CALLS_PER_SECOND, READER_CALLS_BURST
    )
    return PlatformClient(HttpValues([platform.rstrip("/")]), pace)


async def read_configuration(platform: str) -> Configuration:
    """Read the configuration that the platform publishes now."""
    client = open_platform(platform)
    try:
        configuration = await client.read_configuration(
            ConfigurationStore(LoopClock())
        )
    except ConfigurationError as error:
        raise UnreachableError(str(error)) from error
    if configuration is None:
        raise UnreachableError(f"{platform}: nothing is published")
    return configuration


async def read_control_addresses(platform: str) -> dict[str, Address]:
    """Return the control address of each listed instance by its name."""
    client = open_platform(platform)
    try:
        instances = await client.read_instances()
    except ConfigurationError as error:
        raise UnreachableError(str(error)) from error
    return {
        instance["name"]: Address(
            instance["address"], instance["control_port"]
        )
        for instance in instances
    }


async def ask_daemon(address: Address, path: str) -> Answer:
    """Ask one daemon for a JSON page."""
    try:
        response = await AsyncHTTPClient().fetch(
            f"http://{address}{path}", request_timeout=TOOL_TIMEOUT_SECONDS
        )
        return Answer(address, decode_json(response.body))
    except (HTTPClientError, OSError, JsonError) as error:
        return Answer(address, None, str(error))


async def ask_daemons(addresses: list[Address], path: str) -> list[Answer]:
    """Ask several daemons at once."""
    return await gather(*(ask_daemon(a, path) for a in addresses))


def read_json_file(path: Path) -> Any:
    """Read a file of JSON with comments."""
    try:
        return decode_json(path.read_text(encoding="utf-8"), jsonc.loads)
    except OSError as error:
        raise BadInputError(f"{path}: {error.strerror}") from error
    except JsonError as error:
        raise BadInputError(f"{path}: {error}") from error
    except UnicodeDecodeError as error:
        raise BadInputError(f"{path}: not JSON: {error}") from error
