"""Follows a prefix of the store by one watch, and survives outages of the store.

During an outage the last known state stays in force. After an outage, unless another
instance knows all changes, or when the store no longer has those since the last
revision seen, the whole prefix is read again. So it is if the store has come back from
an older copy, whose revisions do not mean the same.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Callable,
    Iterator,
    Sequence,
)
from contextlib import aclosing, asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from typing import Protocol

from turmericusher.decisions.applied_changes import AppliedChanges
from turmericusher.errors import (
    StoreError,
    StoreHistoryLostError,
    StoreRestoredError,
)
from turmericusher.logs import log_event
from turmericusher.ports.key_revisions import KeyRevisions
from turmericusher.ports.keyvalue import (
    Snapshot,
    StoredValue,
    ToldState,
    WatchAnswer,
    WatchEvent,
)
from turmericusher.tasks.background import lasting_task

MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
"""Backoff between calls to a failing store, in seconds. It is short compared with the
2 s within which a change must be in force."""


class StoreListener(Protocol):
    """Receives the contents of the store and the start and end of outages.

    `now` is the event loop's time in seconds.
    """

    def store_read(self, values: tuple[StoredValue, ...], now: float) -> None:
        """Replace the known state by all values under the prefix."""
        ...

    def store_changed(self, events: Sequence[WatchEvent], now: float) -> None:
        """Apply changes that came together, in their order."""
        ...

    def store_lost(self, now: float) -> None:
        """Handle the start of an outage: the store cannot be read."""
        ...

    def store_regained(self, now: float, was_away: bool) -> None:
        """Handle the end of an outage: what the store has is known again.

        `was_away` is False if it has served others all along, so that nothing is
        missing that was not removed.
        """
        ...

    def store_restored(self, now: float) -> None:
        """Handle a store that has come back from an older copy, before it is read."""
        ...


class WatchedStore(Protocol):
    """What is read and watched, with the errors of a `KeyValueStore`."""

    async def get_prefix(self, prefix: str) -> Snapshot:
        """Read all keys that start with `prefix`."""
        ...

    def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncGenerator[WatchAnswer, None]:
        """Yield the changes under `prefix` from `from_revision` on, in order."""
        ...

    @property
    def known(self) -> KeyRevisions:
        """What was applied of each key."""
        ...

    @property
    def unreached_since(self) -> float | None:
        """The time in seconds since which the store has not answered, if it has not."""
        ...

    async def regain(self, after: int | None) -> WatchAnswer | ToldState | None:
        """Wait until what the store has can be learned again.

        Returns the changes after a revision if they are known without a gap, or all
        that another instance knows, or None if all must be read.
        """
        ...

    def adopt_history(self, history: int | None) -> None:
        """Go on from what another instance has told of a history of the store.

        Raises `StoreUnavailableError` if a later one is known.
        """
        ...

    @property
    def history(self) -> int | None:
        """What the revisions of the last complete read belong to, if it was told."""
        ...


@dataclass(slots=True)
class StoreFollower:
    """The task that owns the watch; `revision` is the last one seen, if any.

    `must_read` is set once the store does not have the changes since then, and
    `is_restored` while what is known is of a history that was replaced.
    `on_heard` is called after each answer of the store was applied, with a time at or
    after which all keys were heard of; `applied` has what the last answer was.
    """

    store: WatchedStore
    prefix: str
    listener: StoreListener
    random: random.Random
    revision: int | None = None
    on_heard: Callable[[float], None] = lambda now: None
    applied: AppliedChanges = field(default_factory=AppliedChanges)
    is_lost: bool = False
    is_restored: bool = False
    must_read: bool = False
    backoff_s: float = MIN_BACKOFF_S

    async def run(self) -> None:
        """Read and watch the store until cancelled, backing off after failures."""
        while True:
            try:
                if self.is_lost and (self.revision is not None or self.is_restored):
                    await self.regain()
                elif self.revision is None or self.must_read:
                    await self.read_all(clock())
                await self.watch()
            except StoreRestoredError as error:
                log_event("store_history_replaced", message=error.message)
                self.mark_restored()
            except StoreHistoryLostError as error:
                log_event("store_history_lost", message=error.message)
                self.must_read = True
            except StoreError as error:
                self.mark_lost(error)
                await asyncio.sleep(self.backoff_s * self.random.uniform(0.5, 1.0))
                self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)

    async def regain(self) -> None:
        """End an outage, by what another instance knows or by reading everything."""
        answer = await self.store.regain(self.revision)
        match answer:
            case None:
                await self.read_all(clock())
            case ToldState():
                self.adopt(answer)
            case WatchAnswer():
                self.mark_regained(clock(), was_away=False)
                self.apply(answer)
                self.must_read = False

    async def read_all(self, reached_at: float) -> None:
        """Read the whole prefix and record the revision from which to watch.

        The store has answered again since `reached_at`, a time in seconds.
        """
        snapshot = await self.store.get_prefix(self.prefix)
        self.mark_regained(reached_at, was_away=True)
        self.apply_all(snapshot, None)

    def adopt(self, state: ToldState) -> None:
        """Go on from what another instance has told of all keys."""
        if state.history != self.store.history and not self.is_restored:
            self.mark_restored()
        self.store.adopt_history(state.history)
        self.mark_regained(clock(), was_away=False)
        self.apply_all(state.snapshot, state.source)

    def apply_all(self, snapshot: Snapshot, source: str | None) -> None:
        """Replace what is known by all keys, read or told by an instance."""
        with self.applying(snapshot.revision):
            self.listener.store_read(snapshot.values, clock())
        self.store.known.replace(snapshot.values)
        self.on_heard(clock())
        self.revision = snapshot.revision
        self.must_read = self.is_restored = False
        self.applied.record_answer(snapshot.revision, source, clock())
        log_event(
            "store_read",
            revision=snapshot.revision,
            values=len(snapshot.values),
            source=source or "store",
        )

    def mark_restored(self) -> None:
        """Forget what is known of a history of the store that was replaced."""
        self.revision, self.is_restored = None, True
        self.listener.store_restored(clock())

    async def watch(self) -> None:
        """Pass changes to the listener as they arrive."""
        assert self.revision is not None
        answers = self.store.watch(self.prefix, self.revision + 1)
        # An error in applying a change must not leave what the watch holds open.
        async with aclosing(answers):
            async for answer in answers:
                self.apply(answer)

    def apply(self, answer: WatchAnswer) -> None:
        """Pass what is new in an answer to the listener."""
        assert self.revision is not None
        news = self.store.known.select_news(answer.events)
        if news:
            with self.applying(answer.revision):
                self.listener.store_changed(news, clock())
        self.store.known.record(news, answer.revision)
        self.on_heard(clock() if answer.heard_at is None else answer.heard_at)
        self.revision = max(self.revision, answer.revision)
        self.applied.record_answer(self.revision, answer.source, clock())

    @contextmanager
    def applying(self, revision: int) -> Iterator[None]:
        """Record and log an error in applying an answer; the answer comes again."""
        try:
            yield
        except Exception as error:
            self.applied.record_error(error)
            log_event(
                "answer_not_applied",
                revision=revision,
                applied=self.applied.revision,
                age_s=self.applied.age_s(clock()),
                error=repr(error),
            )
            raise

    def mark_lost(self, error: StoreError) -> None:
        """Log the start of an outage and tell the listener, once per outage."""
        if not self.is_lost:
            self.is_lost = True
            log_event(
                "store_lost",
                message=error.message,
                revision=self.revision,
                age_s=self.applied.age_s(clock()),
            )
            since = self.store.unreached_since
            self.listener.store_lost(clock() if since is None else since)

    def mark_regained(self, now: float, was_away: bool) -> None:
        """Reset the backoff; after an outage, log its end and tell the listener."""
        self.backoff_s = MIN_BACKOFF_S
        if self.is_lost:
            self.is_lost = False
            log_event("store_regained", revision=self.revision, was_away=was_away)
            self.listener.store_regained(now, was_away)


def clock() -> float:
    """Return the event loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()


@asynccontextmanager
async def following_store(follower: StoreFollower) -> AsyncIterator[None]:
    """Run the follower while the context is open."""
    async with lasting_task("store-follower", follower.run):
        yield
