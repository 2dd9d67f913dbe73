"""Sequential tests of whether a version is worse than the one in force on any route.

Each route has a sequential probability ratio test (Wald, 1945) for failures, one for
the times to the answer, and one for the pace of streams. The log likelihood ratio never
falls below the bound at which the test accepts, so that a version that becomes bad
later is found as soon as one that is bad at once (the bound of Page's test, 1954).
"""

from __future__ import annotations

import enum
import math
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from turmericusher.decisions.rollouts.evidence import (
    ANSWER,
    BUCKETS,
    FAILURE,
    FIRST,
    MAX_LOAD,
    PACE,
)
from turmericusher.decisions.rollouts.orders import CountKey, Counts

FALSE_ALARM_RATE = 0.001
MISS_RATE = 0.01
"""Error rates of each test: a good version taken for bad, a bad one for good."""

REJECT_AT = math.log((1 - MISS_RATE) / FALSE_ALARM_RATE)
ACCEPT_AT = math.log(MISS_RATE / (1 - FALSE_ALARM_RATE))

GOOD_FAILURE_RATE = 0.02
BAD_FAILURE_RATE = 0.2
"""Failures of a good version at most, and of a bad one at least, where the version in
force has none."""

GOOD_SLOW_RATE = 0.05
BAD_SLOW_RATE = 0.25
"""The same for slow answers."""

LEAN_AT = 2.4
"""Log likelihood ratio above which a test points to a bad version: more than what one
failure brings, since a good version may fail once."""

MAX_GOOD_RATE = 0.4
"""A good version's rate is taken to be no larger, whatever that of the one in force."""

RATE_FACTOR = 1.5
BAD_FACTOR = 3.0
"""A good version may have 1.5 times the rate of the one in force, a bad one has at
least three times a good one's."""

SLOW_QUANTILE = 0.9
SLOW_BUCKETS = 3
"""An answer is slow if it takes 1.4 to 1.7 times as long as 0.9 of those of the version
in force, in whole buckets. Versions are bad that are several times slower; engines of
one version differ too, which the quantile contains."""

OTHER_LOAD_BUCKETS = 3
"""Further buckets, 1.7 times the time, where those in force are known from engines with
less load only."""

MIN_REFERENCE = 12
"""Answers of the version in force from which its times are known."""


class Verdict(enum.Enum):
    """What the tests say of a version."""

    UNKNOWN = "unknown"
    GOOD = "good"
    BAD = "bad"


class Criterion(NamedTuple):
    """What one test is about: a route and a measure there."""

    route: str
    measure: str


class Outcomes(NamedTuple):
    """Good and bad outcomes of one kind, and the rate of bad ones in force."""

    good: int
    bad: int
    rate: float


