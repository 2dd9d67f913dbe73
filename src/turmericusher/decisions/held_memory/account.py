"""One account of what a process holds for its clients and of what upstreams send it.

Each connection has a `Holding`. A request that is not yet complete may wait or be
closed for want of memory: it has certainly not run. A complete one never is. All times
are in seconds of the caller's clock, and all sizes in bytes.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from dataclasses import dataclass, field

from turmericusher.decisions.held_memory.limits import SMALL_BYTES, HeldLimits

FREE_BYTES = 8_192
"""Size up to which a body counts as part of its connection."""

STALLED_S = 2.0
"""Seconds in which an incomplete request must receive `PROGRESS_BYTES` while others
wait for memory."""

PROGRESS_BYTES = 16_384

UNREAD_S = 1.0
"""Seconds for which an answer that is not read stays while others need the memory."""

WAIT_LIMIT_S = 3.0
"""Seconds for which an incomplete request waits for memory before it is refused."""


class Phase(enum.Enum):
    """What a connection's request does.

    - `IDLE`: there is none.
    - `READING`: it is incomplete, and has not run.
    - `RUNNING`: it is complete, and may have been passed on.
    """

    IDLE = "idle"
    READING = "reading"
    RUNNING = "running"


class Reason(enum.StrEnum):
    """Why a connection is closed."""

    CONNECTIONS = "connections"
    MEMORY = "memory"
    STALLED = "stalled"
    WAITED = "waited"
    UNREAD = "unread"


class Grant(enum.Enum):
    """Whether a request may take the memory that it asks for."""

    GRANTED = "granted"
    WAIT = "wait"
    REFUSED = "refused"


@dataclass(slots=True, eq=False)
class Holding:
    """What is held for one connection.

    `request_bytes` were granted to its request or have been received already;
    `answer_bytes` wait for the client to read them. `progressed_at` is when the request
    last received `PROGRESS_BYTES`, or began, and `received` what it had then.
    `wanted` is what a waiting request asks for, since `waits_since`. `read_at` is when
    the client last read from an answer that is not read.
    """

    owner: object = None
    phase: Phase = Phase.IDLE
    request_bytes: int = 0
    answer_bytes: int = 0
    began_at: float = 0.0
    progressed_at: float = 0.0
    received: int = 0
    wanted: int = 0
    waits_since: float = 0.0
    read_at: float = 0.0

    @property
    def held(self) -> int:
        """All that counts for this connection."""
        return self.request_bytes + self.answer_bytes


@dataclass(frozen=True, slots=True)
class Closure:
    """A connection that must be closed; the account holds nothing for it any more."""

    holding: Holding
    reason: Reason


@dataclass(slots=True)
class MemoryAccount:
    """The account; `used` never exceeds the budget when a method has returned.

    `closures` are the connections to be closed, until `take_closures`. `upstream_bytes`
    are those of answers that are being received. `idle` and `reading` hold connections
    in the order in which they began to be so, and `waiting` the requests that wait.
    """

    limits: HeldLimits
    used: int = 0
    upstream_bytes: int = 0
    holdings: dict[Holding, None] = field(default_factory=dict)
    idle: dict[Holding, None] = field(default_factory=dict)
    reading: dict[Holding, None] = field(default_factory=dict)
    waiting: dict[Holding, None] = field(default_factory=dict)
    unread: dict[Holding, None] = field(default_factory=dict)
    closures: list[Closure] = field(default_factory=list)

    def open(self, owner: object, now: float) -> Holding | None:
        """Return the holding of a new connection, or None if there is no room for it.

        The longest idle connection makes room for it, or else the one whose incomplete
        request has made no progress for longest.
        """
        if len(self.holdings) >= self.limits.connections:
            victim = next(iter(self.idle), None) or self.longest_stalled(now)
            if victim is None:
                return None
            self.evict(victim, Reason.CONNECTIONS)
        holding = Holding(owner, began_at=now)
        self.holdings[holding] = None
        self.idle[holding] = None
        return holding

    def close(self, holding: Holding) -> None:
        """Give back all that a connection holds; a closed one holds nothing."""
        self.used -= holding.held
        holding.request_bytes = holding.answer_bytes = holding.wanted = 0
        for group in (
            self.holdings,
            self.idle,
            self.reading,
            self.waiting,
            self.unread,
        ):
            group.pop(holding, None)

    def begin(self, holding: Holding, now: float) -> None:
        """Record that a request begins to arrive."""
        if holding not in self.holdings or holding.phase is Phase.READING:
            return
        holding.phase = Phase.READING
        holding.began_at = holding.progressed_at = now
        holding.received = 0
        self.idle.pop(holding, None)
        self.reading[holding] = None

    def receive(self, holding: Holding, size: int, target: int, now: float) -> Grant:
        """Count the bytes received of a request so far, and ask for `target` of them.

        What was received already counts even if the request must wait for the rest.
        """
        if holding not in self.holdings:
            return Grant.REFUSED
        if size - holding.received >= PROGRESS_BYTES:
            holding.progressed_at, holding.received = now, size
        wanted = max(size, target)
        if wanted <= max(FREE_BYTES, holding.request_bytes):
            return Grant.GRANTED
        if self.try_grow(holding, wanted, now):
            return Grant.GRANTED
        if wanted <= SMALL_BYTES or not self.try_grow(holding, size, now, forced=True):
            self.close(holding)
            return Grant.REFUSED
        if holding not in self.waiting:
            self.waiting[holding] = None
            holding.waits_since = now
        holding.wanted = wanted
        return Grant.WAIT

    def complete(self, holding: Holding, size: int) -> None:
        """Record that a request of so many bytes is complete."""
        if holding not in self.holdings:
            return
        holding.phase = Phase.RUNNING
        self.idle.pop(holding, None)
        self.reading.pop(holding, None)
        self.waiting.pop(holding, None)
        if holding.request_bytes:
            self.used += size - holding.request_bytes
            holding.request_bytes = size

    def finish(self, holding: Holding, now: float) -> None:
        """Record that a request has ended, and that its connection is idle."""
        if holding not in self.holdings:
            return
        self.used -= holding.request_bytes
        holding.request_bytes = 0
        holding.phase = Phase.IDLE
        holding.began_at = now
        self.reading.pop(holding, None)
        self.waiting.pop(holding, None)
        self.idle[holding] = None

    def set_unread(self, holding: Holding, size: int, now: float) -> None:
        """Set the bytes of an answer that wait for the client, now that it has read.

        An answer cannot be refused any more: the clients that have not read for longest
        are closed until all fits.
        """
        if holding not in self.holdings:
            return
        self.unread.pop(holding, None)
        self.used += size - holding.answer_bytes
        holding.answer_bytes = size
        holding.read_at = now
        if size:
            self.unread[holding] = None
        while self.used > self.limits.budget_bytes and self.unread:
            self.evict(next(iter(self.unread)), Reason.UNREAD)
        self.evict_incomplete(self.limits.budget_bytes)

    def take_answer(self, size: int, now: float) -> bool:
        """Count bytes of an answer of an upstream if there is room for them.

        The request runs already, so that clients which do not read, and then incomplete
        requests, make room.
        """
        limit = self.limits.large_bytes
        if self.used + size > limit:
            self.evict_unread(limit - size, now)
            self.evict_incomplete(limit - size)
        if self.used + size > limit:
            return False
        self.used += size
        self.upstream_bytes += size
        return True

    def return_answer(self, size: int) -> None:
        """Give back bytes of an answer of an upstream."""
        self.used -= size
        self.upstream_bytes -= size

    def resume(self, now: float) -> list[Holding]:
        """Return the requests whose wait has ended, those that wait longest first."""
        resumed = []
        for holding in list(self.waiting):
            if not self.try_grow(holding, holding.wanted, now):
                break
            del self.waiting[holding]
            holding.progressed_at = now
            resumed.append(holding)
        return resumed

    def tick(self, now: float) -> None:
        """Close what holds memory too long while others wait for it."""
        for holding in list(self.waiting):
            if now - holding.waits_since >= WAIT_LIMIT_S:
                self.evict(holding, Reason.WAITED)
        first = next(iter(self.waiting), None)
        if first is None:
            return
        missing = first.wanted - first.request_bytes
        self.evict_unread(self.limits.large_bytes - missing, now)
        for holding in list(self.reading):
            is_stalled = now - holding.progressed_at >= STALLED_S
            if is_stalled and holding.request_bytes and holding not in self.waiting:
                self.evict(holding, Reason.STALLED)

    def take_closures(self) -> list[Closure]:
        """Return the connections to be closed, each only once."""
        closures, self.closures = self.closures, []
        return closures

    def try_grow(
        self, holding: Holding, size: int, now: float, forced: bool = False
    ) -> bool:
        """Count `size` bytes for a request if they fit; small ones take precedence.

        Incomplete requests make room for small ones only. With `forced`, a large one
        may use the part of small ones: its bytes have been received.
        """
        added = max(0, size - holding.request_bytes)
        is_small = size <= SMALL_BYTES and not forced
        limits = self.limits
        limit = limits.budget_bytes if is_small or forced else limits.large_bytes
        if self.used + added > limit:
            self.evict_unread(limit - added, now)
        if is_small:
            self.evict_incomplete(limit - added, but=holding)
        if self.used + added > limit:
            return False
        self.used += added
        holding.request_bytes += added
        return True

    def evict_unread(self, target: int, now: float) -> None:
        """Close clients that have not read for a while until `used` is at a target."""
        for holding in list(self.unread):
            if self.used <= target or now - holding.read_at < UNREAD_S:
                return
            self.evict(holding, Reason.UNREAD)

    def evict_incomplete(self, target: int, but: Holding | None = None) -> None:
        """Close incomplete requests until `used` is at a target.

        The largest go first, and the newest of those of one size.
        """
        if self.used <= target:
            return
        for holding in self.largest_incomplete():
            if self.used <= target:
                return
            if holding is not but:
                self.evict(holding, Reason.MEMORY)

    def largest_incomplete(self) -> Iterator[Holding]:
        """Yield the incomplete requests that hold memory, as they are closed."""
        yield from sorted(
            (holding for holding in self.reading if holding.request_bytes),
            key=lambda holding: (-holding.request_bytes, -holding.began_at),
        )

    def longest_stalled(self, now: float) -> Holding | None:
        """Return the incomplete request without progress for longest, if any."""
        stalled = min(
            self.reading, key=lambda holding: holding.progressed_at, default=None
        )
        if stalled is None or now - stalled.progressed_at < STALLED_S:
            return None
        return stalled

    def evict(self, holding: Holding, reason: Reason) -> None:
        """Give back what a connection holds, and have it closed."""
        self.close(holding)
        self.closures.append(Closure(holding, reason))
