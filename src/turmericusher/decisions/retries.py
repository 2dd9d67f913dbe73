"""Retries: a budget that bounds the extra load that repeats may cause."""

from __future__ import annotations

from dataclasses import dataclass

BUDGET_SHARE = 0.7
"""Part of a bound on the repeats of all instances that they plan with together; the
rest is for their differing views of the fleet."""

LEAST_RESERVE = 1.0


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """What all instances together may repeat: a share of the requests and a slack."""

    ratio: float
    slack: float

    def ratio_of_one(self) -> float:
        """Return the repeats that one instance may make for each of its requests."""
        return BUDGET_SHARE * self.ratio

    def reserve(self, instances: int) -> float:
        """Return the repeats that one of so many instances may make beyond that."""
        return max(LEAST_RESERVE, BUDGET_SHARE * self.slack / instances)


@dataclass(slots=True)
class RetryBudget:
    """Allows retries as a share of the calls, with a small reserve.

    Each first attempt earns `ratio` of a retry, up to `reserve`. While every call
    fails, the load on the upstreams therefore stays below `1 + ratio` times the
    calls, and a rare failure is always retried.
    """

    ratio: float = 0.2
    reserve: float = 10.0
    balance: float = 10.0

    def earn(self) -> None:
        """Count a first attempt."""
        self.balance = min(self.reserve, self.balance + self.ratio)

    def spend(self) -> bool:
        """Take one retry out of the budget; return whether there was one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
