"""The platform's metadata store, with the calls that PROTOCOL.md names."""

from asyncio import Event
from asyncio import get_running_loop
from asyncio import IncompleteReadError
from asyncio import sleep
from asyncio import start_server
from asyncio import timeout
from base64 import b64encode
from collections import deque
from contextlib import suppress
from json import dumps
from urllib.parse import parse_qs
from urllib.parse import urlsplit

ANSWER_SECONDS = 0.004
MAX_ITEMS = 500
HISTORY_SECONDS = 20.0


class Store:
    """Items with one counter of revisions, served over HTTP.

    Attributes
    ----------
    items : dict of str to dict
        Present items by key.
    history : deque of (float, dict)
        Time and content of each change of the last HISTORY_SECONDS.
    discarded : int
        Revision of the last change that is not there any more.
    watching : dict of str to float
        Time at which the watch of a machine ends that waits now.
    turned_away : set of str
        Machines whose calls get 503.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 7
        self.items = {}
        self.history = deque()
        self.discarded = self.revision
        self.watching = {}
        self.turned_away = set()
        self.changed = Event()
        self.servers = []
        self.writers = set()

    async def listen(self, address, machine):
        """Serve one machine at an address of its own."""

        async def answer(reader, writer):
            await self.serve(reader, writer, machine)

        self.servers.append(await start_server(answer, *address))

    def close(self):
        """Stop serving."""
        for server in self.servers:
            server.close()
        for writer in list(self.writers):
            writer.close()

    def put(self, key, value):
        """Write an item."""
        self.revision += 1
        text = b64encode(dumps(value).encode()).decode()
        before = self.items.get(key)
        item = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "createRev": before["createRev"] if before else self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self.note(item)

    def remove(self, key):
        """Remove an item, if it is there."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note(
                {"key": key, "revision": self.revision, "tombstone": True}
            )

    def note(self, event):
        """Keep a change and wake the watches."""
        self.history.append((get_running_loop().time(), event))
        self.changed.set()
        self.changed = Event()

    async def serve(self, reader, writer, machine):
        """Answer the calls of one connection."""
        self.writers.add(writer)
        with suppress(IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                await sleep(ANSWER_SECONDS)
                status, content = await self.answer(target, machine)
                body = dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(body)) + body
                )
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def answer(self, target, machine):
        """Return the status and the content of an answer."""
        if machine in self.turned_away:
            return 503, {}
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if parts.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, self.add_revision(item)) if item else (404, {})
        prefix = query.get("prefix", "")
        if parts.path == "/kv-range":
            return 200, self.read_page(prefix, query.get("after", ""))
        return await self.watch(
            prefix, int(query["after"]), int(query["waitMs"]) / 1000, machine
        )

    def add_revision(self, content):
        """Return the content of an answer with the store's revision."""
        return {**content, "currentRev": self.revision}

    def read_page(self, prefix, after):
        """Return one page of items."""
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        return self.add_revision(
            {
                "items": [self.items[k] for k in keys[:MAX_ITEMS]],
                "hasMore": len(keys) > MAX_ITEMS,
            }
        )

    async def watch(self, prefix, after, seconds, machine):
        """Answer with the changes after a revision, once there are any."""
        self.discard_old()
        if after < self.discarded:
            return 410, {}
        self.watching[machine] = get_running_loop().time() + seconds
        with suppress(TimeoutError):
            async with timeout(seconds):
                while not self.list_events(prefix, after):
                    await self.changed.wait()
        self.watching.pop(machine, None)
        if machine in self.turned_away:
            return 503, {}
        events = self.list_events(prefix, after)
        return 200, self.add_revision({"events": events})

    def discard_old(self):
        """Drop the changes that are older than the history reaches."""
        oldest = get_running_loop().time() - HISTORY_SECONDS
        while self.history and self.history[0][0] < oldest:
            self.discarded = self.history.popleft()[1]["revision"]

    def list_events(self, prefix, after):
        """Return the changes after a revision."""
        return [
            e
            for _, e in self.history
            if e["revision"] > after and e["key"].startswith(prefix)
        ]
