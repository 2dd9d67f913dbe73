"""A stand-in upstream with verifiable answers that records the requests it receives."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.soak.history import Arrival, History
from tests.common.relay_fixtures import PATHS
from turmericusher.decisions.relay_messages import UpstreamReport
from turmericusher.decisions.routing import RequestKind
from turmericusher.platform.names import (
    REQUEST_ID,
    SEND_LIMIT,
    SIGNATURE,
    TARGET_UPSTREAM,
    TEAM,
)
from turmericusher.standins.platform_upstream import ReceivedCall, encode_chunk
from turmericusher.standins.working_upstream import Run, WorkingUpstream

EVENT_COUNT = 24
EVENT_INTERVAL_S = 0.05
CALL_DURATION_S = 0.04
CRASHING_TARGET = f"{PATHS[RequestKind.IDEMPOTENT]}crash"
"""The path of the call that crashes each upstream that begins to answer it."""

CRASHING_PART = "badbadba"
"""The part of a prompt that crashes each upstream that begins to answer it."""

ENDLESS_S = 1e6
STREAM_PATHS = ("/resumable/", "/stream/")


def answer_content(path: str, number: int = 0) -> str:
    """Return the answer to a path, or the data of one event of it."""
    return hashlib.sha256(f"{path}#{number}".encode()).hexdigest()


def request_body(request_id: str) -> bytes:
    """Return the body that a caller sends with a request."""
    return f"body of {request_id}".encode()


def idle_report(born: int) -> UpstreamReport:
    """Return the load report of an upstream that has just started."""
    return UpstreamReport(str(born), 0, 0, 0, 100_000, {})


@dataclass(slots=True)
class SoakUpstream(WorkingUpstream):
    """An upstream that can be set to shed, to fail or to pause.

    Its events name its `version`. It calls `on_crash` when it begins to answer a
    request that crashes it, with whether that is the crashing call. `find_sender`
    returns the instance whose link has a port. `opened_at` has the connections being
    served, with the times at which they were opened.

    `stable_name` names its place in the deployment, which stays the same when an
    upstream with another name starts there.
    """

    recorded: History = field(default_factory=History)
    team: str = ""
    stable_name: str = ""
    version: str = "v1"
    on_crash: Callable[[bool], None] = lambda by_call: None
    is_shedding: bool = False
    is_failing: bool = False
    find_sender: Callable[[int], str] = lambda port: ""
    opened_at: dict[asyncio.StreamWriter, float] = field(default_factory=dict)

    def restart(self, born: int) -> None:
        """Start a new incarnation that holds no copies and runs nothing."""
        self.copies.clear()
        self.is_leaving = False
        self.report = idle_report(born)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the call of a connection, and note when that was opened."""
        self.opened_at[writer] = asyncio.get_running_loop().time()
        try:
            # `super()` fails in a class that `dataclass(slots=True)` made anew.
            await super(SoakUpstream, self).serve(reader, writer)
        finally:
            del self.opened_at[writer]

    async def answer(
        self,
        call: ReceivedCall,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Record the arrival and answer it until done or the sender disconnects."""
        loop = asyncio.get_running_loop()
        request_id = call.headers.get(REQUEST_ID, "")
        # A call for another upstream is told so, and asked for nothing.
        is_addressed = call.headers.get(TARGET_UPSTREAM) == self.name
        arrival = Arrival(
            request_id,
            self.stable_name,
            loop.time(),
            incarnation=self.report.incarnation,
            is_leaving=self.is_leaving,
            pause_s=float(self.pause or 0.0) if is_addressed else 0.0,
            sender=self.find_sender(writer.get_extra_info("peername")[1]),
            sent_at=self.opened_at[writer],
        )
        self.recorded.arrivals.append(arrival)
        if not self.try_start_run(call, writer, self.is_shedding):
            return
        arrival.has_run = True
        arrival.error = self.find_difference(call, request_id)
        try:
            await self.carry_out(
                call, reader, writer, lambda run: self.run_request(run, call, writer)
            )
        finally:
            arrival.ended_at = loop.time()

    def find_difference(self, call: ReceivedCall, request_id: str) -> str:
        """Return how a request differs from what its caller sent, "" if it does not."""
        sent = self.recorded.requests.get(request_id)
        if sent is None:
            return "not sent by any caller"
        if call.target != sent.path:
            return f"target={call.target!r}"
        if call.body != request_body(sent.body_of or request_id):
            return f"body={call.body!r}"
        if call.headers.get(TEAM) != self.team:
            return f"team={call.headers.get(TEAM)!r}"
        return ""

    async def run_request(
        self, run: Run, call: ReceivedCall, writer: asyncio.StreamWriter
    ) -> None:
        """Write the answer to a request that was accepted."""
        headers = {
            REQUEST_ID: call.headers[REQUEST_ID],
            SIGNATURE: f"by-{self.name}",
            "Content-Type": "text/plain",
        }
        if self.send_limit is not None:
            headers[SEND_LIMIT] = self.send_limit
        if self.is_failing:
            writer.write(self.encode_head(500, headers | {"Content-Length": "0"}))
        elif self.crashes_on(call):
            await asyncio.sleep(EVENT_INTERVAL_S)
            self.on_crash(call.target in self.crashing_targets)
            await asyncio.sleep(ENDLESS_S)
        elif call.target.startswith(STREAM_PATHS):
            writer.write(
                self.encode_head(200, headers | {"Transfer-Encoding": "chunked"})
            )
            for number in range(run.position + 1, EVENT_COUNT + 1):
                await asyncio.sleep(EVENT_INTERVAL_S)
                await self.is_unpaused.wait()
                data = answer_content(call.target, number)
                event = f"id: {number}\nevent: {self.version}\ndata: {data}\n\n"
                writer.write(encode_chunk(event.encode()))
                run.position = number
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        else:
            await asyncio.sleep(CALL_DURATION_S)
            await self.is_unpaused.wait()
            body = answer_content(call.target).encode()
            length = {"Content-Length": str(len(body))}
            writer.write(self.encode_head(200, headers | length) + body)
        await writer.drain()
