"""Events and actions of a relayed request's state machine."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import EntryInstance, UpstreamInstance
from turmericusher.decisions.forwarding import Hop, Refusal
from turmericusher.decisions.generation_messages import CancelAttempt, Fail
from turmericusher.decisions.hop_leases import ForwardedHop
from turmericusher.decisions.run_ends import LeftRelayRun, RunEnd
from turmericusher.decisions.stream_versions import FoundVersion
from turmericusher.errors import Verdict

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RelayedRequest:
    """A caller's request, relayed without interpreting its body.

    `target` is the raw path with its query. `arrived_at` and `deadline` are monotonic
    seconds; the caller is gone after the deadline. `resume_after` is the id of the last
    event that the caller already holds, or None. `size` is the memory that the request
    needs on an upstream, in tokens; 0 where it is not known. `prompt_parts` are the ids
    of the parts of its prompt, in order, of which the last is its own; `part_tokens`
    are the tokens of each. `resumes` is the id of the caller's request that brought the
    first event of the stream that this one takes up. `hop` is set if another instance
    forwarded the request to this one.
    """

    request_id: str
    host: str
    method: str
    path: str
    target: str
    headers: Headers
    body: bytes
    key: str | None
    arrived_at: float
    deadline: float
    resume_after: int | None = None
    size: int = 0
    prompt_parts: tuple[str, ...] = ()
    part_tokens: tuple[int, ...] = ()
    resumes: str | None = None
    hop: Hop | None = None

    @property
    def stream_id(self) -> str:
        """The id of the request that brought, or may bring, the first event."""
        return self.resumes or self.request_id

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The ids of the parts of the prompt that other requests may have too."""
        return self.prompt_parts[:-1]


class AttemptCause(enum.StrEnum):
    """Why an attempt ended without an answer.

    `OVERLOADED`: the upstream reports that it has no free capacity. `MISDIRECTED`:
    another upstream has the address now. `NO_COPY`: the standby copy to resume from is
    missing. `UNREACHABLE`: no connection. `LOST`: the connection ended before the
    answer did. `MALFORMED`: the data received is no answer to this request. `SILENT`:
    abandoned after a stall. `UNANSWERED`: the upstream has run the request, but its
    answer was lost. `FAILED`: the upstream itself reported a failure. `REFUSED`: the
    instance to which the request was forwarded did not take it. `UNRECORDED`: not sent,
    since the store did not take the record of the version at which the stream begins.
    `CANCELED`: its request ended first.
    """

    OVERLOADED = "overloaded"
    MISDIRECTED = "misdirected"
    NO_COPY = "no_copy"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    MALFORMED = "malformed"
    SILENT = "silent"
    UNANSWERED = "unanswered"
    FAILED = "failed"
    REFUSED = "refused"
    UNRECORDED = "unrecorded"
    CANCELED = "canceled"


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """A complete answer of an upstream, as it goes to the caller."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class AttemptConnected:
    """An attempt has a connection, so that its upstream may run the request."""

    attempt: int
    at: float


@dataclass(frozen=True, slots=True)
class AnswerArrived:
    """An attempt received a complete answer that is not a stream."""

    attempt: int
    at: float
    answer: RelayAnswer


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """An attempt's stream began; `headers` are those of its response."""

    attempt: int
    at: float
    headers: Headers


@dataclass(frozen=True, slots=True)
class EventArrived:
    """An attempt received one complete event of its stream."""

    attempt: int
    at: float
    payload: bytes
    event_id: int


