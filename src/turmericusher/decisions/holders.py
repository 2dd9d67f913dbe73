"""Which upstreams still have the copies that they were given.

Load: failure domains that crash in turn, with upstreams back at the same addresses
before the list shows it. A copy whose holder was lost unnoticed is missed only when the
stream's own upstream is lost as well, and its prompt is then read again.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance

CHECK_INTERVAL_S = 1.5
"""Time between two questions to one holder: a few of them fit between two crashes of
domains in turn, and the list takes some seconds to show one."""

CHECKS_PER_S = 20.0
"""Most questions of one instance in a second: at the letter's size, 480 streams with
holders of their own would otherwise ask 320 times."""


LOST_FOR_S = 10.0
"""Time for which a holder that did not answer counts as lost: twice what the list takes
to show a crash, after which it was only late once."""


@dataclass(frozen=True, slots=True)
class LostLife:
    """A life of a holder that did not answer at a time."""

    incarnation: str
    at: float


@dataclass(slots=True)
class HolderChecks:
    """When holders were last seen or asked, and which lives of them are lost.

    Times are monotonic seconds.
    """

    asked_at: dict[str, float] = field(default_factory=dict)
    lost: dict[str, LostLife] = field(default_factory=dict)
    next_at: float = 0.0

    def is_due(self, holder: UpstreamInstance, now: float) -> bool:
        """Whether a holder should be asked now."""
        asked_at = self.asked_at.get(holder.name, now - CHECK_INTERVAL_S)
        return now >= self.next_at and now - asked_at >= CHECK_INTERVAL_S

    def note_asked(self, holder: UpstreamInstance, now: float) -> None:
        """Note a question."""
        self.note_seen(holder, now)
        self.next_at = max(now, self.next_at) + 1 / CHECKS_PER_S

    def note_seen(self, holder: UpstreamInstance, now: float) -> None:
        """Note that a holder is or was there; what is too old is forgotten."""
        self.asked_at = {
            name: at
            for name, at in self.asked_at.items()
            if now - at < CHECK_INTERVAL_S
        }
        self.asked_at[holder.name] = now
        self.lost = {
            name: life for name, life in self.lost.items() if now - life.at < LOST_FOR_S
        }

    def note_answer(
        self, holder: UpstreamInstance, now: float, has_answered: bool
    ) -> None:
        """Note whether this life of a holder answered."""
        if has_answered:
            self.lost.pop(holder.name, None)
        else:
            self.lost[holder.name] = LostLife(holder.incarnation, now)

    def keep(self, listed: Mapping[str, UpstreamInstance]) -> None:
        """Forget the lost lives that the list shows no more."""
        self.lost = {
            name: life
            for name, life in self.lost.items()
            if name in listed and listed[name].incarnation == life.incarnation
        }

    def is_lost(self, holder: UpstreamInstance) -> bool:
        """Whether this life of a holder did not answer when it was last asked."""
        life = self.lost.get(holder.name)
        return life is not None and life.incarnation == holder.incarnation
