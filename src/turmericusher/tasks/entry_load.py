"""Measures what this process uses, and publishes its utilization and share of callers.

One reading costs two system calls and a small read of `/proc`.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path

from turmericusher.decisions.entry_load.caller_share import (
    UNSTATED_UTILIZATION,
    CallerShare,
)
from turmericusher.decisions.entry_load.utilization import (
    LINK,
    PROCESSOR,
    Reading,
    ResourceLimits,
    Utilization,
)
from turmericusher.decisions.fleet import EntryInstance
from turmericusher.logs import log_event
from turmericusher.tasks.background import lasting_task

SAMPLE_INTERVAL_S = 1.0
"""Seconds between two readings: the record is written at most that often."""

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEMORY_FILE = Path("/proc/self/statm")
DESCRIPTOR_FOLDER = Path("/proc/self/fd")


def resident_bytes() -> int:
    """Return the memory that the process holds, in bytes."""
    return int(MEMORY_FILE.read_bytes().split()[1]) * PAGE_BYTES


def open_descriptors() -> int:
    """Return the number of open file descriptors of the process.

    Linux gives it as the folder's size since version 6.2; older versions give 0.
    """
    return DESCRIPTOR_FOLDER.stat().st_size or sum(
        1 for _ in DESCRIPTOR_FOLDER.iterdir()
    )


@dataclass(slots=True)
class EntryLoad:
    """The record of this instance, with its utilization.

    `publish` is called with the record when it has changed, `others` returns the live
    instances that callers may be sent to, and `relayed_bytes` the bytes relayed since
    the start in one direction. `changes` counts the changes of the share of callers.
    """

    own: EntryInstance
    publish: Callable[[EntryInstance], None]
    limits: ResourceLimits
    relayed_bytes: Callable[[], int]
    others: Callable[[], Iterable[EntryInstance]]
    caller_share: CallerShare = field(default_factory=CallerShare)
    changes: int = 0
    utilization: Utilization = field(init=False)

    def __post_init__(self) -> None:
        """Begin without a reading."""
        self.utilization = Utilization(self.limits)

    def update_own(self, limited: frozenset[str], unreachable: frozenset[str]) -> None:
        """Set the limited upstreams and the unreachable services of the record."""
        self.put(
            replace(
                self.own, limited_upstreams=limited, unreachable_services=unreachable
            )
        )

    def put(self, record: EntryInstance) -> None:
        """Publish the record if it has changed."""
        if record != self.own:
            self.own = record
            self.publish(record)

    def read(self, now: float) -> Reading:
        """Return what this process uses now."""
        return Reading(
            now,
            time.process_time(),
            self.relayed_bytes(),
            resident_bytes(),
            open_descriptors(),
        )

    def record(self, reading: Reading) -> None:
        """Add a reading and publish what changes by it."""
        self.utilization.record(reading)
        others = [each for each in self.others() if each.name != self.own.name]
        lowest_other = min(map(stated_utilization, others), default=1.0)
        highest_other = max(
            (stated_utilization(each, PROCESSOR, LINK) for each in others), default=0.0
        )
        self.caller_share.update(
            self.utilization, lowest_other, highest_other, reading.at
        )
        before = self.own.caller_share
        share = round(self.caller_share.share(self.utilization), 3)
        if share != before:
            self.changes += 1
            log_event(
                "caller_share_changed",
                share=share,
                share_before=before,
                lowest_other=lowest_other,
                highest_other=highest_other,
                sample_interval_s=SAMPLE_INTERVAL_S,
                **{name: round(x, 3) for name, x in self.utilization.shares.items()},
            )
        stated = tuple(sorted(self.utilization.stated.items()))
        self.put(replace(self.own, utilization=stated, caller_share=share))

    def gauges(self) -> dict[str, float]:
        """Return the smoothed shares in use and the share of callers, to show."""
        shares = {f"utilization.{k}": v for k, v in self.utilization.shares.items()}
        return shares | {
            "caller_share": self.own.caller_share,
            "caller_share_changes": self.changes,
        }

    async def run(self) -> None:
        """Measure periodically until cancelled."""
        while True:
            self.record(self.read(asyncio.get_running_loop().time()))
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def stated_utilization(instance: EntryInstance, *resources: str) -> float:
    """Return the highest utilization that an instance states, of some or all resources.

    One that states none uses less than half of each limit.
    """
    stated = [
        step
        for name, step in instance.utilization
        if not resources or name in resources
    ]
    return max(stated, default=UNSTATED_UTILIZATION)


@asynccontextmanager
async def measuring_load(load: EntryLoad) -> AsyncIterator[None]:
    """Measure while the context is open, if any limit of the instance is known."""
    if not load.limits.is_known:
        yield
        return
    async with lasting_task("entry-load", load.run):
        yield
