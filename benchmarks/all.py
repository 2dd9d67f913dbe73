"""Runs every benchmark within five minutes and writes docs/measurements.md.

Usage: python -m benchmarks.all --seed N
"""

from __future__ import annotations

import argparse
import importlib.util
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from turmericusher.reports.measurements import (
    BarSource,
    LineSource,
    Measurement,
    PlotSource,
    RunConditions,
    build_plot,
    render_page,
)
from turmericusher.reports.plots import render_svg

ROOT = Path(__file__).parents[1]
BENCHMARKS = (
    "path",
    "capacity",
    "resume",
    "once",
    "rollout",
    "load",
    "peers",
    "load_costs",
    "relay",
    "policies",
)
TOTAL_LIMIT_S = 295.0
BENCHMARK_LIMIT_S = 60.0
MAX_FAILURE_LENGTH = 300
PLOTS: tuple[PlotSource, ...] = (
    BarSource("path", "Time to first token, median", "ms", "*.first_token.p50_ms"),
    BarSource("path", "Processor time", "us per token", "*.processor_us_per_token"),
    BarSource("resume", "Resume latency, 95th percentile", "ms",
              "*resume_latency.p95_ms"),
    BarSource("resume", "Extra tokens", "per token", "*.extra_tokens_per_token"),
    LineSource("load", "Goodput", "runs", "policy", "offered_load", "goodput.before"),
    LineSource("load", "Goodput while a failure domain is down", "runs", "policy",
               "offered_load", "goodput.lost"),
    LineSource("policies", "Streams in time, of the prefill capacity", "runs", "policy",
               "load", "in_time_of_capacity"),
)  # fmt: skip


def run_benchmark(name: str, seed: int, limit_s: float) -> Measurement:
    """Run one benchmark in a subprocess and return its result or its failure.

    A benchmark that exceeds `limit_s` is killed together with its child processes.
    """
    module = f"benchmarks.{name}"
    command = f"python -m {module} --seed {seed} --json"
    if importlib.util.find_spec(module) is None:
        return Measurement(name, command, failure="not run, there is no such module")
    started_at = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", module, "--seed", str(seed), "--json"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )
    try:
        output, errors = process.communicate(timeout=limit_s)
    except subprocess.TimeoutExpired:
        # The benchmark leads its own session, so this kills its children as well.
        os.killpg(process.pid, signal.SIGKILL)
        process.communicate()
        return Measurement(name, command, failure=f"failed, over {limit_s:.0f} s")
    seconds = time.monotonic() - started_at
    if process.returncode != 0:
        last_line = (errors.strip().splitlines() or ["no message"])[-1]
        failure = f"failed with status {process.returncode}: {last_line}"
        return Measurement(name, command, seconds, failure=truncate(failure))
    return parse_result(name, command, seconds, output)


def parse_result(name: str, command: str, seconds: float, output: str) -> Measurement:
    """Parse the JSON object in the last line of a benchmark's output."""
    last_line = (output.strip().splitlines() or [""])[-1]
    try:
        result = json.loads(last_line)
    except json.JSONDecodeError:
        result = None
    if not isinstance(result, dict):
        failure = truncate(f"failed, no JSON object in {last_line!r}")
        return Measurement(name, command, seconds, failure=failure)
    return Measurement(name, command, seconds, result)


def truncate(message: str) -> str:
    """Truncate a message to the length that fits the report page."""
    return message[:MAX_FAILURE_LENGTH]


def run_benchmarks(seed: int, names: Sequence[str]) -> list[Measurement]:
    """Run the benchmarks one after another and return their measurements.

    Each has `BENCHMARK_LIMIT_S`, or what is left of `TOTAL_LIMIT_S` if that is less.
    """
    deadline = time.monotonic() + TOTAL_LIMIT_S
    measurements = []
    for name in names:
        limit_s = min(BENCHMARK_LIMIT_S, deadline - time.monotonic())
        measurements.append(run_benchmark(name, seed, max(0.0, limit_s)))
        print(f"{name}: {measurements[-1].failure or 'measured'}", flush=True)
    return measurements


def write_plots(directory: Path, measurements: list[Measurement]) -> dict[str, Any]:
    """Draw the plots into `directory` and return their relative paths by benchmark."""
    results = {
        measurement.name: measurement.result
        for measurement in measurements
        if measurement.result is not None
    }
    paths: dict[str, list[str]] = {}
    for number, source in enumerate(PLOTS):
        result = results.get(source.benchmark)
        plot = build_plot(source, result) if result is not None else None
        if plot is not None:
            path = f"plots/{source.benchmark}-{number}.svg"
            (directory / "plots").mkdir(parents=True, exist_ok=True)
            (directory / path).write_text(render_svg(plot), encoding="utf-8")
            paths.setdefault(source.benchmark, []).append(path)
    return paths


def checked_out_commit() -> str:
    """Return the checked-out commit, marked `-dirty` if files differ from it."""
    described = subprocess.run(
        ["git", "describe", "--always", "--dirty", "--exclude", "*"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    return described.stdout.strip() or "unknown"


def main() -> int:
    """Run the benchmarks, write the page and return 0 only if all of them succeeded."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", type=Path, default=ROOT / "docs")
    parser.add_argument("names", nargs="*", default=BENCHMARKS)
    arguments = parser.parse_args()
    commit, load_before = checked_out_commit(), os.getloadavg()
    measurements = run_benchmarks(arguments.seed, arguments.names)
    machine = RunConditions(commit, os.cpu_count() or 0, load_before, os.getloadavg())
    plots = write_plots(arguments.output, measurements)
    page = render_page(machine, measurements, plots)
    (arguments.output / "measurements.md").write_text(page, encoding="utf-8")
    return (
        0 if all(measurement.result is not None for measurement in measurements) else 1
    )


if __name__ == "__main__":
    sys.exit(main())
