"""The platform's key-value service over a `MemoryStore`, with connection faults."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field, replace
from typing import Any

import orjson
from aiohttp import web

from turmericusher.errors import StoreOutcomeUnknownError, StoreUnavailableError
from turmericusher.platform.names import STORE_ERA
from turmericusher.platform.settings import MILLISECONDS_PER_S
from turmericusher.platform.store_messages import (
    AFTER,
    EXPIRY_MS,
    GONE,
    GRANT_LEASE,
    KEY,
    LEASE,
    NOT_FOUND,
    PRECONDITION_FAILED,
    PREFIX,
    READ_KEY,
    READ_RANGE,
    RENEW_LEASE,
    REVISION,
    REVOKE_LEASE,
    SWAP,
    WAIT_MS,
    WATCH,
    decode_swap,
    encode_changes,
    encode_page,
    encode_value,
)
from turmericusher.ports.keyvalue import Snapshot, StoredValue
from turmericusher.standins.store import MemoryStore

LOOPBACK = "127.0.0.1"
REFUSED_STATUS = 503
RESET = 0
"""The `refusal` that resets the connection instead of answering."""

SILENT_WAIT_S = 3_600.0
"""How long a call waits under the `silent` fault: longer than any test runs.

A bare future would not do: nothing refers to it, so it would be garbage-collected.
"""


@dataclass(slots=True)
class ConnectionFaults:
    """The faults of the connection, in addition to those of the store.

    `silent` reads calls and never answers. `oldest_revision` is the oldest revision
    that a watch may be after; an older one gets 410, also while it waits.
    `suppress_changes` makes every watch time out without changes. `page_size` is the
    number of items in a page. `change_delay_s` delays each answer with changes, as a
    slow link does. `malformed` has the bytes to answer calls of a name with, and
    `extra_event` an item that each answer to a watch with changes begins with.
    `refusal` turns all calls away, also those that wait: a status, or `RESET` for a
    reset of the connection.
    """

    silent: bool = False
    oldest_revision: int = 0
    suppress_changes: bool = False
    page_size: int = 500
    change_delay_s: float = 0.0
    malformed: dict[str, bytes] = field(default_factory=dict)
    extra_event: dict[str, object] | None = None
    refusal: int | None = None


PIECE_BYTES = 8_192
"""Bytes of an answer that a slow link carries before those of another answer."""


@dataclass(slots=True)
class SlowLink:
    """A link that all answers share; it is free again at `free_at`, a monotonic time.

    It carries nothing more after `stops_after_bytes`, if that is not None;
    `carried_bytes` counts what it has carried.
    """

    bytes_per_s: float
    free_at: float = 0.0
    carried_bytes: int = 0
    stops_after_bytes: int | None = None

    async def send(
        self, request: web.Request, answer: web.Response
    ) -> web.StreamResponse:
        """Send an answer in pieces, between those of other answers."""
        response = web.StreamResponse(status=answer.status, headers=answer.headers)
        body = answer.body if isinstance(answer.body, bytes) else b""
        response.content_length = len(body)
        await response.prepare(request)
        with suppress(ConnectionResetError):
            for start in range(0, len(body), PIECE_BYTES):
                piece = body[start : start + PIECE_BYTES]
                await self.carry(len(piece))
                await response.write(piece)
            await response.write_eof()
        return response

    async def carry(self, size: int) -> None:
        """Wait until the link has carried so many bytes."""
        limit = self.stops_after_bytes
        if limit is not None and self.carried_bytes >= limit:
            await asyncio.sleep(SILENT_WAIT_S)
        now = asyncio.get_running_loop().time()
        self.free_at = max(now, self.free_at) + size / self.bytes_per_s
        self.carried_bytes += size
        await asyncio.sleep(self.free_at - now)


@dataclass(slots=True)
class PlatformStoreStandin:
    """The service's calls over one `MemoryStore`; `calls` lists the names received.

    `view` changes the values that are read, so that the callers of one address may see
    others than those of another one with the same store. `link` carries the answers,
    if there is one.
    """

    store: MemoryStore
    faults: ConnectionFaults = field(default_factory=ConnectionFaults)
    view: Callable[[bytes], bytes] = lambda value: value
    calls: list[str] = field(default_factory=list)
    address: str = ""
    link: SlowLink | None = None

    async def handle_call(self, request: web.Request) -> web.StreamResponse:
        """Answer any call, with the faults that are switched on.

        A lost reply is simulated by aborting the connection before anything is sent.
        """
        name, _, argument = request.match_info["call"].partition("/")
        self.calls.append(name)
        if self.faults.silent:
            await asyncio.sleep(SILENT_WAIT_S)
        if self.faults.refusal is not None:
            return self.refuse(request, self.faults.refusal)
        if name in self.faults.malformed:
            return web.Response(body=self.faults.malformed[name])
        try:
            response = await self.dispatch(name, argument, request)
            if self.faults.refusal is not None:
                return self.refuse(request, self.faults.refusal)
            response.headers[STORE_ERA] = str(self.store.era)
            if self.link is not None and isinstance(response, web.Response):
                return await self.link.send(request, response)
            return response
        except StoreUnavailableError:
            return web.Response(status=REFUSED_STATUS)
        except StoreOutcomeUnknownError:
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=REFUSED_STATUS)

    def refuse(self, request: web.Request, refusal: int) -> web.StreamResponse:
        """Turn a call away by its status, or by a reset of its connection."""
        if refusal == RESET and request.transport is not None:
            request.transport.abort()
        return web.Response(status=refusal or REFUSED_STATUS)

    async def dispatch(
        self, name: str, argument: str, request: web.Request
    ) -> web.StreamResponse:
        """Carry out the call named `name`; an unknown name gets 404."""
        match name:
            case _ if name == READ_KEY:
                found = await self.store.get(request.query[KEY])
                if found is None:
                    return web.Response(status=NOT_FOUND)
                return reply(encode_value(self.seen(found)))
            case _ if name == READ_RANGE:
                return await self.handle_range(request)
            case _ if name == WATCH:
                return await self.handle_watch(request)
            case _ if name == SWAP:
                return await self.handle_swap(request)
            case _ if name == GRANT_LEASE:
                ttl_s = (await request.json())[EXPIRY_MS] / MILLISECONDS_PER_S
                lease = await self.store.grant_lease(int(ttl_s))
                return reply({LEASE: lease, EXPIRY_MS: ttl_s * MILLISECONDS_PER_S})
            case _ if name == RENEW_LEASE:
                remaining_s = await self.store.renew_lease(int(argument))
                if not remaining_s:
                    return web.Response(status=NOT_FOUND)
                return reply({EXPIRY_MS: remaining_s * MILLISECONDS_PER_S})
            case _ if name == REVOKE_LEASE:
                await self.store.revoke_lease(int(argument))
                return reply({})
        return web.Response(status=NOT_FOUND)

    async def handle_range(self, request: web.Request) -> web.StreamResponse:
        """Return one page of the values under a prefix, after the key `after`."""
        snapshot = await self.store.get_prefix(request.query[PREFIX])
        after = request.query.get(AFTER, "")
        remaining = [self.seen(v) for v in snapshot.values if v.key > after]
        page = Snapshot(tuple(remaining[: self.faults.page_size]), snapshot.revision)
        return reply(encode_page(page, len(remaining) > self.faults.page_size))

    async def handle_watch(self, request: web.Request) -> web.StreamResponse:
        """Return the changes after a revision, or none when the caller's wait ends."""
        prefix, after = request.query[PREFIX], int(request.query[AFTER])
        await self.store.begin_read()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(request.query[WAIT_MS]) / MILLISECONDS_PER_S
        while True:
            if after < self.faults.oldest_revision or after > self.store.revision:
                return web.Response(status=GONE)
            events = [
                event
                if event.value is None
                else replace(event, value=self.view(event.value))
                for event in self.store.history
                if event.revision > after and event.key.startswith(prefix)
            ]
            if loop.time() >= deadline or (events and not self.faults.suppress_changes):
                visible_events = [] if self.faults.suppress_changes else events
                revision = (
                    after if self.faults.suppress_changes else self.store.revision
                )
                if visible_events:
                    await asyncio.sleep(self.faults.change_delay_s)
                answer = encode_changes(visible_events, revision)
                if visible_events and self.faults.extra_event is not None:
                    answer["events"].insert(0, self.faults.extra_event)
                return reply(answer)
            self.store.raise_if_down()
            self.store.expire_leases()
            if self.faults.refusal is not None:
                return self.refuse(request, self.faults.refusal)
            await asyncio.sleep(0.01)

    def seen(self, value: StoredValue) -> StoredValue:
        """Return a value as the callers of this address see it."""
        return replace(value, value=self.view(value.value))

    async def handle_swap(self, request: web.Request) -> web.StreamResponse:
        """Compare and swap one key; a conflict returns its current value."""
        result = await self.store.compare_and_swap(*decode_swap(await request.json()))
        if result.succeeded:
            return reply({REVISION: result.revision})
        items = [encode_value(result.current)] if result.current is not None else []
        return reply({"items": items}, PRECONDITION_FAILED)


def reply(body: object, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        status=status, body=orjson.dumps(body), content_type="application/json"
    )


@asynccontextmanager
async def running_platform_store(
    store: MemoryStore | None = None, **fields: Any
) -> AsyncIterator[PlatformStoreStandin]:
    """Serve the stand-in on a free loopback port and yield it."""
    standin = PlatformStoreStandin(store or MemoryStore(), **fields)
    app = web.Application()
    app.router.add_route("*", "/v1/{call:.*}", standin.handle_call)
    runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, LOOPBACK, 0)
    await site.start()
    standin.address = f"{LOOPBACK}:{runner.addresses[0][1]}"
    try:
        yield standin
    finally:
        await runner.cleanup()
