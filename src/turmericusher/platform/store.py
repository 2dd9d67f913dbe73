"""Adapts the platform's key-value service to the `KeyValueStore` protocol."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec

from turmericusher.bounded_bodies import (
    MAX_STORE_ANSWER_BYTES,
    BodyTooLargeError,
    bounded_connector,
    read_into,
)
from turmericusher.errors import (
    LargeAnswerError,
    StoreError,
    StoreHistoryLostError,
    StoreOutcomeUnknownError,
    StoreRestoredError,
    StoreUnavailableError,
)
from turmericusher.logs import log_event
from turmericusher.platform.decoding import decode_json
from turmericusher.platform.names import STORE_ERA
from turmericusher.platform.settings import MILLISECONDS_PER_S
from turmericusher.platform.store_messages import (
    AFTER,
    BUSY_STATUSES,
    EXPIRY_MS,
    GONE,
    GRANT_LEASE,
    KEY,
    LEASE,
    MALFORMED_ERRORS,
    NOT_FOUND,
    OK,
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
    Json,
    decode_changes,
    decode_page,
    decode_value,
    encode_swap,
)
from turmericusher.pooled_session import open_pooled_session
from turmericusher.ports.answer_order import AnswerOrder, check_key
from turmericusher.ports.keyvalue import (
    Snapshot,
    StoredValue,
    SwapResult,
    WatchAnswer,
    WatchEvent,
)

CALL_TIMEOUT_S = 1.0
"""Calls take milliseconds, and a few hundred milliseconds when the store is slow."""

ANSWER_TIMEOUT_S = 15.0
"""Seconds that the whole of an answer may take to arrive, however steadily it does."""

CONNECT_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CALL_TIMEOUT_S)

MAX_WATCH_WAIT_S = 25.0
"""The longest wait of a watch call, below the 30 s that the store allows at most."""

WATCH_MARGIN_S = CALL_TIMEOUT_S
"""Seconds that a watch call may take beyond its wait.

This ends a call that the store never answers soon after its wait. After a fault the
platform's limits do not apply for a settling time; within it the next call must bring
the changes."""

CHECKED_KEY = "-"
"""A key that nobody writes: whether the store answers is to be seen at little cost."""

KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2
"""TCP keepalive: seconds between probes, and lost probes that end a connection.

