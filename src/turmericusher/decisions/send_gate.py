"""Whether an upstream takes a request of this instance now, by what it has said itself.

Every attempt asks here, whatever its reason: an upstream may have asked this instance
for a pause, or may have named a limit of which this instance has a share.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.send_limits import SendLimits
from turmericusher.decisions.send_pauses import SendPauses


@dataclass(frozen=True, slots=True)
class SendGate:
    """What upstreams have asked for, as one answer for each of them."""

    limits: SendLimits
    pauses: SendPauses

    def wait_s(self, name: str, now: float) -> float:
        """Return the seconds until an upstream takes the next request, 0 for now."""
        return max(self.limits.wait_s(name, now), self.pauses.wait_s(name, now))

    def closed(self, now: float) -> frozenset[str]:
        """Return the upstreams that take no request of this instance now."""
        return self.limits.blocked(now) | self.pauses.blocked(now)

    def is_paused(self, name: str, now: float) -> bool:
        """Whether an upstream wants nothing at all of this instance, not a question."""
        return self.pauses.wait_s(name, now) > 0.0

    def retain_listed(self, listed: Mapping[str, UpstreamInstance], now: float) -> None:
        """Drop what incarnations have asked for that the list no longer shows."""
        self.limits.retain_listed(listed)
        self.pauses.retain_listed(listed, now)
