"""Runs generations: one owner task each, and one task for each attempt.

The owner feeds the decisions and carries out their actions. An attempt's task owns the
stream to its engine and reports to the owner's inbox. The caller's side reads the
outbox; leaving `open_generation` ends all of it.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from turmericusher.decisions.generation import Generation, make_generation
from turmericusher.decisions.generation_messages import (
    AttemptDied,
    CancelAttempt,
    Deliver,
    Fail,
    GenerationAction,
    GenerationEvent,
    Loss,
    StartAttempt,
)
from turmericusher.decisions.requests import AnswerPiece, GenerationRequest
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
    engine_request,
    make_generation_context,
    run_attempt,
)

__all__ = ["GenerationContext", "make_generation_context", "open_generation"]

INBOX_SIZE = 64
OUTBOX_SIZE = 64
CLOSE_TIMEOUT_S = 1.0
MIN_BEAT_S = 0.01

REFUSAL_CODES = frozenset({ErrorCode.NO_UPSTREAM, ErrorCode.WAIT_EXCEEDED})


@dataclass(frozen=True, slots=True)
class Ended:
    """The last message in an outbox: the error, or None after a whole answer."""

    error: BaseException | None


OutboxMessage = AnswerPiece | Ended


@dataclass(slots=True)
class GenerationOwner:
    """The task that owns one generation, and the tasks of its attempts.

    `closing` are attempts already cancelled whose streams are still being closed.
    `paused_at` is when the answer stopped, until it goes on.
    """

    context: GenerationContext
    generation: Generation
    inbox: Inbox
    outbox: asyncio.Queue[OutboxMessage]
    attempts: dict[int, asyncio.Task[None]] = field(default_factory=dict)
    closing: set[asyncio.Task[None]] = field(default_factory=set)
    paused_at: float | None = None
    timer: asyncio.TimerHandle | None = None
    timer_at: float = 0.0

    async def run(self) -> None:
        """Run the generation to its end and put the end in the outbox."""
        try:
            await self.run_decisions()
        except TurmericusherError as error:
            await self.outbox.put(Ended(error))
        except Exception as error:
            await self.outbox.put(Ended(internal_error(error)))
        else:
            await self.outbox.put(Ended(None))

    async def run_decisions(self) -> None:
        """Feed events and time to the decisions until the generation is over."""
        clock = self.context.clock
        await self.carry_out(self.generation.start(clock()))
        while not self.generation.is_over:
            event = await self.next_event()
            if event is None:
                actions = self.generation.tick(clock())
            else:
                self.note(event)
                actions = self.generation.handle(event, clock())
            await self.carry_out(actions)

    def note(self, event: GenerationEvent) -> None:
        """Log the death of a live attempt."""
        if not isinstance(event, AttemptDied):
            return
        if event.attempt not in self.generation.attempts:
            return
        self.paused_at = event.at if self.paused_at is None else self.paused_at
        upstream = self.generation.attempts[event.attempt].upstream
        is_upstream = event.loss is Loss.UPSTREAM
        self.context.metrics.count("generation.attempts_lost")
        log_event(
            "upstream_died" if is_upstream else "attempt_failed",
            request_id=self.generation.request.request_id,
            fingerprint=self.generation.request.fingerprint,
            attempt=event.attempt,
            upstream=upstream.name,
            verdict=event.verdict.value,
            message=event.message,
        )

    def note_start(self, action: StartAttempt) -> None:
        """Log an attempt after the first one."""
        if action.attempt == 1:
            return
        if self.paused_at is None:
            self.paused_at = self.generation.progress_at
        self.context.metrics.count("generation.attempts_repeated")
        log_event(
            "resumed",
            request_id=self.generation.request.request_id,
            attempt=action.attempt,
            upstream=action.upstream.name,
            offset=len(self.generation.delivered),
        )

    def note_delivery(self) -> None:
        """Time the pause that a delivery ends."""
        if self.paused_at is not None:
            pause_s = self.context.clock() - self.paused_at
            self.context.metrics.timing("generation.pause", pause_s)
            self.paused_at = None

    async def next_event(self) -> GenerationEvent | None:
        """Return the next event, or None when time has to be acted on.

        What waits in the inbox goes first: a piece that has arrived is no silence,
        however late the owner comes to read it.
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
        """Wake the owner at a time, in place of any later one.

        One timer serves many events: it is left where it is when the time to wake
        moves on, and looks again when it goes off.
        """
        if self.timer is not None:
            self.timer.cancel()
        wait_s = wake_at - self.context.clock()
        loop = asyncio.get_running_loop()
        self.timer_at = wake_at
        self.timer = loop.call_later(wait_s, self.wake)

    def wake(self) -> None:
        """Let the owner look at the time, unless it is busy with its inbox."""
        self.timer = None
        if self.inbox.empty():
            self.inbox.put_nowait(None)

    async def carry_out(self, actions: list[GenerationAction]) -> None:
        """Carry out actions in their order."""
        for action in actions:
            match action:
                case StartAttempt():
                    self.start_attempt(action)
                case CancelAttempt(attempt=number):
                    self.cancel_attempt(number)
                case Deliver(piece=piece):
                    self.note_delivery()
                    await self.outbox.put(piece)
                case Fail():
                    raise error_of(action)

    def start_attempt(self, action: StartAttempt) -> None:
        """Start the task of an attempt."""
        self.note_start(action)
        request = engine_request(self.generation.request, action)
        attempt = run_attempt(self.context, action, request, self.inbox)
        name = f"attempt {action.attempt} of {self.generation.request.request_id}"
        self.attempts[action.attempt] = asyncio.create_task(attempt, name=name)

    def cancel_attempt(self, number: int) -> None:
        """Cancel an attempt's task without waiting for its stream to close."""
        task = self.attempts.pop(number)
        if task.done():
            return
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)
        task.cancel()

    def cancel_all(self) -> None:
        """Cancel every attempt, without waiting for anything."""
        self.generation.close(self.context.clock())
        self.context.shared.totals.add(self.generation.counts)
        if self.timer is not None:
            self.timer.cancel()
        for number in list(self.attempts):
            self.cancel_attempt(number)

    async def wait_closed(self, owner_task: asyncio.Task[None]) -> None:
        """Wait until the streams are closed, but not long for one that hangs."""
        await asyncio.wait([owner_task, *self.closing], timeout=CLOSE_TIMEOUT_S)


