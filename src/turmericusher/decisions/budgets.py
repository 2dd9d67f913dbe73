"""Budgets that bound the extra load after a failure.

A budget is a token bucket filled by successful work, so that repeats stay a share of
what the service does; a small refill by time lets an idle instance repeat at all.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """`share` is earned by each success, `floor_per_s` by each second.

    `capacity` bounds what may be saved up, and so the largest burst.
    """

    share: float
    floor_per_s: float
    capacity: float


RETRY_LIMITS = BudgetLimits(share=0.1, floor_per_s=0.5, capacity=10.0)
RESUME_LIMITS = BudgetLimits(share=0.5, floor_per_s=2.0, capacity=32.0)
"""Resumes get more than retries: each one saves work already delivered. The burst lets
an instance resume at once what it runs in one failure domain."""


@dataclass(slots=True)
class Budget:
    """The tokens left at the monotonic time `updated_at`, in seconds."""

    limits: BudgetLimits
    tokens: float
    updated_at: float

    def succeeded(self, now: float) -> None:
        """Earn the share of one success."""
        self.refill(now)
        self.earn(self.limits.share)

    def spend(self, now: float) -> bool:
        """Take one token for a repeat; False when there is none."""
        self.refill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refill(self, now: float) -> None:
        """Earn what the time since the last call gives."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        self.earn(elapsed_s * self.limits.floor_per_s)

    def earn(self, tokens: float) -> None:
        """Add tokens up to the capacity."""
        self.tokens = min(self.limits.capacity, self.tokens + tokens)

    def wait_s(self, now: float) -> float:
        """Return the seconds after which a token is there at the latest."""
        missing = max(0.0, 1.0 - self.tokens)
        refill_s = missing / self.limits.floor_per_s
        return max(0.0, self.updated_at + refill_s - now)


def retry_budget(now: float) -> Budget:
    """Return a full budget for repeats of failed calls."""
    return Budget(RETRY_LIMITS, RETRY_LIMITS.capacity, now)


def resume_budget(now: float) -> Budget:
    """Return a full budget for resumes of generations."""
    return Budget(RESUME_LIMITS, RESUME_LIMITS.capacity, now)
