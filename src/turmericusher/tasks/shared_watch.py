"""Watches the store, or learns of its changes from an instance that does.

Whether it learns from the store or from another instance, an instance sees the same
changes in the same order. What another one passes on is left at its first failure or
silence, and the store is asked from the last revision on.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, aclosing, asynccontextmanager
from dataclasses import dataclass, field
from typing import Protocol

from turmericusher.decisions.fleet import EntryInstance
from turmericusher.decisions.watch_pace import WatchPace
from turmericusher.decisions.watch_sharing import (
    PassedChange,
    PassedChanges,
    WatchSharing,
)
from turmericusher.errors import StoreError
from turmericusher.logs import log_event
from turmericusher.ports.change_peers import ChangePeerError, ChangePeers
from turmericusher.ports.keyvalue import (
    Snapshot,
    StoredValue,
    WatchAnswer,
    WatchEvent,
)
from turmericusher.tasks.background import cancel_tasks
from turmericusher.tasks.change_feed import ChangeFeed

MAX_SILENCES = 3
"""Silences in a row after which an instance is no longer followed."""


class PolledStore(Protocol):
    """A key-value service whose changes are asked for call by call.

    The errors are those of `KeyValueStore`.
    """

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of one key, or None if the key is absent."""
        ...

    async def get_prefix(self, prefix: str) -> Snapshot:
        """Read all keys that start with `prefix`."""
        ...

    async def poll(self, prefix: str, after: int, wait_s: float) -> WatchAnswer:
        """Return the changes after a revision as soon as there are any."""
        ...

    def check_history(self) -> None:
        """Raise `StoreRestoredError` if the store was restored since it was read."""
        ...


def new_peers() -> asyncio.Future[ChangePeers]:
    """Return a future of the running event loop."""
    return asyncio.get_running_loop().create_future()


