"""A list of instances kept by others, read from a store that may have been away.

An entry that vanishes is believed gone at once, but for the time just after the store
was out of reach: entries that lapsed meanwhile are written again by their owners.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")

RETURN_GRACE_S = 2.0
"""Seconds after the store's return within which living instances are listed again,
as the platform states."""

SHORTEST_OUTAGE_S = 1.0
"""A shorter time out of reach is a cut connection, during which no entry lapses."""


@dataclass(slots=True)
class Listing(Generic[T]):
    """The entries known by name; times are monotonic seconds.

    `missing` gives the time at which an entry that vanished around an outage is taken
    to be gone.
    """

    entries: dict[str, T] = field(default_factory=dict)
    missing: dict[str, float] = field(default_factory=dict)
    lost_at: float | None = None
    grace_until: float = 0.0

    def lose_store(self, now: float) -> None:
        """Note that the store cannot be read."""
        if self.lost_at is None:
            self.lost_at = now

    def regain_store(self, now: float) -> None:
        """Note that the store can be read again."""
        if self.lost_at is not None and now - self.lost_at >= SHORTEST_OUTAGE_S:
            self.grace_until = now + RETURN_GRACE_S
        self.lost_at = None

    def put(self, name: str, entry: T) -> None:
        """Take in an entry as it was written."""
        self.entries[name] = entry
        self.missing.pop(name, None)

    def remove(self, name: str, now: float) -> None:
        """Take out an entry, or wait for it where it may only have lapsed."""
        if name not in self.entries:
            return
        if now < self.grace_until:
            self.missing[name] = self.grace_until
        else:
            self.drop(name)

    def replace(self, found: Mapping[str, T], now: float) -> None:
        """Take over the whole list as just read."""
        for name in list(self.entries):
            if name not in found:
                self.remove(name, now)
        for name, entry in found.items():
            self.put(name, entry)

    def expire(self, now: float) -> bool:
        """Drop the entries that did not come back in time; return whether any were."""
        late = [name for name, until in self.missing.items() if now >= until]
        for name in late:
            self.drop(name)
        return bool(late)

    def drop(self, name: str) -> None:
        """Take out an entry for good."""
        self.entries.pop(name, None)
        self.missing.pop(name, None)

    def expires_at(self) -> float | None:
        """Return when `expire` is due next, or None."""
        return min(self.missing.values(), default=None)
