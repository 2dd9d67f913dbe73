"""Retry budgets, which limit the extra load of repeated requests."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from turmericusher.decisions.retrying.pooled_retries import PooledRetries, RetryLevel
from turmericusher.decisions.sliding_count import SlidingCount

BUDGET_SHARE = 0.7
"""Share of the limit on all instances' retries that their budgets add up to; the rest
allows for their different views of the fleet."""

MIN_RESERVE = 1.0
"""Minimum reserve of one instance: a retry takes 1 of it."""

OUTAGE_FAILURES = 4
"""Failures in a row, of all requests to a service, from which on it may be down."""

OUTAGE_RETRY_INTERVAL_S = 0.25
"""Seconds between two retries to a service that may be down."""

SERVING_S = 2.0
"""Seconds for which a failure domain that has answered counts as serving, if it has not
failed since. Engines that crashed together are back after about that time."""

NEW_STREAM_KEPT_SHARE = 0.5
"""Share of a reserve that new streams leave to streams in progress, also as loans."""

RESTART_SHARE = 0.4
"""Share of the reserve that a process has before it has run for a window: with what its
predecessor may have spent in the same window, this stays within the limit."""


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Limit on the retries of all instances: a share of the requests plus a slack.

    It holds in every `window_s` seconds.
    """

    ratio: float
    slack: float
    window_s: float = 10.0

    def instance_ratio(self) -> float:
        """Return the retries that an instance may make for each of its requests."""
        return BUDGET_SHARE * self.ratio

    def reserve(self, instances: int) -> float:
        """Return the reserve of retries for each of so many instances."""
        return max(MIN_RESERVE, BUDGET_SHARE * self.slack / instances)


@dataclass(slots=True)
class RetryBudget:
    """Allows retries as a share of the requests, with a small reserve.

    In every `window_s` seconds the retries are at most `reserve` plus `ratio` for each
    request. While every request fails, the load on the upstreams therefore stays below
    `1 + ratio` times the requests, and a rare failure can always be retried.

    While the last attempts of all requests have failed, the service may be down, and
    retries are spaced, so that some are left when it is back.

    A process that started at `started_at` does not know what the one before it has
    spent, so it has only a part of the reserve for its first window. So has one that
    has left a pool, since `reserve_since`. Times are in monotonic seconds.

    While `is_pooled`, the service's slack is held by budget holders, and `pooled` says
    what this instance may spend. `serving` has the failure domains that have answered
    and not failed since, with the time of the last answer. `is_for_streams`: streams
    use the service.
    """

    ratio: float = 0.2
    reserve: float = 10.0
    window_s: float = 10.0
    started_at: float = -math.inf
    failures_in_a_row: int = 0
    next_retry_at: float = -math.inf
    reserve_since: float = -math.inf
    is_for_streams: bool = False
    is_pooled: bool = False
    pooled: PooledRetries = field(init=False)
    serving: dict[str, float] = field(default_factory=dict)
    requests: SlidingCount = field(init=False)
    retries: SlidingCount = field(init=False)

    def __post_init__(self) -> None:
        """Start to count requests and retries over the window."""
        self.requests = SlidingCount(self.window_s)
        self.retries = SlidingCount(self.window_s)
        self.pooled = PooledRetries(self.window_s)

    def join_pool(self, ratio: float, part: float, now: float) -> None:
        """Use what requests earn and a part of the pooled slack, 0 for most instances.

        An instance that was no holder before is a new one from now on.
        """
        if part > 0 and (not self.is_pooled or self.pooled.part <= 0):
            self.pooled.holder_since = now
        if not self.is_pooled:
            self.pooled.earned.clear()
        self.is_pooled = True
        self.pooled.ratio, self.pooled.part = ratio, part

    def leave_pool(self, now: float) -> None:
        """Use the own reserve again, of which only a part is there for a window."""
        if self.is_pooled:
            self.is_pooled, self.reserve_since = False, now

    def record_request(self, now: float) -> None:
        """Count a first attempt, which allows `ratio` of a retry."""
        self.requests.record(now)
        if self.is_pooled:
            self.pooled.record_request(now)

    def current_reserve(self, now: float) -> float:
        """Return the reserve, of which a new process has only a part."""
        is_new = now - max(self.started_at, self.reserve_since) < self.window_s
        return self.reserve * (RESTART_SHARE if is_new else 1.0)

    def allowance(self, now: float) -> float:
        """Return how many more retries are allowed now; a retry takes 1."""
        if self.is_pooled:
            return self.pooled.earned_retries(now) + self.pooled.slack(now)
        earned = self.ratio * self.requests.count(now)
        return self.current_reserve(now) + earned - self.retries.count(now)

    def is_spaced(self, now: float) -> bool:
        """Whether no retry is due yet because the service may be down.

        In a large fleet it is not while a failure domain serves.
        """
        if self.failures_in_a_row < OUTAGE_FAILURES or now >= self.next_retry_at:
            return False
        return not (self.is_pooled and self.has_serving_domain(now))

    def has_serving_domain(self, now: float) -> bool:
        """Whether a failure domain has answered lately and not failed since."""
        return any(now - at < SERVING_S for at in self.serving.values())

    def has_retry(self, now: float, level: RetryLevel = RetryLevel.NEARLY_DONE) -> bool:
        """Whether the budget allows one more retry and keeps some for urgent ones."""
        return not self.is_spaced(now) and self.can_pay(now, level)

    def can_pay(self, now: float, level: RetryLevel) -> bool:
        """Whether one more retry is left, whether or not one is due."""
        if self.is_pooled:
            return self.pooled.can_pay(now, level)
        kept = kept_share(level) * self.current_reserve(now)
        return self.allowance(now) - kept >= 1

    def spend(self, now: float, level: RetryLevel = RetryLevel.NEARLY_DONE) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if not self.has_retry(now, level):
            return False
        self.pay(now, level)
        self.record_retry(now)
        return True

    def lend(self, now: float, level: RetryLevel, own_share: float = 0.0) -> bool:
        """Take one retry for another instance; return whether there was one.

        In a large fleet, whether the service may be down is for the borrower to say,
        and it pays `own_share` of the retry itself.
        """
        if not self.is_pooled:
            return self.spend(now, level)
        if not self.pooled.pay(now, level, 1.0 - own_share):
            return False
        self.retries.record(now)
        return True

    def pay(self, now: float, level: RetryLevel) -> None:
        """Count a retry that the budget allows."""
        self.retries.record(now)
        if self.is_pooled:
            self.pooled.pay(now, level)
        else:
            # An instance that becomes a holder has not got these once more.
            self.pooled.slack_spent.record(now)

    def record_retry(self, now: float) -> None:
        """Record that a retry is made, also one that another instance paid for."""
        self.next_retry_at = now + OUTAGE_RETRY_INTERVAL_S

    def record_failure(self, domain: str = "") -> None:
        """Record that an attempt of any request has failed in a failure domain."""
        self.failures_in_a_row += 1
        self.serving.pop(domain, None)

    def record_success(self, domain: str = "", now: float = -math.inf) -> None:
        """Record that an upstream has answered, or sent an event of a stream."""
        self.failures_in_a_row = 0
        if domain:
            self.serving[domain] = now


def kept_share(level: RetryLevel) -> float:
    """Return the share of an own reserve that a retry leaves to urgent ones."""
    return NEW_STREAM_KEPT_SHARE if level is RetryLevel.NEW else 0.0
