"""Room: which of the upstreams asked has the most of it for one more request.

Load: long prompts fill an engine's memory before its slots. An engine out of memory
lets requests wait for seconds, or preempts one and reads its prompt again.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import Lifecycle, UpstreamInstance
from turmericusher.decisions.relay_messages import UpstreamReport

NEARLY_FULL = 0.9
"""Part of the memory above which a request of unknown size is likely to wait."""


def can_take(upstream: UpstreamInstance) -> bool:
    """Whether an upstream takes new work."""
    return upstream.lifecycle is Lifecycle.LIVE


REPORT_AGE_S = 0.4
"""Time for which an attempt that was placed may be missing from the reports."""


@dataclass(slots=True)
class RecentPlacements:
    """When this instance last placed attempts, by upstream; monotonic seconds."""

    times: dict[str, list[float]] = field(default_factory=dict)

    def note(self, name: str, now: float) -> None:
        """Note an attempt that was placed on an upstream."""
        recent = [at for at in self.times.get(name, ()) if now - at < REPORT_AGE_S]
        self.times[name] = [*recent, now]

    def count(self, name: str, now: float) -> int:
        """Return the attempts that the upstream's report may not show yet."""
        return sum(now - at < REPORT_AGE_S for at in self.times.get(name, ()))


FIRST_READING_S = 1.0
"""Time to read one prompt while none has been measured: the users' long prompts."""

FIRST_READING_SHARE = 0.22
"""The same as a part of the target latency, which is 4.5 s for those prompts: a route
with a short target has short prompts."""

FASTER_SMOOTHING = 1 / 4
SLOWER_SMOOTHING = 1 / 16
"""A sample above the estimate often holds waits behind prompts that others placed
meanwhile, so it counts for less."""


@dataclass(slots=True)
class ReadingTime:
    """How long an engine takes to read one prompt, smoothed, in seconds.

    Engines read prompts one after another, so a first event comes after the prompts
    before it and its own. `learned_at` is the monotonic time of the last sample.
    """

    mean_s: float
    learned_at: float = 0.0

    def learn(self, first_event_s: float, before: int, now: float) -> None:
        """Take in the wait for a first event behind so many prompts."""
        self.learned_at = now
        sample_s = first_event_s / (before + 1)
        is_faster = sample_s < self.mean_s
        weight = FASTER_SMOOTHING if is_faster else SLOWER_SMOOTHING
        self.mean_s += weight * (sample_s - self.mean_s)

    def first_event_s(self, before: int) -> float:
        """Return the likely wait for a first event behind so many prompts."""
        return (before + 1) * self.mean_s


SIZE_SMOOTHING = 1 / 16
"""Sizes differ between requests, not with time: slow enough to average some of them."""


@dataclass(slots=True)
class TypicalSize:
    """The memory that requests need, in tokens, smoothed; 0 while none has told it."""

    mean: float = 0.0

    def learn(self, size: int) -> None:
        """Take in the size of a request, 0 where it does not tell."""
        if not size:
            return
        self.mean += (size - self.mean) * (SIZE_SMOOTHING if self.mean else 1.0)


def guessed_reading(target_latency_s: float) -> ReadingTime:
    """Return what to go by while no prompt has been measured."""
    return ReadingTime(min(FIRST_READING_S, FIRST_READING_SHARE * target_latency_s))


def ends_before_room(report: UpstreamReport, placed: int, size: float) -> int:
    """Return how many streams must end before one more of `size` tokens fits.

    `placed` counts those that the report does not show yet. A prompt that is being read
    is taken to be half in memory. While no size is known, a nearly full engine has no
    room.
    """
    if not size:
        return int(report.memory_used > NEARLY_FULL * report.memory_total)
    queued = report.waiting + placed + report.reading() / 2
    lacking = report.memory_used + size * (queued + 1) - report.memory_total
    return max(0, math.ceil(lacking / size))


@dataclass(frozen=True, slots=True)
class ExpectedWait:
    """What a stream would wait for at an engine: prompts to be read, streams to end.

    `first_event_s` is the likely time until its first event.
    """

    prompts: int
    ends: int
    first_event_s: float

    @property
    def is_none(self) -> bool:
        """Whether the engine would begin at once."""
        return not self.prompts and not self.ends


def expected_wait(
    report: UpstreamReport,
    placed: int,
    size: float,
    reading: ReadingTime,
    duration_s: float,
) -> ExpectedWait:
    """Return the wait at an engine whose streams last `duration_s`.

    Memory is held by streams that run there and by copies of others; all end alike.
    """
    prompts = report.waiting + report.reading() + placed
    ends = ends_before_room(report, placed, size)
    holders = max(1.0, report.memory_used / size) if size else 1.0
    room_s = ends * duration_s / holders
    first_event_s = max(reading.first_event_s(prompts), room_s + reading.mean_s)
    return ExpectedWait(prompts, ends, first_event_s)


def rank_by_wait(
    reports: Mapping[str, UpstreamReport], waits: Mapping[str, ExpectedWait]
) -> list[str]:
    """Return the names of the upstreams that answered, the shortest wait first."""

    def order(name: str) -> tuple[float, int, int]:
        wait = waits[name]
        return wait.first_event_s, wait.prompts, reports[name].running

    return sorted(reports, key=order)
