"""Cost of the peer exchange per instance at several fleet sizes.

All instances of a fleet run in one process, over real sockets, so processor time and
memory include both ends of each query. Bytes are those of messages without framing.
`python -m benchmarks.peers --seed N --json` prints one JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
import time
from pathlib import Path

import uvloop

from turmericusher.decisions.rollout import ProfileRecord
from turmericusher.decisions.suspicion import CrashReport
from turmericusher.decisions.upstream_marks import LeavingMark
from turmericusher.profiles import Profile
from turmericusher.standins.local_fleet import (
    LocalInstance,
    running_fleet,
    wait_for_discovery,
)
from turmericusher.standins.store import MemoryStore
from turmericusher.tasks.profile_records import encode_record

FLEET_SIZES = (4, 8, 16, 32)
MEASUREMENT_S = 4.0
SETTLE_S = 1.0
DISCOVERY_S = 4.0
MAX_FULLY_CONNECTED = 8
"""Largest fleet in which every instance must answer every other before measuring."""
UPSTREAMS = 15
LEAVING_MARKS = 8
CRASH_REPORTS = 8
PROFILES = 20


def populate(instance: LocalInstance) -> None:
    """Give an instance the loads, crash reports and marks of normal operation."""
    loads = {f"engine-{number}": 5 for number in range(UPSTREAMS)}
    charges = [
        CrashReport(f"{number:032d}", "engine-1", "incarnation", "quai-nord", 5, 1.0)
        for number in range(CRASH_REPORTS)
    ]
    instance.fleet.hooks.own_loads = lambda: loads
    instance.fleet.hooks.own_crash_reports = lambda limit: charges[:limit]
    instance.fleet.add_marks(
        LeavingMark(f"engine-{number}", "incarnation")
        for number in range(LEAVING_MARKS)
    )


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


async def measure(size: int, seed: int) -> dict[str, float]:
    """Measure a fleet of the given size and return the figures per instance."""
    gc.collect()
    memory_before = resident_bytes()
    store = MemoryStore()
    async with running_fleet(store, size, seed) as instances:
        for number in range(PROFILES):
            record = ProfileRecord(Profile(f"p{number}"), 0)
            store.write(
                instances[0].table.profile_key(f"p{number}"), encode_record(record)
            )
        for instance in instances:
            populate(instance)
        if size <= MAX_FULLY_CONNECTED:
            await wait_for_discovery(instances)
        else:
            await asyncio.sleep(DISCOVERY_S)
        await asyncio.sleep(SETTLE_S)
        before = exchange_totals(instances)
        calls_before = store.counts.reads + store.counts.writes
        processor_before = time.process_time()
        started_at = time.monotonic()
        await asyncio.sleep(MEASUREMENT_S)
        elapsed_s = time.monotonic() - started_at
        processor_s = time.process_time() - processor_before
        after = exchange_totals(instances)
        calls = store.counts.reads + store.counts.writes - calls_before
        memory = resident_bytes() - memory_before
    pulls, sent, received = (a - b for a, b in zip(after, before, strict=True))
    per_instance_second = 1 / size / elapsed_s
    return {
        "instances": size,
        "messages_per_s": round(2 * pulls * per_instance_second, 3),
        "bytes_asked_per_s": round((sent + received) * per_instance_second, 1),
        "bytes_per_answer": round(received / max(1, pulls), 1),
        "processor_percent": round(100 * processor_s * per_instance_second, 3),
        "store_calls_per_s": round(calls * per_instance_second, 3),
        "memory_kib": round(memory / size / 1024, 1),
    }


def exchange_totals(instances: list[LocalInstance]) -> tuple[int, int, int]:
    """Return the queries, bytes sent and bytes received of all instances so far."""
    exchanges = [exchange.exchange for exchange in instances]
    return (
        sum(exchange.pulls for exchange in exchanges),
        sum(exchange.bytes_sent for exchange in exchanges),
        sum(exchange.bytes_received for exchange in exchanges),
    )


def slope(rows: list[dict[str, float]], name: str) -> float:
    """Return the least-squares slope of a figure by the number of instances."""
    sizes = [row["instances"] for row in rows]
    values = [row[name] for row in rows]
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    squares = sum((size - mean_size) ** 2 for size in sizes)
    products = sum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    return round(products / squares, 4)


def main() -> None:
    """Measure every fleet size and print the figures and their slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    rows = [uvloop.run(measure(size, arguments.seed)) for size in FLEET_SIZES]
    names = [name for name in rows[0] if name != "instances"]
    figures = {
        "seed": arguments.seed,
        "per_instance": rows,
        "slope_per_instance_more": {name: slope(rows, name) for name in names},
    }
    print(json.dumps(figures, indent=None if arguments.json else 2))


if __name__ == "__main__":
    main()
