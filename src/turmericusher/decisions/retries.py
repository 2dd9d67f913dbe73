"""Retry budgets, which limit the extra load of repeated requests."""

from __future__ import annotations

from dataclasses import dataclass

BUDGET_SHARE = 0.7
"""Share of the limit on all instances' retries that their budgets add up to; the rest
allows for their different views of the fleet."""

MIN_RESERVE = 1.0
"""Minimum reserve of one instance: a retry takes a balance of 1."""


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Limit on the retries of all instances: a share of the requests plus a slack."""

    ratio: float
    slack: float

    def instance_ratio(self) -> float:
        """Return the retries that an instance may make for each of its requests."""
        return BUDGET_SHARE * self.ratio

    def reserve(self, instances: int) -> float:
        """Return the reserve of retries for each of so many instances."""
        return max(MIN_RESERVE, BUDGET_SHARE * self.slack / instances)


@dataclass(slots=True)
class RetryBudget:
    """Allows retries as a share of the calls, with a small reserve.

    Each first attempt earns `ratio` of a retry, up to `reserve`. While every call
    fails, the load on the upstreams therefore stays below `1 + ratio` times the calls,
    and a rare failure can always be retried.
    """

    ratio: float = 0.2
    reserve: float = 10.0
    balance: float = 10.0

    def earn(self) -> None:
        """Add the share of a retry that a first attempt earns."""
        self.balance = min(self.reserve, self.balance + self.ratio)

    def spend(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
