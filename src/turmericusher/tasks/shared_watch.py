"""Watches the store, or learns of its changes from an instance that does.

Whether it learns from the store or from another instance, an instance sees the same
changes in the same order. What another one passes on is left at its first failure or
silence, and the store is asked from the last revision on.

The store may turn an instance away and serve the others, or be cut off from it alone.
Such an instance learns from one that has followed the store since before that, until
the store answers it again.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Callable,
    Iterator,
)
from contextlib import AsyncExitStack, aclosing, asynccontextmanager, contextmanager
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Protocol

from turmericusher.decisions.fleet import EntryInstance
from turmericusher.decisions.watch_pace import WatchPace
from turmericusher.decisions.watch_sharing import (
    MAX_OTHERS_ASKED,
    OTHERS_ASKED,
    PassedState,
    WatchSharing,
    make_passed_change,
)
from turmericusher.errors import (
    LargeAnswerError,
    StoreError,
    StoreHistoryLostError,
    StoreRestoredError,
)
from turmericusher.logs import log_event
from turmericusher.ports.change_peers import ChangePeerError, ChangePeers
from turmericusher.ports.key_revisions import KeyRevisions
from turmericusher.ports.keyvalue import (
    Snapshot,
    StoredValue,
    ToldState,
    WatchAnswer,
    WatchEvent,
)
from turmericusher.tasks.background import cancel_tasks
from turmericusher.tasks.change_feed import ChangeFeed
from turmericusher.tasks.followed_changes import (
    ChangeStream,
    FollowedChanges,
    as_peer_error,
    divide_news,
    wait_for_any,
)
from turmericusher.tasks.large_values import reading_values
from turmericusher.tasks.store_polls import StorePolls, WatchedParts, open_polls

MAX_SILENCES = 3
"""Silences in a row after which an instance is no longer followed."""

CHECK_INTERVAL_S = 0.5
"""Seconds between two calls to see whether the store answers again. A call that is not
answered does not delay the next one: entries that are missing then count as gone two
seconds after the store's return, and must no longer be used after three."""

RETURN_S = 2.0
"""Seconds after a return of the store within which lapsed entries are written again."""

RETURN_PAUSE_S = 0.1
"""Longest pause in seconds after changes meanwhile: an entry that is seen late counts
as gone."""

OTHERS_PAUSE_S = 2.0
"""Seconds until the other instances are asked again when none could help. In an outage
of the store itself all instances ask, and the few that watch for the others answer."""

LAST_CHANCE_S = 0.3
"""Seconds that the others have to answer once the store itself does."""


