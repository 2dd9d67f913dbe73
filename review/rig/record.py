"""What a script saw on its sockets, written to `record.txt` in the case's folder."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class Entry:
    """One thing that was seen, `at` seconds after the start."""

    at: float
    kind: str
    fields: dict[str, Any]

    def __getattr__(self, name: str) -> Any:
        """Return a field by its name."""
        try:
            return self.fields[name]
        except KeyError:
            raise AttributeError(name) from None


@dataclass(slots=True)
class Record:
    """All entries, in their order; times are seconds since `started_at`."""

    started_at: float = field(default_factory=time.monotonic)
    entries: list[Entry] = field(default_factory=list)

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def add(self, kind: str, **fields: Any) -> Entry:
        """Add an entry with the present time."""
        entry = Entry(self.now(), kind, fields)
        self.entries.append(entry)
        return entry

    def of(self, kind: str) -> list[Entry]:
        """Return the entries of one kind."""
        return [entry for entry in self.entries if entry.kind == kind]


@contextmanager
def recording(path: Path) -> Iterator[Record]:
    """Yield a record, and write it to a file at the end, whatever happens."""
    record = Record()
    try:
        yield record
    finally:
        with path.open("w", encoding="utf-8") as file:
            for entry in record.entries:
                text = " ".join(
                    f"{name}={value}" for name, value in entry.fields.items()
                )
                file.write(f"{entry.at:9.4f} {entry.kind} {text}\n")