@dataclass(slots=True)
class VersionTests:
    """The tests of one version; `seen` are the counts that they have used.

    `ratios` has the log likelihood ratio of each test, and `accepted` the tests that
    have accepted the version. `rejected` is the test that found it bad, at a ratio of
    `reject_at`; that stays.
    """

    reject_at: float = REJECT_AT
    ratios: dict[Criterion, float] = field(default_factory=dict)
    accepted: set[Criterion] = field(default_factory=set)
    rejected: Criterion | None = None
    seen: Counts = field(default_factory=Counter)
    bad_outcomes: int = 0

    def update(self, counts: Counts) -> None:
        """Test what was counted since the last time; `counts` are all so far."""
        new = Counter(
            {
                key: count - self.seen[key]
                for key, count in counts.items()
                if key.is_target and count > self.seen[key]
            }
        )
        for key in new:
            self.seen[key] = counts[key]
        for route in {key.route for key in new}:
            for test, outcomes in route_outcomes(route, counts, new):
                self.add(test, outcomes)

    def add(self, test: Criterion, outcomes: Outcomes) -> None:
        """Add outcomes to a test."""
        is_failure = test.measure == FAILURE
        least = GOOD_FAILURE_RATE if is_failure else GOOD_SLOW_RATE
        least_bad = BAD_FAILURE_RATE if is_failure else BAD_SLOW_RATE
        good_rate = min(MAX_GOOD_RATE, max(least, RATE_FACTOR * outcomes.rate))
        bad_rate = min(0.9, max(least_bad, BAD_FACTOR * good_rate))
        ratio = self.ratios.get(test, 0.0)
        ratio += outcomes.bad * math.log(bad_rate / good_rate)
        ratio += outcomes.good * math.log((1 - bad_rate) / (1 - good_rate))
        self.bad_outcomes += outcomes.bad
        self.ratios[test] = max(ratio, ACCEPT_AT)
        if ratio <= ACCEPT_AT:
            self.accepted.add(test)
        if ratio >= self.reject_at and self.rejected is None:
            self.rejected = test

    def verdict(self, routes: frozenset[str]) -> Verdict:
        """Return the verdict; the version is good if it is on each of the routes."""
        if self.rejected is not None:
            return Verdict.BAD
        is_tested = routes <= self.accepted_routes()
        # A test that has begun to point to a bad version is not over.
        is_calm = all(test in self.accepted for test in self.ratios)
        if routes and is_tested and is_calm:
            return Verdict.GOOD
        return Verdict.UNKNOWN

    def accepted_routes(self) -> frozenset[str]:
        """Return the routes on which the version neither fails nor is slow."""
        return frozenset(
            test.route
            for test in self.accepted
            if test.measure == FAILURE and Criterion(test.route, FIRST) in self.accepted
        )

    def leans_to_bad(self) -> bool:
        """Whether any test points to a bad version."""
        return any(ratio > LEAN_AT for ratio in self.ratios.values())


def routes_in_use(counts: Counts, least: int) -> frozenset[str]:
    """Return the routes that have had so many answers of any version."""
    answers: Counter[str] = Counter()
    for key, count in counts.items():
        if key.measure in (ANSWER, FAILURE):
            answers[key.route] += count
    return frozenset(route for route, count in answers.items() if count >= least)


def route_outcomes(
    route: str, counts: Counts, new: Counts
) -> Iterator[tuple[Criterion, Outcomes]]:
    """Yield the new outcomes of each test of a route."""
    answers = counts[CountKey(route, False, ANSWER)]
    failures = counts[CountKey(route, False, FAILURE)]
    rate = failures / max(answers + failures, MIN_REFERENCE)
    good = new[CountKey(route, True, ANSWER)]
    bad = new[CountKey(route, True, FAILURE)]
    if good or bad:
        yield Criterion(route, FAILURE), Outcomes(good, bad, rate)
    for measure in (FIRST, PACE):
        for load in range(MAX_LOAD + 1):
            times = [new[CountKey(route, True, measure, load, b)] for b in BUCKET_RANGE]
            if not any(times):
                continue
            reference, margin = reference_times(route, measure, load, counts), 0
            if reference is None:
                reference = reference_times(route, measure, 0, counts)
                margin = OTHER_LOAD_BUCKETS
            if reference is None:
                continue
            limit = slow_bucket(reference) + margin
            slow = sum(reference[limit:]) / sum(reference)
            outcomes = Outcomes(sum(times[:limit]), sum(times[limit:]), slow)
            yield Criterion(route, measure), outcomes


BUCKET_RANGE = range(BUCKETS)


def reference_times(
    route: str, measure: str, load: int, counts: Counts
) -> list[int] | None:
    """Return the times of the version in force at a load, or else at higher ones.

    Returns None if too few are known.
    """
    total = [0] * BUCKETS
    for known in range(load, MAX_LOAD + 1):
        for number in BUCKET_RANGE:
            total[number] += counts[CountKey(route, False, measure, known, number)]
        if sum(total) >= MIN_REFERENCE:
            return total
    return None


def slow_bucket(reference: list[int]) -> int:
    """Return the first bucket whose times are slow, given those in force."""
    wanted, found = SLOW_QUANTILE * sum(reference), 0
    for number, count in enumerate(reference):
        found += count
        if found >= wanted:
            return number + SLOW_BUCKETS
    return BUCKETS
