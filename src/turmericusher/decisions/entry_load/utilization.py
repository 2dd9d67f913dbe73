"""An instance's utilization: what it uses of each of its limits, smoothed, in steps.

The steps keep the instance's record from changing with each reading.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

PROCESSOR = "processor"
LINK = "link"
MEMORY = "memory"
DESCRIPTORS = "descriptors"

SMOOTHING_S = 4.0
"""Time constant of the smoothed shares in seconds. In a model of 20 uneven instances at
0.7 of their capacity, which serve some 30 callers a second each, 3 s wrote each record
0.26 to 0.27 times a second and 4 s 0.21 to 0.22 times."""

STEPS = (0.5, 0.6, 0.7, 0.8, 0.9)
"""Shares of a limit that are stated; below the first one, nothing is."""

HYSTERESIS = 0.1
"""How far a share must fall below its step before a lower one is stated."""


IDLE_SHARE = 0.9
"""Processor time per elapsed time below which the process was idle for a part of it."""


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """The limits of one instance; None for those that are not known.

    `processor_cores` is processor time in seconds per second, `link_bytes_per_s` holds
    for each direction.
    """

    processor_cores: float | None = None
    link_bytes_per_s: float | None = None
    memory_bytes: float | None = None
    descriptors: float | None = None

    @property
    def is_known(self) -> bool:
        """Whether any limit is known."""
        return self != ResourceLimits()


@dataclass(frozen=True, slots=True)
class Reading:
    """What a process uses `at` a monotonic time.

    `processor_s` and `relayed_bytes` are totals since its start, the others are current
    values; `relayed_bytes` counts one direction.
    """

    at: float
    processor_s: float
    relayed_bytes: float
    memory_bytes: float
    descriptors: float


@dataclass(slots=True)
class Utilization:
    """The smoothed shares that are in use of the known limits, by resource.

    `stated` has the step of each share; shares below one half are left out.
    `has_idled`: the processor time has advanced by less than the elapsed time. Before,
    it counts for nothing: where processes run on simulated or virtual clocks, it may
    advance with the time of day, which looks like a processor that is always busy.
    """

    limits: ResourceLimits
    has_idled: bool = False
    shares: dict[str, float] = field(default_factory=dict)
    stated: dict[str, float] = field(default_factory=dict)
    last: Reading | None = None

    def record(self, reading: Reading) -> None:
        """Add a reading; the first one only begins the measurement."""
        last, self.last = self.last, reading
        if last is None or reading.at <= last.at:
            return
        elapsed_s = reading.at - last.at
        weight = 1.0 - math.exp(-elapsed_s / SMOOTHING_S)
        processor_s = reading.processor_s - last.processor_s
        self.has_idled = self.has_idled or processor_s < IDLE_SHARE * elapsed_s
        used = {
            PROCESSOR: processor_s / elapsed_s,
            LINK: (reading.relayed_bytes - last.relayed_bytes) / elapsed_s,
            MEMORY: reading.memory_bytes,
            DESCRIPTORS: reading.descriptors,
        }
        limits = {
            PROCESSOR: self.limits.processor_cores if self.has_idled else None,
            LINK: self.limits.link_bytes_per_s,
            MEMORY: self.limits.memory_bytes,
            DESCRIPTORS: self.limits.descriptors,
        }
        for resource, limit in limits.items():
            if limit is not None:
                before = self.shares.get(resource, 0.0)
                share = before + weight * (used[resource] / limit - before)
                self.shares[resource] = share
                self.stated[resource] = next_step(self.stated.get(resource, 0.0), share)
        self.stated = {name: step for name, step in self.stated.items() if step}

    def highest(self, *resources: str) -> float:
        """Return the highest share of some resources, 0 if none of them is known."""
        return max((self.shares.get(each, 0.0) for each in resources), default=0.0)


def next_step(step: float, share: float) -> float:
    """Return the step to state for a share, after `step` was stated; 0 for none."""
    reached = max((each for each in STEPS if share >= each), default=0.0)
    kept = max((each for each in STEPS if share >= each - HYSTERESIS), default=0.0)
    return max(reached, min(step, kept))
