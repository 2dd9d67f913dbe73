"""Follows everything in the store by one watch, and survives its outages.

While the store is away the last state stays in force. When it can be reached again, or
when the changes since the last one seen are gone, everything is read again: a quiet
watch would not tell that the store is back.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Protocol

from turmericusher.errors import StoreError, StoreHistoryLostError
from turmericusher.logs import log_event
from turmericusher.ports.keyvalue import KeyValueStore, StoredValue, WatchEvent
from turmericusher.tasks.background import background

FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.5
"""Pauses between calls to a store that fails: short against the 2 s within which a
change must be in force."""


class StoreListener(Protocol):
    """Hears what the store holds."""

    def store_read(self, values: tuple[StoredValue, ...], now: float) -> None:
        """Take over everything under the prefix."""
        ...

    def store_changed(self, event: WatchEvent, now: float) -> None:
        """Take in one change."""
        ...

    def store_lost(self, now: float) -> None:
        """Note that the store cannot be read."""
        ...

    def store_regained(self, now: float) -> None:
        """Note that the store can be read again."""
        ...


@dataclass(slots=True)
class StoreFollower:
    """The task that owns the watch; `revision` is the last one seen."""

    store: KeyValueStore
    prefix: str
    listener: StoreListener
    random: random.Random
    revision: int | None = None
    is_lost: bool = False
    pause_s: float = FIRST_PAUSE_S

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                if self.revision is None or self.is_lost:
                    await self.read_all()
                await self.watch()
            except StoreHistoryLostError as error:
                log_event("store_history_lost", message=error.message)
                self.revision = None
            except StoreError as error:
                self.note_loss(error)
                await asyncio.sleep(self.pause_s * self.random.uniform(0.5, 1.0))
                self.pause_s = min(2 * self.pause_s, LONGEST_PAUSE_S)

    async def read_all(self) -> None:
        """Read everything and note the revision to go on from."""
        snapshot = await self.store.get_prefix(self.prefix)
        self.note_return()
        self.listener.store_read(snapshot.values, clock())
        self.revision = snapshot.revision
        log_event("store_read", revision=snapshot.revision, values=len(snapshot.values))

    async def watch(self) -> None:
        """Hand on each change as it comes."""
        assert self.revision is not None
        async for event in self.store.watch(self.prefix, self.revision + 1):
            self.listener.store_changed(event, clock())
            self.revision = max(self.revision, event.revision)

    def note_loss(self, error: StoreError) -> None:
        """Log the beginning of an outage once."""
        if not self.is_lost:
            self.is_lost = True
            log_event("store_lost", message=error.message, revision=self.revision)
            self.listener.store_lost(clock())

    def note_return(self) -> None:
        """Log the end of an outage."""
        self.pause_s = FIRST_PAUSE_S
        if self.is_lost:
            self.is_lost = False
            log_event("store_regained", revision=self.revision)
            self.listener.store_regained(clock())


def clock() -> float:
    """Return the event loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()


@asynccontextmanager
async def following_store(follower: StoreFollower) -> AsyncIterator[None]:
    """Follow the store while the context is open."""
    async with background({"store-follower": follower.run()}):
        yield
