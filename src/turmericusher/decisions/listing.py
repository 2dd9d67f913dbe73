"""A list of instances that others write to the store, which may be unavailable.

An entry that disappears counts as gone at once, except just after an outage of the
store: entries whose leases expired during the outage are written again by their owners.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")

RELIST_GRACE_S = 2.0
"""Seconds after an outage of the store within which live instances are listed again, as
the platform guarantees."""

MIN_OUTAGE_S = 1.0
"""Seconds of unavailability that count as an outage. In a shorter time, for instance
after a cut connection, no entry expires."""


@dataclass(slots=True)
class Listing(Generic[T]):
    """The listed entries by name; times are monotonic seconds.

    `missing` maps the name of an entry that disappeared around an outage to the time at
    which it counts as gone.
    """

    entries: dict[str, T] = field(default_factory=dict)
    missing: dict[str, float] = field(default_factory=dict)
    store_lost_at: float | None = None
    grace_until: float = 0.0

    def mark_store_lost(self, now: float) -> None:
        """Record that the store has become unavailable; repeated calls do nothing."""
        if self.store_lost_at is None:
            self.store_lost_at = now

    def mark_store_available(self, now: float, was_away: bool = True) -> None:
        """Record that the store is available again, and start the grace period.

        There is none unless the store `was_away` for all: one that was not has removed
        no entry of an instance that lives.
        """
        lost_at, self.store_lost_at = self.store_lost_at, None
        if was_away and lost_at is not None and now - lost_at >= MIN_OUTAGE_S:
            self.grace_until = now + RELIST_GRACE_S

    def mark_store_restored(self, now: float) -> None:
        """Record that the store has come back from an older copy.

        Live entries that the copy lacks are written again as after an outage.
        """
        self.grace_until = now + RELIST_GRACE_S

    def put(self, name: str, entry: T) -> None:
        """Add or replace an entry."""
        self.entries[name] = entry
        self.missing.pop(name, None)

    def remove(self, name: str, now: float) -> None:
        """Remove an entry; during the grace period only mark it as missing."""
        if name not in self.entries:
            return
        if now < self.grace_until:
            self.missing[name] = self.grace_until
        else:
            self.drop(name)

    def replace_all(self, found: Mapping[str, T], now: float) -> None:
        """Replace the whole list by the entries just read."""
        for name in list(self.entries):
            if name not in found:
                self.remove(name, now)
        for name, entry in found.items():
            self.put(name, entry)

    def expire(self, now: float) -> bool:
        """Drop entries whose grace period has ended; return whether there were any."""
        overdue = [name for name, gone_at in self.missing.items() if now >= gone_at]
        for name in overdue:
            self.drop(name)
        return bool(overdue)

    def drop(self, name: str) -> None:
        """Remove an entry without a grace period."""
        self.entries.pop(name, None)
        self.missing.pop(name, None)

    def next_expiry_at(self) -> float | None:
        """Return the time at which `expire` is due next, None if nothing is missing."""
        return min(self.missing.values(), default=None)
