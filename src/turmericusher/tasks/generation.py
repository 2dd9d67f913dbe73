"""Runs generations: one owner task for each, and one task for each of its attempts.

The owner passes events to the generation's decision logic and carries out the actions
that it returns. An attempt's task owns the stream from its engine and reports to the
owner's inbox. The caller reads from the outbox; leaving `open_generation` ends all of
these tasks.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.generation import Generation, make_generation
from turmericusher.decisions.generation_messages import (
    AttemptDied,
    CancelAttempt,
    Deliver,
    Fail,
    FailureScope,
    GenerationAction,
    GenerationEvent,
    StartAttempt,
)
from turmericusher.decisions.requests import AnswerChunk, GenerationRequest
from turmericusher.decisions.run_ends import leave_generation_run
from turmericusher.errors import (
    ErrorCode,
    RequestRefusedError,
    TurmericusherError,
    UpstreamError,
    Verdict,
)
from turmericusher.logs import log_event
from turmericusher.tasks.attempts import (
    GenerationContext,
    Inbox,
    build_engine_request,
    make_generation_context,
    run_attempt,
)

__all__ = ["GenerationContext", "make_generation_context", "open_generation"]

INBOX_SIZE = 64
OUTBOX_SIZE = 64
CLOSE_TIMEOUT_S = 1.0
"""Longest time in seconds that a caller waits for cancelled streams to close."""

MIN_HEARTBEAT_CHECK_S = 0.01
"""Shortest time in seconds between two checks whether a heartbeat is due."""

REFUSAL_CODES = frozenset({ErrorCode.NO_UPSTREAM, ErrorCode.WAIT_EXCEEDED})
"""Codes of failures that count as a refusal if the request has not run."""


@dataclass(frozen=True, slots=True)
class EndOfAnswer:
    """The last message in an outbox: the error, or None after a complete answer."""

    error: BaseException | None


OutboxMessage = AnswerChunk | EndOfAnswer


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """The task of an attempt, started at a time in monotonic seconds."""

    task: asyncio.Task[None]
    upstream: UpstreamInstance
    started_at: float


@dataclass(slots=True)
class GenerationOwner:
    """The state of the task that owns one generation and its attempts' tasks.

    `closing` holds cancelled attempts whose streams are still being closed. `paused_at`
    is the time at which output stopped because an attempt failed; None while output
    flows.
    """

    context: GenerationContext
    generation: Generation
    inbox: Inbox
    outbox: asyncio.Queue[OutboxMessage]
    attempts: dict[int, RunningAttempt] = field(default_factory=dict)
    closing: set[asyncio.Task[None]] = field(default_factory=set)
    paused_at: float | None = None
    timer: asyncio.TimerHandle | None = None
    timer_at: float = 0.0

    async def run(self) -> None:
        """Run the generation and put its end, with the error if any, in the outbox."""
        try:
            await self.run_decision_logic()
        except TurmericusherError as error:
            await self.outbox.put(EndOfAnswer(error))
        except Exception as error:
            await self.outbox.put(EndOfAnswer(internal_error(error)))
        else:
            await self.outbox.put(EndOfAnswer(None))

    async def run_decision_logic(self) -> None:
        """Pass events and timeouts to the decision logic until the generation ends."""
        clock = self.context.clock
        await self.carry_out(self.generation.start(clock()))
        while not self.generation.is_over:
            event = await self.next_event()
            if event is None:
                actions = self.generation.tick(clock())
            else:
                self.record_death(event)
                actions = self.generation.handle(event, clock())
            await self.carry_out(actions)

    def record_death(self, event: GenerationEvent) -> None:
        """Log and count the death of a live attempt, and note when output paused."""
        if not isinstance(event, AttemptDied):
            return
        if event.attempt not in self.generation.attempts:
            return
        self.paused_at = event.at if self.paused_at is None else self.paused_at
        upstream = self.generation.attempts[event.attempt].upstream
        is_upstream_loss = event.scope is FailureScope.UPSTREAM
        self.context.metrics.count("generation.attempts_lost")
        log_event(
            "upstream_died" if is_upstream_loss else "attempt_failed",
            request_id=self.generation.request.request_id,
            fingerprint=self.generation.request.fingerprint,
            attempt=event.attempt,
            upstream=upstream.name,
            verdict=event.verdict.value,
            message=event.message,
        )

    def record_attempt_start(self, action: StartAttempt) -> None:
        """Log and count an attempt after the first one, and note when output paused.

        A second attempt may start before any death is seen; its pause is counted from
        the generation's last progress.
        """
        if action.attempt == 1:
            return
        if self.paused_at is None:
            self.paused_at = self.generation.last_progress_at
        self.context.metrics.count("generation.attempts_repeated")
        log_event(
            "resumed",
            request_id=self.generation.request.request_id,
            attempt=action.attempt,
            upstream=action.upstream.name,
            offset=len(self.generation.delivered),
        )

    def record_pause_end(self) -> None:
        """Record the duration of the pause that a delivery ends, if there was one."""
        if self.paused_at is not None:
            pause_s = self.context.clock() - self.paused_at
            self.context.metrics.timing("generation.pause", pause_s)
            self.paused_at = None

    async def next_event(self) -> GenerationEvent | None:
        """Return the next event, or None when a timeout is due.

        Events in the inbox go first: a chunk that has already arrived must not count as
        a stall because the owner reads it late.
        """
        if not self.inbox.empty():
            return self.inbox.get_nowait()
        wake_at = self.generation.wake_at()
        if wake_at <= self.context.clock():
            return None
        if self.timer is None or wake_at < self.timer_at:
            self.set_timer(wake_at)
        return await self.inbox.get()

    def set_timer(self, wake_at: float) -> None:
        """Schedule a wake-up at `wake_at`, replacing any later one.

        When the wake-up time moves to later, the timer is left in place and the time
        is checked when it fires, so that most events do not reset the timer.
        """
        if self.timer is not None:
            self.timer.cancel()
        wait_s = wake_at - self.context.clock()
        loop = asyncio.get_running_loop()
        self.timer_at = wake_at
        self.timer = loop.call_later(wait_s, self.wake)

    def wake(self) -> None:
        """Wake the owner to check its timeouts, unless events will wake it anyway."""
        self.timer = None
        if self.inbox.empty():
            self.inbox.put_nowait(None)

    async def carry_out(self, actions: list[GenerationAction]) -> None:
        """Carry out actions in order; raise the error of a `Fail`."""
        for action in actions:
            match action:
                case StartAttempt():
                    self.start_attempt(action)
                case CancelAttempt():
                    self.cancel_attempt(action)
                case Deliver(chunk=chunk):
                    self.record_pause_end()
                    await self.outbox.put(chunk)
                case Fail():
                    raise build_error(action)

    def start_attempt(self, action: StartAttempt) -> None:
        """Start the task that runs an attempt."""
        self.record_attempt_start(action)
        request = build_engine_request(self.generation.request, action)
        attempt = run_attempt(self.context, action, request, self.inbox)
        name = f"attempt {action.attempt} of {self.generation.request.request_id}"
        task = asyncio.create_task(attempt, name=name)
        running = RunningAttempt(task, action.upstream, self.context.clock())
        self.attempts[action.attempt] = running

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancel an attempt's task without waiting for its stream to close.

        A run that may go on nevertheless is stopped beside that.
        """
        running = self.attempts.pop(action.attempt)
        if action.may_work_on:
            run = leave_generation_run(
                self.generation.request.request_id,
                action.attempt,
                running.upstream,
                running.started_at,
                left_at=self.context.clock(),
            )
            self.context.run_end_checks.add(run)
            self.context.metrics.count("generation.runs_left")
        task = running.task
        if task.done():
            return
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)
        task.cancel()

    def cancel_all(self) -> None:
        """Cancel every attempt and the timer, without waiting for them to end."""
        for action in self.generation.close(self.context.clock()):
            if isinstance(action, CancelAttempt):
                self.cancel_attempt(action)
        self.context.shared.totals.add(self.generation.counts)
        if self.timer is not None:
            self.timer.cancel()
        for number in list(self.attempts):
            self.cancel_attempt(CancelAttempt(number))

    async def wait_closed(self, owner_task: asyncio.Task[None]) -> None:
        """Wait until the streams are closed, for at most `CLOSE_TIMEOUT_S`."""
        await asyncio.wait([owner_task, *self.closing], timeout=CLOSE_TIMEOUT_S)