@dataclass(slots=True)
class SharedWatch:
    """The watch of one instance, whose changes other instances may follow.

    `feed` passes on what the store itself has answered. `peers` are the connections to
    other instances once they are loaded. `source` is the name of the instance that
    changes come from now, None for the store, and `polls` counts calls of the store.
    """

    store: PolledStore
    pace: WatchPace
    sharing: WatchSharing
    feed: ChangeFeed = field(default_factory=ChangeFeed)
    peers: asyncio.Future[ChangePeers] = field(default_factory=new_peers)
    source: str | None = None
    polls: int = 0

    async def get_prefix(self, prefix: str) -> Snapshot:
        """Read all keys that start with `prefix` from the store."""
        return await self.store.get_prefix(prefix)

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncGenerator[WatchAnswer, None]:
        """Yield the changes under `prefix` from `from_revision` on, in order.

        Those that came together are in one answer. It raises what asking the store
        raises. A failure of another instance is none.
        """
        after = from_revision - 1
        try:
            while True:
                source = self.next_source()
                if source is None:
                    answers = self.poll_store(prefix, after)
                else:
                    answers = self.follow(source, prefix, after)
                async with aclosing(answers):
                    async for answer in answers:
                        yield answer
                        after = max(after, answer.revision)
        finally:
            self.feed.close()

    def next_source(self) -> EntryInstance | None:
        """Return the instance to learn from, and log a change of it; None for none."""
        is_loaded = self.peers.done() and not self.peers.cancelled()
        source = self.sharing.source(clock()) if is_loaded else None
        name = source.name if source is not None else None
        if name != self.source:
            log_event("watch_source", source=name or "store")
            self.source = name
        return source

    async def poll_store(
        self, prefix: str, after: int
    ) -> AsyncGenerator[WatchAnswer, None]:
        """Yield the store's answers until there is an instance to learn from."""
        self.feed.open_at(after)
        while True:
            is_watcher = self.sharing.is_watcher
            wait_s = self.pace.watcher_s if is_watcher else self.pace.wait_s
            answer = await self.poll(prefix, after, wait_s)
            self.feed.publish(answer.events, answer.revision)
            yield answer
            after = max(after, answer.revision)
            if self.next_source() is not None:
                self.feed.close()
                return
            if answer.events:
                pause_s = self.pace.watcher_s if is_watcher else self.pace.pause_s
                await asyncio.sleep(pause_s)

    async def follow(
        self, source: EntryInstance, prefix: str, after: int
    ) -> AsyncGenerator[WatchAnswer, None]:
        """Yield what another instance passes on, until it fails or is not to be used.

        After a silence or a failure the store itself is asked at once, since changes
        may wait there for that long. A watcher that reads a large value over a slow
        link is silent once.
        """
        self.feed.close()
        silences = 0
        try:
            async with self.receiving(source, after) as receive:
                while self.is_source(source):
                    passed = await receive(self.pace.silence_s)
                    self.store.check_history()
                    if passed is not None:
                        silences = 0
                        answer = await self.read_changes(source, passed, after)
                    elif silences < MAX_SILENCES - 1:
                        silences += 1
                        answer = await self.poll(prefix, after, 0.0)
                    else:
                        raise ChangePeerError(f"silent {MAX_SILENCES} times")
                    yield answer
                    after = max(after, answer.revision)
            return
        except ChangePeerError as error:
            log_event("watcher_left", instance=source.name, error=repr(error))
            self.sharing.record_failure(source.name, clock())
        yield await self.poll(prefix, after, 0.0)

    @asynccontextmanager
    async def receiving(
        self, source: EntryInstance, after: int
    ) -> AsyncIterator[Callable[[float], Awaitable[PassedChanges | None]]]:
        """Yield a function that returns what comes within some seconds, else None."""
        async with AsyncExitStack() as stack:
            opening = self.peers.result().follow(source.peer_address, after)
            try:
                async with asyncio.timeout(self.pace.silence_s):
                    stream = await stack.enter_async_context(opening)
            except TimeoutError as error:
                raise ChangePeerError("no connection in time") from error
            pending = asyncio.ensure_future(anext(stream))

            async def receive(wait_s: float) -> PassedChanges | None:
                nonlocal pending
                # A stream whose next element is no longer awaited would be lost.
                done, _ = await asyncio.wait({pending}, timeout=wait_s)
                if not done:
                    return None
                try:
                    passed = await pending
                except StopAsyncIteration:
                    raise ChangePeerError("the stream has ended") from None
                pending = asyncio.ensure_future(anext(stream))
                return passed

            try:
                yield receive
            finally:
                await cancel_tasks({pending})

    def is_source(self, instance: EntryInstance) -> bool:
        """Whether this incarnation of an instance is still the one to learn from."""
        source = self.sharing.source(clock())
        return source is not None and (
            (source.name, source.incarnation) == (instance.name, instance.incarnation)
        )

    async def poll(self, prefix: str, after: int, wait_s: float) -> WatchAnswer:
        """Ask the store for changes, and count the call."""
        self.polls += 1
        return await self.store.poll(prefix, after, wait_s)

    async def read_changes(
        self, source: EntryInstance, passed: PassedChanges, after: int
    ) -> WatchAnswer:
        """Return the changes after a revision, with their values.

        A value that cannot be read leaves all of them to the store.
        """
        newer = [each for each in passed.changes if each.revision > after]
        try:
            events = [await self.read_change(each) for each in newer]
        except StoreError as error:
            log_event("changed_value_unread", error=error.message)
            raise ChangePeerError("a value could not be read") from error
        return WatchAnswer(tuple(events), passed.revision, source.name)

    async def read_change(self, change: PassedChange) -> WatchEvent:
        """Return a change with its value, which may be read from the store."""
        if not change.must_be_read:
            return WatchEvent(change.key, change.value, change.revision)
        stored = await self.store.get(change.key)
        if stored is None:
            return WatchEvent(change.key, None, change.revision)
        return WatchEvent(change.key, stored.value, change.revision)


def clock() -> float:
    """Return the event loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()