A dead connection is dropped after about 3 s, the longest time for which the platform
lets an instance go without updates."""


STORE_CALL_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    ValueError,
    BodyTooLargeError,
)


@dataclass(slots=True)
class PlatformStore:
    """A `KeyValueStore` over the platform's HTTP API; `calls` counts calls by name.

    A watch call that waits may miss changes if the store drops its history meanwhile,
    and only the next call reports this. `watch_wait_s` therefore bounds how late a
    change is seen. After changes the watch pauses for `watch_pause_s`, so that a burst
    of changes costs one call: otherwise each change wakes every instance of the fleet.

    `era` is the last one that the store named: it rises when the store comes back from
    an older copy, in which revisions are given out again. `read_era` is that of the
    last complete read, without which the changes after a revision mean nothing, and
    `told_era` the last one of which a `StoreRestoredError` has told.
    """

    session: aiohttp.ClientSession
    address: str
    watch_wait_s: float = MAX_WATCH_WAIT_S
    watch_pause_s: float = 0.0
    calls: dict[str, int] = field(default_factory=dict)
    order: AnswerOrder = field(default_factory=AnswerOrder)
    era: int | None = None
    read_era: int | None = None
    told_era: int | None = None

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of one key, or None if the key is absent."""
        status, body = await self.read(READ_KEY, {KEY: key})
        if status != OK:
            return None
        with malformed_as(StoreUnavailableError, READ_KEY):
            stored = decode_value(body)
        check_key(stored, key)
        return stored

    async def check(self) -> None:
        """Make a small call; raise `StoreUnavailableError` if the store refuses it."""
        await self.read(READ_KEY, {KEY: CHECKED_KEY})

    async def get_prefix(self, prefix: str) -> Snapshot:
        """Read all keys that start with `prefix`, page by page.

        Raises `StoreRestoredError` once if the store was restored since the last time.
        """
        snapshot, era = await self.read_pages(prefix)
        self.read_era = era
        return snapshot

    async def read_part(self, prefix: str) -> Snapshot:
        """Read the keys of a prefix of what is watched.

        Raises `StoreRestoredError` if the store was restored since all of it was read.
        """
        snapshot, _ = await self.read_pages(prefix)
        self.check_history()
        return snapshot

    async def read_pages(self, prefix: str) -> tuple[Snapshot, int | None]:
        """Read all keys that start with `prefix`, and the era that they are of."""
        values: list[StoredValue] = []
        first_revision: int | None = None
        query = {PREFIX: prefix}
        era = self.era
        while True:
            known = self.order.newest
            status, body = await self.read(READ_RANGE, query)
            if status != OK:
                raise StoreUnavailableError(
                    f"cannot read prefix={prefix!r}: status={status}"
                )
            with malformed_as(StoreUnavailableError, READ_RANGE):
                page, revision, has_more = decode_page(body)
            if first_revision is None:
                if self.told_era != self.era:
                    self.check_history()
                era = self.era
            elif self.era != era:
                raise StoreUnavailableError(
                    f"the store was restored while prefix={prefix!r} was read"
                )
            self.order.check_read(revision, self.known_revision(known))
            values.extend(page)
            # Pages may differ in age, so the snapshot has the revision of the oldest:
            # a watch from there on also brings what changed between the pages.
            first_revision = revision if first_revision is None else first_revision
            if not has_more or not page:
                return Snapshot(tuple(values), first_revision), era
            query = {PREFIX: prefix, AFTER: page[-1].key}

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease: int = 0
    ) -> SwapResult:
        """Write `value`, or delete the key for None, if its revision is as expected."""
        change = encode_swap(key, expected_revision, value, lease)
        known = self.order.newest
        status, body = await self.write(SWAP, "POST", change)
        with malformed_as(StoreOutcomeUnknownError, SWAP):
            if status == OK:
                revision = int(body[REVISION])
                self.order.check_write(revision, self.known_revision(known))
                return SwapResult(True, int(body[REVISION]))
            if status == PRECONDITION_FAILED:
                existing = [item for item in body["items"] if item.get(REVISION)]
                current = decode_value(existing[0]) if existing else None
                return SwapResult(False, 0, current)
        raise StoreUnavailableError(f"cannot swap key={key!r}: status={status}")

    async def grant_lease(self, ttl_s: int) -> int:
        """Grant a lease that expires after `ttl_s` seconds without a renewal."""
        change = {EXPIRY_MS: int(ttl_s * MILLISECONDS_PER_S)}
        status, body = await self.write(GRANT_LEASE, "POST", change)
        if status != OK:
            raise StoreUnavailableError(f"cannot grant a lease: status={status}")
        with malformed_as(StoreOutcomeUnknownError, GRANT_LEASE):
            return int(body[LEASE])

    async def renew_lease(self, lease: int) -> int:
        """Renew a lease; return its time to live in seconds, 0 if it has expired."""
        status, body = await self.write(f"{RENEW_LEASE}/{lease}", "POST", None)
        if status == NOT_FOUND:
            return 0
        if status != OK:
            raise StoreUnavailableError(f"cannot renew lease={lease}: status={status}")
        with malformed_as(StoreOutcomeUnknownError, RENEW_LEASE):
            return max(1, int(body[EXPIRY_MS] / MILLISECONDS_PER_S))

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys that are bound to it."""
        await self.write(f"{REVOKE_LEASE}/{lease}", "DELETE", None)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield the changes under `prefix` from `from_revision` on, in order.

        Raises `StoreHistoryLostError` if the store no longer holds that history, and
        `StoreUnavailableError` if a call fails; the caller may then watch again from
        the revision after the last event.
        """
        after = from_revision - 1
        while True:
            answer = await self.poll(prefix, after, self.watch_wait_s)
            for event in answer.events:
                yield event
            after = max(after, answer.revision)
            if answer.events:
                await asyncio.sleep(self.watch_pause_s)

    async def poll(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        max_bytes: int = MAX_STORE_ANSWER_BYTES,
    ) -> WatchAnswer:
        """Return the changes under `prefix` after a revision as soon as there are any.

        There are none if nothing changes for `wait_s` seconds. Raises as `watch` does,
        `StoreRestoredError` if the revision is of a history that was replaced, and
        `LargeAnswerError` if the answer has more than `max_bytes`.
        """
        self.check_history()
        query = {
            PREFIX: prefix,
            AFTER: str(after),
            WAIT_MS: str(int(wait_s * MILLISECONDS_PER_S)),
        }
        status, body = await self.read(WATCH, query, wait_s + WATCH_MARGIN_S, max_bytes)
        self.check_history()
        if status == GONE:
            raise StoreHistoryLostError(
                f"the store holds no history after revision={after}"
            )
        if status != OK:
            raise StoreUnavailableError(
                f"cannot watch prefix={prefix!r}: status={status}"
            )
        with malformed_as(StoreUnavailableError, WATCH):
            events, revision = decode_changes(body)
        self.order.record(revision)
        return WatchAnswer(tuple(events), revision)

    @property
    def history(self) -> int | None:
        """What the revisions of the last complete read belong to, if it was told."""
        return self.read_era

    def adopt_history(self, history: int | None) -> None:
        """Take what another instance read of a history for a complete read of it.

        Raises `StoreUnavailableError` if a later one is known.
        """
        if history is None:
            return
        if self.era is not None and history < self.era:
            raise StoreUnavailableError(
                f"history={history} is older than era={self.era}; read the store anew"
            )
        if history != self.era:
            self.order.newest = 0
        self.era = self.read_era = self.told_era = history

    def known_revision(self, known: int) -> int:
        """Return what of a revision known before a call holds after its answer.

        Nothing does if the store was restored meanwhile.
        """
        return min(known, self.order.newest)

    def check_history(self) -> None:
        """Raise `StoreRestoredError` if the store was restored since it was read."""
        if self.read_era != self.era and self.read_era is not None:
            self.told_era = self.era
            raise StoreRestoredError(
                f"the store has come back from an older copy: its era is {self.era}, "
                f"and that of the last read {self.read_era}; read it again"
            )

    def record_era(self, text: str | None) -> None:
        """Record the era that an answer names; raise `ValueError` for an older one.

        Without a valid one, or without any, the answer is of the current era.
        """
        try:
            era = int(text) if text is not None else self.era
        except ValueError:
            log_event("store_era_malformed", era=text)
            return
        if era is None or era == self.era:
            return
        if self.era is not None and era < self.era:
            raise ValueError(f"the answer is of era={era}, before era={self.era}")
        if self.era is not None:
            log_event("store_restored", era=era, era_before=self.era)
            self.order.newest = 0
        self.era = era

    async def read(
        self,
        call: str,
        query: dict[str, str],
        timeout_s: float = CALL_TIMEOUT_S,
        max_bytes: int = MAX_STORE_ANSWER_BYTES,
    ) -> tuple[int, Json]:
        """Make a read-only call; raise `StoreUnavailableError` if it fails.

        Raises `LargeAnswerError` as `call` does.
        """
        try:
            return await self.call("GET", call, query, None, timeout_s, max_bytes)
        except STORE_CALL_ERRORS as error:
            raise StoreUnavailableError(
                f"store call {call} failed: {error!r}"
            ) from error

    async def write(
        self, call: str, method: str, change: Json | None
    ) -> tuple[int, Json]:
        """Make a call that changes the store.

        Raises `StoreUnavailableError` if it failed without effect, and
        `StoreOutcomeUnknownError` if its response is missing and it may have had one.
        """
        try:
            return await self.call(method, call, {}, change, CALL_TIMEOUT_S)
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailableError(
                f"store call {call} failed: {error!r}"
            ) from error
        except STORE_CALL_ERRORS as error:
            raise StoreOutcomeUnknownError(
                f"store call {call} may have taken effect: {error!r}"
            ) from error

    async def call(
        self,
        method: str,
        call: str,
        query: dict[str, str],
        change: Json | None,
        timeout_s: float,
        max_bytes: int = MAX_STORE_ANSWER_BYTES,
    ) -> tuple[int, Json]:
        """Send one request; return its status and its JSON body, if it has one.

        The answer must begin within `timeout_s` seconds. How long it then takes is the
        link's matter, as long as more of it arrives. Raises `StoreUnavailableError` if
        the store was too busy to take the call, and `LargeAnswerError` if `max_bytes`
        is lower than for any answer and this one has more.
        """
        name = call.partition("/")[0]
        self.calls[name] = self.calls.get(name, 0) + 1
        data = bytearray()
        with logging_failures(name, query, data):
            async with (
                arriving(timeout_s) as has_arrived,
                self.session.request(
                    method,
                    f"http://{self.address}/v1/{call}",
                    params=query,
                    data=msgspec.json.encode(change) if change is not None else None,
                    headers={"Content-Type": "application/json"} if change else None,
                    timeout=CONNECT_TIMEOUT,
                ) as response,
            ):
                has_arrived()
                try:
                    await read_into(data, response, max_bytes, has_arrived)
                except BodyTooLargeError as error:
                    if max_bytes < MAX_STORE_ANSWER_BYTES:
                        raise LargeAnswerError(f"{name}: {error}") from error
                    raise
            self.record_era(response.headers.get(STORE_ERA))
            if response.status in BUSY_STATUSES:
                raise StoreUnavailableError(
                    f"the store refused call {call}: status={response.status}"
                )
            is_json = response.status in (OK, PRECONDITION_FAILED) and data
            return response.status, decode_json(bytes(data)) if is_json else {}


