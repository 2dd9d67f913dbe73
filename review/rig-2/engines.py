"""Model engines and plain servers as the users' pages describe them, on loopback ports.

An engine prefills one prompt after the other, streams events, says in `/v1/report` what
it does, writes its entry to the store each heartbeat, and crashes or goes silent when
it is told to. It records each request that reached it and each that ran.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import socket
import struct
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from rig import (
    HEARTBEAT_S,
    Record,
    read_chunked,
    remove,
    upstream_entry,
    write_json,
)

RESET_LINGER = struct.pack("ii", 1, 0)
PREFILL_TOKENS_PER_S = 8000.0
MEMORY_TOKENS = 88000
LISTED_BEATS = 3
"""Heartbeat intervals of silence after which the platform removes an entry."""

IDS = itertools.count(1)


@dataclass(slots=True)
class Call:
    """A request as an engine received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float

    @property
    def id(self) -> str:
        """The client's id of the request."""
        return self.headers.get("x-request-id", "")


@dataclass(slots=True, eq=False)
class Engine:
    """One incarnation of an engine; `port` stays free for the next one if it crashes.

    `crashes_on` says whether a request ends it when it begins to write its answer.
    `on_crash` is called then. A plain server has no tokens and answers after `work_s`.
    `spans` has the times at which each stream began and ended here.
    """

    service: str
    zone: str
    record: Record
    store: object
    name: str = ""
    address: str = ""
    host: str = "127.0.0.1"
    is_plain: bool = False
    work_s: float = 0.03
    events: int = 40
    gap_s: float = 0.05
    version: str = "1"
    born: int = 0
    crashes_on: Callable[[Call], bool] = lambda call: False
    on_crash: Callable[[Engine], None] = lambda engine: None
    on_reach: Callable[[Engine, Call], None] = lambda engine, call: None
    is_silent: bool = False
    answer_headers: dict[str, str] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    runs: list[Call] = field(default_factory=list)
    spans: list[tuple[str, float, float]] = field(default_factory=list)
    server: asyncio.Server | None = None
    connections: set[asyncio.StreamWriter] = field(default_factory=set)
    prefill: asyncio.Lock = field(default_factory=asyncio.Lock)
    waiting: int = 0
    active: dict[str, list[int]] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)
    beat: asyncio.Task | None = None
    sequence: int = 0

    async def start(self, port: int = 0) -> None:
        """Listen and write the entry, now and at each heartbeat."""
        self.name = self.name or f"i-{next(IDS):08x}"
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beat = asyncio.create_task(self.write_entries())

    async def write_entries(self) -> None:
        """Write the entry each heartbeat."""
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self, state: str = "ready") -> None:
        """Write the entry once."""
        self.sequence += 1
        entry = upstream_entry(
            self.service,
            self.address,
            self.zone,
            state=state,
            sequence=self.sequence,
            born=self.born,
            version=self.version,
        )
        write_json(self.store, f"servers/{self.name}", entry)

    def stop_beat(self) -> None:
        """Write no more entries; the platform removes the last one after a while."""
        if self.beat is not None:
            self.beat.cancel()
            self.beat = None

    def crash(self, is_silent: bool = False) -> None:
        """End: reset all connections, or say nothing more on them."""
        self.stop_beat()
        self.is_silent = is_silent
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        if not is_silent:
            for writer in list(self.connections):
                reset(writer)
            self.connections.clear()
        self.on_crash(self)

    def close(self) -> None:
        """End without a word, at the end of a case."""
        self.stop_beat()
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.connections):
            reset(writer)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        self.connections.add(writer)
        try:
            while (call := await read_call(reader)) is not None:
                task = asyncio.create_task(self.answer(call, writer))
                self.tasks.add(task)
                gone = asyncio.create_task(reader.read(1))
                await asyncio.wait({task, gone}, return_when=asyncio.FIRST_COMPLETED)
                gone.cancel()
                await asyncio.wait({gone})
                self.tasks.discard(task)
                if not task.done():
                    # The caller has closed: the work is dropped.
                    task.cancel()
                    return
                if task.cancelled() or not task.result():
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            if not self.is_silent:
                self.connections.discard(writer)
                writer.close()

    async def answer(self, call: Call, writer: asyncio.StreamWriter) -> bool:
        """Answer a call; return whether the connection may be used on."""
        if call.target == "/v1/report":
            if self.is_plain:
                return await self.reply(writer, 404, {}, b"")
            body = json.dumps(self.report()).encode()
            return await self.reply(writer, 200, {}, body)
        if call.target.startswith("/v1/kv"):
            # No room for copies: a valid answer of an engine.
            return await self.reply(writer, 503, {}, b"")
        self.calls.append(call)
        self.on_reach(self, call)
        if call.headers.get("x-target-instance", self.name) != self.name:
            return await self.reply(writer, 421, {"X-Instance-Id": self.name}, b"")
        if "kv-from" in call.headers:
            return await self.reply(writer, 503, {"X-Not-Executed": "1"}, b"")
        if self.is_plain:
            return await self.run_call(call, writer)
        counts = call.headers.get("x-token-counts", "0,0").split(",")
        if sum(map(int, counts)) > MEMORY_TOKENS:
            # It is rejected as if the engine were full.
            return await self.reply(writer, 503, {"X-Not-Executed": "1"}, b"")
        return await self.run_stream(call, writer)

    async def run_call(self, call: Call, writer: asyncio.StreamWriter) -> bool:
        """Run a plain call."""
        self.runs.append(call)
        self.record.add(f"{self.name} runs {call.id}")
        await asyncio.sleep(self.work_s)
        if self.crashes_on(call):
            self.record.add(f"{self.name} crashes under {call.id}")
            self.crash()
            return False
        return await self.reply(
            writer, 200, self.signed(call), b"done " + call.id.encode()
        )

    async def run_stream(self, call: Call, writer: asyncio.StreamWriter) -> bool:
        """Prefill a prompt, then stream the events that the caller does not have."""
        tokens = int(call.headers.get("x-token-counts", "800,100").split(",")[0])
        held, is_waiting = [tokens, 0], True
        self.waiting += 1
        try:
            async with self.prefill:
                self.waiting -= 1
                is_waiting = False
                self.active[call.id] = held
                await asyncio.sleep(tokens / PREFILL_TOKENS_PER_S)
        except asyncio.CancelledError:
            self.waiting -= is_waiting
            self.drop(call, held)
            raise
        self.runs.append(call)
        began = time.monotonic()
        try:
            await asyncio.sleep(0.1)
            if self.crashes_on(call):
                self.record.add(f"{self.name} crashes under {call.id}")
                self.crash(self.is_silent)
                return False
            first = int(call.headers.get("last-event-id", "0")) + 1
            headers = self.signed(call) | {
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
            }
            writer.write(encode_head(200, headers))
            for number in range(first, self.events + 1):
                held[1] = number
                writer.write(encode_chunk(event(number)))
                await writer.drain()
                await asyncio.sleep(self.gap_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.drop(call, held)
            self.spans.append((call.id, began, time.monotonic()))

    def drop(self, call: Call, held: list[int]) -> None:
        """Forget a run, unless another one of the same request has begun here."""
        if self.active.get(call.id) is held:
            del self.active[call.id]

    def signed(self, call: Call) -> dict[str, str]:
        """Return the headers of an answer of this engine."""
        return {
            "X-Request-Id": call.id,
            "X-Response-Seal": f"by-{self.name}",
            "X-Server-Load": f"{len(self.active)},{self.waiting},64",
        } | self.answer_headers

    def report(self) -> dict[str, object]:
        """Return what it says of itself."""
        started = {name: held for name, held in self.active.items() if held[1]}
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": self.waiting,
            "active_requests": len(self.active),
            "cache_used": sum(held[0] for held in self.active.values()),
            "cache_total": MEMORY_TOKENS,
            "handles": 0,
            "pinned": 0,
            "held": 0,
            "state": "ready",
            "next": 0,
            "runs": [[name, held[0], held[1], 5] for name, held in started.items()],
            "born": self.born,
        }

    async def reply(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> bool:
        """Send a whole answer."""
        length = {"Content-Length": str(len(body))}
        writer.write(encode_head(status, self.answer_headers | headers | length) + body)
        await writer.drain()
        return True


async def read_call(reader: asyncio.StreamReader) -> Call | None:
    """Read one request; None if the caller closed before it."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    request_line, *lines = text.split("\r\n")
    method, target, _ = request_line.split(" ")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        data = bytearray()
        await read_chunked(reader, data)
        body = bytes(data)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Call(method, target, headers, body, time.monotonic())


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_chunk(payload: bytes) -> bytes:
    """Return one chunk of a body."""
    return f"{len(payload):x}\r\n".encode() + payload + b"\r\n"


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def event_ids(body: bytes) -> Iterator[int]:
    """Yield the ids of the whole events in a stream's bytes."""
    for block in body.split(b"\n\n")[:-1]:
        for line in block.split(b"\n"):
            if line.startswith(b"id:"):
                yield int(line[3:])


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()


async def remove_later(engine: Engine) -> None:
    """Remove the entry of an engine that is silent, as the platform does."""
    await asyncio.sleep(LISTED_BEATS * HEARTBEAT_S)
    remove(engine.store, f"servers/{engine.name}")
