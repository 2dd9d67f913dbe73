"""Runs generations: one owner task each, and one task for each attempt.

The owner feeds the decisions and carries out their actions. An attempt's task owns the
stream to its engine and reports to the owner's inbox. The caller's side reads the
outbox; leaving `open_generation` ends all of it.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from turmericusher.decisions.extra_work import ExtraWorkBudget, ResumeGate
from turmericusher.decisions.generation import Generation, make_generation
from turmericusher.decisions.generation_messages import (
    AttemptDied,
    CancelAttempt,
    Deliver,
    Fail,
    GenerationAction,
    GenerationEvent,
    Loss,
    PieceArrived,
    StartAttempt,
)
from turmericusher.decisions.generation_state import SharedState
from turmericusher.decisions.patience import Patience
from turmericusher.decisions.requests import AnswerPiece, GenerationRequest
from turmericusher.decisions.selection import Selector
from turmericusher.decisions.suspicion import SuspicionLedger
from turmericusher.errors import (
    ErrorCode,
    RequestRefusedError,
    TurmericusherError,
    UpstreamError,
    Verdict,
)
from turmericusher.ports.upstream import (
    DeathCause,
    EnginePiece,
    EnginePort,
    EngineRequest,
    StreamDiedError,
)

INBOX_SIZE = 64
OUTBOX_SIZE = 64
CLOSE_TIMEOUT_S = 1.0

UPSTREAM_LOSSES = frozenset(
    {
        DeathCause.REFUSED,
        DeathCause.RESET,
        DeathCause.EARLY_END,
        DeathCause.NEW_INCARNATION,
    }
)
FINAL_STATUSES = frozenset({400, 404, 413, 422})
REFUSAL_CODES = frozenset({ErrorCode.NO_UPSTREAM, ErrorCode.WAIT_EXCEEDED})


@dataclass(slots=True)
class GenerationContext:
    """What all generations of an instance share.

    `heartbeat_s` is the silence in seconds after which a caller gets a heartbeat.
    """

    engine: EnginePort
    shared: SharedState
    clock: Callable[[], float]
    heartbeat_s: float

    @property
    def selector(self) -> Selector:
        """The selection of upstreams."""
        return self.shared.selector

    @property
    def suspicion(self) -> SuspicionLedger:
        """The ledger of deaths charged to requests."""
        return self.shared.suspicion

    @property
    def patience(self) -> Patience:
        """The gaps learned of each upstream."""
        return self.shared.patience


def make_generation_context(
    engine: EnginePort,
    selector: Selector,
    clock: Callable[[], float] = time.monotonic,
    seed: int = 0,
    heartbeat_s: float = 0.5,
) -> GenerationContext:
    """Return the shared state for an instance that has just started."""
    shared = SharedState(
        selector=selector,
        patience=Patience(),
        suspicion=SuspicionLedger(),
        extra_work=ExtraWorkBudget(),
        resumes=ResumeGate(),
        random=random.Random(seed),
    )
    return GenerationContext(engine, shared, clock, heartbeat_s)


@dataclass(frozen=True, slots=True)
class Ended:
    """The last message in an outbox: the error, or None after a whole answer."""

    error: BaseException | None


OutboxMessage = AnswerPiece | Ended


@dataclass(slots=True)
class GenerationOwner:
    """The task that owns one generation, and the tasks of its attempts.

    `closing` are attempts already cancelled whose streams are still being closed.
    """

    context: GenerationContext
    generation: Generation
    inbox: asyncio.Queue[GenerationEvent]
    outbox: asyncio.Queue[OutboxMessage]
    attempts: dict[int, asyncio.Task[None]] = field(default_factory=dict)
    closing: set[asyncio.Task[None]] = field(default_factory=set)

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
                actions = self.generation.handle(event, clock())
            await self.carry_out(actions)

    async def next_event(self) -> GenerationEvent | None:
        """Return the next event, or None when time has to be acted on.

        What waits in the inbox goes first: a piece that has arrived is no silence,
        however late the owner comes to read it.
        """
        if not self.inbox.empty():
            return self.inbox.get_nowait()
        wait_s = self.generation.wake_at() - self.context.clock()
        if wait_s <= 0:
            return None
        try:
            async with asyncio.timeout(wait_s):
                return await self.inbox.get()
        except TimeoutError:
            return None

    async def carry_out(self, actions: list[GenerationAction]) -> None:
        """Carry out actions in their order."""
        for action in actions:
            match action:
                case StartAttempt():
                    self.start_attempt(action)
                case CancelAttempt(attempt=number):
                    self.cancel_attempt(number)
                case Deliver(piece=piece):
                    await self.outbox.put(piece)
                case Fail():
                    raise error_of(action)

    def start_attempt(self, action: StartAttempt) -> None:
        """Start the task of an attempt."""
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
        for number in list(self.attempts):
            self.cancel_attempt(number)

    async def wait_closed(self, owner_task: asyncio.Task[None]) -> None:
        """Wait until the streams are closed, but not long for one that hangs."""
        await asyncio.wait([owner_task, *self.closing], timeout=CLOSE_TIMEOUT_S)


async def run_attempt(
    context: GenerationContext,
    action: StartAttempt,
    request: EngineRequest,
    inbox: asyncio.Queue[GenerationEvent],
) -> None:
    """Own one stream: report its pieces, and its death unless it finished."""
    number, clock = action.attempt, context.clock
    try:
        async with context.engine.open_stream(action.upstream, request) as pieces:
            async for piece in pieces:
                await inbox.put(arrived(number, clock(), piece))
                if piece.finish_reason is not None:
                    return
        await inbox.put(died_early(number, clock()))
    except StreamDiedError as error:
        await inbox.put(death_of(number, clock(), error))
    except Exception as error:
        await inbox.put(died_strangely(number, clock(), error))


def arrived(number: int, at: float, piece: EnginePiece) -> PieceArrived:
    """Return the event for a piece."""
    return PieceArrived(
        attempt=number,
        at=at,
        token_ids=piece.token_ids,
        text=piece.text,
        finish_reason=piece.finish_reason,
        prompt_token_ids=piece.prompt_token_ids,
        version=piece.version,
    )


def death_of(number: int, at: float, error: StreamDiedError) -> AttemptDied:
    """Return the event for a stream that died."""
    return AttemptDied(
        attempt=number,
        at=at,
        loss=loss_of(error),
        verdict=error.verdict,
        message=error.message,
        retry_after_s=error.retry_after_s,
    )


def loss_of(error: StreamDiedError) -> Loss:
    """Return what a death says of the upstream and of the request."""
    if error.cause is DeathCause.REJECTED and error.status in FINAL_STATUSES:
        return Loss.REQUEST
    if error.cause in UPSTREAM_LOSSES:
        return Loss.UPSTREAM
    return Loss.ATTEMPT


def died_early(number: int, at: float) -> AttemptDied:
    """Return the event for a stream that just stopped, with no finish reason."""
    message = "the stream ended without a finish reason"
    return AttemptDied(number, at, Loss.UPSTREAM, Verdict.MAY_HAVE_RUN, message)


def died_strangely(number: int, at: float, error: Exception) -> AttemptDied:
    """Return the event for a stream that failed in a way the port does not name."""
    message = f"{type(error).__name__}: {error}"
    return AttemptDied(number, at, Loss.ATTEMPT, Verdict.MAY_HAVE_RUN, message)


def engine_request(request: GenerationRequest, action: StartAttempt) -> EngineRequest:
    """Return what the engine gets: the caller's prompt, or the tokens so far."""
    if action.prompt_token_ids is not None:
        prompt, messages = None, None
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
        priority=request.profile.urgency,
        parameters=request.parameters,
        request_id=f"{request.request_id}-{action.attempt}",
    )


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
    context: GenerationContext, request: GenerationRequest
) -> AsyncIterator[AsyncIterator[AnswerPiece]]:
    """Run a generation; leaving the context cancels its work on the engines at once.

    Iteration yields the pieces in order, and heartbeats in between; it raises
    `TurmericusherError` where the answer cannot be completed.
    """
    generation = make_generation(request, context.shared, context.clock())
    owner = GenerationOwner(
        context=context,
        generation=generation,
        inbox=asyncio.Queue(INBOX_SIZE),
        outbox=asyncio.Queue(OUTBOX_SIZE),
    )
    task = asyncio.create_task(owner.run(), name=f"owner of {request.request_id}")
    try:
        yield OutboxReader(owner.outbox, context.heartbeat_s)
    finally:
        task.cancel()
        owner.cancel_all()
        await owner.wait_closed(task)


@dataclass(slots=True)
class OutboxReader:
    """The caller's side of a generation: its pieces, with heartbeats in between."""

    outbox: asyncio.Queue[OutboxMessage]
    heartbeat_s: float

    def __aiter__(self) -> OutboxReader:
        """Return itself."""
        return self

    async def __anext__(self) -> AnswerPiece:
        """Return the next piece; raise the error that ended the generation."""
        try:
            async with asyncio.timeout(self.heartbeat_s):
                message = await self.outbox.get()
        except TimeoutError:
            return AnswerPiece()
        if not isinstance(message, Ended):
            return message
        self.outbox.put_nowait(message)
        if message.error is not None:
            raise message.error
        raise StopAsyncIteration
