"""Reads large values beside the changes that came with them or after them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from turmericusher.decisions.watch_sharing import PassedChange
from turmericusher.ports.change_peers import ChangePeerError
from turmericusher.ports.keyvalue import WatchEvent
from turmericusher.tasks.background import cancel_tasks

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0


@dataclass(slots=True)
class UnreadValue:
    """A value that was changed at `first`, and at `newest` for the last time."""

    first: int
    newest: int
    backoff_s: float = MIN_BACKOFF_S


@dataclass(slots=True)
class LargeValues:
    """The large values that are being read, each by a task of its own.

    Only the newest version of a value is read. `read` returns the value of a key at a
    revision or later, or raises `ChangePeerError`. `has_failed` is set by such an
    error; the value is read again after a pause.
    """

    read: Callable[[str, int], Awaitable[WatchEvent]]
    random: random.Random
    unread: dict[str, UnreadValue] = field(default_factory=dict)
    tasks: dict[str, asyncio.Task[WatchEvent]] = field(default_factory=dict)
    has_failed: bool = False

    def want_all(self, changes: Iterable[PassedChange]) -> None:
        """Read the values of changes; readings that have not begun bring newer ones."""
        for change in changes:
            unread = self.unread.get(change.key)
            if unread is None:
                unread = UnreadValue(change.revision, change.revision)
                self.unread[change.key] = unread
            unread.newest = max(unread.newest, change.revision)

    def start(self) -> None:
        """Begin to read what is wanted and not being read."""
        for key, unread in self.unread.items():
            if key not in self.tasks:
                self.tasks[key] = self.start_reading(key, unread.newest, 0.0)

    def start_reading(
        self, key: str, revision: int, pause_s: float
    ) -> asyncio.Task[WatchEvent]:
        """Begin to read a key after a pause in seconds."""

        async def read() -> WatchEvent:
            if pause_s:
                await asyncio.sleep(pause_s)
            return await self.read(key, revision)

        return asyncio.create_task(read())

    def complete(self, revision: int) -> int:
        """Return up to which revision all is known, if small changes are up to one."""
        firsts = (each.first - 1 for each in self.unread.values())
        return min([revision, *firsts])

    def take_failure(self) -> bool:
        """Whether a reading has failed since the last time."""
        has_failed, self.has_failed = self.has_failed, False
        return has_failed

    def take(self) -> list[WatchEvent]:
        """Return the values that were read, and begin to read those that changed."""
        events = []
        for key, task in list(self.tasks.items()):
            if not task.done():
                continue
            unread = self.unread[key]
            try:
                event = task.result()
            except ChangePeerError:
                self.has_failed = True
                pause_s = unread.backoff_s * self.random.uniform(0.5, 1.0)
                unread.backoff_s = min(2 * unread.backoff_s, MAX_BACKOFF_S)
                self.tasks[key] = self.start_reading(key, unread.newest, pause_s)
                continue
            del self.tasks[key]
            events.append(event)
            if unread.newest > event.revision:
                unread.first = event.revision + 1
            else:
                del self.unread[key]
        self.start()
        return events


@asynccontextmanager
async def reading_values(
    read: Callable[[str, int], Awaitable[WatchEvent]], rng: random.Random
) -> AsyncIterator[LargeValues]:
    """Yield the values that are being read; end that on exit."""
    values = LargeValues(read, rng)
    try:
        yield values
    finally:
        await cancel_tasks(values.tasks.values())