def error_of(failure: Fail) -> TurmericusherError:
    """Return the error that a caller gets."""
    is_refusal = failure.verdict is Verdict.NOT_RUN and failure.code in REFUSAL_CODES
    kind = RequestRefusedError if is_refusal else UpstreamError
    return kind(
        failure.code,
        failure.message,
        verdict=failure.verdict,
        retry_after_s=failure.retry_after_s,
    )


def internal_error(error: Exception) -> TurmericusherError:
    """Return the error for a fault of ours."""
    return TurmericusherError(
        ErrorCode.INTERNAL,
        f"the generation failed inside turmericusher: {error!r}",
        verdict=Verdict.MAY_HAVE_RUN,
    )


@asynccontextmanager
async def open_generation(
    context: GenerationContext,
    request: GenerationRequest,
    arrived_at: float | None = None,
) -> AsyncIterator[AsyncIterator[AnswerPiece]]:
    """Run a generation; leaving the context cancels its work on the engines at once.

    The profile's wait counts from `arrived_at` (monotonic seconds), by default now: a
    request that was queued has used a part of its wait already.

    Iteration yields the pieces in order, and heartbeats in between; it raises
    `TurmericusherError` where the answer cannot be completed.
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
    reader.beat()
    try:
        yield reader
    finally:
        reader.stop()
        task.cancel()
        owner.cancel_all()
        await owner.wait_closed(task)


@dataclass(slots=True)
class OutboxReader:
    """The caller's side of a generation: its pieces, with heartbeats in between."""

    outbox: asyncio.Queue[OutboxMessage]
    heartbeat_s: float
    read_at: float = 0.0
    timer: asyncio.TimerHandle | None = None

    def beat(self) -> None:
        """Put a heartbeat into a silent outbox, and look again when one is due."""
        loop = asyncio.get_running_loop()
        due_at = self.read_at + self.heartbeat_s
        if loop.time() >= due_at and self.outbox.empty():
            self.outbox.put_nowait(AnswerPiece())
            due_at = loop.time() + self.heartbeat_s
        self.timer = loop.call_at(max(due_at, loop.time() + MIN_BEAT_S), self.beat)

    def stop(self) -> None:
        """Send no more heartbeats."""
        if self.timer is not None:
            self.timer.cancel()

    def __aiter__(self) -> OutboxReader:
        """Return itself."""
        return self

    async def __anext__(self) -> AnswerPiece:
        """Return the next piece; raise the error that ended the generation."""
        message = await self.outbox.get()
        self.read_at = asyncio.get_running_loop().time()
        if not isinstance(message, Ended):
            return message
        self.outbox.put_nowait(message)
        if message.error is not None:
            raise message.error
        raise StopAsyncIteration
