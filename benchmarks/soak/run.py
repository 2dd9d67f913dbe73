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
from benchmarks.soak.checks import RECOVERY_S, Finding, run_checks
from benchmarks.soak.deployment import running_deployment
from benchmarks.soak.history import History
from benchmarks.soak.inject import inject_plan
from benchmarks.soak.schedule import Plan

DEFAULT_DURATION_S = 20.0
"""Default time during which faults are injected."""

OBSERVATION_S = 4.0
"""How long requests are still observed after the recovery time."""

CHECK_INTERVAL_S = 2.0


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


async def run_seed(plan: Plan, folder: Path, source: Path) -> Outcome:
    """Run a plan against the program in `source`; logs go to `folder`.

    The run ends early as soon as a check finds something.
    """
    async with running_deployment(plan, folder, source) as deployment:
        start_callers(deployment)
        exit_watch = asyncio.create_task(deployment.watch_exits())
        deployment.tasks.add(exit_watch)
        injection = asyncio.create_task(inject_plan(deployment))
        deployment.tasks.add(injection)
        findings = await check_until_done(injection, deployment.history)
        if not findings:
            deployment.history.faults_end_at = deployment.now()
            observation = asyncio.create_task(asyncio.sleep(RECOVERY_S + OBSERVATION_S))
            findings = await check_until_done(observation, deployment.history)
    findings = findings or run_checks(deployment.history)
    return Outcome(plan, findings, deployment.history)


async def check_until_done(task: asyncio.Task[None], history: History) -> list[Finding]:
    """Run the checks periodically until a task ends or a check finds something."""
    while True:
        await asyncio.wait({task}, timeout=CHECK_INTERVAL_S)
        findings = run_checks(history)
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
        "pauses": [dataclasses.asdict(one) for one in history.pauses],
        "cuts": [dataclasses.asdict(one) for one in history.cuts],
        "accepted": history.accepted,
        "requests": [dataclasses.asdict(one) for one in history.requests.values()],
        "arrivals": [dataclasses.asdict(one) for one in history.arrivals],
        "statuses": Counter(str(one.status) for one in history.requests.values()),
    }
    path.write_text(json.dumps(record, indent=1, default=str))
