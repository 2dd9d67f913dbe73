"""Events and actions of a generation's state machine."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.requests import AnswerChunk
from turmericusher.errors import ErrorCode, Verdict


class FailureScope(enum.Enum):
    """What is affected when an attempt ends without a finish reason.

    `UPSTREAM`: the stream broke, so the process or the path to it is gone.
    `ATTEMPT`: only this attempt failed; the upstream answered or was never reached.
    `REQUEST`: the upstream rejected the request for good, as any other would.
    """

    UPSTREAM = "upstream"
    ATTEMPT = "attempt"
    REQUEST = "request"


@dataclass(frozen=True, slots=True)
class ChunkArrived:
    """An attempt received tokens; `at` is the receive time in monotonic seconds."""

    attempt: int
    at: float
    token_ids: tuple[int, ...] = ()
    text: str = ""
    finish_reason: str | None = None
    prompt_token_ids: tuple[int, ...] | None = None
    version: str = ""


@dataclass(frozen=True, slots=True)
class AttemptDied:
    """An attempt's stream ended without a finish reason.

    `at` is in monotonic seconds; `retry_after_s` is what the upstream asked for.
    """

    attempt: int
    at: float
    scope: FailureScope
    verdict: Verdict
    message: str = ""
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Open a stream for an attempt on `upstream`.

    `prompt_token_ids` is None where the prompt is sent as the caller gave it.
    `max_tokens` is what remains of the limit, or None without one.
    """

    attempt: int
    upstream: UpstreamInstance
    prompt_token_ids: tuple[int, ...] | None
    max_tokens: int | None


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close the stream of an attempt, if it is open, and ignore its further output.

    `may_work_on`: the close may not reach its engine, or not in time, and the attempt
    is replaced or its stream in doubt, so that the run must be stopped otherwise.
    """

    attempt: int
    may_work_on: bool = False


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send a chunk to the caller; the one with a finish reason is the last."""

    chunk: AnswerChunk


@dataclass(frozen=True, slots=True)
class Fail:
    """Fail the request with an error; `verdict` states whether it may have run."""

    code: ErrorCode
    verdict: Verdict
    message: str
    retry_after_s: float | None = None


GenerationEvent = ChunkArrived | AttemptDied
GenerationAction = StartAttempt | CancelAttempt | Deliver | Fail


def death_from_chunk(chunk: ChunkArrived) -> AttemptDied:
    """Return the death of an attempt whose chunk cannot be part of the answer."""
    return AttemptDied(
        attempt=chunk.attempt,
        at=chunk.at,
        scope=FailureScope.ATTEMPT,
        verdict=Verdict.MAY_HAVE_RUN,
        message=f"finish_reason={chunk.finish_reason!r} version={chunk.version!r}",
    )
