"""The key-value stand-in served over etcd v3's published JSON mapping.

Routes under `/control/` switch the faults and answer whichever faults are on.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing, asynccontextmanager
from dataclasses import asdict, dataclass, field
from http import HTTPStatus
from typing import Any

import orjson
from aiohttp import web

from turmericusher.errors import StoreOutcomeUnknownError, StoreUnavailableError
from turmericusher.ports.etcd_messages import encode_bytes, encode_key
from turmericusher.ports.keyvalue import StoredValue, WatchEvent
from turmericusher.standins.store import MemoryStore, StoreFaults

MAX_REQUEST_BYTES = 4_000_000
SHUTDOWN_TIMEOUT_S = 0.5
"""How long open connections may go on after the server is asked to stop."""
SILENT_POLL_S = 0.01
NO_LEADER = "etcdserver: no leader"
GRPC_INVALID_ARGUMENT = 3
GRPC_UNAVAILABLE = 14

Json = dict[str, Any]


@dataclass(slots=True)
class ConnectionFaults:
    """The faults of the connection, in addition to those of the store.

    `silent` reads every call and byte but sends nothing more. `garbage` replaces each
    reply. `drop_requests` is the number of next calls that are read, have no effect and
    have their connection closed. `compacted` is the revision at or below which no watch
    can start.
    """

    silent: bool = False
    garbage: bytes | None = None
    drop_requests: int = 0
    compacted: int = 0


@dataclass(slots=True)
class StoreServer:
    """The route handlers over one `MemoryStore`; `watches` counts the open watches."""

    store: MemoryStore
    faults: ConnectionFaults = field(default_factory=ConnectionFaults)
    watches: int = 0

    async def handle_range(self, request: web.Request) -> web.StreamResponse:
        """Return one key, or every key under a prefix if the body has `range_end`."""
        body = await read_json(request)
        # An empty prefix is sent as etcd's smallest key, a null byte.
        start = decode_key(body["key"])
        if "range_end" in body:
            snapshot = await self.store.get_prefix(start.lstrip("\0"))
            kvs, revision = list(snapshot.values), snapshot.revision
        else:
            found = await self.store.get(start)
            kvs, revision = [found] if found else [], self.store.revision
        reply = {"header": header(revision), "kvs": [encode_value(kv) for kv in kvs]}
        return json_reply(reply | {"count": str(len(kvs))})

    async def handle_transaction(self, request: web.Request) -> web.StreamResponse:
        """Compare one key's revision and, if it matches, write or delete the key."""
        body = await read_json(request)
        (compare,) = body["compare"]
        (operation,) = body["success"]
        put = operation.get("request_put")
        result = await self.store.compare_and_swap(
            decode_key(compare["key"]),
            int(compare["mod_revision"]),
            base64.b64decode(put["value"]) if put is not None else None,
            int(put.get("lease", 0)) if put is not None else 0,
        )
        reply: Json = {"header": header(result.revision)}
        if result.succeeded:
            return json_reply(reply | {"succeeded": True})
        kvs = [encode_value(result.current)] if result.current else []
        return json_reply(reply | {"responses": [{"response_range": {"kvs": kvs}}]})

    async def handle_grant(self, request: web.Request) -> web.StreamResponse:
        """Grant a lease of `TTL` seconds and return its id."""
        body = await read_json(request)
        lease = await self.store.grant_lease(int(body["TTL"]))
        reply = {"ID": str(lease), "TTL": str(body["TTL"])}
        return json_reply({"header": header(self.store.revision), **reply})

    async def handle_keepalive(self, request: web.Request) -> web.StreamResponse:
        """Renew a lease; as in etcd, the reply for a lapsed lease has no `TTL`."""
        body = await read_json(request)
        ttl_s = await self.store.renew_lease(int(body["ID"]))
        result = {"header": header(self.store.revision), "ID": str(body["ID"])}
        return json_reply({"result": result | ({"TTL": str(ttl_s)} if ttl_s else {})})

    async def handle_revoke(self, request: web.Request) -> web.StreamResponse:
        """Revoke a lease, which deletes the keys bound to it."""
        body = await read_json(request)
        await self.store.revoke_lease(int(body["ID"]))
        return json_reply({"header": header(self.store.revision)})

    async def handle_watch(self, request: web.Request) -> web.StreamResponse:
        """Stream the changes under a prefix, one JSON object per line."""
        create = (await read_json(request))["create_request"]
        from_revision = int(create.get("start_revision", 0))
        await self.store.apply_faults()
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        if from_revision <= self.faults.compacted:
            compacted = {"canceled": True, "compact_revision": self.faults.compacted}
            await self.send_line(response, {"created": True} | compacted)
            return response
        await self.send_line(response, {"created": True})
        self.watches += 1
        try:
            await self.send_events(response, decode_key(create["key"]), from_revision)
        finally:
            self.watches -= 1
        return response

    async def send_events(
        self, response: web.StreamResponse, prefix: str, from_revision: int
    ) -> None:
        """Send each change until the store goes down or the client disconnects."""
        events = self.store.watch(prefix.lstrip("\0"), from_revision)
        async with aclosing(events):  # type: ignore[type-var]
            async for event in events:
                await self.send_line(response, {"events": [encode_event(event)]})

    async def send_line(self, response: web.StreamResponse, result: Json) -> None:
        """Send one line of a watch once the `silent` fault is off."""
        await self.wait_while_silent()
        result = {"header": header(self.store.revision), **result}
        line = self.faults.garbage or orjson.dumps({"result": result})
        await response.write(line + b"\n")

    async def wait_while_silent(self) -> None:
        """Wait until the `silent` fault is off."""
        while self.faults.silent:  # noqa: ASYNC110 - switched by plain assignment
            await asyncio.sleep(SILENT_POLL_S)

    async def handle_state(self, _request: web.Request) -> web.StreamResponse:
        """Return the call counts, the revision, the open watches and the faults."""
        return json_reply(
            {
                "counts": asdict(self.store.counts),
                "revision": self.store.revision,
                "watches": self.watches,
                "store_faults": asdict(self.store.faults),
                "silent": self.faults.silent,
                "drop_requests": self.faults.drop_requests,
                "compacted": self.faults.compacted,
            }
        )

    async def handle_faults(self, request: web.Request) -> web.StreamResponse:
        """Switch the faults that the body names; the others stay as they are."""
        for name, value in (await read_json(request)).items():
            if name == "garbage":
                self.faults.garbage = value.encode() if value is not None else None
            elif name in StoreFaults.__slots__:
                setattr(self.store.faults, name, value)
            elif name in ConnectionFaults.__slots__:
                setattr(self.faults, name, value)
            else:
                return error_reply(f"unknown fault {name!r}", GRPC_INVALID_ARGUMENT)
        return json_reply({})

    async def handle_expire(self, request: web.Request) -> web.StreamResponse:
        """Expire a lease now."""
        self.store.end_lease(int(request.match_info["lease"]))
        return json_reply({})


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def make_store_app(server: StoreServer) -> web.Application:
    """Return the application with etcd's routes and the control routes."""

    @web.middleware
    async def apply_faults(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path.startswith("/control/"):
            return await handler(request)
        if server.faults.drop_requests > 0:
            server.faults.drop_requests -= 1
            await request.read()
            return drop_connection(request)
        return await handle_call(server, request, handler)

    app = web.Application(middlewares=[apply_faults], client_max_size=MAX_REQUEST_BYTES)
    app.add_routes(
        [
            web.post("/v3/kv/range", server.handle_range),
            web.post("/v3/kv/txn", server.handle_transaction),
            web.post("/v3/lease/grant", server.handle_grant),
            web.post("/v3/lease/keepalive", server.handle_keepalive),
            web.post("/v3/lease/revoke", server.handle_revoke),
            web.post("/v3/watch", server.handle_watch),
            web.get("/control/state", server.handle_state),
            web.post("/control/faults", server.handle_faults),
            web.post(r"/control/leases/{lease:\d+}/expire", server.handle_expire),
        ]
    )
    return app


async def handle_call(
    server: StoreServer, request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Run the handler of one call and apply the faults to its reply."""
    try:
        response = await handler(request)
    except StoreOutcomeUnknownError:
        return drop_connection(request)
    except StoreUnavailableError as error:
        if server.store.faults.down:
            response = error_reply(NO_LEADER, GRPC_UNAVAILABLE)
        else:
            response = error_reply(error.message, GRPC_INVALID_ARGUMENT)
    except (KeyError, TypeError, ValueError) as error:
        response = error_reply(repr(error), GRPC_INVALID_ARGUMENT)
    await server.wait_while_silent()
    if server.faults.garbage is not None and isinstance(response, web.Response):
        response.body = server.faults.garbage
    return response


def drop_connection(request: web.Request) -> web.Response:
    """Close the connection without a reply."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


@asynccontextmanager
async def running_store(
    host: str, port: int, store: MemoryStore, faults: ConnectionFaults | None = None
) -> AsyncIterator[str]:
    """Serve `store` and yield its `ip:port`; `port` 0 lets the system choose one."""
    server = StoreServer(store, faults or ConnectionFaults())
    runner = web.AppRunner(
        make_store_app(server),
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    try:
        site = web.TCPSite(runner, host, port)
        await site.start()
        yield f"{host}:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()


async def read_json(request: web.Request) -> Json:
    """Return the request's body, which must be a JSON object."""
    body = orjson.loads(await request.read())
    if not isinstance(body, dict):
        raise TypeError("the body must be a JSON object")
    return body


def json_reply(reply: Json) -> web.Response:
    """Return a successful reply with a JSON body."""
    return web.Response(body=orjson.dumps(reply), content_type="application/json")


def error_reply(message: str, code: int) -> web.Response:
    """Return an error reply in the format of etcd's JSON mapping."""
    is_unavailable = code == GRPC_UNAVAILABLE
    status = (
        HTTPStatus.SERVICE_UNAVAILABLE if is_unavailable else HTTPStatus.BAD_REQUEST
    )
    body = orjson.dumps({"error": message, "code": code, "message": message})
    return web.Response(body=body, status=status, content_type="application/json")


def header(revision: int) -> Json:
    """Return the header that each reply carries, with the store's revision."""
    return {"revision": str(revision)}


def encode_value(value: StoredValue) -> Json:
    """Return a stored value in the format of etcd's JSON mapping."""
    return {
        "key": encode_key(value.key),
        "value": encode_bytes(value.value),
        "mod_revision": str(value.revision),
        "lease": str(value.lease),
    }


def encode_event(event: WatchEvent) -> Json:
    """Return a change in the format of etcd's JSON mapping; a put omits its type."""
    kv: Json = {"key": encode_key(event.key), "mod_revision": str(event.revision)}
    if event.value is None:
        return {"type": "DELETE", "kv": kv}
    return {"kv": kv | {"value": encode_bytes(event.value)}}


def decode_key(key: str) -> str:
    """Return the text of a base64-encoded key field."""
    return base64.b64decode(key).decode()
