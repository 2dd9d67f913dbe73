"""Which holders still have the copies of KV caches that were sent to them.

Upstreams of a crashed failure domain may be back at the same addresses before the
platform's list shows the crash. If the loss of a holder goes unnoticed, its copy is
missed only when the stream's own upstream is lost as well, and the prompt then needs a
second prefill. Therefore holders are checked at intervals.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance

CHECK_INTERVAL_S = 1.5
"""Seconds between two checks of one holder: a few of them fit between two crashes of
failure domains in turn, and the list takes some seconds to show one."""

MAX_CHECKS_PER_S = 20.0
"""Most checks of one instance in a second: without the limit, 480 streams with a holder
each would cause 320 checks per second."""


LOST_EXPIRY_S = 10.0
"""Seconds for which a holder that did not answer counts as lost: twice the time that
the list takes to show a crash. A holder that is still listed then was only late."""


@dataclass(frozen=True, slots=True)
class LostIncarnation:
    """An incarnation of a holder that did not answer a check at `lost_at`."""

    incarnation: str
    lost_at: float


@dataclass(slots=True)
class HolderChecks:
    """When holders were last checked or active, and which incarnations are lost.

    Times are monotonic seconds. `next_check_at` limits the rate of checks.
    """

    last_seen_at: dict[str, float] = field(default_factory=dict)
    lost: dict[str, LostIncarnation] = field(default_factory=dict)
    next_check_at: float = 0.0

    def is_due(self, holder: UpstreamInstance, now: float) -> bool:
        """Whether a holder should be checked now.

        A holder that is not known is due as soon as the rate of checks allows.
        """
        last_seen_at = self.last_seen_at.get(holder.name, now - CHECK_INTERVAL_S)
        return now >= self.next_check_at and now - last_seen_at >= CHECK_INTERVAL_S

    def record_check(self, holder: UpstreamInstance, now: float) -> None:
        """Record that a check was sent to a holder."""
        self.record_seen(holder, now)
        self.next_check_at = max(now, self.next_check_at) + 1 / MAX_CHECKS_PER_S

    def record_seen(self, holder: UpstreamInstance, now: float) -> None:
        """Record that a holder was active or was checked, and drop expired entries."""
        self.last_seen_at = {
            name: at
            for name, at in self.last_seen_at.items()
            if now - at < CHECK_INTERVAL_S
        }
        self.last_seen_at[holder.name] = now
        self.lost = {
            name: lost_incarnation
            for name, lost_incarnation in self.lost.items()
            if now - lost_incarnation.lost_at < LOST_EXPIRY_S
        }

    def record_result(
        self, holder: UpstreamInstance, now: float, has_answered: bool
    ) -> None:
        """Record whether this incarnation of a holder answered a check."""
        if has_answered:
            self.lost.pop(holder.name, None)
        else:
            self.lost[holder.name] = LostIncarnation(holder.incarnation, now)

    def retain_listed(self, listed: Mapping[str, UpstreamInstance]) -> None:
        """Drop the lost incarnations that the list no longer shows."""
        self.lost = {
            name: lost_incarnation
            for name, lost_incarnation in self.lost.items()
            if name in listed
            and listed[name].incarnation == lost_incarnation.incarnation
        }

    def is_lost(self, holder: UpstreamInstance) -> bool:
        """Whether this incarnation of a holder did not answer its last check."""
        lost_incarnation = self.lost.get(holder.name)
        return (
            lost_incarnation is not None
            and lost_incarnation.incarnation == holder.incarnation
        )