@dataclass(frozen=True, slots=True)
class StreamFinished:
    """An attempt's stream ended between two events.

    It `has_own_end` if its end is told from one by a lost connection, as with chunks.
    """

    attempt: int
    at: float
    has_own_end: bool = False


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended without a complete answer.

    `answer` is the upstream's own error response, if it sent one that may be forwarded.
    `refusal` is that of the instance to which the request was forwarded.
    """

    attempt: int
    at: float
    cause: AttemptCause
    verdict: Verdict
    message: str = ""
    answer: RelayAnswer | None = None
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class RunTotals:
    """How many runs of one urgency an upstream has, and their tokens in memory."""

    count: int = 0
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """What an upstream reports on itself; some hundred milliseconds old.

    `memory_used` and `memory_total` are in tokens. `running` counts the requests in
    progress; `events_made` maps the ids of those that have produced events to the
    number of their events. `incarnation` is that of the upstream that reports.
    `runs_by_urgency` has the totals of those requests by urgency, at most one entry for
    each urgency.
    """

    incarnation: str
    running: int
    waiting: int
    memory_used: int
    memory_total: int
    events_made: Mapping[str, int]
    runs_by_urgency: Mapping[int, RunTotals] = field(default_factory=dict)

    def prefilling(self) -> int:
        """Return how many requests are in their prefill now."""
        return max(0, self.running - len(self.events_made))

    def less_urgent_tokens(self, urgency: int) -> int:
        """Return the memory of the runs that are less urgent, in tokens."""
        tokens = sum(
            runs.tokens
            for other, runs in self.runs_by_urgency.items()
            if other > urgency
        )
        return min(tokens, self.memory_used)


class ReportState(enum.StrEnum):
    """What became of a query for an upstream's report.

    `SILENT`: the upstream accepted the connection and did not answer in time, as one
    whose process stands still. `REFUSED`: nothing listens at its address. `UNREACHED`:
    no connection in time. `INVALID`: it answered without a report, or broke off.
    """

    ANSWERED = "answered"
    SILENT = "silent"
    REFUSED = "refused"
    UNREACHED = "unreached"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class ReportQuery:
    """The outcome of a query for a report, which is there only if it was answered."""

    state: ReportState
    report: UpstreamReport | None = None


@dataclass(frozen=True, slots=True)
class UpstreamProbed:
    """The upstream of a stalled attempt was probed; None if it did not answer."""

    attempt: int
    at: float
    report: UpstreamReport | None
    state: ReportState = ReportState.UNREACHED


@dataclass(frozen=True, slots=True)
class LoadsReported:
    """The load reports of the candidates that answered in time, by upstream name."""

    at: float
    reports: Mapping[str, UpstreamReport]


@dataclass(frozen=True, slots=True)
class TraitBlocked:
    """A trait became known to crash upstreams; the request may have it."""


@dataclass(frozen=True, slots=True)
class InstanceEnds:
    """This instance ends now, whatever still runs."""


@dataclass(frozen=True, slots=True)
class StreamTakenUp:
    """The caller goes on by the request `by`; all work for this one has ended."""

    by: str


@dataclass(frozen=True, slots=True)
class TrialClaimed:
    """Whether this request may try a blocked trait, which one request at a time may."""

    is_granted: bool


@dataclass(frozen=True, slots=True)
class VersionFound:
    """What instances know of the version at which the stream began."""

    found: FoundVersion


@dataclass(frozen=True, slots=True)
class BorrowRetry:
    """Ask another instance for a retry of a service's budget.

    `level` is its urgency, a `RetryLevel`. `own_share` of the retry is paid here.
    """

    lender: EntryInstance
    service: str
    is_new_stream: bool
    level: int = 0
    own_share: float = 0.0


@dataclass(frozen=True, slots=True)
class RetryLent:
    """Whether the instance named `lender` has lent a retry."""

    lender: str
    is_lent: bool


@dataclass(frozen=True, slots=True)
class EndHop:
    """Have the instance that an attempt was forwarded to end its run.

    It has ended by `ends_by`, in monotonic seconds, whether or not that answers.
    """

    attempt: int
    hop: ForwardedHop
    ends_by: float


@dataclass(frozen=True, slots=True)
class HopEnded:
    """Whether the instance that an attempt was forwarded to has certainly let go."""

    attempt: int
    is_certain: bool


@dataclass(frozen=True, slots=True)
class MemoryCopy:
    """A copy of an attempt's KV cache that `holder` has.

    `handle` identifies it at `source`, the upstream that made it.
    """

    holder: UpstreamInstance
    source: UpstreamInstance
    handle: str


@dataclass(frozen=True, slots=True)
class MemoryCopied:
    """A copy was requested for a running attempt; None if none was made."""

    attempt: int
    at: float
    copy: MemoryCopy | None


@dataclass(frozen=True, slots=True)
class StoppedRun:
    """How an upstream has answered the order to stop a run.

    `copy` is the last one of the run's KV cache, or None. Its holder is the upstream
    itself if no other one has taken it. `has_answered`: there was an answer, though it
    may say nothing of the run.
    """

    end: RunEnd
    copy: MemoryCopy | None = None
    has_answered: bool = True

    @property
    def is_refused(self) -> bool:
        """Whether the upstream has answered and not taken the order."""
        return self.end is RunEnd.UNKNOWN and self.has_answered


@dataclass(frozen=True, slots=True)
class StopRun:
    """Have the run of an attempt stopped, and its KV cache copied to `target`."""

    attempt: int
    upstream: UpstreamInstance
    target: UpstreamInstance


@dataclass(frozen=True, slots=True)
class RunStopped:
    """The upstream of an attempt was ordered to stop its run."""

    attempt: int
    at: float
    stopped: StoppedRun


@dataclass(frozen=True, slots=True)
class SettleRun:
    """Find out beside the request how a run that was left ends, and stop it."""

    run: LeftRelayRun
    cause: AttemptCause


@dataclass(frozen=True, slots=True)
class CopyMemory:
    """Have an attempt's upstream copy its KV cache to `target` while it runs on."""

    attempt: int
    source: UpstreamInstance
    target: UpstreamInstance


