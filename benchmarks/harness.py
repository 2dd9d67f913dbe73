"""What every benchmark shares: arguments, percentiles, fits and the printed result."""

from __future__ import annotations

import argparse
import json
import os
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BenchmarkArguments:
    """The arguments that every benchmark takes."""

    seed: int
    as_json: bool
    policy: str


def parse_arguments(description: str) -> BenchmarkArguments:
    """Read `--seed N --json [--policy NAME]`."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--policy", default="", help="a policy, or all when empty")
    given = parser.parse_args()
    return BenchmarkArguments(given.seed, given.json, given.policy)


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which `share` (0 to 1) of the values lie; 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = min(len(ordered) - 1, round(share * (len(ordered) - 1)))
    return ordered[index]


def summary_ms(seconds: Sequence[float]) -> dict[str, float]:
    """Return the median, 95th percentile and maximum in milliseconds."""
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
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if spread == 0:
        return 0.0, mean_y
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def print_result(
    name: str, arguments: BenchmarkArguments, result: dict[str, object]
) -> None:
    """Print one JSON object with the figures and the machine's load."""
    body = {
        "benchmark": name,
        "seed": arguments.seed,
        "load_average": [round(value, 2) for value in os.getloadavg()],
        **result,
    }
    print(json.dumps(body) if arguments.as_json else json.dumps(body, indent=2))
