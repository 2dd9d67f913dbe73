"""Writes the versions of streams and services to the store, and reads them there.

The store is asked last: its records are for streams of which no live instance knows.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Protocol

from turmericusher.decisions.stream_versions import (
    KEPT_S,
    SavedStream,
    SeenVersion,
    ServiceVersions,
    StreamVersions,
    VersionRecord,
)
from turmericusher.errors import StoreError
from turmericusher.logs import log_event
from turmericusher.ports.keyvalue import ABSENT, KeyValueStore
from turmericusher.tasks.background import lasting_task

CHECK_INTERVAL_S = 0.25
"""Seconds between two looks at what is to be written: each wakes the process."""

RETRY_DELAY_S = 0.5
"""Seconds until the next write after the store failed."""

LOOKUP_TIMEOUT_S = 0.5
"""Seconds for which a stream that is taken up waits for the store: one lost reply and a
slow one."""

LEASE_RENEWAL_S = 60.0
"""Seconds after which streams are written under a new lease."""

LEASE_TTL_S = int(KEPT_S + LEASE_RENEWAL_S)
"""Seconds after which the records of a lease expire: each is kept for `KEPT_S`."""


class VersionCodec(Protocol):
    """Translates records of versions to and from the store's keys and values."""

    def stream_key(self, stream: str) -> str:
        """Return the key of a stream's record."""
        ...

    def encode(self, record: SavedStream | ServiceVersions) -> tuple[str, bytes]:
        """Return the key and the value of a record."""
        ...

    def decode(self, key: str, value: bytes) -> VersionRecord | None:
        """Return the record of a key, or None if the value is invalid."""
        ...


@dataclass(slots=True)
class VersionRecords:
    """The task that writes what the store is to have of versions.

    `lease` is that of the records of streams, granted at `granted_at`; 0 if there is
    none. `revisions` are those of services' records that this instance has read when it
    wrote them.
    """

    versions: StreamVersions
    store: KeyValueStore
    codec: VersionCodec
    lease: int = 0
    granted_at: float = -math.inf
    revisions: dict[str, int] = field(default_factory=dict)

    async def find(self, stream: str, service: str) -> str | None:
        """Return the version that the store has of a stream of a service, if any."""
        key = self.codec.stream_key(stream)
        try:
            async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                stored = await self.store.get(key)
        except (StoreError, TimeoutError) as error:
            log_event("stream_version_unread", stream=stream, error=repr(error))
            return None
        record = self.codec.decode(key, stored.value) if stored is not None else None
        if not isinstance(record, SeenVersion) or record.service != service:
            return None
        return record.version

    async def run(self) -> None:
        """Write to the store what it is to have until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            try:
                await self.save_services()
                await self.save_streams()
            except StoreError as error:
                log_event("version_record_delayed", message=error.message)
                # Whether the lease still exists is not known.
                self.lease = 0
                await asyncio.sleep(RETRY_DELAY_S)

    async def save_services(self) -> None:
        """Write the versions of services that this instance is to write now."""
        now = asyncio.get_running_loop().time()
        for record in self.versions.due_versions(now):
            key, value = self.codec.encode(record)
            revision = self.revisions.get(key, ABSENT)
            swap = await self.store.compare_and_swap(key, revision, value)
            if swap.succeeded:
                self.revisions[key] = swap.revision
                self.versions.record_saved(record, now)
                continue
            # Another instance has written it; what is due is decided anew.
            current = swap.current
            self.revisions[key] = current.revision if current is not None else ABSENT
            known = self.codec.decode(key, current.value) if current else None
            if known is not None:
                self.versions.record_saved(known, now)

    async def save_streams(self) -> None:
        """Write the streams that wait, at this instance's share of the limit."""
        unsaved = self.versions.unsaved
        while unsaved:
            await self.ensure_lease()
            key, value = self.codec.encode(unsaved[0])
            # One that exists has been written before, by this or another instance.
            await self.store.compare_and_swap(key, ABSENT, value, self.lease)
            unsaved.popleft()
            if unsaved:
                await asyncio.sleep(self.versions.save_interval_s())

    async def ensure_lease(self) -> None:
        """Have a lease under which a record is kept for long enough."""
        now = asyncio.get_running_loop().time()
        if not self.lease or now - self.granted_at >= LEASE_RENEWAL_S:
            self.lease = await self.store.grant_lease(LEASE_TTL_S)
            self.granted_at = now


@asynccontextmanager
async def saving_versions(records: VersionRecords) -> AsyncIterator[None]:
    """Write records while the context is open."""
    async with lasting_task("version-records", records.run):
        yield
