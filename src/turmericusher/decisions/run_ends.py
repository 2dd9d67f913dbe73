"""Runs that were left while their upstreams may still work on them.

Closing a connection asks an upstream to stop, and on one that is dead the close never
arrives. So a run that was left stays here until its end is known, whatever becomes of
its request: from an answer that it is not there, from a stop that the upstream
confirmed, or from the end of the upstream. Until then the relay does not send its
request to that upstream again, since an order to stop names the request and not the
run.
"""

from __future__ import annotations

import enum
from collections import Counter
from dataclasses import dataclass, field
from typing import ClassVar, Generic, TypeVar

from turmericusher.decisions.fleet import UpstreamInstance

FIRST_PAUSE_S = 0.05
"""Seconds before an upstream is asked again while runs there are open; this doubles."""

MAX_PAUSE_S = 2.0
"""Longest pause in seconds between two questions to an upstream."""

START_DELAY_S = 1.0
"""Seconds for which a request may still begin to run at an upstream that does not know
it."""

MAX_AGE_S = 600.0
"""Seconds after which an engine is not asked any more about a generation's run that was
left."""


class RunEnd(enum.StrEnum):
    """How the end of a run became known.

    `STOPPED`: its upstream stopped it when asked. `ABSENT`: its upstream does not run
    it. `UPSTREAM_ENDED`: its upstream has ended. `NO_STOP`: its upstream stops runs
    only when their connections close, so that nothing more can be done. `EXPIRED`: its
    deadline has passed. `UNKNOWN`: nothing shows an end yet.
    """

    STOPPED = "stopped"
    ABSENT = "absent"
    UPSTREAM_ENDED = "upstream_ended"
    NO_STOP = "no_stop"
    EXPIRED = "expired"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class LeftRun:
    """A run that was left; times are monotonic seconds.

    At `deadline` nothing more is found out about it. Until `may_start_until` its
    upstream may still begin it. `unsure_end` is the answer that its upstream gives also
    of a run that it does not know yet.
    """

    request_id: str
    upstream: UpstreamInstance
    left_at: float
    deadline: float
    may_start_until: float
    unsure_end: ClassVar[RunEnd] = RunEnd.ABSENT

    @property
    def name(self) -> str:
        """The name by which its upstream knows the run."""
        return self.request_id

    def log_fields(self) -> dict[str, object]:
        """Return the fields that name the run in logs."""
        return {"id": self.request_id, "upstream": self.upstream.name}


@dataclass(frozen=True, slots=True)
class LeftRelayRun(LeftRun):
    """The run of a relayed request.

    `target` is an upstream to which the order to stop may have the KV cache copied.
    `deadline` is that of the request, by which upstreams end runs themselves.
    """

    target: UpstreamInstance


@dataclass(frozen=True, slots=True)
class LeftGenerationRun(LeftRun):
    """The run of an attempt at a generation.

    Its engine says of each run that it does not run, known or not, that it is stopped.
    """

    attempt: int
    unsure_end: ClassVar[RunEnd] = RunEnd.STOPPED

    @property
    def name(self) -> str:
        """The name by which its engine knows the run."""
        return generation_run_name(self.request_id, self.attempt)

    def log_fields(self) -> dict[str, object]:
        """Return the fields that name the run in logs."""
        return {
            "request_id": self.request_id,
            "attempt": self.attempt,
            "upstream": self.upstream.name,
        }


def generation_run_name(request_id: str, attempt: int) -> str:
    """Return the name by which an engine knows an attempt at a generation."""
    return f"{request_id}-{attempt}"


def leave_generation_run(
    request_id: str,
    attempt: int,
    upstream: UpstreamInstance,
    started_at: float,
    left_at: float,
) -> LeftGenerationRun:
    """Return the run of an attempt that is left."""
    return LeftGenerationRun(
        request_id=request_id,
        upstream=upstream,
        left_at=left_at,
        deadline=left_at + MAX_AGE_S,
        may_start_until=started_at + START_DELAY_S,
        attempt=attempt,
    )


R = TypeVar("R", bound=LeftRun)


@dataclass(slots=True)
class UpstreamRuns(Generic[R]):
    """The runs that were left at one incarnation of an upstream, by name."""

    upstream: UpstreamInstance
    runs: dict[str, R] = field(default_factory=dict)
    pause_s: float = FIRST_PAUSE_S

    def next_pause(self) -> float:
        """Return the pause before the next question, which doubles each time."""
        pause_s, self.pause_s = self.pause_s, min(2.0 * self.pause_s, MAX_PAUSE_S)
        return pause_s

    def expired(self, now: float) -> list[R]:
        """Return the runs whose deadline has passed."""
        return [run for run in self.runs.values() if now >= run.deadline]


@dataclass(slots=True)
class RunEnds(Generic[R]):
    """The runs of one instance whose ends are not known.

    `by_upstream` has them by name and incarnation of their upstream, until that is
    closed. `ended` counts the others by how their end became known.
    """

    by_upstream: dict[tuple[str, str], UpstreamRuns[R]] = field(default_factory=dict)
    ended: Counter[RunEnd] = field(default_factory=Counter)

    def add(self, run: R) -> UpstreamRuns[R]:
        """Add a run that was left; return all that were left at its upstream."""
        key = (run.upstream.name, run.upstream.incarnation)
        left = self.by_upstream.setdefault(key, UpstreamRuns(run.upstream))
        left.runs[run.name] = run
        left.pause_s = FIRST_PAUSE_S
        return left

    def open_upstreams(self, name: str) -> frozenset[str]:
        """Return the names of the upstreams that may still run what has this name."""
        return frozenset(
            left.upstream.name
            for left in self.by_upstream.values()
            if name in left.runs
        )

    def record_end(self, run: R, end: RunEnd) -> None:
        """Remove a run whose end is known."""
        key = (run.upstream.name, run.upstream.incarnation)
        left = self.by_upstream.get(key)
        if left is None or left.runs.pop(run.name, None) is None:
            return
        self.ended[end] += 1

    def close(self, left: UpstreamRuns[R]) -> bool:
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
    if end is run.unsure_end:
        return now >= run.may_start_until
    return end is not RunEnd.UNKNOWN
