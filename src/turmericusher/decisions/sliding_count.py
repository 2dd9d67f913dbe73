"""Counts of events in the last seconds."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

BUCKETS_PER_WINDOW = 20
"""Parts of a window whose events are counted together and leave it together."""


@dataclass(slots=True)
class SlidingCount:
    """Counts events of the last `window_s` seconds, in memory that does not grow.

    An event is counted for up to one bucket longer than the window, never shorter.
    """

    window_s: float
    buckets: deque[tuple[float, int]] = field(default_factory=deque)
    total: int = 0

    def record(self, now: float) -> None:
        """Count one event at `now`, in monotonic seconds."""
        bucket_s = self.window_s / BUCKETS_PER_WINDOW
        ends_at = (math.floor(now / bucket_s) + 1) * bucket_s
        if self.buckets and self.buckets[-1][0] >= ends_at:
            last_ends_at, count = self.buckets.pop()
            self.buckets.append((last_ends_at, count + 1))
        else:
            self.buckets.append((ends_at, 1))
        self.total += 1

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends at `now`."""
        while self.buckets and self.buckets[0][0] + self.window_s <= now:
            self.total -= self.buckets.popleft()[1]
        return self.total
