"""A model engine stand-in: OpenAI's streamed completions with switches for faults.

It runs up to `slots` requests at a time, admits waiting requests by priority, computes
only the part of a prompt that is not in its prefix cache, and reports its load with a
lag.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import os
import time
from collections import OrderedDict
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field, fields
from typing import Any

import orjson
from aiohttp import web

from turmericusher.standins.token_model import (
    EOS_ID,
    encode_prompt,
    generate_tokens,
    make_text_decoder,
)

DEFAULT_MAX_TOKENS = 64
# The prefix cache holds whole blocks of this many tokens and evicts the least recently
# used block.
CACHE_BLOCK_TOKENS = 16
MAX_CACHE_BLOCKS = 4096
MAX_BODY_BYTES = 64_000_000
# Exit status of an engine process that the `die` fault or `killing_marker` ends.
KILLED_EXIT_STATUS = 9
# How long open connections may go on after the server is asked to stop.
SHUTDOWN_TIMEOUT_S = 0.1


@dataclass(slots=True)
class EngineOptions:
    """How the engine behaves while no fault is switched on; times are in seconds.

    `first_token_s` is the delay before the first token, to which `prefill_token_s` is
    added for each prompt token that is not in the prefix cache. `token_gap_s` is the
    delay between two tokens. `version` is the version of the model, which answers carry
    as `system_fingerprint`. `eos_interval` makes about one in that many tokens the end
    of the answer; with 0 only `max_tokens` ends it. `load_lag_s` is the maximum age of
    the reported load. `exits_on_death` ends the process when the engine is killed, for
    an engine that runs in a process of its own.
    """

    name: str = "engine-1"
    models: tuple[str, ...] = ("model",)
    version: str = "v1"
    slots: int = 16
    first_token_s: float = 0.02
    prefill_token_s: float = 0.0
    token_gap_s: float = 0.01
    eos_interval: int = 0
    load_lag_s: float = 0.5
    exits_on_death: bool = False


@dataclass(slots=True)
class EngineFaults:
    """The faults that are switched on.

    `frozen` sends nothing more but keeps the connections open. `slow_factor` multiplies
    every delay. `refusing` answers 503. `killing_marker` kills the engine when a prompt
    contains that text; the empty string switches this off.
    """

    frozen: bool = False
    slow_factor: float = 1.0
    refusing: bool = False
    killing_marker: str = ""


@dataclass(slots=True)
class EngineCounts:
    """Totals of the work done since the engine started."""

    requests: int = 0
    cancelled: int = 0
    prompt_tokens_computed: int = 0
    tokens_generated: int = 0


@dataclass(slots=True)
class EngineStandin:
    """The state of one engine, with its options and faults.

    `running` counts the occupied slots. `waiting` is a heap of priority, arrival number
    and the future that is set when the request gets a slot. `cache` has the hashes of
    cached prompt blocks as keys, least recently used first. `load_sample` is the
    monotonic time of the last load sample with its running and waiting counts.
    `unfrozen` is set while the engine is not frozen.
    """

    options: EngineOptions
    faults: EngineFaults = field(default_factory=EngineFaults)
    counts: EngineCounts = field(default_factory=EngineCounts)
    running: int = 0
    waiting: list[tuple[int, int, asyncio.Future[None]]] = field(default_factory=list)
    arrival_numbers: itertools.count[int] = field(default_factory=itertools.count)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    transports: set[asyncio.Transport] = field(default_factory=set)
    load_sample: tuple[float, int, int] = (0.0, 0, 0)
    is_dead: bool = False
    unfrozen: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """Apply the `frozen` fault that the engine was created with."""
        self.set_frozen(self.faults.frozen)

    def die(self) -> None:
        """Reset and refuse connections, or exit if the engine has its own process."""
        if self.options.exits_on_death:
            os._exit(KILLED_EXIT_STATUS)
        self.is_dead = True
        for transport in tuple(self.transports):
            transport.abort()

    @contextmanager
    def track_connection(self, request: web.Request) -> Iterator[None]:
        """Register the request's connection, so that the engine's death resets it."""
        transport = request.transport
        assert transport is not None
        if self.is_dead:
            transport.abort()
            raise ConnectionResetError("the engine is dead")
        self.transports.add(transport)
        try:
            yield
        finally:
            self.transports.discard(transport)

    @asynccontextmanager
    async def slot(self, priority: int) -> AsyncIterator[None]:
        """Wait for a free slot and hold it; a lower priority value goes first."""
        if self.running >= self.options.slots:
            granted_slot: asyncio.Future[None] = (
                asyncio.get_running_loop().create_future()
            )
            heapq.heappush(
                self.waiting, (priority, next(self.arrival_numbers), granted_slot)
            )
            try:
                await granted_slot
            except asyncio.CancelledError:
                self.cancel_wait(granted_slot)
                raise
        else:
            self.running += 1
        try:
            yield
        finally:
            self.release_slot()

    def release_slot(self) -> None:
        """Give the slot to the next waiting request, or free it if none waits."""
        while self.waiting:
            _, _, granted_slot = heapq.heappop(self.waiting)
            if not granted_slot.done():
                granted_slot.set_result(None)
                return
        self.running -= 1

    def cancel_wait(self, granted_slot: asyncio.Future[None]) -> None:
        """Cancel a wait; a slot that was granted in the meantime is passed on."""
        if granted_slot.done() and not granted_slot.cancelled():
            self.release_slot()

    def prefill(self, prompt: tuple[int, ...]) -> int:
        """Cache the prompt's full blocks; return how many tokens had to be computed."""
        computed = len(prompt) % CACHE_BLOCK_TOKENS
        key = 0
        for start in range(0, len(prompt) - computed, CACHE_BLOCK_TOKENS):
            key = hash((key, prompt[start : start + CACHE_BLOCK_TOKENS]))
            if key in self.cache:
                self.cache.move_to_end(key)
                continue
            self.cache[key] = None
            computed += CACHE_BLOCK_TOKENS
            if len(self.cache) > MAX_CACHE_BLOCKS:
                self.cache.popitem(last=False)
        self.counts.prompt_tokens_computed += computed
        return computed

    async def pause(self, seconds: float) -> None:
        """Sleep for `seconds` times `slow_factor`, then wait until not frozen."""
        await asyncio.sleep(seconds * self.faults.slow_factor)
        await self.unfrozen.wait()

    def set_frozen(self, is_frozen: bool) -> None:
        """Freeze the engine or let it continue."""
        self.faults.frozen = is_frozen
        if is_frozen:
            self.unfrozen.clear()
        else:
            self.unfrozen.set()

    def load(self) -> tuple[int, int]:
        """Return the running and waiting counts, up to `load_lag_s` seconds old."""
        now = time.monotonic()
        measured_at, running, waiting = self.load_sample
        if now - measured_at >= self.options.load_lag_s:
            running, waiting = self.running, len(self.waiting)
            self.load_sample = (now, running, waiting)
        return running, waiting


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """A parsed completion request."""

    is_chat: bool
    model: str
    prompt: tuple[int, ...]
    max_tokens: int
    seed: int
    priority: int
    is_streamed: bool


