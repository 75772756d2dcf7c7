"""HTTP client of the platform's metadata store."""

from base64 import b64decode
from binascii import Error as Base64Error
from collections.abc import Mapping
import re
from typing import Any
from urllib.parse import urlencode

from chicorycart.json_text import decode_json
from chicorycart.json_text import JsonError
from chicorycart.links.errors import LinkError
from chicorycart.links.errors import SilentLinkError
from chicorycart.links.http import HttpClient
from chicorycart.platform.items import CONFIG_KEY
from chicorycart.platform.items import decode_config
from chicorycart.platform.items import decode_evacuation
from chicorycart.platform.items import decode_server
from chicorycart.platform.items import EVACUATION_PREFIX
from chicorycart.platform.items import SERVER_PREFIX
from chicorycart.steering.errors import HistoryLostError
from chicorycart.steering.errors import StoreError
from chicorycart.steering.errors import StoreSilentError
from chicorycart.steering.published import Changes
from chicorycart.steering.published import ENTRY_REMOVED
from chicorycart.steering.published import ListingChange

ALL_KEYS = ""
WATCH_PATH = "/kv-watch"
OK = 200
GONE = 410
SHORTEST_WAIT_MS = 1
"""Wait time of a watch that asks only for past events."""

ERA_HEADER = "Store-Era"
ERA_FORMAT = re.compile("[0-9]{1,18}")
NO_ERA = 0
"""Era of a store that names none."""

MAX_REASON_CHARACTERS = 300
"""Longest text on why a value is not used; a value can have a megabyte."""


class Page:
    """One answer of the store.

    Attributes
    ----------
    era : int
        Number of the store's era.
    revision : int
        The store's revision at the time of the answer.
    content : dict of str to Any
        The JSON object of the body.
    """

    __slots__ = ("era", "revision", "content")

    def __init__(self, era: int, content: dict[str, Any]):
        self.era = era
        self.revision = read_revision(content)
        self.content = content


class MetadataStore:
    """Reads and watches the platform's store.

    Parameters
    ----------
    source : HttpSource
        HTTP client of the store.
    """

    __slots__ = ("source",)

    def __init__(self, source: HttpClient):
        self.source = source

    async def read_all(self, answer_seconds: float) -> Changes:
        """Read all items, page by page.

        The result has the first page's revision, so that a watch after it
        returns changes made while later pages were read.

        Raises
        ------
        StoreError
            If a call failed, or the store was restored between two pages.
        """
        first = page = await self.call(
            "/kv-range", {"prefix": ALL_KEYS}, answer_seconds
        )
        items = read_items(page, "items")
        while page.content.get("hasMore") and items:
            query = {"prefix": ALL_KEYS, "after": items[-1]["key"]}
            page = await self.call("/kv-range", query, answer_seconds)
            if page.era != first.era or page.revision < first.revision:
                raise StoreError(
                    "/kv-range: pages of two states of the store: era"
                    f" {first.era} at revision {first.revision}, then era"
                    f" {page.era} at revision {page.revision}"
                )
            items += read_items(page, "items")
        return decode_changes(first, items)

    async def watch(
        self, after: int, seconds: float, answer_seconds: float
    ) -> Changes:
        """Wait for changes after a revision, for at most some seconds."""
        query = {
            "prefix": ALL_KEYS,
            "after": after,
            "waitMs": max(SHORTEST_WAIT_MS, round(seconds * 1000)),
        }
        page = await self.call(WATCH_PATH, query, seconds + answer_seconds)
        return decode_changes(page, read_items(page, "events"))

    async def read_changes(self, after: int, answer_seconds: float) -> Changes:
        """Return the changes of hosts' entries after a revision, in order."""
        query = {
            "prefix": SERVER_PREFIX,
            "after": after,
            "waitMs": SHORTEST_WAIT_MS,
        }
        page = await self.call(WATCH_PATH, query, answer_seconds)
        return decode_changes(page, read_items(page, "events"))

    async def call(
        self, path: str, query: dict[str, Any], seconds: float
    ) -> Page:
        """Send one GET request and return its answer.

        Raises
        ------
        HistoryLostError
            If the store has discarded the history that was asked for.
        StoreSilentError
            If nothing of the answer arrived for some seconds.
        StoreError
            If the call failed or the answer is not a JSON object with the
            revision of the store, or names an invalid era.
        """
        try:
            answer = await self.source.get(
                f"{path}?{urlencode(query)}", seconds
            )
        except SilentLinkError as error:
            raise StoreSilentError(str(error)) from error
        except LinkError as error:
            raise StoreError(str(error)) from error
        if answer.status == GONE and path == WATCH_PATH:
            raise HistoryLostError(
                f"{path}: the store has discarded changes since the revision"
            )
        if answer.status != OK:
            raise StoreError(
                f"{path}: expected status 200, found {answer.status}"
            )
        try:
            content = decode_json(answer.body)
        except JsonError as error:
            raise StoreError(f"{path}: {error}") from error
        if not isinstance(content, dict):
            raise StoreError(f"{path}: expected a JSON object")
        return Page(read_era(answer.headers), content)


