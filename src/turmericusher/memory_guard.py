"""Applies one account of memory to all servers and upstreams of a process."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from turmericusher.decisions.held_memory.account import (
    Closure,
    Holding,
    MemoryAccount,
    Reason,
)
from turmericusher.decisions.held_memory.limits import HeldLimits, make_held_limits
from turmericusher.decisions.routing import RequestLimits
from turmericusher.logs import log_event
from turmericusher.metrics import Metrics

TICK_S = 0.25
"""Seconds between two looks at requests that wait for memory."""

ANSWER_WAIT_S = 2.0
"""Seconds for which an upstream's answer waits for memory before it counts as lost."""

ANSWER_POLL_S = 0.05

LOG_INTERVAL_S = 1.0
"""Seconds between two log lines of closed connections, whose numbers they have."""


class GuardedConnection(Protocol):
    """A client's connection, as the guard uses it."""

    def close_for(self, reason: Reason) -> None:
        """Refuse the incomplete request, if any, and close the connection."""
        ...

    def resume_for_memory(self) -> None:
        """Read on: the request has the memory that it waited for."""
        ...


def default_account() -> MemoryAccount:
    """Return the account of a process whose settings state no limits."""
    return MemoryAccount(make_held_limits())


@dataclass(slots=True)
class MemoryGuard:
    """The account of a process, and what carries out its decisions.

    `request_limits` returns the limits of the configuration in force. `counted` has the
    connections that were closed since the last log line, by reason.
    """

    account: MemoryAccount = field(default_factory=default_account)
    metrics: Metrics | None = None
    request_limits: Callable[[], RequestLimits] = RequestLimits
    timer: asyncio.TimerHandle | None = None
    counted: Counter[str] = field(default_factory=Counter)
    logged_at: float = -LOG_INTERVAL_S

    @property
    def limits(self) -> HeldLimits:
        """The limits of the process."""
        return self.account.limits

    def header_bytes(self) -> int:
        """Return the size of the largest header section."""
        return max(self.limits.header_bytes, self.request_limits().max_header_bytes)

    def open(self, connection: GuardedConnection) -> Holding | None:
        """Return the holding of a new connection, or None if it must be closed."""
        holding = self.account.open(connection, now())
        if holding is None:
            self.count(Reason.CONNECTIONS)
        self.settle()
        return holding

    def settle(self) -> None:
        """Close and resume the connections for which the account has decided so."""
        account = self.account
        if not account.closures and not account.waiting:
            return
        self.close_all(account.take_closures())
        for holding in account.resume(now()):
            connection: GuardedConnection = holding.owner  # type: ignore[assignment]
            connection.resume_for_memory()
        self.close_all(account.take_closures())
        if account.waiting and self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(TICK_S, self.tick)

    def tick(self) -> None:
        """Let the account look at the requests that wait."""
        self.timer = None
        self.account.tick(now())
        self.settle()

    def close_all(self, closures: list[Closure]) -> None:
        """Close connections, which hold nothing in the account any more."""
        for closure in closures:
            self.count(closure.reason)
            connection: GuardedConnection = closure.holding.owner  # type: ignore[assignment]
            connection.close_for(closure.reason)

    def count(self, reason: str) -> None:
        """Count a connection that is closed; log the numbers at a bounded rate."""
        if self.metrics is not None:
            self.metrics.count(f"clients_closed.{reason}")
        self.counted[reason] += 1
        if now() - self.logged_at >= LOG_INTERVAL_S:
            self.logged_at = now()
            account = self.account
            counts = " ".join(f"{name}:{n}" for name, n in sorted(self.counted.items()))
            log_event(
                "clients_closed",
                reasons=counts,
                held_bytes=account.used,
                upstream_bytes=account.upstream_bytes,
                budget_bytes=self.limits.budget_bytes,
                connections=len(account.holdings),
                waiting=len(account.waiting),
            )
            self.counted.clear()

    def refresh_gauges(self) -> None:
        """Set the gauges of the account to the current values."""
        if self.metrics is not None:
            account = self.account
            self.metrics.gauge("held_bytes", account.used)
            self.metrics.gauge("client_connections", len(account.holdings))
            self.metrics.gauge("waiting_requests", len(account.waiting))

    async def take_answer(self, size: int) -> bool:
        """Count bytes of an upstream's answer; wait for room, but not for long.

        The upstream's connection is not read meanwhile.
        """
        ends_at = now() + ANSWER_WAIT_S
        while not self.account.take_answer(size, now()):
            self.settle()
            if now() >= ends_at:
                return False
            await asyncio.sleep(ANSWER_POLL_S)
        self.settle()
        return True

    def return_answer(self, size: int) -> None:
        """Give back bytes of an upstream's answer."""
        self.account.return_answer(size)
        self.settle()


def now() -> float:
    """Return the time of the event loop's clock."""
    return asyncio.get_running_loop().time()
