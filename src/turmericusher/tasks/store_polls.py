"""Asks the store for changes, so that small ones do not wait for large values.

One call asks for all changes at first. An answer that would take long on this link is
not read: from then on there is a call for each part of the keys, each with a revision
of its own, until large values are gone. Of the part with large values, one state is
read in place of several versions.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Protocol

from turmericusher.decisions.watch_pace import ENCODED_SHARE
from turmericusher.errors import LargeAnswerError
from turmericusher.logs import log_event
from turmericusher.ports.key_revisions import KeyRevisions
from turmericusher.ports.keyvalue import Snapshot, WatchAnswer
from turmericusher.tasks.background import cancel_tasks

VERSIONS_READ = 1.5
"""Versions of all large values that an answer may hold; above this, the newest alone
are less to read."""


@dataclass(frozen=True, slots=True)
class WatchedParts:
    """The prefixes that are asked for apart while there are large values.

    `large` is that of the keys which may have them. An answer with more than
    `large_answer_bytes` keeps small changes waiting.
    """

    small: tuple[str, ...]
    large: str
    large_answer_bytes: int


class PartsStore(Protocol):
    """The calls of a store that are needed, with the errors of a `KeyValueStore`."""

    async def poll(
        self, prefix: str, after: int, wait_s: float, max_bytes: int | None = None
    ) -> WatchAnswer:
        """Return the changes after a revision as soon as there are any.

        Raises `LargeAnswerError` if the answer has more than `max_bytes`.
        """
        ...

    async def read_part(self, prefix: str) -> Snapshot:
        """Read the keys of a prefix of what is watched."""
        ...


@dataclass(slots=True)
class StorePolls:
    """The calls of one watch of `prefix`.

    `waits` returns the seconds that a call waits for changes, and the pause after some;
    each part is asked once, without waiting, if it is None. `progress` and `heard_at`
    have for each part the revision up to which its changes are known, and when it was
    heard of; a part that was not has 0. `unanswered` are those of which nothing was
    heard since they are asked for apart. `skips_large`: large values are left to
    others, and not asked for when the parts are.
    """

    store: PartsStore
    prefix: str
    known: KeyRevisions
    parts: WatchedParts | None = None
    waits: Callable[[], tuple[float, float]] | None = None
    skips_large: bool = False
    progress: dict[str, int] = field(default_factory=dict)
    heard_at: dict[str, float] = field(default_factory=dict)
    unanswered: set[str] = field(default_factory=set)
    tasks: dict[str, asyncio.Task[WatchAnswer]] = field(default_factory=dict)
    ending: set[asyncio.Task[WatchAnswer]] = field(default_factory=set)

    def begin(self, after: int) -> None:
        """Ask for the changes after a revision."""
        if self.has_large_values():
            self.begin_parts(after)
        else:
            self.begin_calls((self.prefix,), after)

    def begin_parts(self, after: int) -> None:
        """Ask for the changes of each part after a revision."""
        assert self.parts is not None
        self.begin_calls((*self.parts.small, self.parts.large), after)

    def begin_calls(self, prefixes: tuple[str, ...], after: int) -> None:
        """Ask for the changes under each of some prefixes, and end other calls."""
        for task in self.tasks.values():
            task.cancel()
            self.ending.add(task)
        heard_at = min(self.heard_at.values(), default=0.0)
        self.progress = dict.fromkeys(prefixes, after)
        self.heard_at = dict.fromkeys(prefixes, heard_at)
        self.unanswered = set(prefixes)
        skipped = self.parts.large if self.parts and self.skips_large else None
        asked = [each for each in prefixes if each != skipped]
        self.tasks = {each: self.start(each, 0.0) for each in asked}

    def start(self, part: str, pause_s: float) -> asyncio.Task[WatchAnswer]:
        """Start the next call for a part."""
        return asyncio.create_task(self.ask(part, self.progress[part], pause_s))

    async def ask(self, part: str, after: int, pause_s: float) -> WatchAnswer:
        """Return the next answer for a part, after a pause."""
        if pause_s:
            await asyncio.sleep(pause_s)
        wait_s, _ = self.waits() if self.waits is not None else (0.0, 0.0)
        if self.parts is None or part in self.parts.small:
            return await self.store.poll(part, after, wait_s)
        if part == self.prefix:
            limit = self.parts.large_answer_bytes
            return await self.store.poll(part, after, wait_s, limit)
        limit = max(
            self.parts.large_answer_bytes,
            int(VERSIONS_READ * ENCODED_SHARE * self.known.large_bytes(part)),
        )
        try:
            return await self.store.poll(part, after, wait_s, limit)
        except LargeAnswerError as error:
            log_event("state_read", prefix=part, after=after, reason=error.message)
            snapshot = await self.store.read_part(part)
            events = self.known.changes_to(snapshot.values, snapshot.revision, part)
            return WatchAnswer(events, snapshot.revision)

    def take(self, now: float) -> list[WatchAnswer]:
        """Return the answers that have come, and ask on; raise what a call raised."""
        answers = []
        for part, task in list(self.tasks.items()):
            if self.tasks.get(part) is not task or not task.done():
                continue
            del self.tasks[part]
            try:
                answer = task.result()
            except LargeAnswerError as error:
                log_event("parts_watched", after=self.complete, reason=error.message)
                self.begin_parts(self.complete)
                continue
            self.progress[part] = max(self.progress[part], answer.revision)
            self.heard_at[part] = now
            self.unanswered.discard(part)
            heard_at = min(self.heard_at.values())
            answers.append(replace(answer, revision=self.complete, heard_at=heard_at))
            if self.waits is not None:
                _, pause_s = self.waits()
                self.tasks[part] = self.start(part, pause_s if answer.events else 0.0)
        return answers

    def join(self) -> None:
        """Ask for all changes by one call again once there are no large values."""
        is_apart = len(self.progress) > 1 and not self.unanswered
        if is_apart and not self.has_large_values():
            log_event("parts_joined", after=self.complete)
            self.begin_calls((self.prefix,), self.complete)

    @property
    def complete(self) -> int:
        """The revision up to which all changes are known."""
        return min(self.progress.values())

    def has_large_values(self) -> bool:
        """Whether an answer with the large values would keep others waiting."""
        if self.parts is None:
            return False
        size = ENCODED_SHARE * self.known.large_bytes(self.parts.large)
        return size > self.parts.large_answer_bytes


@asynccontextmanager
async def open_polls(polls: StorePolls) -> AsyncIterator[StorePolls]:
    """Yield the calls; end those in progress on exit."""
    try:
        yield polls
    finally:
        await cancel_tasks([*polls.tasks.values(), *polls.ending])
