"""Engines: they register in the store, run requests and stream events.

An engine runs what comes to it until it is done or its connection closes, takes as many
requests at once as it has slots, keeps a few more waiting and rejects the rest with
`X-Not-Executed`. Scripts switch faults on by assigning to the fields of an engine.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

from rig.record import Record
from rig.store import Store
from rig.wire import Message, chunk, head, read_request, reset, response

HEARTBEAT_S = 1.2
REPORT_TOKENS = 88_000
BY_ADDRESS: dict[str, Engine] = {}
"""The engines that others may copy to, by their addresses."""


Fault = Callable[["Engine", Message, asyncio.StreamWriter], Awaitable[bool]]


@dataclass(slots=True)
class Run:
    """A request that an engine works on; `events` counts those that it has made."""

    request_id: str
    position: int
    events: int = 0
    size: int = 0
    writer: asyncio.StreamWriter | None = None


@dataclass(slots=True)
class Engine:
    """One engine; `fault` may answer a request in the engine's place.

    `events` is the length of a stream, 0 for a plain service, whose calls take
    `work_s`. `first_s` is the time to a first event and `gap_s` that between events.
    """

    name: str
    service: str
    host: str
    zone: str
    store: Store
    record: Record
    version: str = "v1"
    slots: int = 64
    queue: int = 134
    events: int = 0
    first_s: float = 0.1
    gap_s: float = 0.05
    work_s: float = 0.03
    state: str = "ready"
    is_model: bool = True
    says: dict[str, str] = field(default_factory=dict)
    fault: Fault | None = None
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    sequence: int = 0
    address: str = ""
    server: asyncio.Server | None = None
    runs: dict[str, Run] = field(default_factory=dict)
    waiting: int = 0
    is_up: bool = True
    gate: asyncio.Semaphore = field(init=False)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    copies: set[str] = field(default_factory=set)
    handles: itertools.count = field(default_factory=lambda: itertools.count(1))

    def __post_init__(self) -> None:
        """Start with all slots free."""
        self.gate = asyncio.Semaphore(self.slots)

    async def listen(self) -> None:
        """Accept connections, at the same address as before if there is one."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(
            self.serve, host or self.host, int(port or 0)
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"
        BY_ADDRESS[self.address] = self

    def write_entry(self) -> None:
        """Write the entry in the store."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        text = json.dumps(entry, separators=(",", ":"))
        self.store.put(f"servers/{self.name}", text.encode())

    async def beat(self) -> None:
        """Write the entry at each heartbeat until cancelled."""
        while True:
            if self.is_up:
                self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def fall(self) -> None:
        """Crash: all connections are reset, and new ones are refused."""
        self.is_up = False
        self.copies.clear()
        BY_ADDRESS.pop(self.address, None)
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def rise(self) -> None:
        """Start again after a crash, as a new incarnation of the same name."""
        self.born = int(time.time() * 1000)
        self.gate, self.waiting = asyncio.Semaphore(self.slots), 0
        self.runs = {}
        await self.listen()
        self.is_up = True
        self.write_entry()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the one request of a connection."""
        self.writers.add(writer)
        try:
            request = await read_request(reader)
            if self.fault is not None and await self.fault(self, request, writer):
                return
            if request.target.startswith("/v1/"):
                self.answer_control(request, writer)
            else:
                await self.answer(request, reader, writer)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self.writers.discard(writer)
            with suppress(OSError):
                writer.close()

    def answer_control(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a question for the load, or a call about copies."""
        if request.target == "/v1/report":
            writer.write(response(200, self.says, json.dumps(self.report()).encode()))
        elif request.target == "/v1/kv-move":
            status, body = self.copy(json.loads(request.body))
            writer.write(response(status, self.says, json.dumps(body).encode()))
        else:
            writer.write(response(200, self.says, b"{}"))

    def copy(self, call: dict[str, str]) -> tuple[int, dict]:
        """Copy the memory of a run to another engine."""
        target = BY_ADDRESS.get(call["target"])
        if call["identifier"] not in self.runs:
            return 404, {}
        if target is None:
            return 503, {}
        handle = f"h{next(self.handles)}"
        target.copies.add(f"{self.address}/{handle}")
        return 200, {
            "handle": handle,
            "created": self.runs[call["identifier"]].events,
        }

    def report(self) -> dict:
        """Return the report of the load."""
        running = [run for run in self.runs.values() if run.events]
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": self.waiting,
            "active_requests": len(self.runs),
            "cache_used": sum(run.size for run in self.runs.values()),
            "cache_total": REPORT_TOKENS,
            "handles": 0,
            "state": self.state,
            "born": self.born,
            "runs": [
                [run.request_id, run.size, run.position + run.events, 5]
                for run in running
            ],
        }

    def heads(self, request: Message) -> dict[str, str]:
        """Return the headers that every answer to a request has."""
        load = f"{len(self.runs)},{self.waiting},{self.slots}"
        return {
            "X-Request-Id": request.headers["x-request-id"],
            "X-Server-Load": load,
            "X-Instance-Id": self.name,
            "Connection": "close",
        } | self.says

    def refuse(
        self, request: Message, writer: asyncio.StreamWriter, status: int, reason: str
    ) -> None:
        """Reject a request, which has not run."""
        self.record.add(
            "rejected",
            engine=self.name,
            id=request.headers["x-request-id"],
            reason=reason,
        )
        mark = {"X-Not-Executed": "1"}
        writer.write(response(status, self.heads(request) | mark))

    async def answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request, or reject it."""
        request_id = request.headers["x-request-id"]
        self.record.add("arrived", engine=self.name, id=request_id)
        if request.headers.get("x-target-instance", self.name) != self.name:
            self.refuse(request, writer, 421, "other")
            return
        source = request.headers.get("kv-from")
        if source is not None and source not in self.copies:
            self.refuse(request, writer, 503, "no_copy")
            return
        if self.gate.locked():
            if self.waiting >= self.queue:
                self.refuse(request, writer, 503, "full")
                return
            if not await self.wait_for_slot(reader):
                return
        else:
            await self.gate.acquire()
        position = int(request.headers.get("last-event-id", "0"))
        tokens = request.headers.get("x-token-counts", "0,0").split(",")
        run = Run(request_id, position, size=sum(map(int, tokens)), writer=writer)
        self.copies.discard(source or "")
        holder = BY_ADDRESS.get(request.headers.get("x-cache-backup", ""))
        backup = f"{holder.address}/{request_id}" if holder is not None else ""
        if holder is not None:
            holder.copies.add(backup)
        self.runs[request_id] = run
        self.record.add(
            "run",
            engine=self.name,
            version=self.version,
            id=request_id,
            position=position,
            tenant=request.headers.get("x-tenant-name"),
        )
        work = asyncio.create_task(self.work(request, run, writer))
        gone = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            is_whole = work.done() and not work.cancelled() and not work.exception()
            for task in (work, gone):
                task.cancel()
            await asyncio.gather(work, gone, return_exceptions=True)
            if self.runs.get(request_id) is run:
                del self.runs[request_id]
            self.gate.release()
            if holder is not None and is_whole:
                holder.copies.discard(backup)
            self.record.add(
                "run_ended",
                engine=self.name,
                id=request_id,
                events=run.events,
                whole=is_whole,
            )

    async def wait_for_slot(self, reader: asyncio.StreamReader) -> bool:
        """Wait for a slot; return whether the caller was still there."""
        self.waiting += 1
        slot = asyncio.create_task(self.gate.acquire())
        gone = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait({slot, gone}, return_when=asyncio.FIRST_COMPLETED)
            has_slot = slot.done() and not slot.cancelled()
            if has_slot and gone.done():
                self.gate.release()
            return has_slot and not gone.done()
        finally:
            self.waiting -= 1
            for task in (slot, gone):
                task.cancel()
            await asyncio.gather(slot, gone, return_exceptions=True)

    async def work(
        self, request: Message, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        """Make the answer of a run and send it."""
        headers = self.heads(request) | {"X-Response-Seal": f"seal-{self.name}"}
        if not self.events:
            await asyncio.sleep(self.work_s)
            writer.write(response(200, headers, b"done " + run.request_id.encode()))
            await writer.drain()
            return
        headers |= {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        await asyncio.sleep(self.first_s)
        writer.write(head(200, headers))
        for number in range(run.position + 1, self.events + 1):
            run.events += 1
            data = f"id: {number}\ndata: {self.version} {self.name}\n\n"
            writer.write(chunk(data.encode()))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


@asynccontextmanager
async def running_engine(engine: Engine) -> AsyncIterator[Engine]:
    """Run an engine, registered in the store, while the context is open."""
    await engine.listen()
    beats = asyncio.create_task(engine.beat())
    try:
        yield engine
    finally:
        beats.cancel()
        engine.fall()
        engine.store.remove(f"servers/{engine.name}")
