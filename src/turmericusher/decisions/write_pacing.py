"""Write pacing: keeps the writes within the store's budget at any rate of calls.

Each shard of claims has a token bucket. At a low rate of calls every write is sent at
once; under load the writes keep to the bucket's rate and each carries more claims.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class WritePacer:
    """A token bucket that allows `rate_per_s` writes a second and bursts of `burst`."""

    rate_per_s: float
    burst: float
    tokens: float
    refilled_at: float

    def delay(self, now: float) -> float:
        """Return the seconds to wait before the next write."""
        self.refill(now)
        return max(0.0, (1 - self.tokens) / self.rate_per_s)

    def record_write(self, now: float) -> None:
        """Record that a write is sent, which uses one token."""
        self.refill(now)
        self.tokens -= 1

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last refill."""
        new_tokens = max(0.0, now - self.refilled_at) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + new_tokens)
        self.refilled_at = now


def new_write_pacer(rate_per_s: float, burst: float, now: float) -> WritePacer:
    """Return a pacer with a full bucket."""
    return WritePacer(rate_per_s, burst, burst, now)
