"""Writes the versions of streams and services to the store, and reads them there.

A stream that begins at one of several versions is sent to its upstream once the store
has that version, so that an instance which asks the store knows of all of them.
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
    StoredVersion,
    StreamVersions,
    VersionRecord,
)
from turmericusher.errors import StoreError, StoreUnavailableError
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

SAVE_TIMEOUT_S = 0.5
"""Seconds for which a new stream waits until its version is written."""

MAX_SWAPS = 3
"""Tries to write a record that others write as well."""

LEASE_RENEWAL_S = 60.0
"""Seconds after which streams are written under a new lease."""

LEASE_TTL_S = int(KEPT_S + LEASE_RENEWAL_S)
"""Seconds after which the records of a lease expire: each is kept for `KEPT_S`."""


class VersionCodec(Protocol):
    """Translates records of versions to and from the store's keys and values."""

    def stream_key(self, stream: str) -> str:
        """Return the key of a stream's record."""
        ...

    def service_key(self, service: str) -> str:
        """Return the key of the record of a service's versions."""
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

    def restart(self) -> None:
        """Write under a new lease: the store may lack all that was written."""
        self.lease = 0
        self.revisions.clear()

    async def find(self, stream: str | None, service: str) -> StoredVersion | None:
        """Return what the store has of a stream and its service, None if unreadable.

        A stream is looked up if its service has several versions.
        """
        try:
            async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                versions = await self.read_service(service)
                if stream is None or versions is None:
                    return StoredVersion(None, versions)
                if versions.versions == {versions.unrecorded}:
                    return StoredVersion(versions.unrecorded, versions)
                stored = await self.store.get(self.codec.stream_key(stream))
        except (StoreError, TimeoutError) as error:
            log_event("stream_version_unread", stream=stream, error=repr(error))
            return None
        if stored is None:
            return StoredVersion(versions.unrecorded, versions)
        record = self.codec.decode(stored.key, stored.value)
        if not isinstance(record, SeenVersion) or record.service != service:
            return StoredVersion(None, versions)
        return StoredVersion(record.version, versions)

    async def read_service(self, service: str) -> ServiceVersions | None:
        """Read the record of a service's versions, None if there is none."""
        stored = await self.store.get(self.codec.service_key(service))
        record = self.codec.decode(stored.key, stored.value) if stored else None
        if not isinstance(record, ServiceVersions):
            return None
        self.versions.record_saved(record, asyncio.get_running_loop().time())
        return record

    async def save_stream(self, record: SavedStream) -> bool:
        """Write the version at which a stream is to begin; return whether it is there.

        The record of its service has that version first. Nothing is written while the
        store is away or the limit is reached.
        """
        clock = asyncio.get_running_loop().time
        if not self.versions.may_save(clock()):
            return False
        self.versions.begin_saving(record.stream, clock())
        try:
            async with asyncio.timeout(SAVE_TIMEOUT_S):
                await self.save_version(record.service, record.version)
                await self.ensure_lease()
                await self.write_stream(record)
        except (StoreError, TimeoutError) as error:
            log_event("stream_version_unsaved", stream=record.stream, error=repr(error))
            self.lease = 0
            self.versions.pause_saving(clock())
            return False
        self.versions.finish_saving(record)
        return True

    async def save_version(self, service: str, version: str) -> None:
        """Have a version in the record of a service."""
        for _ in range(MAX_SWAPS):
            saved = self.versions.saved.get(service)
            if saved is not None and version in saved.versions:
                return
            now = asyncio.get_running_loop().time()
            await self.swap_service(self.versions.versions_with(service, version, now))
        raise StoreUnavailableError(
            f"the record of service={service!r} was written by others {MAX_SWAPS} times"
        )

    async def write_stream(self, record: SavedStream) -> None:
        """Write the record of a stream, in place of another version's if there is one.

        An attempt that brought no event may have left that.
        """
        key, value = self.codec.encode(record)
        revision = ABSENT
        for _ in range(MAX_SWAPS):
            swap = await self.store.compare_and_swap(key, revision, value, self.lease)
            current = swap.current
            if swap.succeeded or (current is not None and current.value == value):
                return
            revision = current.revision if current is not None else ABSENT
        raise StoreUnavailableError(
            f"the record of stream={record.stream!r} was written by others "
            f"{MAX_SWAPS} times"
        )

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
            await self.swap_service(record)

    async def swap_service(self, record: ServiceVersions) -> None:
        """Write a service's versions, unless another instance has written them."""
        now = asyncio.get_running_loop().time()
        key, value = self.codec.encode(record)
        revision = self.revisions.get(key, ABSENT)
        swap = await self.store.compare_and_swap(key, revision, value)
        if swap.succeeded:
            self.revisions[key] = swap.revision
            self.versions.record_saved(record, now)
            return
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
            await self.write_stream(unsaved[0])
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
