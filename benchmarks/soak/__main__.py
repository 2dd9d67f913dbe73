"""Plays seeds of the soak.

python -m benchmarks.soak --seed N [--seeds COUNT] [--jobs N] [--duration S] [--size X]
                          [--mutation NAME] [--folder PATH]
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from benchmarks.soak.mutations import MUTATIONS, mutated_source
from benchmarks.soak.run import DURATION_S, Outcome, play_seed, write_history
from benchmarks.soak.schedule import make_plan
from benchmarks.soak.world import ROOT


def parse(arguments: Sequence[str]) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds to play")
    parser.add_argument("--jobs", type=int, default=1, help="seeds at a time")
    parser.add_argument("--duration", type=float, default=DURATION_S, help="seconds")
    parser.add_argument("--size", type=float, default=1.0, help="scales the processes")
    parser.add_argument(
        "--mutation", choices=[one.name for one in MUTATIONS], help="break a promise"
    )
    parser.add_argument("--folder", type=Path, help="keeps the logs, by seed")
    return parser.parse_args(arguments)


async def play_all(options: argparse.Namespace, folder: Path) -> list[Outcome]:
    """Play the seeds, some at a time, and print each outcome as it comes."""
    seeds = range(options.seed, options.seed + options.seeds)
    plans = {seed: make_plan(seed, options.duration, options.size) for seed in seeds}
    folders = {seed: folder / f"seed-{seed}" for seed in seeds}
    for one in folders.values():
        one.mkdir(parents=True, exist_ok=True)
    source = ROOT / "src"
    if options.mutation is not None:
        source = mutated_source(options.mutation, folder)
    places = asyncio.Semaphore(options.jobs)

    async def play_one(seed: int) -> Outcome:
        async with places:
            outcome = await play_seed(plans[seed], folders[seed], source)
        write_history(outcome, folders[seed] / "history.json")
        print(outcome.describe(), flush=True)
        return outcome

    # What was started is ended also when the soak itself is told to stop.
    playing = asyncio.gather(*map(play_one, plans))
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
    return await playing


def main() -> int:
    """Play the seeds; return 1 where a promise was broken."""
    options = parse(sys.argv[1:])
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.folder or Path(temporary)
        try:
            outcomes = asyncio.run(play_all(options, folder))
        except asyncio.CancelledError:
            print("told to stop; nothing is left running")
            return 1
    failed = [outcome.plan.seed for outcome in outcomes if outcome.findings]
    print(f"{len(outcomes)} seeds played, {len(failed)} with findings: {failed}")
    return 1 if failed else 0


sys.exit(main())
