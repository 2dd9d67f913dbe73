"""Implements `KeyValueStore` over etcd v3's published JSON mapping, with aiohttp.

This module decides whether a failed write may have had an effect, and assumes so when
in doubt: a caller that is told otherwise would repeat a write that took effect.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from http import HTTPStatus

import aiohttp
import orjson
from aiohttp.http import HttpProcessingError

from turmericusher.errors import (
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from turmericusher.pooled_session import open_pooled_session
from turmericusher.ports.answer_order import AnswerOrder, check_key
from turmericusher.ports.etcd_messages import (
    ErrorReply,
    KeepAliveReply,
    LeaseReply,
    MalformedReplyError,
    MessageT,
    RangeReply,
    RevokeReply,
    TransactionReply,
    WatchReply,
    WatchResult,
    encode_key,
    parse_message,
    prefix_range,
    swap_request,
    to_stored_value,
    to_watch_event,
)
from turmericusher.ports.keyvalue import (
    Snapshot,
    StoredValue,
    SwapResult,
    WatchEvent,
)

WATCH_STALL_TIMEOUT_S = 5.0
"""Seconds without data after which a watch is reopened from where it stopped."""

CONNECT_TIMEOUT_SHARE = 0.5
"""Fraction of a call's timeout within which its connection must be established.

