"""Parsing upstreams' metrics pages for their load, and scheduling the polls."""

from __future__ import annotations

import math
import random
import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from turmericusher.decisions.placing.upstream_load import LoadReport

RUNNING_METRIC = "num_requests_running"
WAITING_METRIC = "num_requests_waiting"
MAX_PAGES_PER_ROUND = 4
SAMPLE_PATTERN = re.compile(r"^([a-zA-Z_:][\w:]*)(?:\{.*\})?\s+(\S+)(?:\s+-?\d+)?\s*$")


def parse_load_metrics(text: str) -> LoadReport | None:
    """Parse a page in the Prometheus text format; return None if it has no load.

    The metric names are those of vLLM, with any prefix before the last colon; samples
    that differ only in labels are summed. A negative or non-finite value invalidates
    the whole page.
    """
    totals: dict[str, float] = {}
    for line in text.splitlines():
        match = SAMPLE_PATTERN.match(line)
        if match is None:
            continue
        name = match.group(1).rpartition(":")[2]
        if name not in (RUNNING_METRIC, WAITING_METRIC):
            continue
        value = parse_sample(match.group(2))
        if value is None:
            return None
        totals[name] = totals.get(name, 0.0) + value
    if RUNNING_METRIC not in totals:
        return None
    return LoadReport(totals[RUNNING_METRIC], totals.get(WAITING_METRIC, 0.0))


def parse_sample(text: str) -> float | None:
    """Return a sample's value, None unless it is finite and not negative."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None


@dataclass(slots=True)
class PollScheduler:
    """Chooses a bounded number of upstreams to poll in each round.

    `polled_at` maps an upstream to the monotonic time of its last poll.
    """

    random: random.Random
    polled_at: dict[str, float] = field(default_factory=dict)

    def next_round(self, names: Iterable[str], now: float) -> list[str]:
        """Return the upstreams to poll now, those polled longest ago first."""
        known = {name: self.polled_at.get(name, -math.inf) for name in sorted(names)}
        self.polled_at = known
        order = sorted(known, key=lambda name: (known[name], self.random.random()))
        chosen = order[:MAX_PAGES_PER_ROUND]
        for name in chosen:
            known[name] = now
        return chosen
