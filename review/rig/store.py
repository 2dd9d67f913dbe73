"""The platform's key-value service, as PROTOCOL.md tells it.

Every instance has an address of its own for the one store, so that its link to the
store can be cut, and may be told other addresses of its peers and of engines: those of
links to them.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from rig.wire import Message, read_request, response

LEASE_CHECK_S = 0.05
PAGE_ITEMS = 500


@dataclass(slots=True)
class Item:
    """One key's value and revisions; `lease` is 0 without one."""

    value: bytes
    revision: int
    created: int
    lease: int = 0


@dataclass(slots=True)
class Change:
    """One change in the history; `item` is None for a removal."""

    key: str
    revision: int
    item: Item | None


@dataclass(frozen=True, slots=True)
class Copy:
    """A copy of the store's revision, items and leases, `made_at` some moment."""

    made_at: float
    revision: int
    items: dict[str, Item]
    leases: dict[int, tuple[float, float]]


@dataclass(slots=True)
class Store:
    """The keys, leases and history; `changed` wakes the watches.

    `era` counts how often the store has come back from a copy.
    """

    revision: int = 1
    era: int = 1
    items: dict[str, Item] = field(default_factory=dict)
    history: list[Change] = field(default_factory=list)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    lease_ids: itertools.count = field(default_factory=lambda: itertools.count(1001))
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write one key."""
        self.revision += 1
        old = self.items.get(key)
        created = old.created if old else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self.history.append(Change(key, self.revision, self.items[key]))
        asyncio.get_running_loop().create_task(self.wake())

    def remove(self, key: str) -> None:
        """Remove one key, if it exists."""
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.history.append(Change(key, self.revision, None))
        asyncio.get_running_loop().create_task(self.wake())

    async def wake(self) -> None:
        """Wake the watches."""
        async with self.changed:
            self.changed.notify_all()

    def copied(self) -> Copy:
        """Return a copy of what the store has now."""
        return Copy(
            time.monotonic(), self.revision, dict(self.items), dict(self.leases)
        )

    def restore(self, copy: Copy) -> None:
        """Come back from a copy: what was written since is gone, leases too."""
        age_s = time.monotonic() - copy.made_at
        self.revision, self.items = copy.revision, dict(copy.items)
        self.leases = {
            lease: (ttl_s, ends_at + age_s)
            for lease, (ttl_s, ends_at) in copy.leases.items()
        }
        self.history = [each for each in self.history if each.revision <= self.revision]
        self.era += 1

    async def expire_leases(self) -> None:
        """End leases that were not renewed, until cancelled."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self.leases.items()):
                if now >= ends_at:
                    self.end_lease(lease)

    def end_lease(self, lease: int) -> bool:
        """End a lease and remove its keys; return whether there was such a lease."""
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.remove(key)
        return True


@dataclass(slots=True)
class Endpoint:
    """One address of the store; `view` maps addresses to those that are told here."""

    store: Store
    view: dict[str, str] = field(default_factory=dict)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the calls of one connection."""
        try:
            while True:
                request = await read_request(reader)
                status, body = await self.handle(request)
                data = json.dumps(body).encode()
                kind = {
                    "Content-Type": "application/json",
                    "Store-Era": str(self.store.era),
                }
                writer.write(response(status, kind, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def handle(self, request: Message) -> tuple[int, dict]:
        """Carry out one call."""
        url = urlsplit(request.target)
        query = {
            name: each[0]
            for name, each in parse_qs(url.query, keep_blank_values=True).items()
        }
        name, _, argument = url.path.removeprefix("/v1/").partition("/")
        body = json.loads(request.body) if request.body else {}
        store = self.store
        if name == "kv-key":
            item = store.items.get(query["key"])
            return (200, self.encode(query["key"], item)) if item else (404, {})
        if name == "kv-range":
            return 200, self.read_range(query)
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return self.swap(body)
        if name == "kv-lease":
            lease, ttl_s = next(store.lease_ids), body["expiry_ms"] / 1000
            store.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": lease, "expiry_ms": body["expiry_ms"]}
        if name == "kv-keep":
            held = store.leases.get(int(argument))
            if held is None:
                return 404, {}
            store.leases[int(argument)] = (held[0], time.monotonic() + held[0])
            return 200, {"expiry_ms": int(held[0] * 1000)}
        if name == "kv-lease-end":
            return (200, {}) if store.end_lease(int(argument)) else (404, {})
        return 404, {}

    def read_range(self, query: dict[str, str]) -> dict:
        """Return one page of the items under a prefix."""
        after = query.get("after_revision", "")
        keys = [
            key
            for key in sorted(self.store.items)
            if key.startswith(query["prefix"]) and key > after
        ]
        page = keys[:PAGE_ITEMS]
        return {
            "items": [self.encode(key, self.store.items[key]) for key in page],
            "more_pages": len(keys) > len(page),
            "as_of": self.store.revision,
        }

    async def watch(self, query: dict[str, str]) -> tuple[int, dict]:
        """Return the changes after a revision as soon as there are any."""
        after, store = int(query["after_revision"]), self.store
        if after > store.revision:
            return 410, {}
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changes = [
                change
                for change in store.history
                if change.revision > after and change.key.startswith(query["prefix"])
            ]
            left_s = ends_at - time.monotonic()
            if changes or left_s <= 0:
                events = [self.encode_change(change) for change in changes]
                return 200, {"events": events, "as_of": store.revision}
            async with store.changed:
                try:
                    async with asyncio.timeout(left_s):
                        await store.changed.wait()
                except TimeoutError:
                    continue

    def swap(self, body: dict) -> tuple[int, dict]:
        """Carry out a transaction, all or nothing."""
        store = self.store
        for row in body.get("expected_revision", []):
            item = store.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                current = [
                    self.encode(each["key"], store.items[each["key"]])
                    for each in body["expected_revision"]
                    if each["key"] in store.items
                ]
                return 412, {"items": current}
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in store.leases:
                return 404, {}
        for put in body.get("puts", []):
            value = base64.b64decode(put["value"])
            store.put(put["key"], value, put.get("lease", 0))
        for key in body.get("removals", []):
            store.remove(key)
        return 200, {"revision": store.revision}

    def encode(self, key: str, item: Item) -> dict:
        """Return an item as this address tells it."""
        value = item.value
        if not key.startswith("op/"):
            for real, told in self.view.items():
                value = value.replace(f'"{real}"'.encode(), f'"{told}"'.encode())
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    def encode_change(self, change: Change) -> dict:
        """Return a change as this address tells it."""
        if change.item is None:
            return {"key": change.key, "revision": change.revision, "removed": True}
        return self.encode(change.key, change.item)


@asynccontextmanager
async def running_store() -> AsyncIterator[Store]:
    """Run the store, without any address yet."""
    store = Store()
    task = asyncio.create_task(store.expire_leases())
    try:
        yield store
    finally:
        task.cancel()


@asynccontextmanager
async def running_endpoint(
    store: Store, address: str, view: dict[str, str]
) -> AsyncIterator[Endpoint]:
    """Serve the store at one more address."""
    endpoint = Endpoint(store, view)
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(endpoint.serve, host, int(port))
    try:
        yield endpoint
    finally:
        server.close()