A write that cannot connect in time is known to have had no effect; a write that exceeds
the timeout of the whole call may have had one."""

MAX_BUFFERED_BYTES = 4_000_000
"""Buffer for one line of a watch: a value of a megabyte in base64, with its fields."""

STATUSES_WITHOUT_EFFECT = frozenset(
    {
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.UNAUTHORIZED,
        HTTPStatus.FORBIDDEN,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.PRECONDITION_FAILED,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.TOO_MANY_REQUESTS,
    }
)
"""Statuses with which the service rejects a call before it changes anything."""

# Other messages of an unavailable member, such as "request timed out" and "leader
# changed", come after the write was proposed, so it may still be applied.
MESSAGES_WITHOUT_EFFECT = frozenset({"etcdserver: no leader"})

CALL_ERRORS = (
    aiohttp.ClientError,
    HttpProcessingError,
    OSError,
    TimeoutError,
    MalformedReplyError,
)


@dataclass(slots=True)
class EtcdStore:
    """A `KeyValueStore` at `url`; `timeout_s` limits each call, but not a watch."""

    url: str
    timeout_s: float
    session: aiohttp.ClientSession
    stall_timeout_s: float = WATCH_STALL_TIMEOUT_S
    order: AnswerOrder = field(default_factory=AnswerOrder)

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of one key, or None if the key is absent."""
        reply = await self.read_range("/v3/kv/range", {"key": encode_key(key)})
        stored = reply.values[0] if reply.values else None
        check_key(stored, key)
        return stored

    async def get_prefix(self, prefix: str) -> Snapshot:
        """Read all keys that start with `prefix`."""
        return await self.read_range("/v3/kv/range", prefix_range(prefix))

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease: int = 0
    ) -> SwapResult:
        """Write `value`, or delete the key for None, if its revision is as expected."""
        request = swap_request(key, expected_revision, value, lease)
        known = self.order.newest
        reply = await self.write("/v3/kv/txn", request, TransactionReply)
        if reply.succeeded:
            self.order.check_write(reply.header.revision, known)
            return SwapResult(True, reply.header.revision)
        return SwapResult(False, reply.header.revision, conflicting_value(reply))

    async def grant_lease(self, ttl_s: int) -> int:
        """Grant a lease that expires after `ttl_s` seconds without a renewal."""
        request = {"TTL": str(ttl_s)}
        reply = await self.write("/v3/lease/grant", request, LeaseReply)
        return reply.ID

    async def renew_lease(self, lease: int) -> int:
        """Renew a lease; return its time to live in seconds, 0 if it has expired."""
        request = {"ID": str(lease)}
        reply = await self.write("/v3/lease/keepalive", request, KeepAliveReply)
        return reply.result.TTL

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys that are bound to it."""
        await self.write("/v3/lease/revoke", {"ID": str(lease)}, RevokeReply)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield the changes under `prefix` from `from_revision` on, in order.

        A connection whose peer has vanished yields neither data nor an error. A stalled
        stream is therefore closed, and the next one starts at the first revision not
        yet seen: nothing is lost or repeated, and an open stream proves that the store
        is alive.

        Raises `StoreUnavailableError` if a call fails or if the store no longer holds
        the changes from that revision on.
        """
        next_revision = from_revision
        while True:
            async with self.open_watch(prefix, next_revision) as response:
                while result := await self.next_result(response):
                    for event in result_events(result):
                        yield event
                        next_revision = max(next_revision, event.revision + 1)

    @asynccontextmanager
    async def open_watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Open one watch, yield its response once confirmed, and close it on exit."""
        try:
            async with asyncio.timeout(self.timeout_s):
                response = await self.start_watch(prefix, from_revision)
        except CALL_ERRORS as error:
            raise unavailable_error("/v3/watch", error) from error
        try:
            yield response
        finally:
            response.close()

    async def start_watch(
        self, prefix: str, from_revision: int
    ) -> aiohttp.ClientResponse:
        """Request a watch; return its response once the store has confirmed it."""
        create = {**prefix_range(prefix), "start_revision": str(from_revision)}
        response = await self.session.post(
            self.url + "/v3/watch",
            data=orjson.dumps({"create_request": create}),
            timeout=aiohttp.ClientTimeout(total=None),
            allow_redirects=False,
        )
        try:
            await check_confirmed(response)
        except BaseException:
            response.close()
            raise
        return response

    async def next_result(self, response: aiohttp.ClientResponse) -> WatchResult | None:
        """Return the next result of a watch, or None if the watch has stalled."""
        try:
            async with asyncio.timeout(self.stall_timeout_s):
                return await read_watch_line(response)
        except TimeoutError:
            return None
        except CALL_ERRORS as error:
            raise unavailable_error("/v3/watch", error) from error

    async def read_range(self, path: str, request: Mapping[str, object]) -> Snapshot:
        """Make a range call; raise `StoreUnavailableError` if it fails."""
        known = self.order.newest
        try:
            body = await self.post(path, request)
            reply = parse_message(RangeReply, body)
            values = tuple(to_stored_value(key_value) for key_value in reply.kvs)
        except StoreError as error:
            raise StoreUnavailableError(error.message) from error
        except CALL_ERRORS as error:
            raise unavailable_error(path, error) from error
        self.order.check_read(reply.header.revision, known)
        return Snapshot(values, reply.header.revision)

    async def write(
        self, path: str, request: Mapping[str, object], model: type[MessageT]
    ) -> MessageT:
        """Make a call that changes the store.

        Raises `StoreUnavailableError` if it had no effect, and
        `StoreOutcomeUnknownError` if it may have had one.
        """
        try:
            return parse_message(model, await self.post(path, request))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise unavailable_error(path, error) from error
        except CALL_ERRORS as error:
            raise StoreOutcomeUnknownError(
                f"the reply of the key-value service to {path} was lost: "
                f"{describe_error(error)}; read the key to learn the outcome"
            ) from error

    async def post(self, path: str, request: Mapping[str, object]) -> bytes:
        """Send one call and return the response body; raise on an error status."""
        data = orjson.dumps(request)
        # Following a redirect would send a write twice.
        async with self.session.post(
            self.url + path, data=data, allow_redirects=False
        ) as response:
            body = await response.read()
            if response.status != HTTPStatus.OK:
                raise error_from_status(path, response.status, body)
            return body


@asynccontextmanager
async def open_etcd_store(
    url: str, timeout_s: float, stall_timeout_s: float = WATCH_STALL_TIMEOUT_S
) -> AsyncIterator[EtcdStore]:
    """Yield a store at `url`, and close its connections on exit."""
    opening = open_pooled_session(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=timeout_s * CONNECT_TIMEOUT_SHARE
        ),
        headers={"Content-Type": "application/json"},
        read_bufsize=MAX_BUFFERED_BYTES,
        # Proxies and cookies from the environment must not affect these calls.
        trust_env=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    async with opening as session:
        yield EtcdStore(url.rstrip("/"), timeout_s, session, stall_timeout_s)


async def check_confirmed(response: aiohttp.ClientResponse) -> None:
    """Read the first line of a watch; raise unless it confirms the watch."""
    if response.status != HTTPStatus.OK:
        raise MalformedReplyError(f"status {response.status}")
    result = await read_watch_line(response)
    if not result.created:
        raise MalformedReplyError("the watch was not confirmed")


async def read_watch_line(response: aiohttp.ClientResponse) -> WatchResult:
    """Read one line of a watch; raise `MalformedReplyError` if the watch has ended."""
    line = await response.content.readline()
    if not line:
        raise MalformedReplyError("the watch ended")
    result = parse_message(WatchReply, line).result
    if result.canceled:
        raise MalformedReplyError(
            f"the watch was cancelled (compact_revision={result.compact_revision!r})"
        )
    return result


def result_events(result: WatchResult) -> list[WatchEvent]:
    """Return the changes in one line of a watch."""
    try:
        return [to_watch_event(event) for event in result.events]
    except MalformedReplyError as error:
        raise unavailable_error("/v3/watch", error) from error


def conflicting_value(reply: TransactionReply) -> StoredValue | None:
    """Return the value that made a compare-and-swap fail; None if the key is absent."""
    try:
        for part in reply.responses:
            if part.response_range is not None and part.response_range.kvs:
                return to_stored_value(part.response_range.kvs[0])
    except MalformedReplyError as error:
        raise unavailable_error("/v3/kv/txn", error) from error
    return None


def error_from_status(path: str, status: int, body: bytes) -> StoreError:
    """Return the error for an error status.

    It is a `StoreUnavailableError` only if the call certainly had no effect.
    """
    try:
        reply = parse_message(ErrorReply, body)
    except MalformedReplyError:
        reply = ErrorReply()
    text = f"the key-value service answered {path} with {status}: {reply.message!r}"
    if status in STATUSES_WITHOUT_EFFECT or reply.message in MESSAGES_WITHOUT_EFFECT:
        return StoreUnavailableError(text)
    return StoreOutcomeUnknownError(text + "; read the key to learn the outcome")


def unavailable_error(path: str, error: Exception) -> StoreUnavailableError:
    """Return the error for a call that had no effect."""
    return StoreUnavailableError(
        f"the key-value service failed {path}: {describe_error(error)}; try again later"
    )


def describe_error(error: Exception) -> str:
    """Return an error's text on one line; its type where a timeout has no text."""
    return " ".join(str(error).split()) or type(error).__name__
