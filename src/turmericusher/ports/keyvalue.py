"""The protocol of the platform's key-value service.

The service offers compare-and-swap on one key, leases and watches. Nothing else may be
relied on: there are no transactions over several keys.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

ABSENT = 0
"""The `expected_revision` of a key that does not exist."""


@dataclass(frozen=True, slots=True)
class StoredValue:
    """One key's value, the revision of its last write, and its lease (0 for none)."""

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The values under a prefix, and the store's revision at which they were read.

    If the store returns several pages, `revision` is that of the first page.
    """

    values: tuple[StoredValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class SwapResult:
    """The outcome of a compare-and-swap.

    `current` is the stored value if the swap failed, None if the key is absent.
    `revision` is that of the write if the swap succeeded.
    """

    succeeded: bool
    revision: int
    current: StoredValue | None = None


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change of one key; `value` is None when the key was deleted or expired."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class WatchAnswer:
    """All changes up to the store's `revision` from the one that was asked after.

    There may be later ones too, which come again if they are asked for. `source` is
    the instance that has passed them on, None for the store itself. All keys were
    heard of at `heard_at` or later, a monotonic time in seconds, if it is told.
    """

    events: tuple[WatchEvent, ...]
    revision: int
    source: str | None = None
    heard_at: float | None = None


@dataclass(frozen=True, slots=True)
class ToldState:
    """All that a history of the store has, as another instance tells it."""

    snapshot: Snapshot
    history: int | None
    source: str


class KeyValueStore(Protocol):
    """The operations that the platform's key-value service guarantees.

    Every method raises `StoreUnavailableError` if the call had no effect. A write
    raises `StoreOutcomeUnknownError` if its reply was lost. Times are in seconds.
    """

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of one key, or None if the key is absent."""
        ...

    async def get_prefix(self, prefix: str) -> Snapshot:
        """Read all keys that start with `prefix`."""
        ...

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease: int = 0
    ) -> SwapResult:
        """Write `value` if the key's revision is `expected_revision`.

        `ABSENT` expects a missing key; a `value` of None deletes the key.
        """
        ...

    async def grant_lease(self, ttl_s: int) -> int:
        """Grant a lease that expires after `ttl_s` seconds without a renewal."""
        ...

    async def renew_lease(self, lease: int) -> int:
        """Renew a lease; return its time to live in seconds, 0 if it has expired."""
        ...

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys that are bound to it."""
        ...

    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield the changes under `prefix` from `from_revision` on, in order.

        Iteration raises `StoreUnavailableError` if the connection is lost or if
        `from_revision` was compacted; the caller then reads the prefix again.
        """
        ...
