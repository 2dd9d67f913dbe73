"""A stand-in of an OpenAI-like engine that works on whether or not connections last.

A run ends when its last token is made, when its connection is seen to close, or when
another call stops it. Each run is recorded with its times, so that a test can tell
whether a generation ran at two engines at a time.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import orjson

from turmericusher.standins.engine import (
    CompletionRequest,
    EngineOptions,
    EngineStandin,
    encode_chunk,
    finish_reason_at,
    parse_completion,
)
from turmericusher.standins.platform_upstream import reset
from turmericusher.standins.token_model import generate_tokens, make_text_decoder
from turmericusher.standins.working_upstream import Run, set_event
from turmericusher.tasks.background import cancel_tasks

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
"""Head of an answer that ends with its connection."""

END_POLL_S = 0.01
EMPTY_ANSWER = b"HTTP/1.1 %d Answer\r\nContent-Length: 0\r\n\r\n"


@dataclass(slots=True, eq=False)
class WorkingEngine:
    """An engine whose runs do not depend on their connections.

    `active` has the runs in progress by the name of the attempt, `history` all of them;
    a run in it names the generation, and its position counts the tokens made.
    Connections in `silent` neither bring nor take anything any more, and their close is
    not noticed. While `is_unpaused` is clear, the process stands still: its kernel
    accepts connections, but nothing is read, made or noticed. `has_stop`: whether it
    stops runs on request.
    """

    options: EngineOptions
    has_stop: bool = True
    active: dict[str, Run] = field(default_factory=dict)
    history: list[Run] = field(default_factory=list)
    connections: set[asyncio.StreamWriter] = field(default_factory=set)
    silent: set[asyncio.StreamWriter] = field(default_factory=set)
    is_unpaused: asyncio.Event = field(default_factory=set_event)
    server: asyncio.Server | None = None

    # Troubles

    def silence_connections(self) -> None:
        """Have all open connections fall silent for good, while new ones work."""
        self.silent |= self.connections

    def reset_far_ends(self) -> None:
        """Reset all connections at the far end only; the runs go on."""
        self.silent |= self.connections
        for writer in self.connections:
            reset(writer)

    async def stand_still(self, seconds: float) -> None:
        """Stand still for so long."""
        self.is_unpaused.clear()
        await asyncio.sleep(seconds)
        self.is_unpaused.set()

    def crash(self) -> None:
        """End at once: connections are reset, and new ones are refused."""
        assert self.server is not None
        self.server.close()
        for run in list(self.active.values()):
            run.stopped.set()
            self.end(run)
        for writer in self.connections:
            reset(writer)

    # Calls

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the call of a connection once the process does not stand still."""
        self.connections.add(writer)
        try:
            await self.is_unpaused.wait()
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                path, body = await read_call(reader)
                if path == "/v1/completions":
                    await self.run(parse_completion(body, False), body, reader, writer)
                else:
                    writer.write(EMPTY_ANSWER % self.stop_runs(path, body))
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop_runs(self, path: str, body: dict[str, object]) -> int:
        """Stop the runs that a call names, and return the status of its answer."""
        if not self.has_stop or path != "/abort_requests":
            return 404
        names = body["request_ids"]
        assert isinstance(names, list)
        for name in names:
            if name in self.active:
                run = self.active[name]
                run.stopped.set()
                self.end(run)
        return 200

    async def run(
        self,
        completion: CompletionRequest,
        body: dict[str, object],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a completion until it ends, is stopped, or its connection closes."""
        name = str(body["request_id"])
        request_id, _, _ = name.rpartition("-")
        now = asyncio.get_running_loop().time()
        run = Run(request_id, self.options.name, now, 0, writer)
        self.active[name] = run
        self.history.append(run)
        waits = (
            asyncio.create_task(self.work(run, completion)),
            asyncio.create_task(self.wait_for_close(reader, writer)),
            asyncio.create_task(run.stopped.wait()),
        )
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.end(run)
            await cancel_tasks(waits)

    def end(self, run: Run) -> None:
        """Record that a run has ended."""
        if run.ended_at is None:
            run.ended_at = asyncio.get_running_loop().time()
        self.active = {name: each for name, each in self.active.items() if each != run}

    async def wait_for_close(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wait until the process notices that the connection was closed."""
        with contextlib.suppress(ConnectionError):
            await reader.read()
        if writer in self.silent:
            await asyncio.Event().wait()
        await self.is_unpaused.wait()

    async def work(self, run: Run, completion: CompletionRequest) -> None:
        """Make the tokens, and send them while the connection lasts."""
        encoder = EngineStandin(self.options)
        decoder = make_text_decoder()
        self.send(run, STREAM_HEAD)
        await asyncio.sleep(self.options.first_token_s)
        for token in generate_tokens(completion.prompt, completion.seed, 0):
            await self.is_unpaused.wait()
            run.position += 1
            text = decoder.decode(token.data)
            reason = finish_reason_at(
                token.token_id, run.position, completion.max_tokens
            )
            is_first = run.position == 1
            chunk = encode_chunk(
                encoder, completion, [token.token_id], text, reason, is_first
            )
            self.send(run, chunk)
            if reason is not None:
                return
            await asyncio.sleep(self.options.token_gap_s)

    def send(self, run: Run, data: bytes) -> None:
        """Write to the run's connection unless that has fallen silent."""
        if run.writer not in self.silent:
            run.writer.write(data)


async def read_call(reader: asyncio.StreamReader) -> tuple[str, dict[str, object]]:
    """Return the path and the decoded body of a call."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    fields = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return first.split(" ")[1], orjson.loads(body)


@asynccontextmanager
async def running_working_engine(engine: WorkingEngine) -> AsyncIterator[str]:
    """Serve an engine on a free loopback port and yield its `ip:port`."""
    engine.server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
    try:
        host, port = engine.server.sockets[0].getsockname()
        yield f"{host}:{port}"
    finally:
        engine.server.close()
        for run in list(engine.active.values()):
            run.stopped.set()
        for writer in engine.connections:
            writer.close()
        engine.is_unpaused.set()
        # A server's tasks that are cancelled are reported as errors.
        while engine.connections:  # noqa: ASYNC110
            await asyncio.sleep(END_POLL_S)
