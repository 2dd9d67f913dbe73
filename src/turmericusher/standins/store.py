"""An in-memory key-value service, with switches for the faults of the real one.

`MemoryStore` implements `KeyValueStore`, so that tests can use it without a socket;
`store_server` serves it over etcd's published JSON mapping.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from turmericusher.errors import StoreOutcomeUnknownError, StoreUnavailableError
from turmericusher.ports.keyvalue import (
    ABSENT,
    Snapshot,
    StoredValue,
    SwapResult,
    WatchEvent,
)

MAX_VALUE_BYTES = 1_000_000
# How often a waiting watch expires leases and checks whether the store is down.
LEASE_CHECK_INTERVAL_S = 0.1


@dataclass(slots=True)
class StoreFaults:
    """The faults that are switched on.

    `down` refuses every call before it has an effect. `delay_s` is the delay of each
    call in seconds. `lose_replies` is the number of next writes whose reply is lost.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0


@dataclass(slots=True)
class StoreCounts:
    """Totals of the calls received; opening a watch counts as one read."""

    reads: int = 0
    writes: int = 0
    value_bytes_written: int = 0


@dataclass(slots=True)
class Lease:
    """A granted lease and the monotonic time in seconds at which it lapses."""

    ttl_s: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """A copy of the keys and leases at a revision, as `MemoryStore.restore` takes it.

    Leases have their ids, the seconds that they last, and those that were left.
    """

    revision: int
    values: dict[str, StoredValue]
    leases: dict[int, tuple[int, float]]


@dataclass(slots=True)
class MemoryStore:
    """The keys, leases, history and faults of the key-value service.

    `history` holds every change, oldest first. `changed` is set and replaced at each
    change, which wakes the watches. `era` counts how often the store was restored.
    """

    clock: Callable[[], float] = time.monotonic
    revision: int = 1
    era: int = 1
    values: dict[str, StoredValue] = field(default_factory=dict)
    history: list[WatchEvent] = field(default_factory=list)
    leases: dict[int, Lease] = field(default_factory=dict)
    faults: StoreFaults = field(default_factory=StoreFaults)
    counts: StoreCounts = field(default_factory=StoreCounts)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    lease_ids: itertools.count[int] = field(
        default_factory=lambda: itertools.count(1001)
    )

    async def get(self, key: str) -> StoredValue | None:
        """Read one key; None if it does not exist."""
        await self.begin_read()
        return self.values.get(key)

    async def get_prefix(self, prefix: str) -> Snapshot:
        """Read every key that starts with `prefix`."""
        await self.begin_read()
        found = [
            self.values[key] for key in sorted(self.values) if key.startswith(prefix)
        ]
        return Snapshot(tuple(found), self.revision)

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease: int = 0
    ) -> SwapResult:
        """Write `value` if the key's revision is `expected_revision`."""
        await self.begin_write(value)
        result = self.swap(key, expected_revision, value, lease)
        self.raise_if_reply_lost()
        return result

    async def grant_lease(self, ttl_s: int) -> int:
        """Grant a lease that lapses after `ttl_s` seconds without a renewal."""
        await self.begin_write(None)
        lease = next(self.lease_ids)
        self.leases[lease] = Lease(ttl_s, self.clock() + ttl_s)
        self.raise_if_reply_lost()
        return lease

    async def renew_lease(self, lease: int) -> int:
        """Renew a lease and return its time to live in seconds; 0 when it lapsed."""
        await self.begin_write(None)
        held = self.leases.get(lease)
        if held is None:
            return 0
        held.expires_at = self.clock() + held.ttl_s
        return held.ttl_s

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease; the keys that are bound to it are deleted."""
        await self.begin_write(None)
        self.end_lease(lease)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield the changes under `prefix` from `from_revision` on, in order."""
        await self.begin_read()
        position = 0
        while True:
            while position < len(self.history):
                event = self.history[position]
                position += 1
                if event.revision >= from_revision and event.key.startswith(prefix):
                    yield event
            self.expire_leases()
            # In Python 3.11 `wait_for` swallows a cancellation that arrives together
            # with the event, and the watch would never end.
            try:
                async with asyncio.timeout(LEASE_CHECK_INTERVAL_S):
                    await self.changed.wait()
            except TimeoutError:
                self.raise_if_down()

    def copied(self) -> StoreCopy:
        """Return a copy of what the store has now."""
        now = self.clock()
        leases = {
            number: (held.ttl_s, held.expires_at - now)
            for number, held in self.leases.items()
        }
        return StoreCopy(self.revision, dict(self.values), leases)

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: what was written since is gone, and so are leases.

        Revisions are given out again, and so are the ids of leases.
        """
        now = self.clock()
        self.revision, self.values = copy.revision, dict(copy.values)
        self.leases = {
            number: Lease(ttl_s, now + left_s)
            for number, (ttl_s, left_s) in copy.leases.items()
        }
        self.lease_ids = itertools.count(max(copy.leases, default=1000) + 1)
        self.history = [e for e in self.history if e.revision <= copy.revision]
        self.era += 1

    def swap(
        self, key: str, expected_revision: int, value: bytes | None, lease: int
    ) -> SwapResult:
        """Compare the revision and write if it matches, without applying faults."""
        current = self.values.get(key)
        current_revision = current.revision if current is not None else ABSENT
        if current_revision != expected_revision:
            return SwapResult(False, self.revision, current)
        if lease and lease not in self.leases:
            raise StoreUnavailableError(
                f"lease={lease!r} does not exist; grant a new one"
            )
        self.write(key, value, lease)
        return SwapResult(True, self.revision)

    def write(self, key: str, value: bytes | None, lease: int = 0) -> None:
        """Write or, with None, delete a key; record the change and wake the watches."""
        self.revision += 1
        if value is None:
            self.values.pop(key, None)
        else:
            self.values[key] = StoredValue(key, value, self.revision, lease)
        self.history.append(WatchEvent(key, value, self.revision))
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease: int) -> None:
        """Remove a lease and delete the keys that are bound to it."""
        self.leases.pop(lease, None)
        bound_keys = [key for key, held in self.values.items() if held.lease == lease]
        for key in bound_keys:
            self.write(key, None)

    def expire_leases(self) -> None:
        """End every lease that has lapsed."""
        now = self.clock()
        lapsed_leases = [
            number for number, held in self.leases.items() if held.expires_at < now
        ]
        for number in lapsed_leases:
            self.end_lease(number)

    async def begin_read(self) -> None:
        """Count a read and apply the faults that precede its effect."""
        self.counts.reads += 1
        await self.apply_faults()

    async def begin_write(self, value: bytes | None) -> None:
        """Count a write, apply the faults that precede its effect, check its size."""
        self.counts.writes += 1
        size = len(value) if value is not None else 0
        self.counts.value_bytes_written += size
        await self.apply_faults()
        if size > MAX_VALUE_BYTES:
            raise StoreUnavailableError(
                f"value of {size} bytes is above the limit of {MAX_VALUE_BYTES}"
            )

    async def apply_faults(self) -> None:
        """Wait for `delay_s`, fail if the store is down, and expire leases."""
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        self.raise_if_down()
        self.expire_leases()

    def raise_if_down(self) -> None:
        """Raise `StoreUnavailableError` while the store is down."""
        if self.faults.down:
            raise StoreUnavailableError("the key-value service is down")

    def raise_if_reply_lost(self) -> None:
        """Raise `StoreOutcomeUnknownError` after a write if its reply is to be lost."""
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            raise StoreOutcomeUnknownError(
                "the reply of the key-value service was lost"
            )