@dataclass(frozen=True, slots=True)
class ReleaseCopy:
    """Free the memory of a copy that is no longer needed."""

    copy: MemoryCopy


@dataclass(frozen=True, slots=True)
class CheckHolder:
    """Query the holder of a copy for whether it is still the same incarnation."""

    attempt: int
    holder: UpstreamInstance


@dataclass(frozen=True, slots=True)
class HolderChecked:
    """The holder of a copy was queried; `report` is None if it did not answer."""

    attempt: int
    at: float
    holder: UpstreamInstance
    report: UpstreamReport | None


@dataclass(frozen=True, slots=True)
class StartRelay:
    """Send the request to `upstream`.

    `resume_after` is the id of the last event delivered, or None at the beginning. With
    `copy` the attempt resumes from the copy that `upstream` holds. `standby` is the
    upstream that is to hold a copy of this attempt's KV cache. With `hop` the request
    is forwarded: `upstream` stands for another instance, at its address for callers.
    With `fetch_from` the upstream fetches what that one holds of the prompt.
    With `must_record` the store must have the upstream's version for the stream first.
    """

    attempt: int
    upstream: UpstreamInstance
    deadline: float
    resume_after: int | None = None
    copy: MemoryCopy | None = None
    standby: UpstreamInstance | None = None
    hop: Hop | None = None
    must_record: bool = False
    fetch_from: UpstreamInstance | None = None

    @property
    def from_copy(self) -> bool:
        """Whether the attempt resumes from a copy."""
        return self.copy is not None


@dataclass(frozen=True, slots=True)
class ClaimTrial:
    """Ask for the right to try a blocked trait with this request.

    `upstream` is one that could run it. If that accepts no connection, the service is
    down, and the trial would show nothing.
    """

    trait: str
    upstream: UpstreamInstance


@dataclass(frozen=True, slots=True)
class FindVersion:
    """Find out at which version of its service a stream began.

    `stream` is None if its caller did not name it.
    """

    stream: str | None
    service: str


@dataclass(frozen=True, slots=True)
class QueryLoads:
    """Query candidates for their load before an attempt is placed."""

    candidates: tuple[UpstreamInstance, ...]


@dataclass(frozen=True, slots=True)
class ProbeUpstream:
    """Query the upstream of a stalled attempt for a report."""

    attempt: int
    upstream: UpstreamInstance


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """Send a complete answer to the caller; the last action of a request."""

    answer: RelayAnswer


@dataclass(frozen=True, slots=True)
class DeliverEvents:
    """Send events to the caller; `headers` come with the first of them."""

    payload: bytes
    headers: Headers | None = None


@dataclass(frozen=True, slots=True)
class EndStream:
    """End the caller's stream properly; the last action of a request."""


@dataclass(frozen=True, slots=True)
class BreakStream:
    """Close the caller's connection in mid-stream: the answer stays incomplete."""

    reason: str


RelayEvent = (
    AttemptConnected
    | AnswerArrived
    | StreamOpened
    | EventArrived
    | StreamFinished
    | AttemptFailed
    | UpstreamProbed
    | LoadsReported
    | TraitBlocked
    | InstanceEnds
    | StreamTakenUp
    | TrialClaimed
    | VersionFound
    | RetryLent
    | HopEnded
    | MemoryCopied
    | HolderChecked
    | RunStopped
)
RelayOutput = DeliverAnswer | DeliverEvents | EndStream | BreakStream | Fail
RelayAction = (
    StartRelay
    | CancelAttempt
    | ProbeUpstream
    | QueryLoads
    | ClaimTrial
    | FindVersion
    | BorrowRetry
    | EndHop
    | CopyMemory
    | CheckHolder
    | ReleaseCopy
    | StopRun
    | SettleRun
    | RelayOutput
)
