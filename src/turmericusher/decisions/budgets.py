"""The budget that bounds the extra load of resumes after a failure.

A token bucket filled by successful work, so that resumes stay a share of what the
service does; a small refill by time lets an idle instance resume at all.
"""

from __future__ import annotations

from dataclasses import dataclass

SHARE_PER_SUCCESS = 0.5
FLOOR_PER_S = 2.0
CAPACITY = 32.0
"""The largest burst: an instance resumes at once what it runs in one failure domain."""


@dataclass(slots=True)
class ResumeBudget:
    """The tokens left at the monotonic time `updated_at`, in seconds."""

    updated_at: float
    tokens: float = CAPACITY

    def succeeded(self, now: float) -> None:
        """Earn the share of one success."""
        self.refill(now)
        self.earn(SHARE_PER_SUCCESS)

    def spend(self, now: float) -> bool:
        """Take one token for a resume; False when there is none."""
        self.refill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refill(self, now: float) -> None:
        """Earn what the time since the last call gives."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        self.earn(elapsed_s * FLOOR_PER_S)

    def earn(self, tokens: float) -> None:
        """Add tokens up to the capacity."""
        self.tokens = min(CAPACITY, self.tokens + tokens)

    def wait_s(self, now: float) -> float:
        """Return the seconds after which a token is there at the latest."""
        refill_s = max(0.0, 1.0 - self.tokens) / FLOOR_PER_S
        return max(0.0, self.updated_at + refill_s - now)
