"""Routes for completions and chat completions, streamed or not."""

from __future__ import annotations

import asyncio
import time
import uuid
from dataclasses import dataclass, replace

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp, Receive, Scope, Send

from turmericusher.api.bodies import (
    ChatBody,
    CompletionBody,
    GenerationBody,
    generation_from_body,
    parse_body,
)
from turmericusher.api.chunks import (
    HEARTBEAT,
    STREAM_END,
    AnswerShape,
    chunk_event,
    error_event,
    usage_event,
    whole_body,
)
from turmericusher.api.errors import error_response
from turmericusher.api.headers import ATTEMPT_HEADER, KEY_HEADER, PROFILE_HEADER
from turmericusher.api.identity import team_of
from turmericusher.api.reading import read_body
from turmericusher.api.services import (
    attempt_number,
    weaken_not_run,
)
from turmericusher.decisions.requests import AnswerChunk, GenerationRequest
from turmericusher.errors import ErrorCode, RequestRefusedError, TurmericusherError
from turmericusher.logs import log_event
from turmericusher.profiles import Profile
from turmericusher.settings import Service, Settings
from turmericusher.tasks.claimed import hash_parts
from turmericusher.tasks.instance import EntryRuntime

HEARTBEAT_INTERVAL_S = 1.0
"""Interval of heartbeats while a generation waits to be admitted."""

STREAM_HEADERS = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-cache"),
]


def completion_routes(runtime: EntryRuntime) -> list[Route]:
    """Return the routes for completions and chat completions."""

    async def completions(request: Request) -> ASGIApp:
        return await answer(runtime, request, CompletionBody)

    async def chat_completions(request: Request) -> ASGIApp:
        return await answer(runtime, request, ChatBody)

    return [
        Route("/v1/completions", completions, methods=["POST"]),
        Route("/v1/chat/completions", chat_completions, methods=["POST"]),
    ]


async def answer(
    runtime: EntryRuntime,
    request: Request,
    model: type[CompletionBody] | type[ChatBody],
) -> ASGIApp:
    """Validate the request and return its response.

    `TurmericusherError` is raised only before any output is sent.
    """
    team = team_of(request, runtime.settings)
    data = await read_body(request, runtime.settings.max_body_bytes)
    body = parse_body(data, model)
    service = service_for_model(runtime.settings, body.model)
    name = request.headers.get(PROFILE_HEADER, service.default_profile)
    profile = profile_of(runtime, request, name)
    request_id = uuid.uuid4().hex
    generation = replace(
        generation_from_body(body, request_id, team, profile, service.name),
        idempotency_key=request.headers.get(KEY_HEADER),
        attempt_number=attempt_number(request.headers.get(ATTEMPT_HEADER)),
        body_hash=hash_parts((team.encode(), request.url.path.encode(), data)),
    )
    shape = shape_for(body, isinstance(body, ChatBody), request_id)
    if not body.stream:
        return await whole_answer(runtime, request, generation, shape)
    return StreamedAnswer(runtime, generation, shape)


def profile_of(runtime: EntryRuntime, request: Request, name: str) -> Profile:
    """Return the profile in force; raise `TurmericusherError` if there is none."""
    try:
        return runtime.profiles.get(name)
    except TurmericusherError as error:
        weaken_not_run(request.headers, error)
        raise


def service_for_model(settings: Settings, model: str) -> Service:
    """Return the service that serves a model; raise if there is none."""
    for service in settings.services:
        if model in service.models:
            return service
    raise RequestRefusedError(
        ErrorCode.UNKNOWN_MODEL, f"no service serves model={model!r}"
    )


def shape_for(body: GenerationBody, is_chat: bool, request_id: str) -> AnswerShape:
    """Return the format that the body's options ask for."""
    options = body.stream_options or {}
    return AnswerShape(
        is_chat=is_chat,
        answer_id=("chatcmpl-" if is_chat else "cmpl-") + request_id,
        model=body.model,
        created=int(time.time()),
        with_token_ids=body.return_token_ids,
        with_usage=bool(options.get("include_usage")),
    )


