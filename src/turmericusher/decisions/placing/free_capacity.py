"""Free capacity: the expected wait at each queried upstream for one more request.

Load: long prompts fill an engine's memory before its slots. An engine out of memory
lets requests wait for seconds, or preempts one and repeats its prefill.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import Lifecycle, UpstreamInstance
from turmericusher.decisions.relay_messages import UpstreamReport
from turmericusher.profiles import LEAST_URGENT, NORMAL_URGENCY

NEARLY_FULL_SHARE = 0.9
"""Share of the memory above which a request of unknown size is likely to wait."""


def is_live(upstream: UpstreamInstance) -> bool:
    """Whether an upstream is live and so takes new work."""
    return upstream.lifecycle is Lifecycle.LIVE


MAX_REPORT_AGE_S = 0.4
"""Seconds for which a new attempt may be missing from its upstream's reports."""


@dataclass(slots=True)
class RecentPlacements:
    """When this instance last placed attempts, by upstream; monotonic seconds.

    Each entry of `times` has the time and the urgency of one attempt.
    """

    times: dict[str, list[tuple[float, int]]] = field(default_factory=dict)

    def record_placement(
        self, name: str, now: float, urgency: int = NORMAL_URGENCY
    ) -> None:
        """Record an attempt that was placed on an upstream."""
        recent = [
            placed
            for placed in self.times.get(name, ())
            if now - placed[0] < MAX_REPORT_AGE_S
        ]
        self.times[name] = [*recent, (now, urgency)]

    def count(self, name: str, now: float, urgency: int = LEAST_URGENT) -> int:
        """Return how many attempts the upstream's report may not include yet.

        Only those that are at least as urgent as `urgency` count.
        """
        return sum(
            now - at < MAX_REPORT_AGE_S and placed <= urgency
            for at, placed in self.times.get(name, ())
        )


INITIAL_PREFILL_S = 1.0
"""Assumed prefill time in seconds while none was measured: that of a long prompt."""

INITIAL_PREFILL_SHARE = 0.22
"""The same as a share of the target latency, which is 4.5 s for long prompts: a route
with a short target has short prompts."""

FASTER_SMOOTHING = 1 / 4
SLOWER_SMOOTHING = 1 / 16
"""Smoothing weights for samples below and above the estimate. Those above often include
waits for prompts that other instances placed meanwhile, so they count for less."""


@dataclass(slots=True)
class PrefillTime:
    """The smoothed prefill time of one prompt on an engine, in seconds.

    Engines prefill prompts one after another, so a first event comes after the prefills
    of the prompts ahead and of its own. `updated_at` is the monotonic time of the last
    sample.
    """

    mean_s: float
    updated_at: float = 0.0

    def record_sample(
        self, first_event_s: float, prompts_ahead: float, now: float
    ) -> None:
        """Add a sample: the wait for a first event with so many prompts ahead of it."""
        self.updated_at = now
        sample_s = first_event_s / (prompts_ahead + 1)
        is_faster = sample_s < self.mean_s
        weight = FASTER_SMOOTHING if is_faster else SLOWER_SMOOTHING
        self.mean_s += weight * (sample_s - self.mean_s)

    def first_event_s(self, prompts_ahead: float) -> float:
        """Return the likely seconds to a first event with so many prompts ahead."""
        return (prompts_ahead + 1) * self.mean_s


SIZE_SMOOTHING = 1 / 16
"""Weight of a new sample: sizes differ between requests rather than over time, so the
estimate averages over several of them."""


@dataclass(slots=True)
class TypicalSize:
    """The smoothed memory need of requests, in tokens; 0 while none is known."""

    mean: float = 0.0

    def record_size(self, size: int) -> None:
        """Add the size of a request; 0 means unknown and is ignored."""
        if not size:
            return
        self.mean += (size - self.mean) * (SIZE_SMOOTHING if self.mean else 1.0)


def initial_prefill_time(target_latency_s: float) -> PrefillTime:
    """Return the assumed prefill time to use while none was measured."""
    return PrefillTime(min(INITIAL_PREFILL_S, INITIAL_PREFILL_SHARE * target_latency_s))


def count_streams_to_end(report: UpstreamReport, unreported: int, size: float) -> int:
    """Return how many streams must end before one more of `size` tokens fits.

    `unreported` counts the attempts that the report does not include yet. A prompt in
    its prefill is assumed to be half in memory. While no size is known, an engine with
    nearly full memory needs one stream to end.
    """
    if not size:
        return int(report.memory_used > NEARLY_FULL_SHARE * report.memory_total)
    queued = report.waiting + unreported + report.prefilling() / 2
    shortfall = report.memory_used + size * (queued + 1) - report.memory_total
    return max(0, math.ceil(shortfall / size))


