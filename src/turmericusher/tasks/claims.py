"""Routes claim commands to the owners of pages, and commits outcomes in background."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Protocol

from turmericusher.decisions.claim_pages import (
    FLOOR_KEY,
)
from turmericusher.decisions.claims import (
    ClaimCommand,
    ClaimReply,
)
from turmericusher.decisions.idempotency_keys import (
    MS_PER_S,
    ClaimLayout,
    KeyAgeLimits,
    PageName,
)
from turmericusher.decisions.write_pacing import WritePacer, new_write_pacer
from turmericusher.errors import (
    StoreError,
    TurmericusherError,
)
from turmericusher.ports.keyvalue import KeyValueStore
from turmericusher.tasks.claim_pages import PageWriter

WRITES_PER_S = 320.0
"""Writes a second that the claims of all instances may make, split over the shards."""

WRITE_BURST = 4.0
"""Writes that one shard may make at once after a pause."""
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5
BACKGROUND_COMMIT_TIMEOUT_S = 60.0
"""Seconds after which a release or an outcome that cannot be committed is dropped."""
STOP_TIMEOUT_S = 5.0
"""Seconds that a stopping instance waits for its background commits."""
MAX_WRITERS = 512
"""Page writers from which on idle ones are dropped."""
ATTEMPT_ID_BITS = 96


class PeerUnavailableError(Exception):
    """The peer that owns a page did not reply; the command may have taken effect."""


class PeerStoreUnavailableError(PeerUnavailableError):
    """The peer is up, but failed to commit in time; the command may yet take effect."""


class ClaimRouter(Protocol):
    """Finds the instance that writes a page, and submits commands to it."""

    def owner_address(self, name: PageName) -> str | None:
        """Return the owner's peer address, or None when this instance owns the page."""
        ...

    async def submit(
        self, address: str, name: PageName, command: ClaimCommand
    ) -> ClaimReply:
        """Have a peer commit a command; raise `PeerUnavailableError` on failure."""
        ...

    def suspect(self, address: str) -> None:
        """Choose other owners instead of this peer for a while."""
        ...


class LocalRouter:
    """A router without peers: this instance writes every page itself."""

    def owner_address(self, name: PageName) -> str | None:
        """Return None: this instance writes every page."""
        return None

    async def submit(
        self, address: str, name: PageName, command: ClaimCommand
    ) -> ClaimReply:
        """Raise `PeerUnavailableError`, because there are no peers."""
        raise PeerUnavailableError(f"no peer at {address!r}")

    def suspect(self, address: str) -> None:
        """Do nothing, because there are no peers."""


@dataclass(slots=True)
class Claims:
    """Claims as one instance uses them; each page's commands go through its owner.

    `wall_clock` returns Unix time in seconds. `writers` are those of the pages that
    this instance writes, and `pacers` limit the write rate of each shard.
    """

    store: KeyValueStore
    ages: KeyAgeLimits
    wall_clock: Callable[[], float]
    random: random.Random
    prefix: str = ""
    layout: ClaimLayout = field(default_factory=ClaimLayout)
    router: ClaimRouter = field(default_factory=LocalRouter)
    writes_per_s: float = WRITES_PER_S
    writers: dict[PageName, PageWriter] = field(default_factory=dict)
    pacers: dict[int, WritePacer] = field(default_factory=dict)
    background_commits: set[asyncio.Task[None]] = field(default_factory=set)

    async def submit(self, name: PageName, command: ClaimCommand) -> ClaimReply:
        """Have a command committed by the page's owner and return the reply.

        The command carries the attempt's identifier, so it does no harm when more than
        one owner commits it. When an owner does not answer, the next one in rank takes
        over, instead of each instance writing by itself: after an outage of the store
        hundreds of writers would conflict with each other.
        """
        backoff_s = INITIAL_BACKOFF_S
        while True:
            address = self.router.owner_address(name)
            if address is None:
                return await self.submit_locally(name, command)
            try:
                return await self.router.submit(address, name, command)
            except PeerStoreUnavailableError:
                if await self.can_reach_store():
                    self.router.suspect(address)
                else:
                    await asyncio.sleep(backoff_s)
                    backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
            except PeerUnavailableError:
                self.router.suspect(address)

    def is_store_failing(self, name: PageName) -> bool:
        """Whether the last commit to a page failed because of the store."""
        writer = self.writers.get(name)
        return writer is not None and writer.is_store_failing

    async def can_reach_store(self) -> bool:
        """Whether this instance can read from the store."""
        try:
            await self.store.get(self.prefix + FLOOR_KEY)
        except StoreError:
            return False
        return True

    async def submit_locally(self, name: PageName, command: ClaimCommand) -> ClaimReply:
        """Commit a command by this instance's own write to the store."""
        return await self.writer_for_page(name).submit(command)

    def writer_for_page(self, name: PageName) -> PageWriter:
        """Return the page's writer, creating it if there is none."""
        writer = self.writers.get(name)
        if writer is None:
            self.drop_idle_writers()
            clock = asyncio.get_running_loop().time
            pacer = self.pacer_for_shard(name.shard, clock())
            writer = PageWriter(name, self.prefix, self.store, pacer, clock)
            self.writers[name] = writer
        return writer

    def pacer_for_shard(self, shard: int, now: float) -> WritePacer:
        """Return the pacer that all pages of a shard share."""
        if shard not in self.pacers:
            rate = self.writes_per_s / self.layout.shards
            self.pacers[shard] = new_write_pacer(rate, WRITE_BURST, now)
        return self.pacers[shard]

    def drop_idle_writers(self) -> None:
        """At the limit, drop the oldest idle writers and their cached pages."""
        if len(self.writers) < MAX_WRITERS:
            return
        idle = [name for name, writer in self.writers.items() if writer.is_idle()]
        for name in idle[: MAX_WRITERS // 2]:
            del self.writers[name]

    def commit_in_background(self, name: PageName, command: ClaimCommand) -> None:
        """Start to commit a release or an outcome in the background."""
        task = asyncio.create_task(self.submit_with_timeout(name, command))
        self.background_commits.add(task)
        task.add_done_callback(self.background_commits.discard)

    async def submit_with_timeout(self, name: PageName, command: ClaimCommand) -> None:
        """Submit a command; drop it on an error or after the timeout.

        If it is lost, a later request with the key gets the verdict MAY_HAVE_RUN
        instead of a definite one, but the call still runs at most once.
        """
        try:
            async with asyncio.timeout(BACKGROUND_COMMIT_TIMEOUT_S):
                await self.submit(name, command)
        except (TimeoutError, TurmericusherError):
            return

    def now_ms(self) -> int:
        """Return the current Unix time in milliseconds."""
        return int(self.wall_clock() * MS_PER_S)

    def attempt_id(self) -> str:
        """Return a new, random attempt identifier."""
        return f"{self.random.getrandbits(ATTEMPT_ID_BITS):024x}"


@asynccontextmanager
async def running_claims(claims: Claims) -> AsyncIterator[Claims]:
    """Yield the claims; on exit, wait for the commits in the background."""
    try:
        yield claims
    finally:
        await wait_for_commits(claims.background_commits)


async def wait_for_commits(commits: set[asyncio.Task[None]]) -> None:
    """Wait up to `STOP_TIMEOUT_S` for background commits.

    A lost commit only makes the verdict of a later request less definite.
    """
    if commits:
        await asyncio.wait(set(commits), timeout=STOP_TIMEOUT_S)
