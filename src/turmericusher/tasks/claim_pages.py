"""The writer of one claim page: it commits the page's commands in batches.

Commands that arrive while a write is in flight, or while the shard's write rate is
exhausted, wait and go into the next write together.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from turmericusher.decisions.claim_commits import (
    CommitAction,
    Finished,
    PageCommit,
    ReadFloor,
    ReadPage,
    SwapPage,
)
from turmericusher.decisions.claim_pages import (
    FLOOR_KEY,
    StoredPage,
    decode_floor,
    decode_page,
    page_key,
)
from turmericusher.decisions.claims import ClaimCommand, ClaimReply, RecordOutcome
from turmericusher.decisions.idempotency_keys import PageName
from turmericusher.decisions.write_pacing import WritePacer
from turmericusher.errors import (
    ErrorCode,
    RequestRefusedError,
    StoreError,
    StoreOutcomeUnknownError,
)
from turmericusher.ports.keyvalue import KeyValueStore, StoredValue

CACHE_TTL_S = 0.2
"""Seconds for which replies that change nothing are answered from the cached page."""
MAX_OUTCOME_DELAY_S = 0.1
"""Longest time in seconds that outcomes wait for other commands to share a write."""
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
MAX_PENDING_COMMANDS = 5_000
"""Commands waiting for one page above which further ones are refused."""


@dataclass(slots=True)
class PendingCommand:
    """A command waiting for its reply; the submitter cancels `reply` to abandon it."""

    command: ClaimCommand
    reply: asyncio.Future[ClaimReply]

    @property
    def has_waiter(self) -> bool:
        """Whether the submitter still waits for the reply."""
        return not self.reply.done()

    @property
    def can_be_delayed(self) -> bool:
        """Whether the command may wait for others to share its write.

        Outcomes may: they are committed in the background, and no caller waits for it.
        """
        return isinstance(self.command, RecordOutcome)


@dataclass(slots=True)
class PageWriter:
    """Commits the commands of one claim page, one batch at a time.

    `cached` is the page after the last commit, `cached_at` the time of that commit on
    `clock`. `urgent` is set when a pending command must not wait for others. `task`
    commits the batches while commands are pending.
    """

    name: PageName
    prefix: str
    store: KeyValueStore
    pacer: WritePacer
    clock: Callable[[], float]
    pending: list[PendingCommand] = field(default_factory=list)
    cached: StoredPage | None = None
    cached_at: float = 0.0
    is_store_failing: bool = False
    urgent: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None

    async def submit(self, command: ClaimCommand) -> ClaimReply:
        """Queue a command and return its reply, waiting out any outage of the store.

        When the caller is cancelled while it waits, the command may or may not take
        effect. Raises `RequestRefusedError` when too many commands are waiting.
        """
        if len(self.pending) >= MAX_PENDING_COMMANDS:
            raise RequestRefusedError(
                ErrorCode.OVERLOADED,
                f"page {page_key(self.name)!r} has {len(self.pending)} commands "
                "waiting; try again later",
                retry_after_s=1.0,
            )
        waiting = PendingCommand(command, asyncio.get_running_loop().create_future())
        self.pending.append(waiting)
        if not waiting.can_be_delayed:
            self.urgent.set()
        if self.is_idle():
            self.task = asyncio.create_task(self.run())
        return await waiting.reply

    def is_idle(self) -> bool:
        """Whether no batch is being committed."""
        return self.task is None or self.task.done()

    async def run(self) -> None:
        """Commit batches until no command is pending, backing off on store errors."""
        backoff = INITIAL_BACKOFF_S
        while self.pending:
            await self.delay_outcomes()
            await asyncio.sleep(self.pacer.delay(self.clock()))
            batch = self.pop_batch()
            if not batch:
                continue
            try:
                await self.commit(batch)
                backoff = INITIAL_BACKOFF_S
                self.is_store_failing = False
            except StoreError:
                self.is_store_failing = True
                self.pending[:0] = [waiting for waiting in batch if waiting.has_waiter]
                await asyncio.sleep(backoff)
                backoff = min(MAX_BACKOFF_S, 2 * backoff)

    async def delay_outcomes(self) -> None:
        """Wait up to `MAX_OUTCOME_DELAY_S` while only outcomes are pending.

        Commands that arrive in that time share the write.
        """
        if all(waiting.can_be_delayed for waiting in self.pending):
            try:
                async with asyncio.timeout(MAX_OUTCOME_DELAY_S):
                    await self.urgent.wait()
            except TimeoutError:
                return

    def pop_batch(self) -> list[PendingCommand]:
        """Remove and return the pending commands whose submitters still wait."""
        batch = [waiting for waiting in self.pending if waiting.has_waiter]
        self.pending = []
        self.urgent.clear()
        return batch

    async def commit(self, batch: list[PendingCommand]) -> None:
        """Apply one batch to the stored page and deliver the replies."""
        commit = PageCommit(self.name.window, [waiting.command for waiting in batch])
        is_fresh = self.clock() - self.cached_at <= CACHE_TTL_S
        action = commit.begin(self.cached, is_fresh)
        while not isinstance(action, Finished):
            action = await self.perform(commit, action)
        self.update_cache(action)
        for waiting, reply in zip(batch, action.replies, strict=True):
            if waiting.has_waiter:
                waiting.reply.set_result(reply)
        if action.is_below_floor:
            await self.delete_expired_page(action.stored)

    async def perform(self, commit: PageCommit, action: CommitAction) -> CommitAction:
        """Make one store call and return the commit's next action."""
        match action:
            case ReadPage():
                return commit.on_page_read(await self.read_page())
            case SwapPage():
                return await self.swap_page(commit, action)
            case ReadFloor():
                stored = await self.store.get(self.prefix + FLOOR_KEY)
                return commit.on_floor_read(
                    decode_floor(stored.value) if stored else None
                )
        raise TypeError(f"action={action!r} is not an action of a commit")

    async def read_page(self) -> StoredPage | None:
        """Read the page from the store; return None when it does not exist."""
        stored = await self.store.get(self.prefix + page_key(self.name))
        return decode_stored_page(stored)

    async def swap_page(self, commit: PageCommit, action: SwapPage) -> CommitAction:
        """Write the page; when the reply is lost, have the page read back."""
        self.pacer.record_write(self.clock())
        key = self.prefix + page_key(self.name)
        try:
            result = await self.store.compare_and_swap(
                key, action.expected_revision, action.value
            )
        except StoreOutcomeUnknownError:
            return ReadPage()
        if result.succeeded:
            return commit.on_page_written(result.revision)
        return commit.on_page_read(decode_stored_page(result.current))

    def update_cache(self, finished: Finished) -> None:
        """Cache the committed page for the next batch."""
        self.cached = None if finished.is_below_floor else finished.stored
        self.cached_at = self.clock()

    async def delete_expired_page(self, stored: StoredPage) -> None:
        """Delete a page that was created again below the floor.

        A failure is ignored, because no claim in such a page is ever granted.
        """
        key = self.prefix + page_key(self.name)
        try:
            await self.store.compare_and_swap(key, stored.revision, None)
        except StoreError:
            return


def decode_stored_page(stored: StoredValue | None) -> StoredPage | None:
    """Decode a stored value as a page with its revision; None for a missing value."""
    if stored is None:
        return None
    return StoredPage(decode_page(stored.value), stored.revision)
