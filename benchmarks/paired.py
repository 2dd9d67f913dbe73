"""Compares two checkouts by paired plays of the same days with the same seeds.

    python -m benchmarks.paired --player PROGRAM --site FILE --before DIR --after DIR
        --days trouble-1,trouble-2 --seeds 31-34,41-44 --jobs 4

Each pair plays one day with one seed in both checkouts. The result has the difference
of the days' worth with its standard error, the broken rules, and the mean outcomes and
prices beside each other. Eight pairs or more tell a difference of 0.03 from noise.
"""

from __future__ import annotations

import argparse
import itertools
import json
import math
import statistics
import subprocess
import sys
import tempfile
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

OUTCOMES = ("in_aim", "late", "refused", "failed")
SHOWN_PRICE = 0.0005
"""Smallest mean price that is shown, as a share of worth."""


@dataclass(frozen=True, slots=True)
class Play:
    """One play of a day: its worth, outcomes by kind, prices and broken rules."""

    worth: float
    outcomes: Counter[str]
    prices: Counter[str]
    broken: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Pair:
    """The plays of one day and seed in both checkouts."""

    day: str
    seed: int
    before: Play
    after: Play


def parse_report(report: dict[str, Any]) -> Play:
    """Return a play from the player's report."""
    outcomes: Counter[str] = Counter()
    for kind in report["classes"]:
        for outcome in OUTCOMES:
            outcomes[f"{kind['name']} {outcome}"] += kind[outcome]
    prices: Counter[str] = Counter()
    for name, _, price in report["prices"]:
        prices[name] += price
    return Play(report["G"], outcomes, prices, tuple(report["breaks"]))


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of a list such as `31-34,41`."""
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


def play_day(
    arguments: argparse.Namespace, checkout: Path, day: str, seed: int
) -> Play:
    """Play one day in a checkout and return what came of it."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [arguments.player, "run", arguments.site, day, "--seed", str(seed)]
        command += ["--report", str(report), "--why", arguments.why]
        if not arguments.cpu:
            command.append("--no-cpu")
        done = subprocess.run(command, cwd=checkout, capture_output=True, text=True)
        if not report.exists():
            raise SystemExit(
                f"checkout={str(checkout)!r} day={day!r} seed={seed} left no report: "
                f"{done.stdout[-400:]}{done.stderr[-400:]}"
            )
        return parse_report(json.loads(report.read_text()))


def play_pairs(arguments: argparse.Namespace) -> list[Pair]:
    """Play all pairs, as many plays at a time as there are jobs."""
    wanted = list(itertools.product(arguments.days, arguments.seeds))
    checkouts = (arguments.before, arguments.after)
    with ThreadPoolExecutor(arguments.jobs) as pool:
        plays = list(
            pool.map(
                lambda play: play_day(arguments, *play),
                [(checkout, *pair) for pair in wanted for checkout in checkouts],
            )
        )
    return [
        Pair(day, seed, before, after)
        for (day, seed), before, after in zip(
            wanted, plays[::2], plays[1::2], strict=True
        )
    ]


def standard_error(values: list[float]) -> float:
    """Return the standard error of a mean; NaN for fewer than two values."""
    if len(values) < 2:
        return math.nan
    return statistics.stdev(values) / math.sqrt(len(values))


def summarize(pairs: list[Pair]) -> dict[str, object]:
    """Return the differences of all pairs, and the mean outcomes and prices."""
    differences = [pair.after.worth - pair.before.worth for pair in pairs]
    return {
        "pairs": len(pairs),
        "worth_before": round(statistics.mean(p.before.worth for p in pairs), 4),
        "worth_after": round(statistics.mean(p.after.worth for p in pairs), 4),
        "difference": round(statistics.mean(differences), 4),
        "standard_error": round(standard_error(differences), 4),
        "broken_before": Counter(rule for p in pairs for rule in p.before.broken),
        "broken_after": Counter(rule for p in pairs for rule in p.after.broken),
        "outcomes": compare_means(
            [p.before.outcomes for p in pairs], [p.after.outcomes for p in pairs], 0.0
        ),
        "prices": compare_means(
            [p.before.prices for p in pairs],
            [p.after.prices for p in pairs],
            SHOWN_PRICE,
        ),
        "each": [
            [p.day, p.seed, round(p.before.worth, 3), round(p.after.worth, 3)]
            for p in pairs
        ],
    }


def compare_means(
    before: list[Counter[str]], after: list[Counter[str]], least: float
) -> dict[str, list[float]]:
    """Return each name's mean before and after, without those below `least`."""
    totals = [sum(counters, Counter()) for counters in (before, after)]
    names = sorted(set(totals[0]) | set(totals[1]))
    means = {name: [total[name] / len(before) for total in totals] for name in names}
    return {
        name: [round(value, 4) for value in both]
        for name, both in means.items()
        if max(both) >= least
    }


def parse_arguments(words: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--player", required=True, help="the program that plays days")
    parser.add_argument("--site", required=True)
    parser.add_argument("--before", required=True, type=Path)
    parser.add_argument("--after", required=True, type=Path)
    parser.add_argument("--days", required=True, type=lambda text: text.split(","))
    parser.add_argument("--seeds", default="31-34,41-44", type=parse_seeds)
    parser.add_argument("--jobs", default=4, type=int)
    parser.add_argument("--cpu", action="store_true", help="count processor time")
    parser.add_argument("--why", default="paired plays")
    return parser.parse_args(words)


if __name__ == "__main__":
    print(json.dumps(summarize(play_pairs(parse_arguments(sys.argv[1:]))), indent=2))
