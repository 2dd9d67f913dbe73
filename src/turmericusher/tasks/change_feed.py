"""Passes on what this instance learns from the store to those that follow it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass, field

from turmericusher.decisions.watch_sharing import (
    ChangeLog,
    PassedChanges,
    make_passed_change,
)
from turmericusher.ports.keyvalue import WatchEvent


@dataclass(slots=True)
class ChangeFeed:
    """The log of changes; `news` is set, and replaced, at each answer of the store."""

    log: ChangeLog = field(default_factory=ChangeLog)
    news: asyncio.Event = field(default_factory=asyncio.Event)

    def open_at(self, revision: int) -> None:
        """Begin to pass changes after a revision on."""
        self.log.open_at(revision)

    def publish(self, events: Iterable[WatchEvent], revision: int) -> None:
        """Pass an answer of the store on, with or without changes."""
        changes = (make_passed_change(e.key, e.revision, e.value) for e in events)
        self.log.append(changes, revision)
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

    async def follow(self, after_revision: int) -> AsyncIterator[PassedChanges]:
        """Yield the changes after a revision at each answer of the store.

        It ends when they are not, or no longer, all known here.
        """
        while True:
            news = self.news
            passed = self.log.after(after_revision)
            if passed is None:
                return
            yield passed
            after_revision = passed.revision
            await news.wait()
