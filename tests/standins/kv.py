"""Stands in for the platform's store, over HTTP."""

from asyncio import Event
from asyncio import sleep
from asyncio import timeout
from base64 import b64encode
from contextlib import suppress
from json import dumps

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.testing import bind_unused_port
from tornado.web import Application
from tornado.web import RequestHandler

OK = 200
GONE = 410
UNAVAILABLE = 503


def make_entry(number, **changes):
    """Return the value of a host's entry."""
    entry = {
        "service": "dispatch",
        "address": f"10.2.0.{number}:8165",
        "zone": "riga-a",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "coldRemainingMs": 0,
        "seq": 4,
        "born": 1000 + number,
    }
    return {**entry, **changes}


def make_config():
    """Return a configuration."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-1",
                "hostname": "198.18.0.1",
                "prefix": "/443/",
                "service": "dispatch",
            }
        ],
        "services": [{"name": "dispatch", "healthPath": "/health"}],
        "limits": {"idleTimeoutMs": 15000},
    }


def encode(value):
    """Return a value as the store has it."""
    return b64encode(dumps(value).encode()).decode()


class StandInStore:
    """Items by key over HTTP, with faults.

    Attributes
    ----------
    era : str or None
        Value of the header that names the era; None to leave it out.
    restored_after : int
        Answers after which the store is restored from a copy.
    body : str or None
        Text of every answer, in place of what was asked for.
    page, max_events : int
        Most items of a page, and most events of a watch's answer.
    parts : int
        Number of parts in which an answer is sent.
    part_seconds : float
        Pause before each part but the first.
    lost_parts : int
        Last parts that are never sent.
    waiting : int
        Calls whose connections are open.
    """

    def __init__(self):
        self.era = "1"
        self.restored_after = 0
        self.items = {}
        self.revision = 0
        self.page = 500
        self.max_events = 500
        self.status = OK
        self.body = None
        self.watch_status = OK
        self.parts = 1
        self.part_seconds = 0.0
        self.lost_parts = 0
        self.waiting = 0
        self.answering = Event()
        self.answering.set()
        self.kept_since = 0
        self.changed = Event()

    def put(self, key, value):
        """Write an item."""
        self.revision += 1
        self.items[key] = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "createRev": self.revision,
            "lease": 0,
        }
        self.changed.set()

    def put_changed(self, key, value):
        """Write an item unless it has the value."""
        item = self.items.get(key, {"tombstone": True})
        if item.get("tombstone") or item["value"] != value:
            self.put(key, value)

    def remove(self, key):
        """Remove an item, and let watches see that it is gone."""
        self.put(key, "")
        self.items[key]["tombstone"] = True

    def forget_history(self):
        """Drop the changes so far, so that watches must read anew."""
        self.kept_since = self.revision
        for key in [k for k, i in self.items.items() if i.get("tombstone")]:
            del self.items[key]

    def copy_state(self):
        """Return a copy to restore the store from."""
        return self.revision, dict(self.items)

    def restore(self, state):
        """Come back from a copy; what was written since is gone."""
        self.era = str(int(self.era) + 1)
        self.revision, items = state
        self.items = dict(items)
        self.forget_history()
        self.changed.set()

    def note_answer(self):
        """Restore the store to its present state after some answers."""
        if self.restored_after:
            self.restored_after -= 1
            if not self.restored_after:
                self.restore(self.copy_state())

    def read_page(self, prefix, after):
        """Return one page of items."""
        keys = sorted(
            key
            for key, item in self.items.items()
            if key.startswith(prefix)
            and key > after
            and not item.get("tombstone")
        )
        return {
            "items": [self.items[k] for k in keys[: self.page]],
            "hasMore": len(keys) > self.page,
            "currentRev": self.revision,
        }

    def list_events(self, prefix, after):
        """Return the first changes after a revision and where they end."""
        events = sorted(
            (
                item
                for item in self.items.values()
                if item["revision"] > after and item["key"].startswith(prefix)
            ),
            key=lambda item: item["revision"],
        )
        kept = events[: self.max_events]
        is_cut = len(kept) < len(events)
        revision = kept[-1]["revision"] if is_cut else self.revision
        return {"events": kept, "currentRev": revision}


class StoreHandler(RequestHandler):
    """Answers reads and watches."""

    def initialize(self, store):
        """Take the store."""
        self.store = store
        self.is_open = False

    def prepare(self):
        """Count the call as open."""
        self.is_open = True
        self.store.waiting += 1

    def end(self):
        """Count the call as answered or closed by its client."""
        self.store.waiting -= self.is_open
        self.is_open = False

    def on_finish(self):
        """Note that the answer is complete."""
        self.end()

    def on_connection_close(self):
        """Note that the client closed the connection."""
        super().on_connection_close()
        self.end()

    async def send(self, content):
        """Send an answer, in parts if the store does so."""
        store = self.store
        body = dumps(content).encode()
        size = -(-len(body) // store.parts)
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Length", len(body))
        for number in range(store.parts - store.lost_parts):
            if number:
                await sleep(store.part_seconds)
            if not self.is_open:
                return
            self.write(body[number * size : (number + 1) * size])
            try:
                await self.flush()
            except StreamClosedError:
                # The client gave the call up.
                return
        if store.lost_parts:
            await Event().wait()
        self.finish()

    async def get(self, call):
        """Answer one call, in whatever way the scenario wants."""
        store = self.store
        await store.answering.wait()
        self.set_status(store.status)
        era = store.era
        if era is not None:
            self.set_header("Store-Era", era)
        if store.body is not None:
            self.finish(store.body)
            return
        prefix = self.get_query_argument("prefix")
        after = self.get_query_argument("after", "")
        wait_ms = self.get_query_argument("waitMs", "0")
        if call == "range":
            await self.send(store.read_page(prefix, after))
            store.note_answer()
            return
        if store.watch_status != OK:
            self.set_status(store.watch_status)
            self.finish({})
            return
        if not store.kept_since <= int(after) <= store.revision:
            self.set_status(GONE)
            self.finish({})
            return
        with suppress(TimeoutError):
            async with timeout(int(wait_ms) / 1000):
                while store.era == era and store.revision <= int(after):
                    store.changed.clear()
                    await store.changed.wait()
        if store.era != era:
            self.set_status(UNAVAILABLE)
            self.finish({})
            return
        await self.send(store.list_events(prefix, int(after)))


def serve_store(store):
    """Serve a store on loopback; return the server and its port."""
    application = Application(
        [("/kv-(range|watch)", StoreHandler, {"store": store})],
        log_function=lambda handler: None,
    )
    socket, port = bind_unused_port(address="127.0.0.1")
    server = HTTPServer(application)
    server.add_sockets([socket])
    return server, port
