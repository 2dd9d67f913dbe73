"""What another instance passes on of the store, with large values read beside it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from typing import Any

from turmericusher.decisions.watch_sharing import PassedChange, PassedChanges
from turmericusher.errors import StoreError
from turmericusher.logs import log_event
from turmericusher.ports.change_peers import ChangePeerError
from turmericusher.ports.key_revisions import KeyRevisions
from turmericusher.ports.keyvalue import WatchAnswer, WatchEvent
from turmericusher.tasks.large_values import LargeValues


@dataclass(slots=True)
class ChangeStream:
    """The stream of another instance; `pending` brings the next of it."""

    stream: AsyncIterator[PassedChanges]
    pending: asyncio.Task[PassedChanges] = field(init=False)

    def __post_init__(self) -> None:
        """Wait for the first."""
        self.pending = self.start_receiving()

    def start_receiving(self) -> asyncio.Task[PassedChanges]:
        """Wait for what comes next."""

        async def receive() -> PassedChanges:
            try:
                return await anext(self.stream)
            except StopAsyncIteration:
                raise ChangePeerError("the stream has ended") from None

        return asyncio.create_task(receive())

    def take(self) -> PassedChanges:
        """Return what has come; raise `ChangePeerError` if the stream failed."""
        passed = self.pending.result()
        self.pending = self.start_receiving()
        return passed

    async def receive(self, wait_s: float) -> PassedChanges | None:
        """Return what comes within some seconds, else None."""
        # A stream whose next element is no longer awaited would be lost.
        await wait_for_any({self.pending}, wait_s=wait_s)
        return self.take() if self.pending.done() else None


@dataclass(slots=True)
class FollowedChanges:
    """The changes that the instance `source` passes on.

    All small ones are known up to `complete`, and all up to `told`. The instance was
    heard of at `heard_at`, a time of the event loop in seconds.
    """

    source: str
    stream: ChangeStream
    values: LargeValues
    known: KeyRevisions
    told: int
    complete: int
    heard_at: float

    def tasks(self) -> set[asyncio.Task[Any]]:
        """Return what to wait for."""
        return {self.stream.pending, *self.values.tasks.values()}

    def take(self, now: float) -> list[WatchAnswer]:
        """Return what has come; raise `ChangePeerError` if the stream failed."""
        answers = []
        if self.stream.pending.done():
            self.heard_at = now
            passed = self.stream.take()
            small, large = divide_news(passed, self.told, self.known)
            self.values.want_all(large)
            answers.append(self.answer(small, passed.revision, now - passed.age_s))
        for event in self.values.take():
            answers.append(self.answer((event,), self.complete, 0.0))
        return answers

    def answer(
        self, events: tuple[WatchEvent, ...], revision: int, heard_at: float
    ) -> WatchAnswer:
        """Return an answer that has all small changes up to a revision."""
        self.complete = max(self.complete, revision)
        self.told = self.values.complete(self.complete)
        return WatchAnswer(events, self.told, self.source, heard_at)

    def add(self, answer: WatchAnswer) -> WatchAnswer:
        """Return an answer of the store as one of what is known by all of this."""
        self.complete = max(self.complete, answer.revision)
        self.told = self.values.complete(self.complete)
        return replace(answer, revision=self.told)


def divide_news(
    passed: PassedChanges, after: int, known: KeyRevisions
) -> tuple[tuple[WatchEvent, ...], tuple[PassedChange, ...]]:
    """Return the changes after a revision that are not known.

    The first are complete; the values of the others must be read.
    """
    news = [
        each
        for each in passed.changes
        if each.revision > after and known.is_news(each.key, each.revision)
    ]
    small = [
        WatchEvent(each.key, each.value, each.revision)
        for each in news
        if not each.must_be_read
    ]
    return tuple(small), tuple(each for each in news if each.must_be_read)


@contextmanager
def as_peer_error() -> Iterator[None]:
    """Take an unexpected error of asking another instance for one of that instance.

    It must not end the watch, which would then take the store for answering.
    """
    try:
        yield
    except (ChangePeerError, StoreError):
        raise
    except Exception as error:
        log_event("peer_error", error=repr(error))
        raise ChangePeerError(f"unexpected error: {error!r}") from error


async def wait_for_any(
    *groups: Iterable[asyncio.Task[Any]], wait_s: float | None = None
) -> None:
    """Wait until one of some tasks is done, for some seconds at most."""
    tasks = {task for group in groups for task in group}
    timeout_s = max(0.0, wait_s) if wait_s is not None else None
    await asyncio.wait(tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
