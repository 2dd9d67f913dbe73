"""Shared by all benchmarks: arguments, percentiles, line fits and printed results."""

from __future__ import annotations

import argparse
import json
import os
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BenchmarkArguments:
    """The command-line arguments common to the benchmarks."""

    seed: int
    as_json: bool
    policy: str


def parse_arguments(description: str) -> BenchmarkArguments:
    """Parse `--seed N --json [--policy NAME]` from the command line."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--policy", default="", help="policy to run (default: all)")
    parsed = parser.parse_args()
    return BenchmarkArguments(parsed.seed, parsed.json, parsed.policy)


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the value at `fraction` (0 to 1) of the sorted values; 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = min(len(ordered) - 1, round(fraction * (len(ordered) - 1)))
    return ordered[index]


def summary_ms(seconds: Sequence[float]) -> dict[str, float]:
    """Return median, 95th percentile and maximum in milliseconds, and the count."""
    return {
        "p50_ms": round(percentile(seconds, 0.5) * 1000, 2),
        "p95_ms": round(percentile(seconds, 0.95) * 1000, 2),
        "max_ms": round(max(seconds, default=0.0) * 1000, 2),
        "count": len(seconds),
    }


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line through the points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    if squares_x == 0:
        return 0.0, mean_y
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squares_x
    return slope, mean_y - slope * mean_x


def print_result(
    name: str, arguments: BenchmarkArguments, result: dict[str, object]
) -> None:
    """Print a result as one JSON object, with the seed and the load averages."""
    body = {
        "benchmark": name,
        "seed": arguments.seed,
        "load_average": [round(value, 2) for value in os.getloadavg()],
        **result,
    }
    print(json.dumps(body) if arguments.as_json else json.dumps(body, indent=2))
