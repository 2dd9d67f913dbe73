"""Adapts OpenAI-compatible streamed completions to `EnginePort`, over aiohttp.

Engines are told to return token ids with each chunk (`return_token_ids`), so that a
later attempt can resume after the exact token. The `system_fingerprint` of a response
is used as the engine's version.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
import orjson

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.run_ends import RunEnd
from turmericusher.errors import Verdict
from turmericusher.ports.upstream import (
    DeathCause,
    EngineChunk,
    EngineRequest,
    StreamDiedError,
)

CONNECT_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 1.0
STOP_PATH = "/abort_requests"
"""Where an engine that offers it stops the runs named by `request_ids`; it answers when
they have stopped."""
MAX_EVENT_BYTES = 1_000_000
MAX_ERROR_BODY_BYTES = 2_000
STATUS_OK = 200
NO_STOP_STATUSES = frozenset({404, 405, 501})
"""Statuses of an engine that does not offer `STOP_PATH`."""
NOT_RUN_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 422, 429, 503})
"""Statuses with which an engine rejects a request that it has not begun to run."""

EVENT_END = b"\n\n"
DATA_FIELD = b"data:"
STREAM_END = b"[DONE]"


@dataclass(slots=True)
class HttpEnginePort:
    """An `EnginePort` that opens streams over one aiohttp session."""

    session: aiohttp.ClientSession

    @asynccontextmanager
    async def open_stream(
        self, upstream: UpstreamInstance, request: EngineRequest
    ) -> AsyncIterator[AsyncIterator[EngineChunk]]:
        """Open a stream; leaving the context closes the connection.

        Closing the connection asks the engine to stop, so a connection serves only one
        attempt and is never returned to a pool. On a dead connection the close does not
        arrive.
        """
        response = await self.send(upstream, request)
        try:
            if response.status != STATUS_OK:
                raise await error_from_response(response)
            yield read_chunks(response)
        finally:
            response.close()

    async def send(
        self, upstream: UpstreamInstance, request: EngineRequest
    ) -> aiohttp.ClientResponse:
        """Send the request and return the response once its headers have arrived.

        Raises `StreamDiedError`, whose verdict is `NOT_RUN` if no connection was made.
        """
        url = f"http://{upstream.address}{completions_path(request)}"
        try:
            return await self.session.post(
                url,
                data=orjson.dumps(completions_body(request)),
                headers={"Content-Type": "application/json"},
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise StreamDiedError(
                DeathCause.REFUSED,
                f"upstream={upstream.name!r} refused the connection: {error}",
                Verdict.NOT_RUN,
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StreamDiedError(
                DeathCause.RESET,
                f"connection to upstream={upstream.name!r} lost: {error}",
                Verdict.MAY_HAVE_RUN,
            ) from error

    async def stop_runs(
        self, upstream: UpstreamInstance, names: tuple[str, ...]
    ) -> RunEnd:
        """Have an engine stop runs, over a new connection; return what is known then.

        An engine that accepts the connection and says nothing may go on later.
        """
        try:
            async with self.session.post(
                f"http://{upstream.address}{STOP_PATH}",
                data=orjson.dumps({"request_ids": names}),
                headers={"Content-Type": "application/json"},
                timeout=aiohttp.ClientTimeout(total=STOP_TIMEOUT_S),
            ) as response:
                return end_from_status(response.status)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return end_from_error(error)


def end_from_status(status: int) -> RunEnd:
    """Return what the answer to a stop says of the runs."""
    if status == STATUS_OK:
        return RunEnd.STOPPED
    return RunEnd.NO_STOP if status in NO_STOP_STATUSES else RunEnd.UNKNOWN


def end_from_error(error: Exception) -> RunEnd:
    """Return what a stop without an answer says of the runs.

    Only a refused connection shows that nobody is there.
    """
    if isinstance(error, aiohttp.ClientConnectorError) and isinstance(
        error.os_error, ConnectionRefusedError
    ):
        return RunEnd.UPSTREAM_ENDED
    return RunEnd.UNKNOWN


@asynccontextmanager
async def open_engine_port() -> AsyncIterator[HttpEnginePort]:
    """Yield an engine port, and close its connections on exit."""
    # No total timeout: a generation may take long, and the caller detects stalls.
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        yield HttpEnginePort(session)


def completions_path(request: EngineRequest) -> str:
    """Return the path of the completion API for the request's kind of prompt."""
    if request.messages is not None:
        return "/v1/chat/completions"
    return "/v1/completions"


