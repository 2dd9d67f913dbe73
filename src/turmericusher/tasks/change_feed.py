"""Passes on what this instance learns from the store to those that follow it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass, field, replace

from turmericusher.decisions.watch_sharing import (
    ChangeLog,
    PassedChanges,
    make_passed_change,
)
from turmericusher.ports.keyvalue import WatchEvent


@dataclass(slots=True)
class ChangeFeed:
    """The log of changes; `news` is set, and replaced, at each answer of the store.

    The log has been open since `opened_at`, and all keys of the store were heard of at
    `heard_at` or later; both are times of the event loop in seconds.
    """

    log: ChangeLog = field(default_factory=ChangeLog)
    news: asyncio.Event = field(default_factory=asyncio.Event)
    opened_at: float = 0.0
    heard_at: float = 0.0

    def open_at(self, revision: int, history: int | None = None) -> None:
        """Begin to pass changes of a history of the store on, after a revision."""
        if not self.log.is_open:
            self.opened_at = self.heard_at = clock()
        self.log.open_at(revision, history)

    def publish(
        self, events: Iterable[WatchEvent], revision: int, heard_at: float | None = None
    ) -> None:
        """Pass an answer of the store on, with or without changes."""
        changes = (make_passed_change(e.key, e.revision, e.value) for e in events)
        self.log.append(changes, revision)
        self.heard_at = clock() if heard_at is None else heard_at
        self.wake()

    def close(self) -> None:
        """End the streams of those that follow: the store was lost, or is left."""
        if self.log.is_open:
            self.log.close()
            self.wake()

    def wake(self) -> None:
        """Wake all that follow."""
        news, self.news = self.news, asyncio.Event()
        news.set()

    async def follow(
        self, after_revision: int, history: int | None = None
    ) -> AsyncIterator[PassedChanges]:
        """Yield the changes after a revision at each answer of the store.

        It ends when they are not, or no longer, all known here, and if the revision is
        of another history than what is known here.
        """
        passed = self.log.after(after_revision)
        while passed is not None and history in (None, self.log.history):
            news, added, begun = self.news, self.log.added, self.log.begun
            now = clock()
            yield replace(
                passed, followed_s=now - self.opened_at, age_s=now - self.heard_at
            )
            after_revision = max(after_revision, passed.revision)
            await news.wait()
            passed = self.log.since(added, begun)
            if passed is None:
                passed = self.log.after(after_revision)


def clock() -> float:
    """Return the event loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()
