"""Time until an accepted profile change is in force on every instance.

Eight instances run in one process over one store stand-in and real peer sockets.
`python -m benchmarks.rollout --seed N --json` prints one JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import uvloop

from turmericusher.decisions.rollout import ProfileChange
from turmericusher.errors import TurmericusherError
from turmericusher.profiles import Profile
from turmericusher.standins.local_fleet import (
    LocalInstance,
    running_fleet,
    wait_for_discovery,
)
from turmericusher.standins.store import MemoryStore

FLEET_SIZE = 8
CHANGES = 40
OUTAGES = 6
IDLE_S = 8.0
STALE_AFTER_S = 10.0
POLL_S = 0.002
"""Interval at which the instances are checked; limits the resolution of the times."""
IN_FORCE_LIMIT_S = 19.0
MAX_POLLS = 1_000_000

Fault = Callable[["Bench"], None]


@dataclass
class Timing:
    """Seconds from sending a change to its acceptance, and to in force everywhere."""

    accepted: float
    everywhere: float

    @property
    def after_acceptance(self) -> float:
        """Seconds from acceptance until the change is in force everywhere."""
        return max(0.0, self.everywhere - self.accepted)


@dataclass
class Bench:
    """The fleet under measurement and the changes made so far."""

    store: MemoryStore
    instances: list[LocalInstance]
    rng: random.Random
    revision: int = 0
    changes: int = 0
    refused: dict[str, int] = field(default_factory=dict)

    async def measure_change(
        self, is_done: Callable[[LocalInstance, int], bool]
    ) -> Timing:
        """Make a change at a random instance and wait until `is_done` on all."""
        self.changes += 1
        urgency = self.changes % 10
        writer = self.rng.choice(
            [instance for instance in self.instances if not instance.store.is_cut]
        )
        change = ProfileChange(
            Profile("sheets", urgency=urgency), self.revision, f"change-{self.changes}"
        )
        started_at = time.monotonic()
        change_task = asyncio.create_task(self.retry_until_accepted(writer, change))
        revision = self.revision
        while not all(is_done(instance, revision + 1) for instance in self.instances):
            if time.monotonic() - started_at > IN_FORCE_LIMIT_S:
                raise AssertionError("change not in force everywhere in time")
            await asyncio.sleep(POLL_S)
        everywhere_at = time.monotonic()
        accepted_at = await change_task
        return Timing(accepted_at - started_at, everywhere_at - started_at)

    async def retry_until_accepted(
        self, writer: LocalInstance, change: ProfileChange
    ) -> float:
        """Retry a change until it is accepted; return the time of acceptance."""
        while True:
            try:
                accepted = await writer.changer.change(change)
            except TurmericusherError as error:
                code = error.code.value
                self.refused[code] = self.refused.get(code, 0) + 1
                await asyncio.sleep(0.1)
                continue
            self.revision = accepted.record.revision
            return time.monotonic()


def is_in_force(instance: LocalInstance, revision: int) -> bool:
    """Whether a profile revision is in force on an instance."""
    record = instance.table.rollout.records.get("sheets")
    return record is not None and record.revision >= revision


def is_in_force_or_refusing(instance: LocalInstance, revision: int) -> bool:
    """Whether an instance accepts no work under the replaced profile."""
    return is_in_force(instance, revision) or not instance.table.is_current()


def summarize(timings: list[Timing]) -> dict[str, float]:
    """Return the percentiles of the timings in milliseconds."""
    after = sorted(timing.after_acceptance * 1000 for timing in timings)
    everywhere = sorted(timing.everywhere * 1000 for timing in timings)
    accepted = sorted(timing.accepted * 1000 for timing in timings)
    return {
        "changes": len(timings),
        "accepted_p50_ms": round(statistics.median(accepted), 1),
        "accepted_max_ms": round(accepted[-1], 1),
        "sent_to_everywhere_p50_ms": round(statistics.median(everywhere), 1),
        "sent_to_everywhere_p95_ms": round(percentile(everywhere, 0.95), 1),
        "sent_to_everywhere_max_ms": round(everywhere[-1], 1),
        "accepted_to_everywhere_p50_ms": round(statistics.median(after), 1),
        "accepted_to_everywhere_p95_ms": round(percentile(after, 0.95), 1),
        "accepted_to_everywhere_max_ms": round(after[-1], 1),
    }


def percentile(ordered: list[float], fraction: float) -> float:
    """Return the value at a fraction (0 to 1) of the sorted values."""
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


async def measure_faultless(bench: Bench) -> dict[str, float]:
    """Measure changes without faults."""
    return summarize([await bench.measure_change(is_in_force) for _ in range(CHANGES)])


async def measure_lost_replies(bench: Bench) -> dict[str, float]:
    """Measure changes whose first write succeeds but whose reply is lost."""
    timings = []
    for _ in range(CHANGES):
        bench.store.faults.lose_replies = 1
        timings.append(await bench.measure_change(is_in_force))
    return summarize(timings)


async def measure_store_lost_after_write(bench: Bench) -> dict[str, float]:
    """Measure changes after whose write no instance can reach the store."""
    timings = []
    for _ in range(OUTAGES):
        cut_task = asyncio.create_task(cut_after_write(bench))
        timings.append(await bench.measure_change(is_in_force))
        await cut_task
        for instance in bench.instances:
            instance.store.is_cut = False
        await asyncio.sleep(0.5)
    return summarize(timings)


async def cut_after_write(bench: Bench) -> None:
    """Cut every instance off from the store as soon as the next write succeeds."""
    key = bench.instances[0].table.profile_key("sheets")
    before = bench.store.values[key].revision
    for _ in range(MAX_POLLS):
        if bench.store.values[key].revision != before:
            break
        await asyncio.sleep(0)
    for instance in bench.instances:
        instance.store.is_cut = True


async def measure_one_cut_off(bench: Bench, from_peers: bool) -> dict[str, float]:
    """Measure changes while one instance is cut off from the store.

    If it is cut off from its peers as well, it cannot learn of the change; the time
    measured is then the time until it refuses new work.
    """
    cut = bench.instances[-1]
    cut.store.is_cut = True
    cut.exchange.is_cut = from_peers
    is_done = is_in_force_or_refusing if from_peers else is_in_force
    count = 1 if from_peers else OUTAGES
    timings = [await bench.measure_change(is_done) for _ in range(count)]
    cut.cut(False)
    return summarize(timings)


async def measure_idle(bench: Bench) -> dict[str, float]:
    """Measure the store calls of an idle fleet."""
    counts = bench.store.counts
    before = counts.reads + counts.writes
    await asyncio.sleep(IDLE_S)
    calls = counts.reads + counts.writes - before
    return {
        "store_calls_per_s": round(calls / IDLE_S, 2),
        "store_calls_per_s_per_instance": round(calls / IDLE_S / FLEET_SIZE, 3),
    }


async def run(seed: int) -> dict[str, object]:
    """Run every measurement on one fleet and return the figures."""
    store = MemoryStore()
    async with running_fleet(store, FLEET_SIZE, seed, STALE_AFTER_S) as instances:
        bench = Bench(store, instances, random.Random(seed))
        await wait_for_discovery(instances)
        return {
            "seed": seed,
            "instances": FLEET_SIZE,
            "faultless": await measure_faultless(bench),
            "reply_lost": await measure_lost_replies(bench),
            "store_lost_after_write": await measure_store_lost_after_write(bench),
            "one_cut_off_from_store": await measure_one_cut_off(bench, False),
            "one_cut_off_from_all": await measure_one_cut_off(bench, True),
            "idle": await measure_idle(bench),
            "refusals_repeated": bench.refused,
        }


def main() -> None:
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    figures = uvloop.run(run(arguments.seed))
    print(json.dumps(figures, indent=None if arguments.json else 2))


if __name__ == "__main__":
    main()