def build_error(failure: Fail) -> TurmericusherError:
    """Build the error that the caller gets: a refusal only if the request never ran."""
    is_refusal = failure.verdict is Verdict.NOT_RUN and failure.code in REFUSAL_CODES
    kind = RequestRefusedError if is_refusal else UpstreamError
    return kind(
        failure.code,
        failure.message,
        verdict=failure.verdict,
        retry_after_s=failure.retry_after_s,
    )


def internal_error(error: Exception) -> TurmericusherError:
    """Build the error for an unexpected exception in the serving code."""
    return TurmericusherError(
        ErrorCode.INTERNAL,
        f"internal error while running the generation: {error!r}",
        verdict=Verdict.MAY_HAVE_RUN,
    )


@asynccontextmanager
async def open_generation(
    context: GenerationContext,
    request: GenerationRequest,
    arrived_at: float | None = None,
) -> AsyncIterator[AsyncIterator[AnswerChunk]]:
    """Run a generation; leaving the context cancels its work on the engines at once.

    The profile's maximum wait counts from `arrived_at` (monotonic seconds), by default
    now: a request that was queued has already used part of its wait.

    Iteration yields the chunks in order, with heartbeats in between, and raises
    `TurmericusherError` if the answer cannot be completed.
    """
    started_at = context.clock() if arrived_at is None else arrived_at
    generation = make_generation(request, context.shared, started_at)
    owner = GenerationOwner(
        context=context,
        generation=generation,
        inbox=asyncio.Queue(INBOX_SIZE),
        outbox=asyncio.Queue(OUTBOX_SIZE),
    )
    task = asyncio.create_task(owner.run(), name=f"owner of {request.request_id}")
    loop = asyncio.get_running_loop()
    reader = OutboxReader(owner.outbox, context.heartbeat_s, loop.time())
    reader.check_heartbeat()
    try:
        yield reader
    finally:
        reader.stop()
        task.cancel()
        owner.cancel_all()
        await owner.wait_closed(task)


