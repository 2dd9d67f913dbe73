"""Events that callers, upstreams and the operator recorded, as input for the checks.

All times are monotonic seconds of the process that runs the soak.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from turmericusher.decisions.routing import RequestKind

STABILIZATION_S = 4.0
"""Seconds without a fault after which the time-bounded requirements hold again: the
required `stable_ms`."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request did not run and never will."""


@dataclass(slots=True)
class SentRequest:
    """One request as its caller saw it.

    `instance` is the instance it was sent to. `ended_at` is None while the request is
    open, `status` is None if no answer began, and `error` describes wrong content.
    `left_at` is when the caller disconnected early, None if it did not. `comes_back` is
    set if the caller was refused and sends the request again after `Retry-After`.
    `last_event` is the last event of a stream that arrived, and `versions` are those of
    the upstreams of its events. `resumes` is the request whose stream this one goes on
    with. `is_crashing`: it has the part that crashes upstreams, or is the call that
    does. `body_of` names what has the same body, if not the request alone.
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
    versions: set[str] = field(default_factory=set)
    resumes: str = ""
    is_crashing: bool = False
    body_of: str = ""

    @property
    def is_served(self) -> bool:
        """Whether the caller got a complete and correct answer."""
        return self.status == 200 and self.is_whole and not self.error


@dataclass(slots=True)
class Arrival:
    """One request as an upstream received it; `has_run` is set once work began.

    `is_leaving`: the upstream was leaving, and said so in its answer. `pause_s` is the
    pause in seconds that it asked for. `sender` is the instance that sent it, which may
    not be the one that its caller sent it to. It connected at `sent_at`, since when the
    upstream may have paused.
    """

    request_id: str
    upstream: str
    at: float
    has_run: bool = False
    ended_at: float | None = None
    error: str = ""
    incarnation: str = ""
    is_leaving: bool = False
    pause_s: float = 0.0
    sender: str = ""
    sent_at: float = 0.0


@dataclass(slots=True)
class Cut:
    """A time in which some instances are cut off from all upstreams."""

    instances: frozenset[str]
    begins: float
    ends: float = math.inf


@dataclass(slots=True)
class Disturbance:
    """A fault in a part of the deployment, from `begins` to `ends` (infinity if open).

    `subject` is "store" or the name of an instance or an upstream. `how` names the
    fault; "stop" is the planned stop of an instance. It counts for `settle_s` seconds
    more.
    """

    subject: str
    how: str
    begins: float
    ends: float = math.inf
    settle_s: float = STABILIZATION_S


@dataclass(frozen=True, slots=True)
class LeavingMark:
    """The leaving mark of an upstream, with the time at which the store accepted it."""

    upstream: str
    at: float


@dataclass(slots=True)
class LimitSpan:
    """A time in which an upstream names a limit, in requests per second."""

    upstream: str
    begins: float
    per_s: float
    ends: float = math.inf


@dataclass(frozen=True, slots=True)
class UnexpectedExit:
    """A process that exited unasked, or late or with an error after SIGTERM."""

    instance: str
    at: float
    message: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Whether one incarnation of an instance had a configuration version in force."""

    instance: str
    incarnation: int
    version: int
    sent_at: float
    is_known: bool


@dataclass(slots=True)
class History:
    """Everything that was recorded in one run.

    `accepted` maps each configuration version to the time the store accepted it, and
    `crashes` has the times at which requests with the crashing part ended an upstream,
    and `call_crashes` those at which the crashing call did. Upstreams are sound after
    `pauses`, so these are no disturbances.
    """

    requests: dict[str, SentRequest] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    pauses: list[Disturbance] = field(default_factory=list)
    accepted: dict[int, float] = field(default_factory=dict)
    leavings: list[LeavingMark] = field(default_factory=list)
    limits: list[LimitSpan] = field(default_factory=list)
    exits: list[UnexpectedExit] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    call_crashes: list[float] = field(default_factory=list)
    cuts: list[Cut] = field(default_factory=list)
    faults_end_at: float = math.inf

    def runs(self) -> Counter[str]:
        """Return how many times each request ran."""
        return Counter(one.request_id for one in self.arrivals if one.has_run)

    def arrivals_by_request(self) -> dict[str, list[Arrival]]:
        """Return the arrivals of each request, in order of arrival."""
        by_request: dict[str, list[Arrival]] = {}
        for arrival in self.arrivals:
            by_request.setdefault(arrival.request_id, []).append(arrival)
        return by_request

    def was_disturbed(
        self, subject: str, begins: float, ends: float, excluded: str = ""
    ) -> bool:
        """Return whether a subject was disturbed in an interval or just before it.

        A disturbance counts until `settle_s` after its end; those whose `how` equals
        `excluded` do not count.
        """
        return any(
            one.begins <= ends and one.ends + one.settle_s >= begins
            for one in self.disturbances_on(subject)
            if one.how != excluded
        )

    def was_cut(self, instance: str, begins: float, ends: float) -> bool:
        """Return whether an instance was cut off in an interval or just before it."""
        return any(
            instance in cut.instances
            and cut.begins <= ends
            and cut.ends + STABILIZATION_S >= begins
            for cut in self.cuts
        )

    def disturbances_on(self, subject: str) -> Iterator[Disturbance]:
        """Yield the disturbances of one subject."""
        return (one for one in self.disturbances if one.subject == subject)
