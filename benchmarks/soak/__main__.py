"""Run seeds of the randomized fault-injection test and print what the checks found.

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

from benchmarks.soak.deployment import ROOT
from benchmarks.soak.mutations import MUTATIONS, copy_mutated_source
from benchmarks.soak.run import DEFAULT_DURATION_S, Outcome, run_seed, write_history
from benchmarks.soak.schedule import make_plan


def parse_arguments(arguments: Sequence[str]) -> argparse.Namespace:
    """Parse the command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds to run")
    parser.add_argument("--jobs", type=int, default=1, help="seeds to run concurrently")
    parser.add_argument(
        "--duration",
        type=float,
        default=DEFAULT_DURATION_S,
        help="seconds of faults per seed",
    )
    parser.add_argument(
        "--size", type=float, default=1.0, help="factor on processes and callers"
    )
    parser.add_argument(
        "--mutation",
        choices=[one.name for one in MUTATIONS],
        help="run a copy of the source with this mutation applied",
    )
    parser.add_argument("--folder", type=Path, help="keep logs here, one folder a seed")
    return parser.parse_args(arguments)


async def run_seeds(options: argparse.Namespace, folder: Path) -> list[Outcome]:
    """Run the seeds, at most `--jobs` at a time, and print each outcome as it ends."""
    seeds = range(options.seed, options.seed + options.seeds)
    plans = {seed: make_plan(seed, options.duration, options.size) for seed in seeds}
    folders = {seed: folder / f"seed-{seed}" for seed in seeds}
    for seed_folder in folders.values():
        seed_folder.mkdir(parents=True, exist_ok=True)
    source = ROOT / "src"
    if options.mutation is not None:
        source = copy_mutated_source(options.mutation, folder)
    job_slots = asyncio.Semaphore(options.jobs)

    async def run_one(seed: int) -> Outcome:
        async with job_slots:
            outcome = await run_seed(plans[seed], folders[seed], source)
        write_history(outcome, folders[seed] / "history.json")
        print(outcome.describe(), flush=True)
        return outcome

    # SIGINT and SIGTERM cancel the runs, whose cleanup ends every started process.
    all_runs = asyncio.gather(*map(run_one, plans))
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, all_runs.cancel)
    return await all_runs


def main() -> int:
    """Run the seeds and return 1 if a check found something, or on interruption."""
    options = parse_arguments(sys.argv[1:])
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.folder or Path(temporary)
        try:
            outcomes = asyncio.run(run_seeds(options, folder))
        except asyncio.CancelledError:
            print("interrupted; all started processes have been ended")
            return 1
    failed = [outcome.plan.seed for outcome in outcomes if outcome.findings]
    print(f"{len(outcomes)} seeds played, {len(failed)} with findings: {failed}")
    return 1 if failed else 0


sys.exit(main())