def parse_completion(body: dict[str, Any], is_chat: bool) -> CompletionRequest:
    """Parse the body of a completion request."""
    return CompletionRequest(
        is_chat=is_chat,
        model=str(body["model"]),
        prompt=encode_request_prompt(body, is_chat),
        max_tokens=int(body.get("max_tokens") or DEFAULT_MAX_TOKENS),
        seed=int(body.get("seed") or 0),
        priority=int(body.get("priority") or 0),
        is_streamed=bool(body.get("stream")),
    )


def encode_request_prompt(body: dict[str, Any], is_chat: bool) -> tuple[int, ...]:
    """Return the token ids of the request's prompt or of its chat messages."""
    if is_chat:
        lines = [f"{m['role']}: {m['content']}\n" for m in body["messages"]]
        return encode_prompt("".join(lines) + "assistant:")
    prompt = body["prompt"]
    if isinstance(prompt, str):
        return encode_prompt(prompt)
    return tuple(int(token_id) for token_id in prompt)


def encode_chunk(
    standin: EngineStandin,
    completion: CompletionRequest,
    token_ids: list[int],
    text: str,
    finish_reason: str | None,
    is_first: bool,
) -> bytes:
    """Return one chunk of the streamed answer, encoded as a server-sent event."""
    choice: dict[str, object] = {
        "index": 0,
        "finish_reason": finish_reason,
        "token_ids": token_ids,
    }
    if completion.is_chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    if is_first:
        choice["prompt_token_ids"] = list(completion.prompt)
    chunk = {
        "id": "standin",
        "object": "chat.completion.chunk" if completion.is_chat else "text_completion",
        "created": 0,
        "model": completion.model,
        "system_fingerprint": standin.options.version,
        "choices": [choice],
    }
    return b"data: " + orjson.dumps(chunk) + b"\n\n"


