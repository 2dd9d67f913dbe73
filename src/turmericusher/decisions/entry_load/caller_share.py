"""The share of callers that an instance asks for, relative to one that is not pressed.

Processor and link follow the number of callers, so the share is controlled by what is
measured: a fixed function of the utilization would swing, because callers follow a
changed share only after seconds. Memory and descriptors hardly follow it, and have such
a function.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from turmericusher.decisions.entry_load.utilization import (
    DESCRIPTORS,
    LINK,
    MEMORY,
    PROCESSOR,
    Utilization,
)

UNSTATED_UTILIZATION = 0.45
"""Utilization assumed of an instance that states none: just below the first step, so
that callers are not moved there in larger numbers than necessary."""

HIGH_UTILIZATION = 0.75
"""Share of a limit from which an instance asks for fewer callers."""

LOW_UTILIZATION = 0.55
"""Share of a limit below which an instance asks for more callers again."""

TARGET_UTILIZATION = 0.65
"""Share of a limit at which a changed share of callers aims."""

MARGIN = 0.15
"""How much less utilized another instance must be before this one asks for fewer
callers. Without it, all would ask for fewer in overload, down to the least share, and
the shares would be equal again."""

STEP_RATIO = 0.87
"""Ratio of two neighbouring shares: one step from the target stays between the low and
the high utilization."""

LEAST_SHARE = STEP_RATIO**20
"""The least share of callers, 0.062: machines differ in size by less than 16 times."""

SETTLE_S = 5.0
"""Seconds after a change within which its effect is not complete: the record is written
(1 s), spreads (1 to 2 s), callers ask again (1 s), and the smoothed shares follow."""


@dataclass(slots=True)
class CallerShare:
    """The share that this instance asks for, 1 while it is not pressed.

    `level` counts the steps below 1 for processor and link. `changed_at` is when it
    changed last, in monotonic seconds.
    """

    level: int = 0
    changed_at: float = -math.inf

    def update(
        self,
        own: Utilization,
        lowest_other: float,
        highest_other: float,
        now: float,
    ) -> None:
        """Adapt the share to the own utilization and those of the others.

        It rises as well while another instance is more utilized: otherwise all shares
        would fall by and by, down to the least one.
        """
        if now - self.changed_at < SETTLE_S:
            return
        used = own.highest(PROCESSOR, LINK)
        level = self.level
        if used >= HIGH_UTILIZATION and used - lowest_other >= MARGIN:
            level += max(1, round(steps_between(TARGET_UTILIZATION, used)))
        elif used < LOW_UTILIZATION:
            level -= max(1, math.floor(steps_between(used, TARGET_UTILIZATION)))
        elif used < STEP_RATIO * HIGH_UTILIZATION and highest_other - used >= MARGIN:
            level -= 1
        most = round(steps_between(LEAST_SHARE, 1.0))
        level = min(max(level, 0), most)
        if level != self.level:
            self.level, self.changed_at = level, now

    def share(self, own: Utilization) -> float:
        """Return the share of callers, above 0 and up to 1."""
        stated = max(own.stated.get(MEMORY, 0.0), own.stated.get(DESCRIPTORS, 0.0))
        remaining = min(1.0, 2.0 * (1.0 - stated))
        return min(STEP_RATIO**self.level, remaining)


def steps_between(lower: float, upper: float) -> float:
    """Return how many steps of the share lead from `upper` to `lower`."""
    return math.log(max(lower, LEAST_SHARE) / upper) / math.log(STEP_RATIO)
