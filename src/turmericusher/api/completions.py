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
    AnswerFormat,
    chunk_event,
    error_event,
    unstreamed_body,
    usage_event,
)
from turmericusher.api.errors import error_response
from turmericusher.api.headers import (
    ATTEMPT_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    PROFILE_HEADER,
)
from turmericusher.api.identity import identify_team
from turmericusher.api.services import (
    downgrade_not_run,
    parse_attempt_number,
)
from turmericusher.asgi import read_body
from turmericusher.decisions.requests import AnswerChunk, GenerationRequest
from turmericusher.errors import ErrorCode, RequestRefusedError, TurmericusherError
from turmericusher.logs import log_event
from turmericusher.profiles import Profile
from turmericusher.settings import Service, Settings
from turmericusher.tasks.claimed import hash_parts
from turmericusher.tasks.instance import EntryRuntime

HEARTBEAT_INTERVAL_S = 1.0
"""Seconds between heartbeats while a generation waits to be admitted."""

STREAM_HEADERS = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-cache"),
]


def completion_routes(runtime: EntryRuntime) -> list[Route]:
    """Return the routes for completions and chat completions."""

    async def completions(request: Request) -> ASGIApp:
        return await start_answer(runtime, request, CompletionBody)

    async def chat_completions(request: Request) -> ASGIApp:
        return await start_answer(runtime, request, ChatBody)

    return [
        Route("/v1/completions", completions, methods=["POST"]),
        Route("/v1/chat/completions", chat_completions, methods=["POST"]),
    ]


async def start_answer(
    runtime: EntryRuntime,
    request: Request,
    model: type[CompletionBody] | type[ChatBody],
) -> ASGIApp:
    """Validate the request and return its response.

    `model` is the class that validates the body. A `TurmericusherError` is raised only
    while nothing has been sent, so it can become an HTTP error with its own status.
    """
    team = identify_team(request, runtime.settings)
    data = await read_body(request.stream(), runtime.settings.max_body_bytes)
    body = parse_body(data, model)
    service = service_for_model(runtime.settings, body.model)
    name = request.headers.get(PROFILE_HEADER, service.default_profile)
    profile = current_profile(runtime, request, name)
    request_id = uuid.uuid4().hex
    generation = replace(
        generation_from_body(body, request_id, team, profile, service.name),
        idempotency_key=request.headers.get(IDEMPOTENCY_KEY_HEADER),
        attempt_number=parse_attempt_number(request.headers.get(ATTEMPT_HEADER)),
        body_hash=hash_parts((team.encode(), request.url.path.encode(), data)),
    )
    answer_format = build_answer_format(body, isinstance(body, ChatBody), request_id)
    if not body.stream:
        return await unstreamed_answer(runtime, request, generation, answer_format)
    return StreamedAnswer(runtime, generation, answer_format)


def current_profile(runtime: EntryRuntime, request: Request, name: str) -> Profile:
    """Return the profile in force; raise `TurmericusherError` if there is none.

    The error's verdict allows for earlier requests with the same idempotency key.
    """
    try:
        return runtime.profiles.get(name)
    except TurmericusherError as error:
        downgrade_not_run(request.headers, error)
        raise


def service_for_model(settings: Settings, model: str) -> Service:
    """Return the service that serves a model; raise if there is none."""
    for service in settings.services:
        if model in service.models:
            return service
    raise RequestRefusedError(
        ErrorCode.UNKNOWN_MODEL, f"no service serves model={model!r}"
    )


def build_answer_format(
    body: GenerationBody, is_chat: bool, request_id: str
) -> AnswerFormat:
    """Return the format that the body's options ask for."""
    options = body.stream_options or {}
    return AnswerFormat(
        is_chat=is_chat,
        answer_id=("chatcmpl-" if is_chat else "cmpl-") + request_id,
        model=body.model,
        created=int(time.time()),
        has_token_ids=body.return_token_ids,
        has_usage=bool(options.get("include_usage")),
    )


