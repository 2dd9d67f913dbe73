"""Room: which of the upstreams asked has the most of it for one more request.

Load: long prompts fill an engine's memory before its slots. An engine out of memory
lets requests wait for seconds, or preempts one and reads its prompt again.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import Lifecycle, UpstreamInstance
from turmericusher.decisions.relay_messages import UpstreamReport

NEARLY_FULL = 0.9
"""Part of the memory above which one more request is likely to wait."""


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
    before it and its own.
    """

    mean_s: float

    def learn(self, first_event_s: float, before: int) -> None:
        """Take in the wait for a first event behind so many prompts."""
        sample_s = first_event_s / (before + 1)
        is_faster = sample_s < self.mean_s
        weight = FASTER_SMOOTHING if is_faster else SLOWER_SMOOTHING
        self.mean_s += weight * (sample_s - self.mean_s)

    def first_event_s(self, before: int) -> float:
        """Return the likely wait for a first event behind so many prompts."""
        return (before + 1) * self.mean_s


def guessed_reading(target_latency_s: float) -> ReadingTime:
    """Return what to go by while no prompt has been measured."""
    return ReadingTime(min(FIRST_READING_S, FIRST_READING_SHARE * target_latency_s))


def prompts_before(
    report: UpstreamReport, placements: RecentPlacements, name: str, now: float
) -> int:
    """Return how many prompts an upstream reads before one that comes now."""
    return report.waiting + report.reading() + placements.count(name, now)


def rank_by_room(
    reports: Mapping[str, UpstreamReport],
    placements: RecentPlacements,
    size: int,
    now: float,
) -> list[str]:
    """Return the names of the upstreams that answered, the one with most room first.

    Prompts are read one after another, so those that wait or are being read count
    before the requests that already bring events. `size` is the request's own need in
    tokens.
    """

    def order(name: str) -> tuple[bool, int, int]:
        report = reports[name]
        needed = report.memory_used + size * (1 + placements.count(name, now))
        is_full = needed > NEARLY_FULL * report.memory_total
        before = prompts_before(report, placements, name, now)
        return is_full, before, report.running

    return sorted(reports, key=order)
