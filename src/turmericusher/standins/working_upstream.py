"""A stand-in engine that works on its streams whether or not their connections last.

A run ends when its last event is made, when its connection is seen to close, or when
another call stops it. Each run is recorded with its times, so that a test can tell
whether a stream ran at two engines at a time.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Protocol

from turmericusher.decisions.relay_messages import UpstreamReport
from turmericusher.platform.names import LAST_EVENT_ID, REQUEST_ID, SIGNATURE
from turmericusher.platform.records import (
    decode_copy_request,
    encode_copy_handle,
    is_last_copy,
)
from turmericusher.standins.platform_upstream import (
    ReceivedCall,
    UpstreamStandin,
    encode_chunk,
    event,
    reset,
)
from turmericusher.tasks.background import cancel_tasks

HANDOVER_LIMIT_S = 0.4
"""Seconds for which the engine before may work on while a stream goes on at another:
the users' rule TWICE."""


@dataclass(slots=True, eq=False)
class Run:
    """One run of a stream, with its times in monotonic seconds.

    `position` is the id of the last event made.
    """

    request_id: str
    upstream: str
    began_at: float
    position: int
    writer: asyncio.StreamWriter
    ended_at: float | None = None
    stopped: asyncio.Event = field(default_factory=asyncio.Event)


def set_event() -> asyncio.Event:
    """Return an event that is set."""
    new_event = asyncio.Event()
    new_event.set()
    return new_event


@dataclass(slots=True)
class WorkingUpstream(UpstreamStandin):
    """An engine whose runs do not depend on their connections.

    `active` has the runs in progress by request, `history` all of them. Connections in
    `silent` neither bring nor take anything any more, and their close is not noticed.
    While `is_unpaused` is clear, the process stands still: its kernel accepts
    connections, but nothing is read, made or noticed.
    """

    active: dict[str, Run] = field(default_factory=dict)
    history: list[Run] = field(default_factory=list)
    silent: set[asyncio.StreamWriter] = field(default_factory=set)
    is_unpaused: asyncio.Event = field(default_factory=set_event)

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

    def current_report(self) -> UpstreamReport:
        """Return the report with the runs in progress."""
        made = {
            run.request_id: run.position for run in self.active.values() if run.position
        }
        return replace(self.report, running=len(self.active), events_made=made)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the call of a connection once the process does not stand still."""
        await self.is_unpaused.wait()
        self.report = self.current_report()
        # `super()` fails in a class that `dataclass(slots=True)` made anew.
        await super(WorkingUpstream, self).serve(reader, writer)

    def handle_copy_request(
        self, call: ReceivedCall, writer: asyncio.StreamWriter
    ) -> None:
        """Copy the KV cache of a run to another upstream; the last copy ends the run.

        The run ends first, whether or not the copy can be made, and its memory stays.
        """
        request_id, address = decode_copy_request(call.body)
        run, peer = self.active.get(request_id), self.peers.get(address)
        if run is None:
            writer.write(self.encode_head(404, {"Content-Length": "0"}))
            return
        body, handle = b"", f"copy-of-{request_id}"
        if is_last_copy(call.body):
            run.stopped.set()
            self.end(run)
            self.copies.add(handle)
            body = encode_copy_handle(handle, run.position)
        if peer is not None:
            peer.copies.add(handle)
            body = encode_copy_handle(handle, run.position)
        status = 503 if peer is None else 200
        length = {"Content-Length": str(len(body))}
        writer.write(self.encode_head(status, length) + body)

    def end(self, run: Run) -> None:
        """Record that a run has ended."""
        if run.ended_at is None:
            run.ended_at = asyncio.get_running_loop().time()
        if self.active.get(run.request_id) is run:
            del self.active[run.request_id]

    async def answer(
        self,
        call: ReceivedCall,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a stream until it ends, is stopped, or its connection closes."""
        if not self.try_start_run(call, writer, should_shed=False):
            return
        await self.carry_out(call, reader, writer, self.work)

    async def carry_out(
        self,
        call: ReceivedCall,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        work: Callable[[Run], Awaitable[None]],
    ) -> None:
        """Record a run and do its work until that is done, stopped or left."""
        request_id = call.headers[REQUEST_ID]
        position = int(call.headers.get(LAST_EVENT_ID, "0"))
        now = asyncio.get_running_loop().time()
        run = Run(request_id, self.name, now, position, writer)
        self.active[request_id] = run
        self.history.append(run)
        waits = (
            asyncio.ensure_future(work(run)),
            asyncio.create_task(self.wait_for_close(reader, writer)),
            asyncio.create_task(run.stopped.wait()),
        )
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.end(run)
            await cancel_tasks(waits)

    def end_runs(self) -> None:
        """End all runs at once, as the end of the process does."""
        for run in self.history:
            run.stopped.set()
            self.end(run)

    async def wait_for_close(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wait until the process notices that the connection was closed."""
        with contextlib.suppress(ConnectionError):
            await reader.read()
        if writer in self.silent:
            await asyncio.Event().wait()
        await self.is_unpaused.wait()

    async def work(self, run: Run) -> None:
        """Make the events that are left, and send them while the connection lasts."""
        headers = {
            REQUEST_ID: run.request_id,
            SIGNATURE: f"by-{self.name}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        self.send(run, self.encode_head(200, headers))
        await asyncio.sleep(self.first_event_s)
        while run.position < self.events:
            await asyncio.sleep(self.event_gap_s)
            await self.is_unpaused.wait()
            run.position += 1
            self.send(run, encode_chunk(event(run.position, self.event_padding)))
        self.send(run, b"0\r\n\r\n")

    def send(self, run: Run, data: bytes) -> None:
        """Write to the run's connection unless that has fallen silent."""
        if run.writer not in self.silent:
            run.writer.write(data)


class KeepsHistory(Protocol):
    """An engine that records its runs."""

    @property
    def history(self) -> list[Run]:
        """All runs, in the order in which they began."""
        ...


def find_overlaps(
    upstreams: Iterable[KeepsHistory],
    now: float,
    streams: Mapping[str, str] | None = None,
) -> list[tuple[str, str, str, float]]:
    """Return the runs that went on beside a later one for longer than the rule allows.

    `streams` maps the requests that took a stream up to that stream, which is named by
    its first request. Each entry has the stream, the upstream before, the one after and
    the seconds for which both worked.
    """
    stream_of = streams or {}
    runs: dict[str, list[Run]] = {}
    for upstream in upstreams:
        for run in upstream.history:
            stream = stream_of.get(run.request_id, run.request_id)
            runs.setdefault(stream, []).append(run)
    overlaps = []
    for stream, same in runs.items():
        same.sort(key=lambda run: run.began_at)
        for index, run in enumerate(same):
            ended_at = now if run.ended_at is None else run.ended_at
            for later in same[index + 1 :]:
                both_s = ended_at - later.began_at
                if later.upstream != run.upstream and both_s > HANDOVER_LIMIT_S:
                    overlaps.append((stream, run.upstream, later.upstream, both_s))
    return overlaps
