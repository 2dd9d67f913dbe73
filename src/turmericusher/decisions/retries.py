"""Retries: a budget that bounds the extra load that repeats may cause."""

from __future__ import annotations

from dataclasses import dataclass


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
