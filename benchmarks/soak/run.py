"""One run of a seed: start the deployment, inject the faults, check the history."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from benchmarks.harness import percentile
from benchmarks.soak.callers import start_callers
from benchmarks.soak.checks import RECOVERY_S, Finding, check_all
from benchmarks.soak.history import History
from benchmarks.soak.inject import play
from benchmarks.soak.schedule import Plan
from benchmarks.soak.world import running_world

DURATION_S = 20.0
"""Default time during which faults are injected."""

CALM_S = 4.0
"""How long requests are still observed after the recovery time."""

CHECK_PAUSE_S = 2.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """The plan, the findings and the history of one run."""

    plan: Plan
    findings: list[Finding]
    history: History

    def describe(self) -> str:
        """Return a line of statistics, followed by one line for each finding."""
        requests = self.history.requests.values()
        served = sum(request.is_served for request in requests)
        gaps = [one.longest_gap_s for one in requests if one.is_served]
        lines = [
            f"seed={self.plan.seed} instances={self.plan.instances} "
            f"upstreams={self.plan.upstreams} faults={len(self.plan.steps)} "
            f"requests={len(requests)} served={served} "
            f"longest_gap_p99_s={percentile(gaps, 0.99):.2f} "
            f"findings={len(self.findings)}"
        ]
        lines += [f"  {one.check}: {one.message}" for one in self.findings]
        return "\n".join(lines)


async def play_seed(plan: Plan, folder: Path, source: Path) -> Outcome:
    """Run a plan against the program in `source`; logs go to `folder`.

    The run ends early as soon as a check finds something.
    """
    async with running_world(plan, folder, source) as world:
        start_callers(world)
        exits = asyncio.create_task(world.watch_exits())
        world.tasks.add(exits)
        playing = asyncio.create_task(play(world))
        world.tasks.add(playing)
        findings = await check_until(playing, world.history)
        if not findings:
            world.history.faults_end_at = world.now()
            calm = asyncio.create_task(asyncio.sleep(RECOVERY_S + CALM_S))
            findings = await check_until(calm, world.history)
    findings = findings or check_all(world.history)
    return Outcome(plan, findings, world.history)


async def check_until(task: asyncio.Task[None], history: History) -> list[Finding]:
    """Run the checks periodically until a task ends or a check finds something."""
    while True:
        await asyncio.wait({task}, timeout=CHECK_PAUSE_S)
        findings = check_all(history)
        if task.done():
            task.result()
        if findings or task.done():
            return findings


def write_history(outcome: Outcome, path: Path) -> None:
    """Write the history and the findings as JSON, for diagnosis."""
    history, findings = outcome.history, outcome.findings
    record = {
        "findings": [dataclasses.asdict(one) for one in findings],
        "disturbances": [dataclasses.asdict(one) for one in history.disturbances],
        "accepted": history.accepted,
        "requests": [dataclasses.asdict(one) for one in history.requests.values()],
        "arrivals": [dataclasses.asdict(one) for one in history.arrivals],
        "statuses": Counter(str(one.status) for one in history.requests.values()),
    }
    path.write_text(json.dumps(record, indent=1, default=str))
