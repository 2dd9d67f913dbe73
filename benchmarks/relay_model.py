"""A model of engines that prefill one prompt at a time, behind production decisions.

Several entry instances see load reports of a fixed age; a refused caller returns once.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from tests.common.relay_fixtures import make_relay_shared, make_test_relay
from turmericusher.decisions.generation_messages import Fail
from turmericusher.decisions.relay_messages import (
    EventArrived,
    LoadsReported,
    StartRelay,
    StreamOpened,
    UpstreamReport,
)
from turmericusher.decisions.routing import RequestKind
from turmericusher.errors import Verdict

PREFILL_S = 1.0
"""Prefill time of every prompt."""
REPORT_AGE_S = 0.25
TARGET_S = 4.5
ENGINES = 3
DURATION_S = 120.0
INSTANCES = 4


@dataclass
class PrefillEngine:
    """Prefills prompts one after another; `prefill_ends` has their end times."""

    prefill_ends: list[float] = field(default_factory=list)

    def enqueue(self, now: float) -> float:
        """Queue a prompt and return the time at which its prefill ends."""
        start_at = max(now, self.prefill_ends[-1] if self.prefill_ends else now)
        self.prefill_ends.append(start_at + PREFILL_S)
        return start_at + PREFILL_S

    def report(self, now: float) -> UpstreamReport:
        """Return a load report that is `REPORT_AGE_S` old."""
        in_prefill = [
            end
            for end in self.prefill_ends
            if end - PREFILL_S <= now - REPORT_AGE_S < end
        ]
        unfinished = [end for end in self.prefill_ends if end > now - REPORT_AGE_S]
        waiting = max(0, len(unfinished) - len(in_prefill))
        return UpstreamReport("1", len(in_prefill), waiting, 0, 88_000, {})


@dataclass
class OutcomeCounts:
    """Counts of the callers' outcomes; a refused caller that returns counts once."""

    in_time: int = 0
    late: int = 0
    refused: int = 0


def simulate(load: float, target_s: float, seed: int = 3) -> OutcomeCounts:
    """Simulate arrivals at `load` times the engines' prefill capacity."""
    rng = random.Random(seed)
    engines = {f"u{index}": PrefillEngine() for index in range(ENGINES)}
    shared_states = [make_relay_shared(ENGINES) for _ in range(INSTANCES)]
    arrivals, now = [], 0.0
    while now < DURATION_S:
        now += rng.expovariate(load * ENGINES / PREFILL_S)
        arrivals.append((now, now, True))
    counts, pending = OutcomeCounts(), []
    while arrivals:
        arrivals.sort()
        now, arrived_at, can_return = arrivals.pop(0)
        for done in [entry for entry in pending if entry[0] <= now]:
            pending.remove(done)
            done[1].handle(EventArrived(1, done[0], b"", 1), done[0])
        relay = make_test_relay(
            RequestKind.RESUMABLE_STREAM,
            rng.choice(shared_states),
            deadline=now + 25.0,
            arrived_at=now,
            reports_load=True,
            target_latency_s=target_s,
            timeout_s=25.0,
        )
        relay.start(now)
        reports = {name: engine.report(now) for name, engine in engines.items()}
        (action,) = relay.handle(LoadsReported(now, reports), now)
        if isinstance(action, StartRelay):
            at = engines[action.upstream.name].enqueue(now)
            relay.handle(StreamOpened(1, at, ()), now)
            pending.append((at, relay))
            counts.in_time += at - arrived_at <= TARGET_S
            counts.late += at - arrived_at > TARGET_S
            continue
        assert isinstance(action, Fail)
        assert action.verdict is Verdict.NOT_RUN
        if can_return:
            arrivals.append((now + action.retry_after_s, arrived_at, False))
        else:
            counts.refused += 1
    return counts
