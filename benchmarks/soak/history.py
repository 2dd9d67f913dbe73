"""What callers, upstreams and the operator saw, as the checks read it.

All times are monotonic seconds of the soak's own process.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from turmericusher.decisions.routing import RequestKind

STABLE_S = 4.0
"""Calm seconds after a fault from which the promises with a time bound hold again: the
users' `stable_ms`."""

REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses that promise that nothing ran, and never will."""


@dataclass(slots=True)
class SentRequest:
    """One request as its caller saw it.

    `instance` is where it went. `ended_at` is None while it is open, `status` None
    where no answer began. `error` says what was wrong with the content. `left_at` is
    when the caller closed the connection by itself, if it did. `comes_back` is set
    where the caller was refused and sends it again when it was told to.
    """

    request_id: str
    kind: RequestKind
    instance: str
    path: str
    sent_at: float
    deadline: float
    ended_at: float | None = None
    status: int | None = None
    is_whole: bool = False
    error: str = ""
    left_at: float | None = None
    last_event: int = 0
    retry_after_s: float | None = None
    comes_back: bool = False
    longest_gap_s: float = 0.0

    @property
    def is_served(self) -> bool:
        """Whether the caller got the whole, right answer."""
        return self.status == 200 and self.is_whole and not self.error


@dataclass(slots=True)
class Arrival:
    """One request as an upstream saw it; `has_run` where work began."""

    request_id: str
    upstream: str
    at: float
    has_run: bool = False
    ended_at: float | None = None
    error: str = ""


@dataclass(slots=True)
class Disturbance:
    """A fault on a part of the system, from `begins` to `ends` (infinity: goes on).

    `subject` is "store", or the name of an instance or of an upstream. `how` names the
    fault; "stop" is the planned stop of an instance.
    """

    subject: str
    how: str
    begins: float
    ends: float = math.inf


@dataclass(frozen=True, slots=True)
class LeavingMark:
    """An upstream's leaving, as the store took it."""

    upstream: str
    at: float


@dataclass(frozen=True, slots=True)
class UnexpectedExit:
    """An instance that ended by itself, or late or badly after a signal to stop."""

    instance: str
    at: float
    message: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Whether an instance knew a version's route when asked."""

    instance: str
    life: int
    version: int
    sent_at: float
    is_known: bool


@dataclass(slots=True)
class History:
    """Everything that was seen in one run.

    `accepted` gives the time at which the store took each version of the configuration.
    """

    requests: dict[str, SentRequest] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    accepted: dict[int, float] = field(default_factory=dict)
    leavings: list[LeavingMark] = field(default_factory=list)
    exits: list[UnexpectedExit] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)
    faults_end_at: float = math.inf

    def runs(self) -> Counter[str]:
        """Return how often each request ran."""
        return Counter(one.request_id for one in self.arrivals if one.has_run)

    def arrivals_by_request(self) -> dict[str, list[Arrival]]:
        """Return the arrivals of each request, in order."""
        found: dict[str, list[Arrival]] = {}
        for arrival in self.arrivals:
            found.setdefault(arrival.request_id, []).append(arrival)
        return found

    def disturbed(
        self, subject: str, begins: float, ends: float, without: str = ""
    ) -> bool:
        """Whether a part was disturbed in a time, or shortly before it."""
        return any(
            one.begins <= ends and one.ends + STABLE_S >= begins
            for one in self.disturbances_of(subject)
            if one.how != without
        )

    def disturbances_of(self, subject: str) -> Iterator[Disturbance]:
        """Yield the faults of one part."""
        return (one for one in self.disturbances if one.subject == subject)
