"""Asks engines about the runs that generations left there."""

from __future__ import annotations

from dataclasses import dataclass

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.run_ends import LeftGenerationRun, UpstreamRuns
from turmericusher.ports.upstream import EnginePort
from turmericusher.tasks.run_ends import Settle


@dataclass(slots=True)
class GenerationRunAsker:
    """Has an engine stop all runs that were left there, in one call."""

    port: EnginePort

    async def ask(
        self,
        left: UpstreamRuns[LeftGenerationRun],
        now: float,
        settle: Settle[LeftGenerationRun],
    ) -> None:
        """Ask an engine once; its answer tells of the time at which it was asked."""
        runs = list(left.runs.values())
        end = await self.port.stop_runs(left.upstream, tuple(left.runs))
        for run in runs:
            settle(run, end, now)

    def task_name(self, upstream: UpstreamInstance) -> str:
        """Return the name in logs of the task that asks an engine."""
        return f"left runs of {upstream.name}"
