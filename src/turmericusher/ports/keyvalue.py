"""The port to the platform's key-value service.

The service offers compare-and-swap on one key, leases and watches. Nothing else of it
may be relied on: there are no transactions over several keys.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

ABSENT = 0
"""The expected revision of a key that does not exist."""


@dataclass(frozen=True, slots=True)
class StoredValue:
    """One key's value and the revision of its last write."""

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The values under a prefix, and the store's revision at which they were read."""

    values: tuple[StoredValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class SwapResult:
    """The outcome of a compare-and-swap.

    `current` is the value now stored when the swap failed (None when the key is
    absent). `revision` is the revision of the write when the swap succeeded.
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


class KeyValueStore(Protocol):
    """What the platform's key-value service promises, and no more.

    Every method raises `StoreUnavailableError` when the call had no effect. A write
    raises `StoreOutcomeUnknownError` when its reply was lost. Timeouts are in seconds.
    """

    async def get(self, key: str) -> StoredValue | None:
        """Read one key."""
        ...

    async def get_prefix(self, prefix: str) -> Snapshot:
        """Read every key that starts with `prefix`."""
        ...

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease: int = 0
    ) -> SwapResult:
        """Write `value` if the key's revision is `expected_revision`.

        `ABSENT` expects a missing key; a `value` of None deletes the key.
        """
        ...

    async def grant_lease(self, ttl_s: int) -> int:
        """Make a lease that lapses after `ttl_s` seconds without a renewal."""
        ...

    async def renew_lease(self, lease: int) -> int:
        """Renew a lease and return its time to live in seconds; 0 when it lapsed."""
        ...

    async def revoke_lease(self, lease: int) -> None:
        """End a lease; the keys that are bound to it are deleted."""
        ...

    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield the changes under `prefix` from `from_revision` on, in order.

        The iterator ends with `StoreUnavailableError` when the connection is lost or
        when `from_revision` was compacted; the watcher then reads the prefix again.
        """
        ...
