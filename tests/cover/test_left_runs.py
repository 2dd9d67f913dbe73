"""Test what is kept of runs that were left, and until when."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.engines import make_engines
from tests.common.waiting import wait_until
from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.left_runs import (
    MAX_AGE_S,
    START_DELAY_S,
    LeftRun,
    LeftRuns,
    RunEnd,
    settled_end,
)
from turmericusher.metrics import Metrics
from turmericusher.tasks.left_runs import LeftRunStopper, stopping_left_runs

STARTED_AT = 100.0
LEFT_AT = 100.5
ENGINE, OTHER = make_engines(2)


def left_run(name: str = "r-1", upstream: UpstreamInstance = ENGINE) -> LeftRun:
    """Return the run of that name, which was left."""
    request_id, _, attempt = name.rpartition("-")
    return LeftRun(request_id, int(attempt), upstream, STARTED_AT, LEFT_AT)


@dataclass(slots=True)
class ScriptedPort:
    """An engine port whose stops have the results of `ends`, one after another.

    `asked` records the engine and the runs of each stop.
    """

    ends: Iterator[RunEnd | Exception]
    asked: list[tuple[str, tuple[str, ...]]] = field(default_factory=list)

    async def stop_runs(
        self, upstream: UpstreamInstance, names: tuple[str, ...]
    ) -> RunEnd:
        """Return or raise the next result."""
        self.asked.append((upstream.name, names))
        await asyncio.sleep(0)
        end = next(self.ends)
        if isinstance(end, Exception):
            raise end
        return end


class SettledEndTest(TestCase):
    @parameterized.expand(
        [
            ("stopped", RunEnd.STOPPED, START_DELAY_S, RunEnd.STOPPED),
            ("stopped_before_it_may_have_begun", RunEnd.STOPPED, 0.9, None),
            ("engine_gone", RunEnd.UPSTREAM_ENDED, 0.5, RunEnd.UPSTREAM_ENDED),
            ("engine_without_stop", RunEnd.NO_STOP, 0.5, RunEnd.NO_STOP),
            ("no_answer", RunEnd.UNKNOWN, MAX_AGE_S, None),
            ("no_answer_for_long", RunEnd.UNKNOWN, MAX_AGE_S + 0.5, RunEnd.EXPIRED),
        ]
    )
    def test_a_run_is_kept_until_its_end_is_known(
        self, _name: str, end: RunEnd, after_s: float, settled: RunEnd | None
    ) -> None:
        """The time counts from the start of the run."""
        self.assertEqual(settled, settled_end(left_run(), end, STARTED_AT + after_s))

    def test_nothing_is_kept_of_an_engine_without_runs(self) -> None:
        left_runs = LeftRuns()
        runs = [left_run("r-1"), left_run("r-2"), left_run("r-1", OTHER)]
        for run in runs:
            left_runs.add(run)
        self.assertEqual((3, 2), (left_runs.count(), len(left_runs.by_upstream)))
        for run in runs:
            left_runs.record_end(run, RunEnd.STOPPED)
        self.assertEqual({}, left_runs.by_upstream)
        self.assertEqual(3, left_runs.ended[RunEnd.STOPPED])


class StopperTest(TestCase):
    @parameterized.expand(
        [
            ("at_once", [RunEnd.STOPPED], RunEnd.STOPPED),
            ("once_it_answers", [RunEnd.UNKNOWN, RunEnd.STOPPED], RunEnd.STOPPED),
            ("after_an_error", [ValueError("x"), RunEnd.STOPPED], RunEnd.STOPPED),
            ("not_at_all", [RunEnd.NO_STOP], RunEnd.NO_STOP),
            (
                "until_it_is_gone",
                [RunEnd.UNKNOWN, RunEnd.UPSTREAM_ENDED],
                RunEnd.UPSTREAM_ENDED,
            ),
        ]
    )
    @run_async
    async def test_an_engine_stops_its_runs(
        self, _name: str, ends: list[RunEnd | Exception], end: RunEnd
    ) -> None:
        port = ScriptedPort(iter(ends))
        stopper = LeftRunStopper(port, lambda: STARTED_AT + START_DELAY_S, Metrics())
        async with stopping_left_runs(stopper):
            stopper.add(left_run("r-1"))
            stopper.add(left_run("r-2"))
            await wait_until(lambda: not stopper.checks)
        self.assertEqual([(ENGINE.name, ("r-1", "r-2"))] * len(ends), port.asked)
        self.assertEqual({end: 2}, dict(stopper.left_runs.ended))
        self.assertEqual(0, stopper.left_runs.count())

    @run_async
    async def test_a_run_that_is_left_during_a_question_is_asked_for_at_once(
        self,
    ) -> None:
        port = ScriptedPort(iter([RunEnd.STOPPED, RunEnd.STOPPED]))
        stopper = LeftRunStopper(port, lambda: STARTED_AT + START_DELAY_S, Metrics())
        async with stopping_left_runs(stopper):
            stopper.add(left_run("r-1"))
            await wait_until(lambda: len(port.asked) == 1)
            stopper.add(left_run("r-2"))
            await wait_until(lambda: not stopper.checks)
        self.assertEqual(0, stopper.left_runs.count())
        self.assertEqual(2, stopper.left_runs.ended[RunEnd.STOPPED])
        self.assertEqual((ENGINE.name, ("r-2",)), port.asked[-1])
