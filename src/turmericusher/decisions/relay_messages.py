"""What goes into a relayed request's decisions and what comes out of them."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.generation_messages import CancelAttempt, Fail
from turmericusher.errors import Verdict

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RelayedRequest:
    """A caller's request, passed on without being understood.

    `target` is the raw path with its query. `deadline` is in monotonic seconds: the
    caller has gone then. `resume_after` is the id of the last event that the caller
    already holds, or None. `size` is the memory that it needs on an
    upstream, in tokens; 0 where it is not told.
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


class AttemptCause(enum.StrEnum):
    """Why an attempt brought no answer.

    `OVERLOADED`: the upstream has no room and says so. `MISDIRECTED`: another upstream
    has the address now. `NO_COPY`: the standby copy it should go on from is missing.
    `UNREACHABLE`: no connection. `LOST`: the connection ended before the answer did.
    `MALFORMED`: what came is no answer to this request. `SILENT`: given up on after a
    silence. `UNANSWERED`: the upstream has run it, and nothing came. `FAILED`: the
    upstream itself said that it failed.
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


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """A whole answer of an upstream, as it goes to the caller."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class AnswerArrived:
    """An attempt brought a whole answer that is not a stream."""

    attempt: int
    at: float
    answer: RelayAnswer


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """An attempt's stream began; `headers` are those of its answer."""

    attempt: int
    at: float
    headers: Headers


@dataclass(frozen=True, slots=True)
class EventArrived:
    """An attempt brought one whole event of its stream."""

    attempt: int
    at: float
    payload: bytes
    event_id: int


@dataclass(frozen=True, slots=True)
class StreamFinished:
    """An attempt's stream ended as a whole one does."""

    attempt: int
    at: float


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended without its answer.

    `answer` is the upstream's own failure, where it sent one that may be passed on.
    """

    attempt: int
    at: float
    cause: AttemptCause
    verdict: Verdict
    message: str = ""
    answer: RelayAnswer | None = None


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """What an upstream says of itself when asked, some hundred milliseconds old.

    `memory_used` and `memory_total` are in tokens. `running` counts the requests at
    work; `events_made` gives the events of those that have made any, by the request's
    id. `incarnation` tells which life of the upstream answered.
    """

    incarnation: str
    running: int
    waiting: int
    memory_used: int
    memory_total: int
    events_made: Mapping[str, int]

    def reading(self) -> int:
        """Return how many requests have their prompts read now."""
        return max(0, self.running - len(self.events_made))


@dataclass(frozen=True, slots=True)
class UpstreamProbed:
    """The upstream of a silent attempt was asked; None where it did not answer."""

    attempt: int
    at: float
    report: UpstreamReport | None


@dataclass(frozen=True, slots=True)
class LoadsReported:
    """What the candidates for an attempt answered in time, by name."""

    at: float
    reports: Mapping[str, UpstreamReport]


@dataclass(frozen=True, slots=True)
class MemoryCopy:
    """A copy of an attempt's memory that `holder` has.

    `handle` names it at `source_address`, the address of the upstream that made it.
    """

    holder: UpstreamInstance
    source_address: str
    handle: str


@dataclass(frozen=True, slots=True)
class MemoryCopied:
    """A copy was asked for while an attempt runs; None where none was made."""

    attempt: int
    at: float
    copy: MemoryCopy | None


@dataclass(frozen=True, slots=True)
class CopyMemory:
    """Let the upstream of an attempt copy its memory to `target`, and run on."""

    attempt: int
    source: UpstreamInstance
    target: UpstreamInstance


@dataclass(frozen=True, slots=True)
class ReleaseCopy:
    """Free the memory of a copy that will not be used."""

    copy: MemoryCopy


@dataclass(frozen=True, slots=True)
class CheckHolder:
    """Ask the holder of a copy whether it is still the one that got it."""

    attempt: int
    holder: UpstreamInstance


@dataclass(frozen=True, slots=True)
class HolderChecked:
    """The holder of a copy was asked; `report` is None where it did not answer."""

    attempt: int
    at: float
    holder: UpstreamInstance
    report: UpstreamReport | None


@dataclass(frozen=True, slots=True)
class StartRelay:
    """Send the request to `upstream`.

    `resume_after` is the id of the last event delivered, or None at the beginning.
    With `copy` the attempt goes on from the copy that `upstream` holds. `standby` is
    the upstream that is to hold a copy of this attempt's memory.
    """

    attempt: int
    upstream: UpstreamInstance
    deadline: float
    resume_after: int | None = None
    copy: MemoryCopy | None = None
    standby: UpstreamInstance | None = None

    @property
    def from_copy(self) -> bool:
        """Whether the attempt goes on from a copy."""
        return self.copy is not None


@dataclass(frozen=True, slots=True)
class AskLoads:
    """Ask candidates for their load before an attempt is placed."""

    candidates: tuple[UpstreamInstance, ...]


@dataclass(frozen=True, slots=True)
class ProbeUpstream:
    """Ask the upstream of an attempt that has been silent what it does."""

    attempt: int
    upstream: UpstreamInstance


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """Hand a whole answer to the caller; the last action."""

    answer: RelayAnswer


@dataclass(frozen=True, slots=True)
class DeliverEvents:
    """Hand events to the caller; `headers` come with the first of them."""

    payload: bytes
    headers: Headers | None = None


@dataclass(frozen=True, slots=True)
class EndStream:
    """End the caller's stream as a whole one; the last action."""


@dataclass(frozen=True, slots=True)
class BreakStream:
    """Close the caller's connection in mid-stream: the answer stays incomplete."""

    reason: str


RelayEvent = (
    AnswerArrived
    | StreamOpened
    | EventArrived
    | StreamFinished
    | AttemptFailed
    | UpstreamProbed
    | LoadsReported
    | MemoryCopied
    | HolderChecked
)
RelayOutput = DeliverAnswer | DeliverEvents | EndStream | BreakStream | Fail
RelayAction = (
    StartRelay
    | CancelAttempt
    | ProbeUpstream
    | AskLoads
    | CopyMemory
    | CheckHolder
    | ReleaseCopy
    | RelayOutput
)