async def generate_chunks(
    standin: EngineStandin, completion: CompletionRequest
) -> AsyncIterator[bytes]:
    """Yield the encoded chunks of one generation, each after its delay."""
    computed = standin.prefill(completion.prompt)
    options = standin.options
    await standin.pause(options.first_token_s + computed * options.prefill_token_s)
    decoder = make_text_decoder()
    tokens = generate_tokens(completion.prompt, completion.seed, options.eos_interval)
    for count, token in enumerate(tokens, start=1):
        standin.counts.tokens_generated += 1
        text = decoder.decode(token.data)
        reason = finish_reason_at(token.token_id, count, completion.max_tokens)
        yield encode_chunk(
            standin, completion, [token.token_id], text, reason, count == 1
        )
        if reason is not None:
            return
        await standin.pause(options.token_gap_s)


def finish_reason_at(token_id: int, count: int, max_tokens: int) -> str | None:
    """Return why the generation ends at its `count`-th token, or None if it goes on."""
    if token_id == EOS_ID:
        return "stop"
    return "length" if count >= max_tokens else None


async def handle_completion(
    standin: EngineStandin, request: web.Request, is_chat: bool
) -> web.StreamResponse:
    """Parse and check a completion request, apply the faults and stream the answer."""
    with standin.track_connection(request):
        try:
            completion = parse_completion(
                await request.json(loads=orjson.loads), is_chat
            )
        except (KeyError, TypeError, ValueError) as error:
            return web.json_response({"error": repr(error)}, status=400)
        if completion.model not in standin.options.models:
            return web.json_response(
                {"error": f"model={completion.model!r}"}, status=404
            )
        if standin.faults.refusing:
            headers = {"Retry-After": "1"}
            return web.json_response({"error": "busy"}, status=503, headers=headers)
        standin.counts.requests += 1
        # Token ids below 256 are the bytes of the prompt's text.
        marker = standin.faults.killing_marker.encode()
        if marker and marker in bytes(t for t in completion.prompt if t < 256):
            standin.die()
        return await stream_completion(standin, request, completion)


async def stream_completion(
    standin: EngineStandin, request: web.Request, completion: CompletionRequest
) -> web.StreamResponse:
    """Stream the chunks of a generation; count it as cancelled if it is cut short."""
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    is_whole = False
    try:
        async with standin.slot(completion.priority):
            await response.prepare(request)
            async for chunk in generate_chunks(standin, completion):
                await response.write(chunk)
        await response.write(b"data: [DONE]\n\n")
        is_whole = True
    finally:
        standin.counts.cancelled += not is_whole
    return response


def format_load(standin: EngineStandin) -> str:
    """Return the engine's load as Prometheus text."""
    running, waiting = standin.load()
    return (
        f"vllm:num_requests_running {running}\n"
        f"vllm:num_requests_waiting {waiting}\n"
        f"engine:slots {standin.options.slots}\n"
    )


async def handle_faults(standin: EngineStandin, request: web.Request) -> web.Response:
    """Switch the faults that the body names; `{"die": true}` kills the engine."""
    body = await request.json()
    if body.pop("die", False):
        standin.die()
    known = {entry.name for entry in fields(EngineFaults)}
    for name, value in body.items():
        if name not in known:
            return web.json_response({"error": f"unknown fault {name!r}"}, status=400)
        setattr(standin.faults, name, value)
    standin.set_frozen(standin.faults.frozen)
    return web.json_response({"ok": True})


async def handle_counts(standin: EngineStandin, _request: web.Request) -> web.Response:
    """Return the totals of the work done and the number of running requests."""
    counts = {f.name: getattr(standin.counts, f.name) for f in fields(EngineCounts)}
    return web.json_response({**counts, "running": standin.running})


def make_engine_app(standin: EngineStandin) -> web.Application:
    """Return the web application of one engine with its control routes."""
    app = web.Application(client_max_size=MAX_BODY_BYTES)

    async def completions(request: web.Request) -> web.StreamResponse:
        return await handle_completion(standin, request, is_chat=False)

    async def chat_completions(request: web.Request) -> web.StreamResponse:
        return await handle_completion(standin, request, is_chat=True)

    async def metrics(_request: web.Request) -> web.Response:
        return web.Response(text=format_load(standin))

    async def faults(request: web.Request) -> web.Response:
        return await handle_faults(standin, request)

    async def counts(request: web.Request) -> web.Response:
        return await handle_counts(standin, request)

    app.router.add_post("/v1/completions", completions)
    app.router.add_post("/v1/chat/completions", chat_completions)
    app.router.add_get("/metrics", metrics)
    app.router.add_post("/control/faults", faults)
    app.router.add_get("/control/counts", counts)
    return app


@asynccontextmanager
async def running_engine(
    standin: EngineStandin,
    host: str = "127.0.0.1",
    port: int = 0,
    app: web.Application | None = None,
) -> AsyncIterator[str]:
    """Serve an engine, by default its plain application, and yield its `ip:port`."""
    runner = web.AppRunner(
        app or make_engine_app(standin),
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, host, port).start()
        yield f"{host}:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()
