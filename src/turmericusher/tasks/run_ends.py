"""Finds out about the ends of runs that were left, and stops those that go on.

One task for each upstream concerned asks until the ends of all runs there are known. It
sends nothing but questions to an upstream that does not answer, so that one that stands
still finds no old orders when it goes on.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

from turmericusher.decisions.open_losses import EndState
from turmericusher.decisions.relay_messages import MemoryCopy
from turmericusher.decisions.run_ends import (
    LeftRun,
    RunEnd,
    RunEnds,
    UpstreamRuns,
    is_final,
)
from turmericusher.logs import log_event
from turmericusher.ports.relay import RelayPort
from turmericusher.tasks.background import cancel_tasks

STOPS_AT_A_TIME = 8
"""Orders to stop that one upstream gets at a time."""


@dataclass(slots=True, eq=False)
class UpstreamCheck:
    """The task that asks one upstream; `has_news` is set when a run was added."""

    left: UpstreamRuns
    has_news: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None


@dataclass(slots=True)
class RunEndChecks:
    """The tasks that find out about runs, by name and incarnation of their upstream.

    `release` frees a copy that nobody goes on from.
    """

    run_ends: RunEnds
    port: RelayPort
    release: Callable[[MemoryCopy], None]
    checks: dict[tuple[str, str], UpstreamCheck] = field(default_factory=dict)

    def add(self, run: LeftRun, cause: str) -> None:
        """Find out about a run that was left, and stop it if it goes on."""
        log_event(
            "run_left",
            id=run.request_id,
            upstream=run.upstream.name,
            cause=cause,
        )
        left = self.run_ends.add(run)
        key = (run.upstream.name, run.upstream.incarnation)
        check = self.checks.get(key)
        if check is None:
            check = self.checks[key] = UpstreamCheck(left)
            check.task = asyncio.create_task(self.run_check(key, check))
        check.has_news.set()

    async def run_check(self, key: tuple[str, str], check: UpstreamCheck) -> None:
        """Ask an upstream until the ends of all runs there are known."""
        left = check.left
        while not self.run_ends.close(left):
            check.has_news.clear()
            try:
                await self.ask(left)
            except Exception as error:
                log_event("task_failed", task="run-ends", error=repr(error))
            if not left.runs:
                continue
            with suppress(TimeoutError):
                async with asyncio.timeout(left.next_pause()):
                    await check.has_news.wait()
        del self.checks[key]

    async def ask(self, left: UpstreamRuns) -> None:
        """Ask an upstream once about all runs that were left there."""
        for run in left.expired(asyncio.get_running_loop().time()):
            self.record_end(run, RunEnd.EXPIRED)
        if not left.runs:
            return
        runs = list(left.runs.values())
        state = await self.port.find_end_state(left.upstream)
        if state is EndState.ENDED:
            for run in runs:
                self.record_end(run, RunEnd.UPSTREAM_ENDED)
        elif state is EndState.RUNNING:
            limit = asyncio.Semaphore(STOPS_AT_A_TIME)
            await asyncio.gather(*(self.stop(run, limit) for run in runs))

    async def stop(self, run: LeftRun, limit: asyncio.Semaphore) -> None:
        """Have a run stopped; record its end if that is certain."""
        async with limit:
            stopped = await self.port.stop_run(run.upstream, run.request_id, run.target)
        if stopped.copy is not None:
            self.release(stopped.copy)
        if is_final(run, stopped.end, asyncio.get_running_loop().time()):
            self.record_end(run, stopped.end)

    def record_end(self, run: LeftRun, end: RunEnd) -> None:
        """Record and log how the end of a run became known."""
        self.run_ends.record_end(run, end)
        log_event(
            "run_ended",
            id=run.request_id,
            upstream=run.upstream.name,
            end=end.value,
            after_s=asyncio.get_running_loop().time() - run.left_at,
        )


@asynccontextmanager
async def checking_run_ends(checks: RunEndChecks) -> AsyncIterator[None]:
    """Find out about runs while the context is open."""
    try:
        yield
    finally:
        await cancel_tasks(
            check.task for check in checks.checks.values() if check.task is not None
        )
