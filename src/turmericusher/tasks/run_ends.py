"""Finds out about the ends of runs that were left, and stops those that go on.

One task for each upstream concerned asks until the ends of all runs there are known.
Nobody waits for it: what goes on at another upstream has begun. How an upstream is
asked once is given by the role whose runs they are.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from typing import Generic, Protocol

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.run_ends import (
    R,
    RunEnd,
    RunEnds,
    UpstreamRuns,
    is_final,
)
from turmericusher.logs import log_event
from turmericusher.tasks.background import cancel_tasks

Settle = Callable[[R, RunEnd, float], None]
"""Takes a run, what is known of its end, and since when, in monotonic seconds."""


class RunAsker(Protocol[R]):
    """Asks upstreams about runs that were left, and stops these."""

    async def ask(self, left: UpstreamRuns[R], now: float, settle: Settle[R]) -> None:
        """Ask an upstream once about all runs there; pass what is known to `settle`."""
        ...

    def task_name(self, upstream: UpstreamInstance) -> str:
        """Return the name in logs of the task that asks an upstream."""
        ...


@dataclass(slots=True, eq=False)
class UpstreamCheck(Generic[R]):
    """The task that asks one upstream; `has_news` is set when a run was added."""

    left: UpstreamRuns[R]
    has_news: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None


@dataclass(slots=True)
class RunEndChecks(Generic[R]):
    """The tasks that find out about runs, by name and incarnation of their upstream.

    `clock` returns monotonic seconds.
    """

    run_ends: RunEnds[R]
    asker: RunAsker[R]
    clock: Callable[[], float]
    checks: dict[tuple[str, str], UpstreamCheck[R]] = field(default_factory=dict)

    def add(self, run: R, **details: str) -> None:
        """Find out about a run that was left, and stop it if it goes on.

        `details` are further fields of the log line.
        """
        log_event("run_left", **run.log_fields(), **details)
        left = self.run_ends.add(run)
        key = (run.upstream.name, run.upstream.incarnation)
        check = self.checks.get(key)
        if check is None:
            check = self.checks[key] = UpstreamCheck(left)
            name = self.asker.task_name(run.upstream)
            check.task = asyncio.create_task(self.run_check(key, check), name=name)
        check.has_news.set()

    def wake(self, upstream: UpstreamInstance) -> None:
        """Ask an upstream at once that has answered, if runs were left there."""
        check = self.checks.get((upstream.name, upstream.incarnation))
        if check is not None:
            check.has_news.set()

    async def run_check(self, key: tuple[str, str], check: UpstreamCheck[R]) -> None:
        """Ask an upstream until the ends of all runs there are known."""
        left = check.left
        while not self.run_ends.close(left):
            check.has_news.clear()
            await self.ask(left)
            if not left.runs:
                continue
            with suppress(TimeoutError):
                async with asyncio.timeout(left.next_pause()):
                    await check.has_news.wait()
        # No await since the close: a run that is added now gets a new check.
        del self.checks[key]

    async def ask(self, left: UpstreamRuns[R]) -> None:
        """Ask an upstream once about all runs there; end those that have expired."""
        asked_at = self.clock()
        try:
            await self.asker.ask(left, asked_at, self.settle)
        except Exception as error:
            # An unexpected error must not end the checks of the other runs.
            name = self.asker.task_name(left.upstream)
            log_event("task_failed", task=name, error=repr(error))
        for run in left.expired(asked_at):
            self.record_end(run, RunEnd.EXPIRED)

    def settle(self, run: R, end: RunEnd, at: float) -> None:
        """Record the end of a run if what is known of it is final."""
        if is_final(run, end, at):
            self.record_end(run, end)

    def record_end(self, run: R, end: RunEnd) -> None:
        """Record and log how the end of a run became known."""
        self.run_ends.record_end(run, end)
        after_s = self.clock() - run.left_at
        log_event("run_ended", **run.log_fields(), end=end.value, after_s=after_s)


@asynccontextmanager
async def checking_run_ends(checks: RunEndChecks[R]) -> AsyncIterator[None]:
    """Find out about runs while the context is open."""
    try:
        yield
    finally:
        await cancel_tasks(
            check.task for check in checks.checks.values() if check.task is not None
        )