async def unstreamed_answer(
    runtime: EntryRuntime,
    request: Request,
    generation: GenerationRequest,
    answer_format: AnswerFormat,
) -> Response:
    """Return the complete answer; cancel the generation if the caller disconnects."""
    collect_task = asyncio.create_task(collect_chunks(runtime, generation))
    leaving = asyncio.create_task(wait_for_disconnect(request.receive))
    try:
        await asyncio.wait({collect_task, leaving}, return_when=asyncio.FIRST_COMPLETED)
        if not collect_task.done():
            log_event("caller_gone", request_id=generation.request_id)
            return Response(status_code=499)
        return JSONResponse(unstreamed_body(answer_format, collect_task.result()))
    finally:
        collect_task.cancel()
        leaving.cancel()
        await asyncio.gather(collect_task, leaving, return_exceptions=True)


async def collect_chunks(
    runtime: EntryRuntime, generation: GenerationRequest
) -> list[AnswerChunk]:
    """Return all chunks of an answer except heartbeats."""
    async with runtime.generate(generation) as chunks:
        return [chunk async for chunk in chunks if not is_heartbeat(chunk)]


async def wait_for_disconnect(receive: Receive) -> None:
    """Return when the caller has closed its connection."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def cancel_task(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait until it has ended."""
    task.cancel()
    await asyncio.wait({task})


def is_heartbeat(chunk: AnswerChunk) -> bool:
    """Whether a chunk is empty and only shows that the instance is alive."""
    return not (chunk.token_ids or chunk.text or chunk.finish_reason)


@dataclass(slots=True)
class StreamedAnswer:
    """A response that sends an answer as server-sent events.

    The response head is sent with the first chunk or heartbeat, so that a request that
    fails before gets a plain HTTP error with its own status.
    """

    runtime: EntryRuntime
    generation: GenerationRequest
    answer_format: AnswerFormat
    has_started: bool = False
    has_first_chunk: bool = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Stream until the answer ends or the caller disconnects."""
        stream_task = asyncio.create_task(self.stream(scope, receive, send))
        leaving = asyncio.create_task(wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                {stream_task, leaving}, return_when=asyncio.FIRST_COMPLETED
            )
            if stream_task.done():
                stream_task.result()
            else:
                log_event("caller_gone", request_id=self.generation.request_id)
        finally:
            stream_task.cancel()
            leaving.cancel()
            await asyncio.gather(stream_task, leaving, return_exceptions=True)

    async def stream(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send every chunk; report a failure as an HTTP error or as the last event."""
        heartbeat_task = asyncio.create_task(self.send_heartbeats(send))
        try:
            async with self.runtime.generate(self.generation) as chunks:
                async for chunk in chunks:
                    if not heartbeat_task.done():
                        await cancel_task(heartbeat_task)
                    await self.write(send, self.encode_chunk(chunk))
                    if chunk.usage is not None and self.answer_format.has_usage:
                        await self.write(
                            send, usage_event(self.answer_format, chunk.usage)
                        )
            await self.write(send, STREAM_END)
        except TurmericusherError as error:
            await cancel_task(heartbeat_task)
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
            heartbeat_task.cancel()
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    async def send_heartbeats(self, send: Send) -> None:
        """Send heartbeats until the generation yields its first chunk or heartbeat.

        Until then it may wait in the admission queue; without heartbeats a caller could
        not tell this wait from a dead instance.
        """
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            await self.write(send, HEARTBEAT)

    def encode_chunk(self, chunk: AnswerChunk) -> bytes:
        """Return the server-sent event for a chunk or a heartbeat."""
        if is_heartbeat(chunk):
            return HEARTBEAT
        is_first = not self.has_first_chunk
        self.has_first_chunk = True
        return chunk_event(self.answer_format, chunk, is_first)

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
