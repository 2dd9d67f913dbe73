"""Which value and revision of each key of the store an instance has applied.

Changes may come twice, and in another order than they were made: entries and large
values are asked for apart, and what another instance passes on may be older than what
was read meanwhile. What was applied never gives way to something older.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from turmericusher.decisions.watch_sharing import LARGE_VALUE_BYTES
from turmericusher.ports.keyvalue import StoredValue, WatchEvent


@dataclass(slots=True)
class KeyRevisions:
    """The last revision applied of each key, in one history of the store.

    `live` has the values as well, which other instances may need, and `removed` keys
    that were removed later than all changes are known.
    """

    live: dict[str, StoredValue] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)

    def is_news(self, key: str, revision: int) -> bool:
        """Whether a change is newer than what was applied of its key."""
        live = self.live.get(key)
        known = live.revision if live is not None else 0
        return revision > max(known, self.removed.get(key, 0))

    def select_news(self, events: Iterable[WatchEvent]) -> tuple[WatchEvent, ...]:
        """Return the events that are newer than what was applied."""
        return tuple(each for each in events if self.is_news(each.key, each.revision))

    def record(self, events: Iterable[WatchEvent], complete: int) -> None:
        """Record events that were applied; all up to a revision have been by now."""
        for each in events:
            if each.value is None:
                self.live.pop(each.key, None)
                self.removed[each.key] = each.revision
            else:
                self.removed.pop(each.key, None)
                stored = StoredValue(each.key, each.value, each.revision)
                self.live[each.key] = stored
        if self.removed:
            later = {k: r for k, r in self.removed.items() if r > complete}
            self.removed = later

    def replace(self, values: Iterable[StoredValue]) -> None:
        """Record a complete read, in place of everything before."""
        self.live, self.removed = {each.key: each for each in values}, {}

    def large_value(self, key: str) -> StoredValue | None:
        """Return the value of a key if it is large."""
        stored = self.live.get(key)
        if stored is None or len(stored.value) < LARGE_VALUE_BYTES:
            return None
        return stored

    def large_bytes(self, prefix: str) -> int:
        """Return the bytes of all large values under a prefix."""
        return sum(
            len(each.value)
            for key, each in self.live.items()
            if len(each.value) >= LARGE_VALUE_BYTES and key.startswith(prefix)
        )

    def changes_to(
        self, values: Sequence[StoredValue], revision: int, prefix: str = ""
    ) -> tuple[WatchEvent, ...]:
        """Return what was changed under a prefix, by all values there at a revision."""
        found = {each.key for each in values}
        changed = [
            WatchEvent(each.key, each.value, each.revision)
            for each in values
            if self.is_news(each.key, each.revision)
        ]
        gone = [
            WatchEvent(key, None, revision)
            for key, known in self.live.items()
            if key.startswith(prefix)
            and key not in found
            and known.revision <= revision
        ]
        return (*changed, *gone)
