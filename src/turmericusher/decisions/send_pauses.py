"""Pauses that upstreams ask an instance for when they refuse its requests.

Such an upstream wants no more requests of that instance for a stated time. What it has
told one instance says nothing of the others, and it has not failed: it is neither
ejected nor suspected.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance

LIST_LAG_S = 3.0
"""Seconds after which the list shows an incarnation that has answered. A pause that was
asked for later than that before a change of the list may be the new one's."""

MALFORMED_LOG_INTERVAL_S = 10.0
"""Seconds between two log lines on malformed pauses of one upstream."""


@dataclass(slots=True)
class Pause:
    """The pause of one incarnation of an upstream, asked for last at `asked_at`.

    Times are monotonic seconds.
    """

    incarnation: str
    until: float
    asked_at: float


@dataclass(slots=True)
class SendPauses:
    """The pauses in force, by upstream name.

    `malformed` counts refusals with an unusable pause; `malformed_logged_at` is when
    one of an upstream was last logged.
    """

    pauses: dict[str, Pause] = field(default_factory=dict)
    malformed: int = 0
    malformed_logged_at: dict[str, float] = field(default_factory=dict)

    def record_refusal(
        self, upstream: UpstreamInstance, pause_s: float, now: float
    ) -> None:
        """Record that an upstream asks for a pause; an earlier longer one stays."""
        until = now + pause_s
        known = self.pauses.get(upstream.name)
        if known is not None and known.incarnation == upstream.incarnation:
            until = max(until, known.until)
        self.pauses[upstream.name] = Pause(upstream.incarnation, until, now)

    def record_malformed(self, upstream: UpstreamInstance, now: float) -> bool:
        """Count a pause that is unusable; return whether to log it."""
        self.malformed += 1
        logged_at = self.malformed_logged_at.get(upstream.name)
        if logged_at is not None and now - logged_at < MALFORMED_LOG_INTERVAL_S:
            return False
        self.malformed_logged_at[upstream.name] = now
        return True

    def wait_s(self, name: str, now: float) -> float:
        """Return the seconds until a request may be sent to an upstream."""
        pause = self.pauses.get(name)
        return max(0.0, pause.until - now) if pause is not None else 0.0

    def blocked(self, now: float) -> frozenset[str]:
        """Return the upstreams that take no request of this instance now."""
        return frozenset(name for name in self.pauses if self.wait_s(name, now) > 0.0)

    def retain_listed(self, listed: Mapping[str, UpstreamInstance], now: float) -> None:
        """Drop the pauses of incarnations that the list no longer shows.

        One that was asked for a short time ago passes to the incarnation that is listed
        now: an answer does not say which one has sent it.
        """
        for name, pause in list(self.pauses.items()):
            incarnation = listed[name].incarnation if name in listed else None
            if incarnation == pause.incarnation:
                continue
            if now - pause.asked_at >= LIST_LAG_S:
                del self.pauses[name]
            elif incarnation is not None:
                pause.incarnation = incarnation
        self.malformed_logged_at = {
            name: at for name, at in self.malformed_logged_at.items() if name in listed
        }