async def whole_answer(
    runtime: EntryRuntime,
    request: Request,
    generation: GenerationRequest,
    shape: AnswerShape,
) -> Response:
    """Return the complete answer; cancel the generation if the caller disconnects."""
    collecting = asyncio.create_task(collect(runtime, generation))
    leaving = asyncio.create_task(wait_for_disconnect(request.receive))
    try:
        await asyncio.wait({collecting, leaving}, return_when=asyncio.FIRST_COMPLETED)
        if not collecting.done():
            log_event("caller_gone", request_id=generation.request_id)
            return Response(status_code=499)
        return JSONResponse(whole_body(shape, collecting.result()))
    finally:
        collecting.cancel()
        leaving.cancel()
        await asyncio.gather(collecting, leaving, return_exceptions=True)


async def collect(
    runtime: EntryRuntime, generation: GenerationRequest
) -> list[AnswerChunk]:
    """Return all chunks of an answer except heartbeats."""
    async with runtime.generate(generation) as pieces:
        return [piece async for piece in pieces if not is_heartbeat(piece)]


async def wait_for_disconnect(receive: Receive) -> None:
    """Return when the caller has closed its connection."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def end_task(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait until it has ended."""
    task.cancel()
    await asyncio.wait({task})


def is_heartbeat(piece: AnswerChunk) -> bool:
    """Whether a chunk is empty and only shows that the instance is alive."""
    return not (piece.token_ids or piece.text or piece.finish_reason)


@dataclass(slots=True)
class StreamedAnswer:
    """A response that sends an answer as server-sent events.

    The response head is sent with the first chunk or heartbeat, so that a request that
    fails before gets a plain HTTP error with its own status.
    """

    runtime: EntryRuntime
    generation: GenerationRequest
    shape: AnswerShape
    has_started: bool = False
    has_first_piece: bool = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Stream until the answer ends or the caller disconnects."""
        streaming = asyncio.create_task(self.stream(scope, receive, send))
        leaving = asyncio.create_task(wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                {streaming, leaving}, return_when=asyncio.FIRST_COMPLETED
            )
            if streaming.done():
                streaming.result()
            else:
                log_event("caller_gone", request_id=self.generation.request_id)
        finally:
            streaming.cancel()
            leaving.cancel()
            await asyncio.gather(streaming, leaving, return_exceptions=True)

    async def stream(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send every chunk; report a failure as an HTTP error or as the last event."""
        opening = asyncio.create_task(self.beat(send))
        try:
            async with self.runtime.generate(self.generation) as pieces:
                async for piece in pieces:
                    if not opening.done():
                        await end_task(opening)
                    await self.write(send, self.event_for(piece))
                    if piece.usage is not None and self.shape.with_usage:
                        await self.write(send, usage_event(self.shape, piece.usage))
            await self.write(send, STREAM_END)
        except TurmericusherError as error:
            await end_task(opening)
            log_event(
                "generation_failed",
                request_id=self.generation.request_id,
                code=error.code.value,
                verdict=error.verdict.value,
                message=error.message,
            )
            if not self.has_started:
                await error_response(error)(scope, receive, send)
                return
            await self.write(send, error_event(error))
        finally:
            opening.cancel()
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    async def beat(self, send: Send) -> None:
        """Send heartbeats until the generation has been opened.

        It may wait in the admission queue for a while; without heartbeats a caller
        could not tell this wait from a dead instance.
        """
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            await self.write(send, HEARTBEAT)

    def event_for(self, piece: AnswerChunk) -> bytes:
        """Return the server-sent event for a chunk or a heartbeat."""
        if is_heartbeat(piece):
            return HEARTBEAT
        is_first = not self.has_first_piece
        self.has_first_piece = True
        return chunk_event(self.shape, piece, is_first)

    async def write(self, send: Send, data: bytes) -> None:
        """Send bytes of the body, preceded by the response head on the first call."""
        if not self.has_started:
            await send(
                {
                    "type": "http.response.start",
                    "status": 200,
                    "headers": STREAM_HEADERS,
                }
            )
            self.has_started = True
        await send({"type": "http.response.body", "body": data, "more_body": True})
