"""Urgency mix: which part of a service's streams is how urgent, and what came lately.

Load: a few urgent streams among many others. Reports give the urgency of the runs, but
not of the prompts that wait or are being prefilled, which most often come from other
instances. Their mix is estimated from this instance's own placements and from the runs.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from turmericusher.decisions.relay_messages import UpstreamReport

MIX_DECAY_S = 30.0
"""Seconds after which a placement has 1/e of its weight in the mix: a few times the
duration of a stream."""

URGENT_RETENTION_S = 30.0
"""Seconds without urgent streams after which nothing is kept free for them: a few times
the duration of a stream."""


@dataclass(slots=True)
class UrgencyMix:
    """The streams of one service by urgency; all times are monotonic seconds.

    `weights` has the decayed number of own placements at `updated_at`, and `seen_at`
    the time at which a stream of an urgency last arrived here or ran at an upstream.
    Both have at most one entry for each urgency.
    """

    weights: dict[int, float] = field(default_factory=dict)
    updated_at: float = 0.0
    seen_at: dict[int, float] = field(default_factory=dict)

    def record_placement(self, urgency: int, now: float) -> None:
        """Add a stream that this instance has placed."""
        factor = math.exp(-max(0.0, now - self.updated_at) / MIX_DECAY_S)
        self.weights = {each: factor * w for each, w in self.weights.items()}
        self.weights[urgency] = self.weights.get(urgency, 0.0) + 1.0
        self.updated_at = now

    def record_seen(self, urgency: int, now: float) -> None:
        """Record that a stream of an urgency has arrived or runs."""
        self.seen_at[urgency] = now

    def record_runs(self, reports: Iterable[UpstreamReport], now: float) -> None:
        """Record the urgencies of the runs at upstreams."""
        for report in reports:
            for urgency in report.runs_by_urgency:
                self.record_seen(urgency, now)

    def has_lately(self, urgency: int, now: float) -> bool:
        """Whether a stream of this urgency came or ran lately."""
        return now - self.seen_at.get(urgency, -math.inf) < URGENT_RETENTION_S

    def share_as_urgent(
        self, urgency: int, reports: Mapping[str, UpstreamReport], now: float
    ) -> float:
        """Return the share of streams that are at least as urgent, from 0 to 1.

        Own placements and the runs of the given reports count alike: an instance of a
        large fleet places few streams itself. Without either, all are assumed to be.
        """
        factor = math.exp(-max(0.0, now - self.updated_at) / MIX_DECAY_S)
        counts = {each: factor * weight for each, weight in self.weights.items()}
        for report in reports.values():
            for each, runs in report.runs_by_urgency.items():
                counts[each] = counts.get(each, 0.0) + runs.count
        total = sum(counts.values())
        if total < MIN_EVIDENCE:
            return 1.0
        return sum(w for each, w in counts.items() if each <= urgency) / total


MIN_EVIDENCE = 1.0
"""Least number of streams from which a share is estimated."""
