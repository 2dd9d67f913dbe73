"""Runs of generations that were left while their engines may still work on them.

Closing a stream asks its engine to stop, and on a connection that is dead the close
never arrives. So a run that was left stays here until its end is known, whatever
becomes of its generation.
"""

from __future__ import annotations

import enum
from collections import Counter
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance

FIRST_PAUSE_S = 0.05
"""Seconds before an engine that did not answer is asked again; this doubles."""

MAX_PAUSE_S = 2.0
"""Longest pause in seconds between two questions to an engine."""

START_DELAY_S = 1.0
"""Seconds from its start for which a run may still wait to be read by its engine, so
that a stop finds nothing."""

MAX_AGE_S = 600.0
"""Seconds after which an engine is not asked any more about a run that was left."""


def run_name(request_id: str, attempt: int) -> str:
    """Return the name by which an engine knows an attempt of a request."""
    return f"{request_id}-{attempt}"


class RunEnd(enum.StrEnum):
    """What is known of the end of a run.

    `STOPPED`: its engine stopped it when asked. `UPSTREAM_ENDED`: its engine has ended.
    `NO_STOP`: its engine stops runs only when their connections close, so that nothing
    more can be done. `EXPIRED`: nothing became known in `MAX_AGE_S`. `UNKNOWN`: nothing
    is known yet.
    """

    STOPPED = "stopped"
    UPSTREAM_ENDED = "upstream_ended"
    NO_STOP = "no_stop"
    EXPIRED = "expired"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class LeftRun:
    """The run of an attempt that was left; times are monotonic seconds."""

    request_id: str
    attempt: int
    upstream: UpstreamInstance
    started_at: float
    left_at: float

    @property
    def name(self) -> str:
        """The name by which its engine knows the run."""
        return run_name(self.request_id, self.attempt)


@dataclass(slots=True)
class UpstreamRuns:
    """The runs that were left at one incarnation of an engine, by name."""

    upstream: UpstreamInstance
    runs: dict[str, LeftRun] = field(default_factory=dict)
    pause_s: float = FIRST_PAUSE_S

    def next_pause(self) -> float:
        """Return the pause before the next question, which doubles each time."""
        pause_s, self.pause_s = self.pause_s, min(2.0 * self.pause_s, MAX_PAUSE_S)
        return pause_s


@dataclass(slots=True)
class LeftRuns:
    """The runs of one instance that were left and whose ends are not known.

    `by_upstream` has them by name and incarnation of their engine. `ended` counts the
    others by how their end became known.
    """

    by_upstream: dict[tuple[str, str], UpstreamRuns] = field(default_factory=dict)
    ended: Counter[RunEnd] = field(default_factory=Counter)

    def add(self, run: LeftRun) -> UpstreamRuns:
        """Add a run that was left; return all that were left at its engine."""
        key = (run.upstream.name, run.upstream.incarnation)
        left = self.by_upstream.setdefault(key, UpstreamRuns(run.upstream))
        left.runs[run.name] = run
        left.pause_s = FIRST_PAUSE_S
        return left

    def record_end(self, run: LeftRun, end: RunEnd) -> None:
        """Remove a run about whose end nothing more is to be learned."""
        key = (run.upstream.name, run.upstream.incarnation)
        left = self.by_upstream[key]
        del left.runs[run.name]
        self.ended[end] += 1
        if not left.runs:
            del self.by_upstream[key]

    def count(self) -> int:
        """Return the number of runs whose ends are not known."""
        return sum(len(left.runs) for left in self.by_upstream.values())


def settled_end(run: LeftRun, end: RunEnd, asked_at: float) -> RunEnd | None:
    """Return how a run ended by an answer to a question; None if it must be repeated.

    An engine that was asked too early may begin the run after the stop.
    """
    if end is RunEnd.STOPPED and asked_at < run.started_at + START_DELAY_S:
        return None
    if end is not RunEnd.UNKNOWN:
        return end
    return RunEnd.EXPIRED if asked_at >= run.left_at + MAX_AGE_S else None
