"""Stand-in of the platform's metadata store, over HTTP."""

from asyncio import Event
from asyncio import start_server
from asyncio import StreamReader
from asyncio import StreamWriter
from asyncio import timeout
from base64 import b64encode
from contextlib import suppress
from json import dumps
from time import monotonic
from urllib.parse import parse_qs
from urllib.parse import urlsplit

HISTORY_SECONDS = 20.0
PAGE_ITEMS = 500
STATUS_TEXTS = {200: "OK", 404: "Not Found", 410: "Gone", 503: "Busy"}


class Store:
    """Items by key, their changes, and the calls that read them."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 10
        self.discarded = 10
        self.changed = Event()
        self.server = None

    async def start(self, host: str, port: int) -> None:
        """Serve the store."""
        self.server = await start_server(self.serve, host, port)

    def put(self, key: str, value: bytes) -> int:
        """Write an item; return the revision of the change."""
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": b64encode(value).decode(),
            "revision": self.revision,
            "createRev": known["createRev"] if known else self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self.add_event(item)
        return self.revision

    def put_json(self, key: str, value: object) -> int:
        """Write an item whose value is JSON."""
        return self.put(key, dumps(value).encode())

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.add_event(
                {"key": key, "revision": self.revision, "tombstone": True}
            )

    def add_event(self, event: dict) -> None:
        """Keep a change for the watches, and discard old ones."""
        now = monotonic()
        self.events.append((now, event))
        while self.events[0][0] < now - HISTORY_SECONDS:
            self.discarded = self.events.pop(0)[1]["revision"]
        self.changed.set()
        self.changed = Event()

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Answer one call."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = urlsplit(head.split()[1].decode())
            query = {k: v[0] for k, v in parse_qs(target.query).items()}
            status, body = await self.answer(target.path, query)
            content = dumps(body).encode()
            writer.write(
                f"HTTP/1.1 {status} {STATUS_TEXTS[status]}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(content)}\r\n"
                "Connection: close\r\n\r\n".encode()
                + content
            )
            await writer.drain()
        except (ConnectionError, EOFError, ValueError, IndexError):
            return
        finally:
            writer.close()

    async def answer(self, path: str, query: dict) -> tuple[int, dict]:
        """Return status and body of an answer."""
        if path == "/kv-range":
            return 200, self.list_items(
                query.get("prefix", ""), query.get("after", "")
            )
        if path == "/kv-watch":
            return await self.watch(
                query.get("prefix", ""),
                int(query["after"]),
                int(query["waitMs"]) / 1000,
            )
        item = self.items.get(query.get("key", ""))
        if path != "/kv-key" or item is None:
            return 404, {"currentRev": self.revision}
        return 200, {**item, "currentRev": self.revision}

    def list_items(self, prefix: str, after: str) -> dict:
        """Return one page of items."""
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        return {
            "items": [self.items[k] for k in keys[:PAGE_ITEMS]],
            "hasMore": len(keys) > PAGE_ITEMS,
            "currentRev": self.revision,
        }

    async def watch(
        self, prefix: str, after: int, seconds: float
    ) -> tuple[int, dict]:
        """Wait for changes and return them."""
        with suppress(TimeoutError):
            async with timeout(seconds):
                while not self.list_events(prefix, after):
                    if after < self.discarded:
                        break
                    await self.changed.wait()
        if after < self.discarded:
            return 410, {"currentRev": self.revision}
        return 200, {
            "events": self.list_events(prefix, after),
            "currentRev": self.revision,
        }

    def list_events(self, prefix: str, after: int) -> list[dict]:
        """Return the changes after a revision."""
        return [
            event
            for _, event in self.events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