class PolledStore(Protocol):
    """A key-value service whose changes are asked for call by call.

    The errors are those of `KeyValueStore`.
    """

    @property
    def history(self) -> int | None:
        """What the revisions belong to; it differs after a return from a copy."""
        ...

    async def check(self) -> None:
        """Make a call of little cost."""
        ...

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of one key, or None if the key is absent."""
        ...

    async def get_prefix(self, prefix: str) -> Snapshot:
        """Read all keys that start with `prefix`."""
        ...

    async def read_part(self, prefix: str) -> Snapshot:
        """Read the keys of a prefix of what is watched."""
        ...

    async def poll(
        self, prefix: str, after: int, wait_s: float, max_bytes: int = ...
    ) -> WatchAnswer:
        """Return the changes after a revision as soon as there are any.

        Raises `LargeAnswerError` if the answer has more than `max_bytes`.
        """
        ...

    def check_history(self) -> None:
        """Raise `StoreRestoredError` if the store was restored since it was read."""
        ...

    def adopt_history(self, history: int | None) -> None:
        """Take what another instance read of a history for a complete read of it."""
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
    The store has not answered since `unreached_since`, a time of the event loop in
    seconds, None while it does; `on_reach` is called with each change of that, and
    `returned_at` is when it last answered again, and `adopted_at` when another instance
    last told all that it has. `known` has what was applied of each
    key, which `StoreFollower` records. `parts` tells which keys may have large values,
    and `readings` has those that are being read for other instances.
    """

    store: PolledStore
    pace: WatchPace
    sharing: WatchSharing
    random: random.Random = field(default_factory=random.Random)
    parts: WatchedParts | None = None
    known: KeyRevisions = field(default_factory=KeyRevisions)
    readings: dict[str, asyncio.Task[StoredValue | None]] = field(default_factory=dict)
    feed: ChangeFeed = field(default_factory=ChangeFeed)
    peers: asyncio.Future[ChangePeers] = field(default_factory=new_peers)
    source: str | None = None
    polls: int = 0
    unreached_since: float | None = None
    returned_at: float = -math.inf
    adopted_at: float = -math.inf
    on_reach: Callable[[bool], None] = lambda is_reached: None

    async def get_prefix(self, prefix: str) -> Snapshot:
        """Read all keys that start with `prefix` from the store.

        Those that follow this instance learn what was changed, if they still do.
        """
        history = self.store.history
        try:
            with self.reaching(0.0):
                snapshot = await self.store.get_prefix(prefix)
        except StoreRestoredError:
            self.feed.close()
            raise
        if self.feed.log.is_open and history == self.store.history:
            changes = self.known.changes_to(snapshot.values, snapshot.revision, prefix)
            self.feed.publish(changes, snapshot.revision)
        else:
            self.feed.close()
        return snapshot

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncGenerator[WatchAnswer, None]:
        """Yield the changes under `prefix` from `from_revision` on, in order.

        Those that came together are in one answer. It raises what asking the store
        raises, unless another instance helps. A failure of another instance is none.
        """
        after = from_revision - 1
        is_kept = False
        try:
            while True:
                source = self.next_source()
                if source is None:
                    answers = self.poll_store(prefix, after)
                else:
                    answers = self.follow(source, prefix, after)
                try:
                    async with aclosing(answers):
                        async for answer in answers:
                            yield answer
                            after = max(after, answer.revision)
                    continue
                except StoreHistoryLostError:
                    raise
                except StoreError as error:
                    answers = self.follow_others(after, error)
                async with aclosing(answers):
                    async for answer in answers:
                        yield answer
                        after = max(after, answer.revision)
        except StoreHistoryLostError as error:
            # What is passed on has no gap if all is read next.
            is_kept = not isinstance(error, StoreRestoredError)
            raise
        finally:
            if not is_kept:
                self.feed.close()

    def next_source(self) -> EntryInstance | None:
        """Return the instance to learn from, and log a change of it; None for none."""
        source = self.sharing.source(clock()) if self.has_peers() else None
        self.set_source(source.name if source is not None else None)
        return source

    def has_peers(self) -> bool:
        """Whether the connections to other instances are loaded."""
        return self.peers.done() and not self.peers.cancelled()

    def set_source(self, name: str | None) -> None:
        """Set where changes come from now, and log it if it is new."""
        if name != self.source:
            log_event("watch_source", source=name or "store")
            self.source = name

    # Learning from the store

    async def poll_store(
        self, prefix: str, after: int
    ) -> AsyncGenerator[WatchAnswer, None]:
        """Yield the store's answers until there is an instance to learn from."""
        self.feed.open_at(after, self.store.history)
        polls = StorePolls(self, prefix, self.known, self.parts, self.waits)
        async with open_polls(polls):
            polls.begin(after)
            while True:
                await wait_for_any(polls.tasks.values())
                for answer in polls.take(clock()):
                    news = self.known.select_news(answer.events)
                    self.feed.publish(news, answer.revision, answer.heard_at)
                    yield replace(answer, events=news)
                    if self.next_source() is not None:
                        self.feed.close()
                        return
                polls.join()

    def waits(self) -> tuple[float, float]:
        """Return how long a call waits for changes, and the pause after some."""
        if self.sharing.is_watcher:
            wait_s = pause_s = self.pace.watcher_s
        else:
            wait_s, pause_s = self.pace.wait_s, self.pace.pause_s
        if clock() - self.returned_at < RETURN_S:
            pause_s = min(pause_s, RETURN_PAUSE_S)
        return wait_s, pause_s

    async def poll(
        self, prefix: str, after: int, wait_s: float, max_bytes: int | None = None
    ) -> WatchAnswer:
        """Ask the store for changes, and count the call."""
        self.polls += 1
        with self.reaching(wait_s):
            if max_bytes is None:
                return await self.store.poll(prefix, after, wait_s)
            return await self.store.poll(prefix, after, wait_s, max_bytes)

    async def read_part(self, prefix: str) -> Snapshot:
        """Read the keys of a prefix from the store."""
        with self.reaching(0.0):
            return await self.store.read_part(prefix)

    @contextmanager
    def reaching(self, wait_s: float) -> Iterator[None]:
        """Record whether the store answers a call, which it may do after some seconds.

        While it does not, nothing is passed on.
        """
        due_at = clock() + wait_s
        try:
            yield
        except StoreHistoryLostError:
            raise
        except LargeAnswerError:
            self.mark_reached()
            raise
        except StoreError as error:
            self.feed.close()
            if self.unreached_since is None:
                self.unreached_since = min(clock(), due_at)
                log_event("store_unreached", message=error.message)
                self.on_reach(False)
            raise
        self.mark_reached()

    def mark_reached(self) -> None:
        """Record that the store answers."""
        if self.unreached_since is not None:
            self.unreached_since, self.returned_at = None, clock()
            self.on_reach(True)

    # Learning from the instance that watches for this one

    async def follow(
        self, source: EntryInstance, prefix: str, after: int
    ) -> AsyncGenerator[WatchAnswer, None]:
        """Yield what another instance passes on, until it fails or is not to be used.

        After a silence or a failure the store itself is asked at once, since changes
        may wait there for that long. A watcher that reads a large value over a slow
        link is silent once.
        """
        self.feed.close()
        polls = StorePolls(self, prefix, self.known, self.parts)
        told, silences, noticed_at = after, 0, clock()
        try:
            async with self.following(source, after) as followed, open_polls(polls):
                while self.is_source(source):
                    await wait_for_any(
                        followed.tasks(),
                        polls.tasks.values(),
                        wait_s=noticed_at + self.pace.silence_s - clock(),
                    )
                    now, heard_at = clock(), followed.heard_at
                    self.store.check_history()
                    for answer in followed.take(now):
                        told = answer.revision
                        yield answer
                    asks_store = followed.values.take_failure()
                    if followed.heard_at > heard_at:
                        silences, noticed_at = 0, now
                    elif now >= noticed_at + self.pace.silence_s:
                        silences, noticed_at, asks_store = silences + 1, now, True
                        if silences == MAX_SILENCES:
                            raise ChangePeerError(f"silent {MAX_SILENCES} times")
                    if asks_store and not polls.tasks:
                        polls.skips_large = bool(followed.values.unread)
                        polls.begin(told)
                    for answer in polls.take(now):
                        told = followed.add(answer).revision
                        yield replace(answer, revision=told)
            return
        except ChangePeerError as error:
            self.log_left(source, error)
            self.sharing.record_failure(source.name, clock())
        async with aclosing(self.poll_once(prefix, told)) as answers:
            async for answer in answers:
                yield answer

    async def poll_once(
        self, prefix: str, after: int
    ) -> AsyncGenerator[WatchAnswer, None]:
        """Yield what the store tells at once of the changes after a revision.

        Large values are left to the next instance that is followed, or to the store.
        """
        polls = StorePolls(self, prefix, self.known, self.parts, skips_large=True)
        async with open_polls(polls):
            polls.begin(after)
            while polls.tasks:
                await wait_for_any(polls.tasks.values())
                for answer in polls.take(clock()):
                    yield answer

    def log_left(self, source: EntryInstance, error: ChangePeerError) -> None:
        """Log why nothing more is learned from an instance."""
        log_event("watcher_left", instance=source.name, error=repr(error))

    @asynccontextmanager
    async def receiving(
        self, source: EntryInstance, after: int
    ) -> AsyncIterator[ChangeStream]:
        """Yield the stream of what another instance passes on after a revision.

        Raises `ChangePeerError` for any error of that instance.
        """
        peers = self.peers.result()
        opening = peers.follow(source.peer_address, after, self.store.history)
        with as_peer_error():
            async with AsyncExitStack() as stack:
                try:
                    async with asyncio.timeout(self.pace.silence_s):
                        opened = await stack.enter_async_context(opening)
                except TimeoutError as error:
                    raise ChangePeerError("no connection in time") from error
                stream = ChangeStream(opened)
                try:
                    yield stream
                finally:
                    await cancel_tasks({stream.pending})

    @asynccontextmanager
    async def following(
        self, source: EntryInstance, after: int
    ) -> AsyncIterator[FollowedChanges]:
        """Yield what another instance passes on, with large values that are read."""
        read = partial(self.read_value, source)
        async with (
            self.receiving(source, after) as stream,
            reading_values(read, self.random) as values,
        ):
            yield FollowedChanges(
                source.name, stream, values, self.known, after, after, clock()
            )

    def is_source(self, instance: EntryInstance) -> bool:
        """Whether this incarnation of an instance is still the one to learn from."""
        source = self.sharing.source(clock())
        return source is not None and (
            (source.name, source.incarnation) == (instance.name, instance.incarnation)
        )

    async def read_for_other(self, key: str, revision: int) -> StoredValue | None:
        """Return the value that a key has had since a revision, for another instance.

        One that is known here is not read again, and several that want the same wait
        for one call. Raises as `KeyValueStore.get` does.
        """
        known = self.known.large_value(key)
        if known is not None and known.revision >= revision > 0:
            return known
        while (reading := self.readings.get(key)) is not None and not reading.done():
            stored = await asyncio.shield(reading)
            if stored is not None and stored.revision >= revision > 0:
                return stored
        reading = self.readings[key] = asyncio.create_task(self.store.get(key))
        return await asyncio.shield(reading)

    async def read_value(
        self, source: EntryInstance, key: str, revision: int
    ) -> WatchEvent:
        """Read the value that a key has had since a revision.

        It is read by another instance while the store does not answer this one. Raises
        `ChangePeerError`.
        """
        started_at = clock()
        if self.unreached_since is not None:
            peers = self.peers.result()
            value = await peers.read(source.peer_address, key, revision)
            log_value_read(key, value, source.name, started_at)
            return WatchEvent(key, value, revision)
        try:
            stored = await self.store.get(key)
        except StoreError as error:
            log_event("changed_value_unread", key=key, error=error.message)
            raise ChangePeerError("a value could not be read") from error
        value = stored.value if stored is not None else None
        log_value_read(key, value, None, started_at)
        read_at = stored.revision if stored is not None else revision
        return WatchEvent(key, value, max(revision, read_at))

    # Learning from any other instance while the store does not answer

    async def follow_others(
        self, after: int, error: StoreError
    ) -> AsyncGenerator[WatchAnswer, None]:
        """Yield what other instances pass on until the store answers again.

        Raises `error` if none of them has followed the store since before it did not.
        """
        store_answers = asyncio.create_task(self.wait_for_store())
        try:
            while not store_answers.done():
                asking = asyncio.create_task(self.ask_others(after, MAX_OTHERS_ASKED))
                try:
                    await asyncio.wait(
                        {asking, store_answers}, return_when=asyncio.FIRST_COMPLETED
                    )
                    if not asking.done():
                        return
                    found = asking.result()
                finally:
                    await cancel_tasks({asking})
                if found is None:
                    raise error
                source, answer = found
                self.set_source(source.name)
                yield answer
                after = max(after, answer.revision)
                async with aclosing(
                    self.follow_until(store_answers, source, after)
                ) as answers:
                    async for answer in answers:
                        yield answer
                        after = max(after, answer.revision)
        finally:
            await cancel_tasks({store_answers})

    async def follow_until(
        self, ended: asyncio.Task[None], source: EntryInstance, after: int
    ) -> AsyncGenerator[WatchAnswer, None]:
        """Yield what an instance passes on until a task has ended.

        It ends earlier if the instance fails, or is silent for longer than one may be
        that watches for itself.
        """
        max_silence_s = self.pace.wait_s + self.pace.silence_s
        try:
            async with self.following(source, after) as followed:
                while not ended.done() and clock() - followed.heard_at < max_silence_s:
                    await wait_for_any(followed.tasks(), wait_s=CHECK_INTERVAL_S)
                    self.store.check_history()
                    for answer in followed.take(clock()):
                        yield answer
                    if followed.values.take_failure():
                        raise ChangePeerError("a value could not be read")
        except ChangePeerError as error:
            self.log_left(source, error)

    async def regain(self, after: int | None) -> WatchAnswer | ToldState | None:
        """Wait until what the store has can be learned again.

        Returns the changes after a revision from an instance that has followed the
        store all along, or all that the store has if there can be no such changes; None
        if the store answers and there is no such instance.
        """
        store_answers = asyncio.create_task(self.wait_for_store())
        asking = asyncio.create_task(self.ask_others_repeatedly(after))
        try:
            await asyncio.wait(
                {store_answers, asking}, return_when=asyncio.FIRST_COMPLETED
            )
            if asking.done():
                return asking.result()
            if after is None:
                return None
            # Those that are being asked may not be reached since before the store was.
            try:
                async with asyncio.timeout(LAST_CHANCE_S):
                    found = await self.ask_others(after, OTHERS_ASKED)
            except TimeoutError:
                return None
            return found[1] if found is not None else None
        finally:
            await cancel_tasks({store_answers, asking})

    @property
    def history(self) -> int | None:
        """What the revisions of the last complete read belong to, if it was told."""
        return self.store.history

    def adopt_history(self, history: int | None) -> None:
        """Go on from what another instance has told of a history of the store."""
        self.store.adopt_history(history)
        self.adopted_at = clock()

    async def wait_for_store(self) -> None:
        """Return once the store answers; a call is made every `CHECK_INTERVAL_S`."""
        calls: set[asyncio.Task[bool]] = set()
        try:
            while True:
                calls.add(asyncio.create_task(self.is_store_answering()))
                until = clock() + CHECK_INTERVAL_S * self.random.uniform(0.5, 1.0)
                while calls and clock() < until:
                    done, calls = await asyncio.wait(
                        calls,
                        timeout=until - clock(),
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                    if any(each.result() for each in done):
                        return
                await asyncio.sleep(max(0.0, until - clock()))
        finally:
            await cancel_tasks(calls)

    async def is_store_answering(self) -> bool:
        """Whether the store answers a call now."""
        try:
            await self.store.check()
        except StoreError:
            return False
        return True

    async def ask_others_repeatedly(self, after: int | None) -> WatchAnswer | ToldState:
        """Return the changes after a revision once another instance tells them.

        If none can, return all that the store has.
        """
        while True:
            if after is not None:
                found = await self.ask_others(after, OTHERS_ASKED)
                if found is not None:
                    return found[1]
            state = await self.ask_state()
            if state is not None:
                return state
            await asyncio.sleep(OTHERS_PAUSE_S * self.random.uniform(0.5, 1.0))

    async def ask_state(self) -> ToldState | None:
        """Return all that the store has from the first instance that tells it.

        One of the same history must have followed it since before this one did not:
        entries may have lapsed while the store was away.
        """
        others = self.sharing.others()[:OTHERS_ASKED] if self.has_peers() else ()
        for each in others:
            try:
                with as_peer_error():
                    state = await self.peers.result().state(each.peer_address)
                is_other = state.history != self.store.history
                if is_other or self.has_followed(state.followed_s):
                    return await self.read_state(each, state)
                log_unhelpful(each, None, "was without the store")
            except ChangePeerError as error:
                log_unhelpful(each, None, repr(error))
        return None

    async def read_state(self, source: EntryInstance, state: PassedState) -> ToldState:
        """Return what an instance tells of the store, with large values that are read.

        Raises `ChangePeerError`.
        """
        values = []
        for each in state.changes:
            value: bytes | None = each.value
            if each.must_be_read:
                event = await self.read_value(source, each.key, each.revision)
                value = event.value
            if value is not None:
                values.append(StoredValue(each.key, value, each.revision))
        snapshot = Snapshot(tuple(values), state.revision)
        return ToldState(snapshot, state.history, source.name)

    def state(self) -> PassedState | None:
        """Return all that the store has, for another instance; None if not known."""
        log = self.feed.log
        if not log.is_open:
            return None
        changes = [
            make_passed_change(key, each.revision, each.value)
            for key, each in self.known.live.items()
        ]
        followed_s = clock() - self.feed.opened_at
        return PassedState(tuple(changes), log.revision, log.history, followed_s)

    async def ask_others(
        self, after: int, most: int
    ) -> tuple[EntryInstance, WatchAnswer] | None:
        """Return the changes after a revision from the first instance that tells them.

        Some are asked at once, and some more if none of them can, `most` in all.
        """
        others = self.sharing.others()[:most] if self.has_peers() else ()
        for first in range(0, len(others), OTHERS_ASKED):
            asked = {
                asyncio.create_task(self.ask(each, after))
                for each in others[first : first + OTHERS_ASKED]
            }
            try:
                for answered in asyncio.as_completed(asked):
                    found = await answered
                    if found is not None:
                        return found
            finally:
                await cancel_tasks(asked)
        return None

    async def ask(
        self, source: EntryInstance, after: int
    ) -> tuple[EntryInstance, WatchAnswer] | None:
        """Return what an instance knows of the changes after a revision.

        None if it was itself without the store since this instance is.
        """
        try:
            async with self.receiving(source, after) as stream:
                passed = await stream.receive(self.pace.silence_s)
                self.store.check_history()
                if passed is None or not self.has_followed(passed.followed_s):
                    reason = "silent" if passed is None else "was without the store"
                    log_unhelpful(source, after, reason)
                    return None
                # Large values are told again when the instance is followed.
                events, large = divide_news(passed, after, self.known)
                told = min([passed.revision, *(each.revision - 1 for each in large)])
                return source, WatchAnswer(events, max(after, told), source.name)
        except ChangePeerError as error:
            log_unhelpful(source, after, repr(error))
            return None

    def has_followed(self, followed_s: float) -> bool:
        """Whether an instance has followed the store since before this one did not.

        It has done so for some seconds. What was told of all keys counts as well.
        """
        if self.unreached_since is None:
            return True
        since = max(self.unreached_since, self.adopted_at)
        return clock() - followed_s <= since


def log_value_read(
    key: str, value: bytes | None, source: str | None, started_at: float
) -> None:
    """Log a large value that was read, from the store or through an instance."""
    log_event(
        "changed_value_read",
        key=key,
        bytes=len(value or b""),
        source=source or "store",
        took_s=clock() - started_at,
    )


def log_unhelpful(source: EntryInstance, after: int | None, reason: str) -> None:
    """Log that an instance does not tell the changes after a revision, or the state."""
    log_event("changes_not_told", instance=source.name, after=after, reason=reason)


def clock() -> float:
    """Return the event loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()
