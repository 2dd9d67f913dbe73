"""Runs each attempt at a generation as a task that owns its stream from an engine."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass

from turmericusher.decisions.extra_work import ExtraWorkBudget, ResumeLimiter
from turmericusher.decisions.generation_messages import (
    AttemptDied,
    ChunkArrived,
    FailureScope,
    GenerationEvent,
    StartAttempt,
)
from turmericusher.decisions.generation_state import SharedState
from turmericusher.decisions.patience import StallDetector
from turmericusher.decisions.placing.selection import Selector
from turmericusher.decisions.requests import GenerationRequest
from turmericusher.decisions.run_ends import (
    LeftGenerationRun,
    RunEnds,
    generation_run_name,
)
from turmericusher.decisions.suspicion import SuspicionLedger
from turmericusher.errors import Verdict
from turmericusher.metrics import Metrics
from turmericusher.ports.upstream import (
    DeathCause,
    EngineChunk,
    EnginePort,
    EngineRequest,
    StreamDiedError,
)
from turmericusher.tasks.generation_runs import GenerationRunAsker
from turmericusher.tasks.run_ends import RunEndChecks

UPSTREAM_LOSS_CAUSES = frozenset(
    {
        DeathCause.REFUSED,
        DeathCause.RESET,
        DeathCause.EARLY_END,
        DeathCause.NEW_INCARNATION,
    }
)
"""Causes that mean that the upstream process, or the path to it, is gone."""

RESUME_PRIORITY_BOOST = 10
"""Amount subtracted from a resume's priority value so that it runs before new work.

Engines run lower values first, and the urgency of new work is at most 9."""

PERMANENT_ERROR_STATUSES = frozenset({400, 404, 413, 422})
"""HTTP statuses that any other upstream would return for the same request."""

Inbox = asyncio.Queue[GenerationEvent | None]
"""Events of attempts; None only wakes the owner to check its timeouts."""


@dataclass(slots=True)
class GenerationContext:
    """The state that all generations of an instance share.

    `heartbeat_s` is the time in seconds without output after which the caller gets a
    heartbeat. `run_end_checks` finds out about runs that were left.
    """

    engine: EnginePort
    shared: SharedState
    clock: Callable[[], float]
    heartbeat_s: float
    metrics: Metrics
    run_end_checks: RunEndChecks[LeftGenerationRun]

    def counts(self) -> dict[str, float]:
        """Return the totals and the current state of generations for the state dump."""
        shared = self.shared
        totals = {f"ended_{name}": n for name, n in asdict(shared.totals).items()}
        return totals | {
            "suspects": len(shared.suspicion.deaths_by_fingerprint),
            "deaths_remembered": len(shared.suspicion.deaths),
            "upstreams_held": len(shared.suspicion.held),
            "resumes_waiting": shared.resumes.waiting,
            "extra_work_credit": shared.extra_work.credit,
            "runs_left": self.run_end_checks.run_ends.count(),
        }

    @property
    def selector(self) -> Selector:
        """The selector that chooses upstreams."""
        return self.shared.selector

    @property
    def suspicion(self) -> SuspicionLedger:
        """The ledger of crash reports."""
        return self.shared.suspicion

    @property
    def stall_detector(self) -> StallDetector:
        """The detector of stalled streams, which learns each upstream's chunk gaps."""
        return self.shared.stall_detector


def make_generation_context(
    engine: EnginePort,
    selector: Selector,
    clock: Callable[[], float] = time.monotonic,
    seed: int = 0,
    heartbeat_s: float = 0.5,
    metrics: Metrics | None = None,
) -> GenerationContext:
    """Return a context with empty state, for an instance that has just started."""
    shared = SharedState(
        selector=selector,
        stall_detector=StallDetector(),
        suspicion=SuspicionLedger(),
        extra_work=ExtraWorkBudget(),
        resumes=ResumeLimiter(),
        random=random.Random(seed),
    )
    metrics = metrics or Metrics()
    checks = RunEndChecks(RunEnds(), GenerationRunAsker(engine), clock)
    return GenerationContext(engine, shared, clock, heartbeat_s, metrics, checks)


async def run_attempt(
    context: GenerationContext,
    action: StartAttempt,
    request: EngineRequest,
    inbox: Inbox,
) -> None:
    """Read one stream from an engine and report its events to `inbox`.

    Each chunk becomes an event. A stream that ends without a finish reason also yields
    an `AttemptDied`; no exception but cancellation leaves this function.
    """
    number, clock = action.attempt, context.clock
    try:
        async with context.engine.open_stream(action.upstream, request) as chunks:
            async for chunk in chunks:
                await inbox.put(chunk_event(number, clock(), chunk))
                if chunk.finish_reason is not None:
                    return
        await inbox.put(early_end_event(number, clock()))
    except StreamDiedError as error:
        await inbox.put(death_event(number, clock(), error))
    except Exception as error:
        await inbox.put(unexpected_error_event(number, clock(), error))


def chunk_event(number: int, at: float, chunk: EngineChunk) -> ChunkArrived:
    """Return the event that reports a chunk received at `at`."""
    return ChunkArrived(
        attempt=number,
        at=at,
        token_ids=chunk.token_ids,
        text=chunk.text,
        finish_reason=chunk.finish_reason,
        prompt_token_ids=chunk.prompt_token_ids,
        version=chunk.version,
    )


def death_event(number: int, at: float, error: StreamDiedError) -> AttemptDied:
    """Return the event for a stream that ended with a `StreamDiedError`."""
    return AttemptDied(
        attempt=number,
        at=at,
        scope=classify_loss(error),
        verdict=error.verdict,
        message=error.message,
        retry_after_s=error.retry_after_s,
    )


def classify_loss(error: StreamDiedError) -> FailureScope:
    """Classify whether a death is due to the upstream, the attempt or the request."""
    if error.cause is DeathCause.REJECTED and error.status in PERMANENT_ERROR_STATUSES:
        return FailureScope.REQUEST
    if error.cause in UPSTREAM_LOSS_CAUSES:
        return FailureScope.UPSTREAM
    return FailureScope.ATTEMPT


def early_end_event(number: int, at: float) -> AttemptDied:
    """Return the event for a stream that ended cleanly but without a finish reason."""
    message = "the stream ended without a finish reason"
    return AttemptDied(number, at, FailureScope.UPSTREAM, Verdict.MAY_HAVE_RUN, message)


def unexpected_error_event(number: int, at: float, error: Exception) -> AttemptDied:
    """Return the event for a stream that failed with an unexpected exception."""
    message = f"{type(error).__name__}: {error}"
    return AttemptDied(number, at, FailureScope.ATTEMPT, Verdict.MAY_HAVE_RUN, message)


def build_engine_request(
    request: GenerationRequest, action: StartAttempt
) -> EngineRequest:
    """Build the request to the engine.

    Until a token has been delivered, an attempt sends the caller's prompt. A resume
    sends the prompt's tokens followed by those delivered, with a higher priority.
    """
    priority = request.profile.urgency
    if action.prompt_token_ids is not None:
        prompt, messages = None, None
        priority -= RESUME_PRIORITY_BOOST
        prompt_token_ids: tuple[int, ...] | None = action.prompt_token_ids
    else:
        prompt, messages = request.prompt, request.messages
        prompt_token_ids = request.prompt_token_ids
    return EngineRequest(
        model=request.model,
        prompt=prompt,
        prompt_token_ids=prompt_token_ids,
        messages=messages,
        max_tokens=action.max_tokens,
        priority=priority,
        parameters=request.parameters,
        request_id=generation_run_name(request.request_id, action.attempt),
    )
