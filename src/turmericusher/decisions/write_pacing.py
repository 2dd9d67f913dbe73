"""Pacing of writes: the store's budget, whatever the rate of calls.

Each shard of claims has a token bucket. While calls are rare every write goes out at
once; under load the writes keep to the rate and each carries more claims.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class WritePacer:
    """A token bucket: `rate_per_s` writes a second, and `burst` at once."""

    rate_per_s: float
    burst: float
    tokens: float
    refilled_at: float

    def delay(self, now: float) -> float:
        """Return the seconds to wait before the next write."""
        self.refill(now)
        return max(0.0, (1 - self.tokens) / self.rate_per_s)

    def take(self, now: float) -> None:
        """Count a write."""
        self.refill(now)
        self.tokens -= 1

    def refill(self, now: float) -> None:
        """Add the tokens of the time that passed."""
        gained = max(0.0, now - self.refilled_at) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + gained)
        self.refilled_at = now


def write_pacer(rate_per_s: float, burst: float, now: float) -> WritePacer:
    """Return a full bucket."""
    return WritePacer(rate_per_s, burst, burst, now)