def completions_body(request: EngineRequest) -> dict[str, object]:
    """Return the JSON body of an attempt, before it is serialized."""
    body: dict[str, object] = dict(request.parameters)
    body["model"] = request.model
    body["stream"] = True
    body["return_token_ids"] = True
    body["priority"] = request.priority
    if request.max_tokens is not None:
        body["max_tokens"] = request.max_tokens
    if request.request_id:
        body["request_id"] = request.request_id
    if request.messages is not None:
        body["messages"] = list(request.messages)
    elif request.prompt_token_ids is not None:
        body["prompt"] = list(request.prompt_token_ids)
    else:
        body["prompt"] = request.prompt
    return body


async def error_from_response(response: aiohttp.ClientResponse) -> StreamDiedError:
    """Return the error for a response with a status other than 200."""
    try:
        text = (await response.content.read(MAX_ERROR_BODY_BYTES)).decode(
            "utf-8", "replace"
        )
    except (aiohttp.ClientError, TimeoutError, OSError):
        text = ""
    has_not_run = response.status in NOT_RUN_STATUSES
    return StreamDiedError(
        DeathCause.REJECTED,
        f"the engine answered status={response.status}: {text}",
        Verdict.NOT_RUN if has_not_run else Verdict.MAY_HAVE_RUN,
        status=response.status,
        retry_after_s=parse_retry_after(response.headers.get("Retry-After")),
    )


def parse_retry_after(value: str | None) -> float | None:
    """Return the seconds of a Retry-After header; None without a valid number."""
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if 0 <= seconds < float("inf") else None


async def read_chunks(response: aiohttp.ClientResponse) -> AsyncIterator[EngineChunk]:
    """Yield the chunks of a stream; raise `StreamDiedError` if it ends early.

    A complete stream ends with a finish reason or with `STREAM_END`.
    """
    async for data in read_events(response):
        if data == STREAM_END:
            return
        chunk = parse_chunk(data)
        if chunk is not None:
            yield chunk
            if chunk.finish_reason is not None:
                return
    raise StreamDiedError(
        DeathCause.EARLY_END,
        "the engine's stream ended without a finish reason",
        Verdict.MAY_HAVE_RUN,
    )


async def read_events(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield the data of each server-sent event.

    Raises `StreamDiedError` if the connection fails or an event is too long.
    """
    buffer = b""
    try:
        async for received in response.content.iter_any():
            buffer = (buffer + received).replace(b"\r\n", b"\n")
            *events, buffer = buffer.split(EVENT_END)
            for event in events:
                data = event_data(event)
                if data:
                    yield data
            if len(buffer) > MAX_EVENT_BYTES:
                raise malformed(f"an event is longer than {MAX_EVENT_BYTES} bytes")
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise StreamDiedError(
            DeathCause.RESET,
            f"the connection failed in the middle of the stream: {error!r}",
            Verdict.MAY_HAVE_RUN,
        ) from error


def event_data(event: bytes) -> bytes:
    """Return the data lines of one event, joined by newlines."""
    lines = [
        line[len(DATA_FIELD) :].strip()
        for line in event.split(b"\n")
        if line.startswith(DATA_FIELD)
    ]
    return b"\n".join(lines)


def parse_chunk(data: bytes) -> EngineChunk | None:
    """Parse the data of one event into a chunk; return None if it has no choices."""
    try:
        chunk = orjson.loads(data)
        if "error" in chunk:
            raise malformed(f"the engine sent an error: {chunk['error']!r}")
        if not chunk["choices"]:
            return None
        choice = chunk["choices"][0]
        text = choice["delta"].get("content") if "delta" in choice else choice["text"]
        prompt = choice.get("prompt_token_ids") or chunk.get("prompt_token_ids")
        return EngineChunk(
            token_ids=parse_token_ids(choice.get("token_ids")),
            text=str(text or ""),
            finish_reason=choice.get("finish_reason"),
            prompt_token_ids=parse_token_ids(prompt) if prompt is not None else None,
            version=str(chunk.get("system_fingerprint") or ""),
        )
    except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
        raise malformed(f"an event is not a completion chunk: {error!r}") from error


def parse_token_ids(values: object) -> tuple[int, ...]:
    """Return token ids as a tuple, empty for None; raise `TypeError` if invalid."""
    if values is None:
        return ()
    if not isinstance(values, list) or not all(isinstance(v, int) for v in values):
        raise TypeError(f"token_ids={values!r} is not a list of integers")
    return tuple(values)


def malformed(message: str) -> StreamDiedError:
    """Return the error for a stream that violates the protocol."""
    return StreamDiedError(DeathCause.MALFORMED, message, Verdict.MAY_HAVE_RUN)