def read_era(headers: Mapping[str, str]) -> int:
    """Return the number of the store's era that an answer names."""
    text = headers.get(ERA_HEADER)
    if text is None:
        return NO_ERA
    if ERA_FORMAT.fullmatch(text) is None:
        raise StoreError(
            f"{ERA_HEADER}: expected a whole number, found {text!r}"
        )
    return int(text)


def read_revision(content: dict[str, Any]) -> int:
    """Return the store's revision at the time of an answer."""
    revision = content.get("currentRev")
    if type(revision) is not int:
        raise StoreError("currentRev: missing or not an integer")
    return revision


def read_items(page: Page, field: str) -> list[dict[str, Any]]:
    """Return the items or events of an answer.

    Raises
    ------
    StoreError
        If the list is missing or an item has no key or revision.
    """
    items = page.content.get(field)
    if not isinstance(items, list) or not all(map(is_item, items)):
        raise StoreError(
            f"{field}: expected a list of items with key and revision"
        )
    return items


def is_item(value: Any) -> bool:
    """Tell whether a value has the key and revision of an item."""
    return (
        isinstance(value, dict)
        and isinstance(value.get("key"), str)
        and type(value.get("revision")) is int
    )


def decode_changes(page: Page, items: list[dict[str, Any]]) -> Changes:
    """Decode items or events of the store."""
    listings = []
    evacuations = []
    routes = None
    fault = ""
    for item in items:
        key = item["key"]
        if key.startswith(SERVER_PREFIX):
            listings.append(decode_listing(item))
        elif key.startswith(EVACUATION_PREFIX):
            evacuations.append(decode_evacuation(item))
        elif key == CONFIG_KEY and not item.get("tombstone"):
            try:
                routes = decode_config(read_value(item))
                fault = ""
            except StoreError as error:
                fault = describe(error)
    return Changes(
        page.era, page.revision, listings, routes, fault, evacuations
    )


def decode_listing(item: dict[str, Any]) -> ListingChange:
    """Decode the change of one host's entry."""
    name = item["key"].removeprefix(SERVER_PREFIX)
    revision = item["revision"]
    if item.get("tombstone"):
        return ListingChange(name, revision, None, ENTRY_REMOVED)
    try:
        listing = decode_server(name, read_value(item))
    except StoreError as error:
        return ListingChange(name, revision, None, describe(error))
    return ListingChange(name, revision, listing)


def read_value(item: dict[str, Any]) -> Any:
    """Decode the JSON value of an item.

    Raises
    ------
    StoreError
        If it is not JSON in base64; other processes write values too.
    """
    try:
        return decode_json(b64decode(item.get("value", ""), validate=True))
    except (Base64Error, TypeError, ValueError) as error:
        raise StoreError(f"{item['key']}: not base64: {error}") from error
    except JsonError as error:
        raise StoreError(f"{item['key']}: {error}") from error


def describe(error: StoreError) -> str:
    """Return the text of an error, cut where it is too long for a log."""
    return str(error)[:MAX_REASON_CHARACTERS]
