"""What one instance may spend of a retry limit that a large fleet shares.

Each request at an instance earns a part of a retry there, which is spent at most once
and lapses. A budget holder also has a part of the limit's slack. Both are exact: the
requests that pay for the retries of any window lie within that window and the one
before it, and those of two windows at half the ratio are at most those of the larger
one at the whole ratio.
"""

from __future__ import annotations

import enum
import math
from collections import deque
from dataclasses import dataclass, field

from turmericusher.decisions.sliding_count import BUCKETS_PER_WINDOW

NEW_PART_SHARE = 0.4
"""Share of a part of the slack in the first window of its holder: with what the former
holder may have spent in the same window, this stays within the limit."""

LOAN_USE_S = 0.2
"""Seconds within which a loan in such a fleet must be used."""

LOAN_DELAY_S = 0.4
"""Longest time from when a lender counts a retry to when it is made: the time limit of
the answer and `LOAN_USE_S`."""

ROUNDING = 1e-9
"""Tolerance of sums of fractions."""


class RetryLevel(enum.IntEnum):
    """Who gets a scarce retry first; the lowest number is the most urgent.

    The numbers are sent to other instances; 0 is kept for those that send none.
    """

    NEARLY_DONE = 1
    WITH_COPY = 2
    IN_PROGRESS = 3
    NEW = 4


KEPT_SLACK_SHARES = {
    RetryLevel.NEARLY_DONE: 0.0,
    RetryLevel.WITH_COPY: 0.05,
    RetryLevel.IN_PROGRESS: 0.3,
    RetryLevel.NEW: 0.5,
}
"""Share of a holder's part that a retry of each level leaves to more urgent ones."""

KEPT_EARNED = {RetryLevel.NEW: 1.0}
"""Earned retries that a retry of a level leaves to more urgent ones."""


@dataclass(slots=True)
class SlidingAmount:
    """Adds up what was spent in the last `window_s` seconds, or a little longer."""

    window_s: float
    buckets: deque[list[float]] = field(default_factory=deque)

    def record(self, now: float, amount: float = 1.0) -> None:
        """Add an amount that was spent at `now`."""
        bucket_s = self.window_s / BUCKETS_PER_WINDOW
        ends_at = (math.floor(now / bucket_s) + 1) * bucket_s
        if self.buckets and self.buckets[-1][0] >= ends_at:
            self.buckets[-1][1] += amount
        else:
            self.buckets.append([ends_at, amount])

    def amount(self, now: float) -> float:
        """Return the amount of the window that ends at `now`."""
        while self.buckets and self.buckets[0][0] + self.window_s <= now:
            self.buckets.popleft()
        return sum(amount for _, amount in self.buckets)


@dataclass(slots=True)
class PooledRetries:
    """The ledger of one instance for one service; times are monotonic seconds.

    `ratio` is what a request earns, in retries, and `part` what this instance has of
    the slack in each window; it has been a holder since `holder_since`. `earned` has
    the retries earned in each short interval, with the time at which they lapse.
    """

    window_s: float
    ratio: float = 0.0
    part: float = 0.0
    holder_since: float = -math.inf
    earned: deque[list[float]] = field(default_factory=deque)
    slack_spent: SlidingAmount = field(init=False)

    def __post_init__(self) -> None:
        """Count over a window that is longer by the time that a loan may take."""
        self.slack_spent = SlidingAmount(self.window_s + LOAN_DELAY_S)

    def record_request(self, now: float) -> None:
        """Add what a request earns; it lapses early enough for a loan to be used."""
        interval_s = self.window_s / BUCKETS_PER_WINDOW
        begins_at = math.floor(now / interval_s) * interval_s
        lapses_at = begins_at + self.window_s - LOAN_DELAY_S
        if self.earned and self.earned[-1][0] >= lapses_at:
            self.earned[-1][1] += self.ratio
        else:
            self.earned.append([lapses_at, self.ratio])

    def earned_retries(self, now: float) -> float:
        """Return the earned retries that have neither lapsed nor been spent."""
        while self.earned and self.earned[0][0] <= now:
            self.earned.popleft()
        return sum(amount for _, amount in self.earned)

    def slack(self, now: float) -> float:
        """Return what is left of this instance's part of the slack."""
        is_new = now - self.holder_since < self.slack_spent.window_s
        part = self.part * (NEW_PART_SHARE if is_new else 1.0)
        return max(0.0, part - self.slack_spent.amount(now))

    def payable(self, now: float, level: RetryLevel) -> tuple[float, float]:
        """Return the earned retries and those of the slack that a level may use."""
        earned = self.earned_retries(now) - KEPT_EARNED.get(level, 0.0)
        slack = self.slack(now) - KEPT_SLACK_SHARES[level] * self.part
        return max(0.0, earned), max(0.0, slack)

    def can_pay(self, now: float, level: RetryLevel, amount: float = 1.0) -> bool:
        """Whether one more retry of a level, or a part of one, can be paid."""
        return sum(self.payable(now, level)) >= amount - ROUNDING

    def pay(self, now: float, level: RetryLevel, amount: float = 1.0) -> bool:
        """Take a retry, or a part, first of what lapses; return whether it is paid."""
        if not self.can_pay(now, level, amount):
            return False
        from_earned = min(amount, self.payable(now, level)[0])
        self.take_earned(from_earned)
        if amount - from_earned > ROUNDING:
            self.slack_spent.record(now, amount - from_earned)
        return True

    def take_earned(self, amount: float) -> list[list[float]]:
        """Take so much of what was earned, the oldest first; return what was taken."""
        taken: list[list[float]] = []
        while self.earned and amount > 0:
            lapses_at, there = self.earned[0]
            part = min(amount, there)
            taken.append([lapses_at, part])
            self.earned[0][1] -= part
            amount -= part
            if self.earned[0][1] <= ROUNDING:
                self.earned.popleft()
        return taken

    def take_own_share(self, now: float, level: RetryLevel) -> list[list[float]]:
        """Take the part of a retry that a borrower pays itself: what it has earned."""
        return self.take_earned(min(1.0, self.payable(now, level)[0]))

    def give_back(self, taken: list[list[float]]) -> None:
        """Put back what was taken for a retry that was not made."""
        self.earned = deque(sorted([*self.earned, *taken]))
