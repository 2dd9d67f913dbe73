"""The platform's key-value service over a `MemoryStore`, with faults of the wire."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import orjson
from aiohttp import web

from turmericusher.errors import StoreOutcomeUnknownError, StoreUnavailableError
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
from turmericusher.ports.keyvalue import Snapshot
from turmericusher.standins.store import MemoryStore

LOOPBACK = "127.0.0.1"
REFUSED_STATUS = 503
SILENT_S = 3_600.0
"""Longer than any test runs; a wait on nothing would be collected as garbage."""


@dataclass(slots=True)
class WireFaults:
    """The faults that are switched on, beside those of the store behind.

    `silent` reads calls and answers none. `history_from` is the oldest revision that a
    watch may start after. `deaf_watches` hear nothing until they end. `page_size` is
    the number of items in a page. `changes_take_s` is how long an answer with changes
    is on its way, as over a slow link.
    """

    silent: bool = False
    history_from: int = 0
    deaf_watches: bool = False
    page_size: int = 500
    changes_take_s: float = 0.0


@dataclass(slots=True)
class PlatformStoreStandin:
    """The calls over one `MemoryStore`; `calls` lists those taken, by name."""

    store: MemoryStore
    faults: WireFaults = field(default_factory=WireFaults)
    calls: list[str] = field(default_factory=list)
    address: str = ""

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Answer any call, with the faults that are switched on.

        Nothing of an answer is sent where the connection was aborted before.
        """
        name, _, argument = request.match_info["call"].partition("/")
        self.calls.append(name)
        if self.faults.silent:
            await asyncio.sleep(SILENT_S)
        try:
            return await self.take(name, argument, request)
        except StoreUnavailableError:
            return web.Response(status=REFUSED_STATUS)
        except StoreOutcomeUnknownError:
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=REFUSED_STATUS)

    async def take(
        self, name: str, argument: str, request: web.Request
    ) -> web.StreamResponse:
        """Carry out one call."""
        match name:
            case _ if name == READ_KEY:
                found = await self.store.get(request.query[KEY])
                if found is None:
                    return web.Response(status=NOT_FOUND)
                return reply(encode_value(found))
            case _ if name == READ_RANGE:
                return await self.take_range(request)
            case _ if name == WATCH:
                return await self.take_watch(request)
            case _ if name == SWAP:
                return await self.take_swap(request)
            case _ if name == GRANT_LEASE:
                ttl_s = (await request.json())[EXPIRY_MS] / MILLISECONDS_PER_S
                lease = await self.store.grant_lease(int(ttl_s))
                return reply({LEASE: lease, EXPIRY_MS: ttl_s * MILLISECONDS_PER_S})
            case _ if name == RENEW_LEASE:
                left_s = await self.store.renew_lease(int(argument))
                if not left_s:
                    return web.Response(status=NOT_FOUND)
                return reply({EXPIRY_MS: left_s * MILLISECONDS_PER_S})
            case _ if name == REVOKE_LEASE:
                await self.store.revoke_lease(int(argument))
                return reply({})
        return web.Response(status=NOT_FOUND)

    async def take_range(self, request: web.Request) -> web.StreamResponse:
        """Read one page of a prefix."""
        snapshot = await self.store.get_prefix(request.query[PREFIX])
        after = request.query.get(AFTER, "")
        left = [value for value in snapshot.values if value.key > after]
        page = Snapshot(tuple(left[: self.faults.page_size]), snapshot.revision)
        return reply(encode_page(page, len(left) > self.faults.page_size))

    async def take_watch(self, request: web.Request) -> web.StreamResponse:
        """Wait for changes behind a revision."""
        prefix, after = request.query[PREFIX], int(request.query[AFTER])
        await self.store.begin_read()
        if after < self.faults.history_from:
            return web.Response(status=GONE)
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query[WAIT_MS]) / MILLISECONDS_PER_S
        while True:
            events = [
                event
                for event in self.store.history
                if event.revision > after and event.key.startswith(prefix)
            ]
            if loop.time() >= until or (events and not self.faults.deaf_watches):
                heard = [] if self.faults.deaf_watches else events
                revision = after if self.faults.deaf_watches else self.store.revision
                if heard:
                    await asyncio.sleep(self.faults.changes_take_s)
                return reply(encode_changes(heard, revision))
            self.store.check_is_up()
            self.store.expire_leases()
            await asyncio.sleep(0.01)

    async def take_swap(self, request: web.Request) -> web.StreamResponse:
        """Compare and write one key."""
        swap = await self.store.compare_and_swap(*decode_swap(await request.json()))
        if swap.succeeded:
            return reply({REVISION: swap.revision})
        items = [encode_value(swap.current)] if swap.current is not None else []
        return reply({"items": items}, PRECONDITION_FAILED)


def reply(body: object, status: int = 200) -> web.Response:
    """Return a JSON answer."""
    return web.Response(
        status=status, body=orjson.dumps(body), content_type="application/json"
    )


@asynccontextmanager
async def running_platform_store(
    store: MemoryStore | None = None,
) -> AsyncIterator[PlatformStoreStandin]:
    """Run the stand-in on a port that the system chooses."""
    standin = PlatformStoreStandin(store or MemoryStore())
    app = web.Application()
    app.router.add_route("*", "/v1/{call:.*}", standin.answer)
    runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, LOOPBACK, 0)
    await site.start()
    standin.address = f"{LOOPBACK}:{runner.addresses[0][1]}"
    try:
        yield standin
    finally:
        await runner.cleanup()
