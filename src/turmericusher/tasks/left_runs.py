"""Stops runs that were left, and asks until their ends are known.

One task for each engine concerned sends all its runs in one question. Nobody waits for
it: what goes on at another engine has begun.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from turmericusher.decisions.left_runs import (
    LeftRun,
    LeftRuns,
    RunEnd,
    UpstreamRuns,
    settled_end,
)
from turmericusher.logs import log_event
from turmericusher.metrics import Metrics
from turmericusher.ports.upstream import EnginePort
from turmericusher.tasks.background import cancel_tasks


@dataclass(slots=True, eq=False)
class UpstreamCheck:
    """The task that asks one engine; `has_news` is set when a run was added."""

    left: UpstreamRuns
    has_news: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None


@dataclass(slots=True)
class LeftRunStopper:
    """The tasks that stop runs, by name and incarnation of their engine."""

    port: EnginePort
    clock: Callable[[], float]
    metrics: Metrics
    left_runs: LeftRuns = field(default_factory=LeftRuns)
    checks: dict[tuple[str, str], UpstreamCheck] = field(default_factory=dict)

    def add(self, run: LeftRun) -> None:
        """Stop a run that was left, and find out about its end."""
        log_event(
            "run_left",
            request_id=run.request_id,
            attempt=run.attempt,
            upstream=run.upstream.name,
        )
        self.metrics.count("generation.runs_left")
        left = self.left_runs.add(run)
        key = (run.upstream.name, run.upstream.incarnation)
        check = self.checks.get(key)
        if check is None or check.left is not left:
            check = self.checks[key] = UpstreamCheck(left)
            name = f"left runs of {run.upstream.name}"
            check.task = asyncio.create_task(self.run_check(check), name=name)
        check.has_news.set()

    async def run_check(self, check: UpstreamCheck) -> None:
        """Ask an engine until the ends of all runs that were left there are known."""
        left = check.left
        key = (left.upstream.name, left.upstream.incarnation)
        try:
            while left.runs:
                check.has_news.clear()
                await self.ask(left)
                if left.runs:
                    await wait_for_news(check, left.next_pause())
        finally:
            if self.checks.get(key) is check:
                del self.checks[key]

    async def ask(self, left: UpstreamRuns) -> None:
        """Ask an engine once to stop all runs that were left there."""
        asked_at, runs = self.clock(), list(left.runs.values())
        try:
            end = await self.port.stop_runs(left.upstream, tuple(left.runs))
        except Exception as error:
            # An unexpected error must not end the checks of the other runs.
            name = f"left runs of {left.upstream.name}"
            log_event("task_failed", task=name, error=repr(error))
            end = RunEnd.UNKNOWN
        for run in runs:
            settled = settled_end(run, end, asked_at)
            if settled is not None:
                self.record_end(run, settled)

    def record_end(self, run: LeftRun, end: RunEnd) -> None:
        """Record and log what became known of the end of a run."""
        self.left_runs.record_end(run, end)
        log_event(
            "run_ended",
            request_id=run.request_id,
            attempt=run.attempt,
            upstream=run.upstream.name,
            end=end.value,
            after_s=self.clock() - run.left_at,
        )


async def wait_for_news(check: UpstreamCheck, pause_s: float) -> None:
    """Wait until a run is added, at most so many seconds."""
    try:
        async with asyncio.timeout(pause_s):
            await check.has_news.wait()
    except TimeoutError:
        return


@asynccontextmanager
async def stopping_left_runs(stopper: LeftRunStopper) -> AsyncIterator[None]:
    """End the tasks of a stopper when the context is left."""
    try:
        yield
    finally:
        tasks = [each.task for each in stopper.checks.values()]
        await cancel_tasks(task for task in tasks if task is not None)
