"""Runs that were left while their upstreams may still work on them.

Closing a connection asks an upstream to stop, and on one that is dead the close never
arrives. So a run that was left stays here until its end is known: from an answer that
it is not there, from a stop that the upstream confirmed, or from the end of the
upstream. Until then its request is not sent to that upstream again, since an order to
stop names the request and not the run.
"""

from __future__ import annotations

import enum
from collections import Counter
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance

FIRST_PAUSE_S = 0.05
"""Seconds before an upstream is asked again while runs there are open; this doubles."""

MAX_PAUSE_S = 2.0
"""Longest pause in seconds between two questions to an upstream."""

START_DELAY_S = 1.0
"""Seconds for which a request without an event may still begin to run at an upstream
that does not know it."""


class RunEnd(enum.StrEnum):
    """How the end of a run became known.

    `STOPPED`: its upstream stopped it when asked. `ABSENT`: its upstream does not run
    it. `UPSTREAM_ENDED`: its upstream has ended. `EXPIRED`: its deadline has passed, by
    which upstreams end runs themselves. `UNKNOWN`: nothing shows an end yet.
    """

    STOPPED = "stopped"
    ABSENT = "absent"
    UPSTREAM_ENDED = "upstream_ended"
    EXPIRED = "expired"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class LeftRun:
    """A run that was left; times are monotonic seconds.

    `target` is an upstream to which the order to stop may have the KV cache copied.
    `deadline` is that of the request. `may_start_until` is later than `left_at` if the
    upstream may still have the request in a queue.
    """

    request_id: str
    upstream: UpstreamInstance
    target: UpstreamInstance
    left_at: float
    deadline: float
    may_start_until: float


@dataclass(slots=True)
class UpstreamRuns:
    """The runs that were left at one incarnation of an upstream, by request."""

    upstream: UpstreamInstance
    runs: dict[str, LeftRun] = field(default_factory=dict)
    pause_s: float = FIRST_PAUSE_S

    def next_pause(self) -> float:
        """Return the pause before the next question, which doubles each time."""
        pause_s, self.pause_s = self.pause_s, min(2.0 * self.pause_s, MAX_PAUSE_S)
        return pause_s

    def expired(self, now: float) -> list[LeftRun]:
        """Return the runs whose deadline has passed."""
        return [run for run in self.runs.values() if now >= run.deadline]


@dataclass(slots=True)
class RunEnds:
    """The runs of one instance whose ends are not known.

    `by_upstream` has them by name and incarnation of their upstream, until that is
    closed. `ended` counts the others by how their end became known.
    """

    by_upstream: dict[tuple[str, str], UpstreamRuns] = field(default_factory=dict)
    ended: Counter[RunEnd] = field(default_factory=Counter)

    def add(self, run: LeftRun) -> UpstreamRuns:
        """Add a run that was left; return all that were left at its upstream."""
        key = (run.upstream.name, run.upstream.incarnation)
        left = self.by_upstream.setdefault(key, UpstreamRuns(run.upstream))
        left.runs[run.request_id] = run
        left.pause_s = FIRST_PAUSE_S
        return left

    def open_upstreams(self, request_id: str) -> frozenset[str]:
        """Return the names of the upstreams that may still run a request."""
        return frozenset(
            left.upstream.name
            for left in self.by_upstream.values()
            if request_id in left.runs
        )

    def record_end(self, run: LeftRun, end: RunEnd) -> None:
        """Remove a run whose end is known."""
        key = (run.upstream.name, run.upstream.incarnation)
        left = self.by_upstream.get(key)
        if left is None or left.runs.pop(run.request_id, None) is None:
            return
        self.ended[end] += 1

    def close(self, left: UpstreamRuns) -> bool:
        """Forget an upstream if no run there is open; return whether it was."""
        if left.runs:
            return False
        self.by_upstream.pop((left.upstream.name, left.upstream.incarnation), None)
        return True

    def count(self) -> int:
        """Return the number of runs whose ends are not known."""
        return sum(len(left.runs) for left in self.by_upstream.values())


def is_final(run: LeftRun, end: RunEnd, now: float) -> bool:
    """Whether an answer about a run settles that it has ended.

    An upstream that does not know a request may still begin it.
    """
    if end is RunEnd.ABSENT:
        return now >= run.may_start_until
    return end is not RunEnd.UNKNOWN