@dataclass(frozen=True, slots=True)
class ExpectedWait:
    """What a stream waits for at an engine: prefill of other prompts, and free memory.

    `prompts_ahead` counts the prompts that are prefilled before its own.
    `streams_to_end` counts the streams that must end to free enough memory for it.
    `first_event_s` is the likely time in seconds until its first event.
    `needs_preemption`: the engine must preempt less urgent runs to hold it.
    `has_urgent_ahead`: it waits for work that is at least as urgent as itself.
    """

    prompts_ahead: float
    streams_to_end: int
    first_event_s: float
    needs_preemption: bool = False
    has_urgent_ahead: bool = True

    @property
    def is_zero(self) -> bool:
        """Whether the engine would begin at once."""
        return not self.prompts_ahead and not self.streams_to_end


@dataclass(frozen=True, slots=True)
class WaitInputs:
    """What a refusal for a long wait was decided by; times are in seconds.

    `left_s` is the longest wait that would be in time, and `urgent_share` the share of
    the prompts that count as at least as urgent. `prefill_age_s` is the time since the
    prefill time `prefill_s` was last measured, None if it never was, and `query_s` the
    time that the reports took, which are up to some hundred milliseconds older.
    """

    upstream: str
    wait: ExpectedWait
    left_s: float
    urgent_share: float
    prefill_s: float
    prefill_age_s: float | None
    query_s: float
    keeps_room: bool


@dataclass(frozen=True, slots=True)
class UrgencyView:
    """What of an engine's work counts for a stream of one urgency.

    `share` is the estimated share of the waiting and prefilling prompts that are at
    least as urgent, and `unreported` the number of own attempts that are, of those that
    the report does not include yet.
    """

    urgency: int
    share: float
    unreported: int


def expected_wait(
    report: UpstreamReport,
    unreported: int,
    size: float,
    prefill: PrefillTime,
    duration_s: float,
) -> ExpectedWait:
    """Return the expected wait at an engine whose streams last `duration_s` seconds.

    Memory is held by streams that run there and by copies of others. Both are assumed
    to need `size` tokens each and to end evenly spread over `duration_s`.
    """
    prompts_ahead = report.waiting + report.prefilling() + unreported
    streams_to_end = count_streams_to_end(report, unreported, size)
    memory_shares = max(1.0, report.memory_used / size) if size else 1.0
    memory_wait_s = streams_to_end * duration_s / memory_shares
    first_event_s = max(
        prefill.first_event_s(prompts_ahead), memory_wait_s + prefill.mean_s
    )
    return ExpectedWait(prompts_ahead, streams_to_end, first_event_s)


def urgent_wait(
    report: UpstreamReport,
    unreported: int,
    size: float,
    prefill: PrefillTime,
    duration_s: float,
    view: UrgencyView,
) -> ExpectedWait:
    """Return the expected wait of a stream where engines take urgent ones first.

    Prompts that are less urgent delay it only if they were admitted before it, and at
    least one may be when it comes. Memory of less urgent runs counts as free, at the
    price of a preemption. For a stream that no other one is less urgent than, this is
    the same as `expected_wait`.
    """
    prompts_ahead = report.prefilling() + view.share * report.waiting + view.unreported
    if unreported or report.waiting:
        prompts_ahead = max(1, prompts_ahead)
    preemptible = report.less_urgent_tokens(view.urgency)
    if size:
        queued = view.share * (report.waiting + report.prefilling() / 2)
        needed = size * (queued + view.unreported + 1)
        shortfall = report.memory_used + needed - report.memory_total
        streams_to_end = max(0, math.ceil((shortfall - preemptible) / size))
        memory_wait_s = streams_to_end * duration_s
        memory_wait_s /= max(1.0, report.memory_used / size)
    else:
        shortfall = report.memory_used - NEARLY_FULL_SHARE * report.memory_total
        streams_to_end = int(shortfall > preemptible)
        memory_wait_s = streams_to_end * duration_s
    first_event_s = max(
        prefill.first_event_s(prompts_ahead), memory_wait_s + prefill.mean_s
    )
    urgent_ahead = view.share * (report.waiting + report.prefilling())
    return ExpectedWait(
        prompts_ahead,
        streams_to_end,
        first_event_s,
        needs_preemption=shortfall > 0 and preemptible > 0,
        has_urgent_ahead=urgent_ahead + view.unreported >= 1 or streams_to_end > 0,
    )


def rank_by_wait(
    reports: Mapping[str, UpstreamReport],
    waits: Mapping[str, ExpectedWait],
    in_time_s: float = math.inf,
) -> list[str]:
    """Return the names of the upstreams that reported, the shortest wait first.

    Those that need a preemption come after those that need none, unless these would
    begin after more than `in_time_s` seconds.
    """

    def sort_key(name: str) -> tuple[bool, bool, float, float, int]:
        wait = waits[name]
        return (
            wait.first_event_s > in_time_s,
            wait.needs_preemption,
            wait.first_event_s,
            wait.prompts_ahead,
            reports[name].running,
        )

    return sorted(reports, key=sort_key)
