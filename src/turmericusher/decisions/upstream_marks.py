"""Leaving marks of upstreams: permanent for an incarnation and spread by peers.

The platform's list lags, so a mark may come from an operator, from a peer or from the
upstream's own response long before the list shows it, while the list still shows the
upstream as live. A mark is never revoked within an incarnation.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from turmericusher.decisions.fleet import Lifecycle, UpstreamInstance

MAX_MARKS = 8192
NEWEST_MARKS = 32
RANDOM_MARKS = 8
"""Marks in one reply to a peer: the latest ones, and some of the others at random."""

UNLISTED_RETENTION_S = 3600.0
"""Seconds for which a mark is kept after the list has last shown its incarnation."""


@dataclass(frozen=True, slots=True)
class LeavingMark:
    """Tells that one incarnation of an upstream accepts no more new work."""

    upstream: str
    incarnation: str


@dataclass(slots=True)
class LeavingMarks:
    """The leaving marks that one instance knows.

    `marks` maps each mark to the monotonic time in seconds at which it was added or its
    incarnation was last listed. `newest` holds the latest marks, the oldest first.
    """

    rng: random.Random
    marks: dict[LeavingMark, float] = field(default_factory=dict)
    newest: list[LeavingMark] = field(default_factory=list)

    def add(self, marks: Iterable[LeavingMark], now: float) -> bool:
        """Add marks; return whether any was new."""
        fresh = [mark for mark in dict.fromkeys(marks) if mark not in self.marks]
        for mark in fresh:
            self.evict_if_full()
            self.marks[mark] = now
        self.newest = (self.newest + fresh)[-NEWEST_MARKS:]
        return bool(fresh)

    def evict_if_full(self) -> None:
        """If the table is full, drop the mark that was listed longest ago."""
        if len(self.marks) >= MAX_MARKS:
            del self.marks[min(self.marks, key=lambda mark: self.marks[mark])]

    def apply(
        self, upstreams: Iterable[UpstreamInstance], now: float
    ) -> tuple[UpstreamInstance, ...]:
        """Return a list of upstreams with the marks applied to it.

        Upstreams that the list itself shows as leaving are marked, so that they stay
        leaving when a later but outdated list shows them as live.
        """
        listed = tuple(upstreams)
        self.add(
            (leaving_mark(u) for u in listed if u.lifecycle is Lifecycle.LEAVING), now
        )
        # Most upstreams have no mark, and a list comes with each of their heartbeats.
        marked_names = {mark.upstream for mark in self.marks}
        for upstream in listed:
            if upstream.name in marked_names:
                mark = leaving_mark(upstream)
                if mark in self.marks:
                    self.marks[mark] = now
        self.prune(now)
        return tuple(
            self.apply_to(upstream) if upstream.name in marked_names else upstream
            for upstream in listed
        )

    def apply_to(self, upstream: UpstreamInstance) -> UpstreamInstance:
        """Return the upstream, with the lifecycle `LEAVING` if it is marked."""
        if leaving_mark(upstream) not in self.marks:
            return upstream
        return replace(upstream, lifecycle=Lifecycle.LEAVING)

    def prune(self, now: float) -> None:
        """Drop the marks of incarnations that the list has not shown for long."""
        gone = [
            mark
            for mark, last_listed_at in self.marks.items()
            if now - last_listed_at > UNLISTED_RETENTION_S
        ]
        for mark in gone:
            del self.marks[mark]
        self.newest = [mark for mark in self.newest if mark in self.marks]

    def marks_for_reply(self) -> list[LeavingMark]:
        """Return a bounded selection of marks for a reply to a peer."""
        others = [mark for mark in self.marks if mark not in self.newest]
        return self.newest + self.rng.sample(others, min(RANDOM_MARKS, len(others)))


def leaving_mark(upstream: UpstreamInstance) -> LeavingMark:
    """Return the leaving mark for this incarnation of an upstream."""
    return LeavingMark(upstream.name, upstream.incarnation)
