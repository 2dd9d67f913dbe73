"""Counts of answers by version and route, in bounded memory.

Only what an engine has answered counts. A refusal for want of room, a lost connection
and the crash of an engine tell nothing of its version. An engine that is silent may
have crashed: that it was slow counts only once it has answered something later.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.rollouts.orders import CountKey, Counts

ANSWER = "a"
FAILURE = "f"
FIRST = "t"
PACE = "p"
"""Measures: answers, failures, seconds to the answer or first event, seconds between
two events of a stream."""

MIN_TIME_S = {FIRST: 0.01, PACE: 0.000_5}
BUCKETS = 48
BUCKETS_PER_DOUBLING = 4
"""Times are counted in buckets, each 1.19 times as long as the one before, up to 3,000
times the least one."""

MAX_LOAD = 3
"""Load classes: requests at the engine when it got the request, up to 0, 2, 6 and
more."""

MAX_ROUTES = 16
"""Routes of a service that are told apart; the others are counted together."""

OTHER_ROUTES = "*"
MAX_SILENT = 256
"""Silent attempts that are remembered; the oldest ones are dropped beyond that."""

SILENT_REVIEW_S = 1.5
"""Seconds after which it is reviewed whether a silent engine has answered since: an
engine that crashed is not back sooner."""


@dataclass(frozen=True, slots=True)
class SilentAttempt:
    """An attempt that was given up after `silent_s` seconds without an answer."""

    upstream: UpstreamInstance
    key: CountKey
    at: float


@dataclass(slots=True)
class Evidence:
    """The answers to this instance since an order, for one service.

    `silent` are attempts that wait for their review, and `answered_at` when each engine
    with such an attempt, by name, last answered.
    """

    target: str
    counts: Counts = field(default_factory=Counter)
    routes: set[str] = field(default_factory=set)
    silent: deque[SilentAttempt] = field(
        default_factory=lambda: deque(maxlen=MAX_SILENT)
    )
    answered_at: dict[str, float] = field(default_factory=dict)

    def add_baseline(self, earlier: Iterable[Evidence]) -> None:
        """Add the times of the versions in force before the order."""
        for each in earlier:
            for key, count in each.counts.items():
                route = self.route_key(key.route)
                self.counts[key._replace(route=route, is_target=False)] += count

    def route_key(self, route: str) -> str:
        """Return the route under which answers are counted."""
        if route in self.routes or len(self.routes) < MAX_ROUTES:
            self.routes.add(route)
            return route
        return OTHER_ROUTES

    def record_answer(
        self, upstream: UpstreamInstance, route: str, is_failure: bool, now: float
    ) -> None:
        """Count a complete answer, or a failure that the engine answered with."""
        key = CountKey(
            self.route_key(route),
            upstream.version == self.target,
            FAILURE if is_failure else ANSWER,
        )
        self.counts[key] += 1
        self.record_alive(upstream, now)

    def record_time(
        self,
        upstream: UpstreamInstance,
        route: str,
        measure: str,
        load: float,
        seconds: float,
    ) -> None:
        """Count how long an engine took."""
        self.counts[self.time_key(upstream, route, measure, load, seconds)] += 1

    def time_key(
        self,
        upstream: UpstreamInstance,
        route: str,
        measure: str,
        load: float,
        seconds: float,
    ) -> CountKey:
        """Return what a time is counted as."""
        return CountKey(
            self.route_key(route),
            upstream.version == self.target,
            measure,
            load_class(load),
            bucket(measure, seconds),
        )

    def record_silence(
        self,
        upstream: UpstreamInstance,
        route: str,
        measure: str,
        load: float,
        silent_s: float,
        now: float,
    ) -> None:
        """Remember an attempt without an answer until its engine has shown to live."""
        key = self.time_key(upstream, route, measure, load, silent_s)
        self.silent.append(SilentAttempt(upstream, key, now))

    def record_alive(self, upstream: UpstreamInstance, now: float) -> None:
        """Record that an engine has answered something."""
        if self.silent:
            self.answered_at[upstream.name] = now

    def review(
        self, is_current: Callable[[UpstreamInstance], bool], now: float
    ) -> None:
        """Count the silent attempts whose engines have answered since; drop others."""
        while self.silent and now - self.silent[0].at >= SILENT_REVIEW_S:
            attempt = self.silent.popleft()
            answered_at = self.answered_at.get(attempt.upstream.name, -math.inf)
            if answered_at > attempt.at and is_current(attempt.upstream):
                self.counts[attempt.key] += 1
        if not self.silent:
            self.answered_at.clear()


def load_class(requests: float) -> int:
    """Return the class of an engine's load, in requests that it has."""
    return min(MAX_LOAD, int(math.log2(1.0 + max(0.0, requests))))


def bucket(measure: str, seconds: float) -> int:
    """Return the bucket of a time."""
    ratio = max(seconds, 0.0) / MIN_TIME_S[measure]
    if ratio <= 1.0:
        return 0
    return min(BUCKETS - 1, 1 + int(BUCKETS_PER_DOUBLING * math.log2(ratio)))