@dataclass(slots=True)
class OutboxReader:
    """Iterates over a generation's chunks for the caller, with heartbeats in between.

    `last_read_at` is the event loop's time of the last message read.
    """

    outbox: asyncio.Queue[OutboxMessage]
    heartbeat_s: float
    last_read_at: float = 0.0
    timer: asyncio.TimerHandle | None = None

    def check_heartbeat(self) -> None:
        """Add a heartbeat to an idle, empty outbox, and schedule the next check."""
        loop = asyncio.get_running_loop()
        due_at = self.last_read_at + self.heartbeat_s
        if loop.time() >= due_at and self.outbox.empty():
            self.outbox.put_nowait(AnswerChunk())
            due_at = loop.time() + self.heartbeat_s
        self.timer = loop.call_at(
            max(due_at, loop.time() + MIN_HEARTBEAT_CHECK_S), self.check_heartbeat
        )

    def stop(self) -> None:
        """Stop adding heartbeats."""
        if self.timer is not None:
            self.timer.cancel()

    def __aiter__(self) -> OutboxReader:
        """Return this reader as its own iterator."""
        return self

    async def __anext__(self) -> AnswerChunk:
        """Return the next chunk; raise the error that ended the generation, if any."""
        message = await self.outbox.get()
        self.last_read_at = asyncio.get_running_loop().time()
        if not isinstance(message, EndOfAnswer):
            return message
        self.outbox.put_nowait(message)
        if message.error is not None:
            raise message.error
        raise StopAsyncIteration
