"""An upstream whose answers tell whose they are, and that notes what reaches it."""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import dataclass, field, replace

from benchmarks.soak.history import Arrival, History
from turmericusher.decisions.relay_messages import UpstreamReport
from turmericusher.platform.names import (
    LAST_EVENT_ID,
    REQUEST_ID,
    SIGNATURE,
    TEAM,
)
from turmericusher.standins.platform_upstream import (
    ReceivedCall,
    UpstreamStandin,
    encode_chunk,
    encode_head,
)
from turmericusher.tasks.background import cancel_tasks

EVENTS = 24
EVENT_GAP_S = 0.05
CALL_S = 0.04
STREAM_PATHS = ("/resumable/", "/stream/")


def content_of(path: str, number: int = 0) -> str:
    """Return what the answer to a path holds, or its event of that number."""
    return hashlib.sha256(f"{path}#{number}".encode()).hexdigest()


def body_of(request_id: str) -> bytes:
    """Return the body that a caller sends."""
    return f"body of {request_id}".encode()


def idle_report(born: int) -> UpstreamReport:
    """Return the report of an upstream that has just started."""
    return UpstreamReport(str(born), 0, 0, 0, 100_000, {})


@dataclass(slots=True)
class SoakUpstream(UpstreamStandin):
    """Answers by content; `sheds` and `fails` are switched on from outside.

    `part` is its place in the world, which it keeps when another name comes up there.
    """

    history: History = field(default_factory=History)
    team: str = ""
    part: str = ""
    sheds: bool = False
    fails: bool = False

    @property
    def made(self) -> dict[str, int]:
        """The events made of each stream that runs, as the report tells them."""
        assert isinstance(self.report.events_made, dict)
        return self.report.events_made

    def restart(self, born: int) -> None:
        """Begin another life, with nothing in memory."""
        self.copies.clear()
        self.report = idle_report(born)

    async def answer(
        self,
        call: ReceivedCall,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Note the arrival and answer it until the sender is gone."""
        loop = asyncio.get_running_loop()
        request_id = call.headers.get(REQUEST_ID, "")
        arrival = Arrival(request_id, self.part, loop.time())
        self.history.arrivals.append(arrival)
        if not self.try_start_run(call, writer, self.sheds):
            return
        arrival.has_run = True
        arrival.error = self.what_was_changed(call, request_id)
        self.report = replace(self.report, running=self.report.running + 1)
        gone = asyncio.create_task(reader.read())
        work = asyncio.create_task(self.work(call, writer))
        try:
            await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            arrival.ended_at = loop.time()
            self.made.pop(request_id, None)
            self.report = replace(self.report, running=self.report.running - 1)
            await cancel_tasks((gone, work))

    def what_was_changed(self, call: ReceivedCall, request_id: str) -> str:
        """Say how a request differs from what its caller sent, empty where not."""
        sent = self.history.requests.get(request_id)
        if sent is None:
            return "no caller sent it"
        if call.target != sent.path:
            return f"target={call.target!r}"
        if call.body != body_of(request_id):
            return f"body={call.body!r}"
        if call.headers.get(TEAM) != self.team:
            return f"team={call.headers.get(TEAM)!r}"
        return ""

    async def work(self, call: ReceivedCall, writer: asyncio.StreamWriter) -> None:
        """Answer a request that runs."""
        headers = {
            REQUEST_ID: call.headers[REQUEST_ID],
            SIGNATURE: f"by-{self.name}",
            "Content-Type": "text/plain",
        }
        if self.fails:
            writer.write(encode_head(500, headers | {"Content-Length": "0"}))
        elif call.target.startswith(STREAM_PATHS):
            first = int(call.headers.get(LAST_EVENT_ID, "0")) + 1
            writer.write(encode_head(200, headers | {"Transfer-Encoding": "chunked"}))
            for number in range(first, EVENTS + 1):
                await asyncio.sleep(EVENT_GAP_S)
                data = f"id: {number}\ndata: {content_of(call.target, number)}\n\n"
                writer.write(encode_chunk(data.encode()))
                self.made[call.headers[REQUEST_ID]] = number
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        else:
            await asyncio.sleep(CALL_S)
            body = content_of(call.target).encode()
            length = {"Content-Length": str(len(body))}
            writer.write(encode_head(200, headers | length) + body)
        await writer.drain()