@asynccontextmanager
async def arriving(timeout_s: float) -> AsyncIterator[Callable[[], None]]:
    """Yield a function to be called when something of an answer has arrived.

    Raises `TimeoutError` if nothing does for `timeout_s` seconds, later for
    `CALL_TIMEOUT_S`, or if the whole takes `ANSWER_TIMEOUT_S` after its beginning.
    """
    clock = asyncio.get_running_loop().time
    ends_by = math.inf

    def has_arrived() -> None:
        nonlocal ends_by
        ends_by = min(ends_by, clock() + ANSWER_TIMEOUT_S)
        timeout.reschedule(min(ends_by, clock() + CALL_TIMEOUT_S))

    async with asyncio.timeout(timeout_s) as timeout:
        yield has_arrived


@contextmanager
def logging_failures(
    call: str, query: dict[str, str], received: bytearray
) -> Iterator[None]:
    """Log a call that fails, with what of the answer's body had been received."""
    started_at = asyncio.get_running_loop().time()
    try:
        yield
    except STORE_CALL_ERRORS as error:
        log_event(
            "store_call_failed",
            call=call,
            after=query.get(AFTER),
            took_s=asyncio.get_running_loop().time() - started_at,
            received_bytes=len(received),
            error=repr(error),
        )
        raise


@contextmanager
def malformed_as(error_type: Callable[[str], StoreError], call: str) -> Iterator[None]:
    """Raise `error_type` where an answer does not have what it must have."""
    try:
        yield
    except MALFORMED_ERRORS as error:
        raise error_type(f"store call {call} answered with {error!r}") from error


def keepalive_socket(addr_info: Any) -> socket.socket:
    """Return a socket whose TCP keepalive detects a dead peer."""
    family, kind, protocol, *_ = addr_info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return sock


@asynccontextmanager
async def open_platform_store(
    address: str, watch_wait_s: float = MAX_WATCH_WAIT_S, watch_pause_s: float = 0.0
) -> AsyncIterator[PlatformStore]:
    """Yield the store at `ip:port`, and close its connections on exit."""
    connector = bounded_connector(socket_factory=keepalive_socket)
    async with open_pooled_session(connector=connector) as session:
        yield PlatformStore(session, address, watch_wait_s, watch_pause_s)
