"""A stand-in for an upstream of the platform, which writes raw HTTP to its sockets.

It serves full answers and event streams, records which requests ran, holds standby
copies, and fails in the way that is switched on.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import itertools
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from turmericusher.decisions.relay_messages import UpstreamReport
from turmericusher.platform.names import (
    COPY_PATH,
    COPY_SOURCE,
    LAST_EVENT_ID,
    LEAVING,
    LOAD,
    NOT_RUN_MARK,
    PAUSE,
    PROMPT_PARTS,
    RELEASE_PATH,
    REPORT_PATH,
    REQUEST_ID,
    SEND_LIMIT,
    SIGNATURE,
    STANDBY_ADDRESS,
    TARGET_UPSTREAM,
)
from turmericusher.platform.records import (
    decode_copy_request,
    encode_copy_handle,
    encode_report,
)

LOOPBACK = "127.0.0.1"
TRICKLE_PAUSE_S = 0.02
# Nothing runs or waits, and none of the memory for 100,000 tokens is used.
IDLE_REPORT = UpstreamReport("1700000000000", 0, 0, 0, 100_000, {})
# `SO_LINGER` on with a timeout of 0: closing the socket sends RST.
RESET_LINGER = struct.pack("ii", 1, 0)


class UpstreamFault(enum.StrEnum):
    """What goes wrong with a call.

    - `SHED`: does not run and answers 503 with the mark that says so.
    - `FAIL`: runs and answers 500.
    - `FALSE_PROMISE`: runs, and answers 503 like `SHED` but without the mark.
    - `RESET`: runs and resets the connection.
    - `CUT`: sends all but the last bytes of the announced length and closes.
    - `UNFRAMED`: sends the full answer without a length, ended by the close.
    - `UNFRAMED_RESET`: the same, but resets before the last bytes.
    - `EXTRA`: sends a second answer after the first.
    - `OTHER_ID`: answers with another request's id.
    - `UNSIGNED`: omits the signature.
    - `ENCODED`: announces a content encoding.
    - `GARBAGE`: sends bytes that are not HTTP.
    - `HANG`: runs and never answers.
    """

    NONE = "none"
    SHED = "shed"
    FAIL = "fail"
    FALSE_PROMISE = "false_promise"
    RESET = "reset"
    CUT = "cut"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed_reset"
    EXTRA = "extra"
    OTHER_ID = "other_id"
    UNSIGNED = "unsigned"
    ENCODED = "encoded"
    GARBAGE = "garbage"
    HANG = "hang"


class CrashSign(enum.StrEnum):
    """What others see of an upstream that has crashed.

    - `RESET`: its connections are reset, and new ones are refused.
    - `SILENCE`: open connections say nothing more, and new ones are not answered.
    - `RESET_ONCE`: its connections are reset, and new ones are not answered.
    """

    RESET = "reset"
    SILENCE = "silence"
    RESET_ONCE = "reset_once"


@dataclass(frozen=True, slots=True)
class ReceivedCall:
    """One call, received at `at` in monotonic seconds; header names in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float


@dataclass(slots=True)
class UpstreamStandin:
    """The state of one upstream.

    `faults` holds the faults of the next calls, in order; further calls succeed. An
    answer is a stream if `events` is above 0: that many events, the first after
    `first_event_s` seconds and the others `event_gap_s` apart, each larger by
    `event_padding` bytes. The connection is reset
    after event `die_after`, nothing more is sent after event `stop_after`, and single
    bytes but no whole event after event `trickle_after`. `copies`
    holds the handles of the KV cache copies stored here; `peers` maps addresses to the
    upstreams on which copies can be made. `runs` lists the ids of the requests that
    ran, and `released` the handles that callers released. `caller_disconnects` counts
    the calls whose caller closed the connection before the answer was complete.
    While `pause` is set, it refuses calls and asks for a pause of that text.
    `report` is the load report that it returns, and `send_limit` the text of the limit
    that it names in its answers, if any. While `is_leaving`, all its answers say so. A
    call with one of `crashing_parts` in its prompt, or for one of `crashing_targets`,
    crashes it after `first_event_s`, when it would begin to write the answer. Others
    see `crash_sign` then, `crashed` is set, and `connections` holds what is open until
    that. A plain service does not make reports (`makes_reports`).
    """

    name: str
    address: str = ""
    faults: list[UpstreamFault] = field(default_factory=list)
    body: bytes = b"whole answer"
    events: int = 0
    event_gap_s: float = 0.0
    event_padding: int = 0
    first_event_s: float = 0.0
    die_after: int | None = None
    stop_after: int | None = None
    trickle_after: int | None = None
    copies: set[str] = field(default_factory=set)
    peers: dict[str, UpstreamStandin] = field(default_factory=dict)
    calls: list[ReceivedCall] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)
    caller_disconnects: int = 0
    released: list[str] = field(default_factory=list)
    report: UpstreamReport = IDLE_REPORT
    send_limit: str | None = None
    is_leaving: bool = False
    pause: str | None = None
    crashing_parts: frozenset[str] = frozenset()
    crashing_targets: frozenset[str] = frozenset()
    crash_sign: CrashSign = CrashSign.RESET
    makes_reports: bool = True
    crashed: asyncio.Event = field(default_factory=asyncio.Event)
    connections: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None

    def encode_head(self, status: int, headers: dict[str, str]) -> bytes:
        """Return the head of an answer, marked if this upstream is leaving."""
        mark = {LEAVING: "1"} if self.is_leaving else {}
        return encode_head(status, headers | mark)

    @property
    def is_silent(self) -> bool:
        """Whether this upstream has crashed and its connections say nothing more."""
        return self.crashed.is_set() and self.crash_sign is CrashSign.SILENCE

    def stop_listening(self) -> None:
        """Accept no more connections; open ones continue."""
        if self.server is not None:
            self.server.close()

    def crash(self) -> None:
        """End as `crash_sign` says; the call that is being served ends with it."""
        self.stop_listening()
        if self.crash_sign is not CrashSign.SILENCE:
            for writer in self.connections:
                reset(writer)
            self.connections.clear()
        self.crashed.set()

    def crashes_on(self, call: ReceivedCall) -> bool:
        """Whether a call crashes this upstream."""
        parts = call.headers.get(PROMPT_PARTS, "").split(",")
        return call.target in self.crashing_targets or any(
            part.partition(":")[0] in self.crashing_parts for part in parts
        )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the single call of a connection and close it."""
        self.connections.add(writer)
        try:
            call = await read_call(reader)
            if call is not None and self.is_silent:
                await reader.read()
            elif call is not None and call.target == REPORT_PATH:
                if not self.makes_reports:
                    writer.write(self.encode_head(500, {"Content-Length": "0"}))
                    return
                body = encode_report(self.report)
                length = {"Content-Length": str(len(body))}
                writer.write(self.encode_head(200, length) + body)
            elif call is not None and call.target.startswith(RELEASE_PATH):
                self.released.append(call.target.rpartition("/")[2])
                writer.write(self.encode_head(200, {"Content-Length": "0"}))
            elif call is not None and call.target == COPY_PATH:
                self.handle_copy_request(call, writer)
            elif call is not None:
                self.calls.append(call)
                await self.answer(call, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.caller_disconnects += 1
        finally:
            self.connections.discard(writer)
            writer.close()

    def handle_copy_request(
        self, call: ReceivedCall, writer: asyncio.StreamWriter
    ) -> None:
        """Copy the KV cache of a request that ran here to another upstream."""
        request_id, address = decode_copy_request(call.body)
        peer = self.peers.get(address)
        if peer is None or request_id not in self.runs:
            writer.write(self.encode_head(503, {"Content-Length": "0"}))
            return
        handle = f"copy-of-{request_id}"
        peer.copies.add(handle)
        body = encode_copy_handle(handle)
        writer.write(self.encode_head(200, {"Content-Length": str(len(body))}) + body)

    def try_start_run(
        self, call: ReceivedCall, writer: asyncio.StreamWriter, should_shed: bool
    ) -> bool:
        """Record that a call runs here, or refuse it; return whether it runs.

        A call for another upstream gets 421. A shed call, or one that names a copy
        that is not here, gets 503 with the mark of a call that did not run. A call with
        a standby address also stores its copy there.
        """
        if call.headers.get(TARGET_UPSTREAM, self.name) != self.name:
            writer.write(self.encode_head(421, {}))
            return False
        if self.pause is not None:
            writer.write(self.encode_head(503, {NOT_RUN_MARK: "1", PAUSE: self.pause}))
            return False
        _, _, handle = call.headers.get(COPY_SOURCE, "").rpartition("/")
        if should_shed or (handle and handle not in self.copies):
            writer.write(self.encode_head(503, {NOT_RUN_MARK: "1"}))
            return False
        request_id = call.headers.get(REQUEST_ID, "")
        self.runs.append(request_id)
        peer = self.peers.get(call.headers.get(STANDBY_ADDRESS, ""))
        if peer is not None:
            peer.copies.add(request_id)
        return True

    async def answer(
        self,
        call: ReceivedCall,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a call, or fail as the next fault says."""
        fault = self.faults.pop(0) if self.faults else UpstreamFault.NONE
        if not self.try_start_run(call, writer, fault is UpstreamFault.SHED):
            return
        request_id = call.headers[REQUEST_ID]
        if self.crashes_on(call):
            await asyncio.sleep(self.first_event_s)
            self.crash()
            if self.is_silent:
                await reader.read()
            return
        if self.events and fault is UpstreamFault.NONE:
            await self.stream(call, reader, writer)
            return
        await self.send_full_answer(request_id, fault, reader, writer)

    async def send_full_answer(
        self,
        request_id: str,
        fault: UpstreamFault,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send a full answer, altered as the fault says."""
        headers = {REQUEST_ID: request_id, SIGNATURE: f"by-{self.name}", LOAD: "1,0,8"}
        if self.send_limit is not None:
            headers[SEND_LIMIT] = self.send_limit
        length = {"Content-Length": str(len(self.body))}
        if self.is_silent:
            await reader.read()
            return
        match fault:
            case UpstreamFault.FAIL:
                writer.write(self.encode_head(500, headers | length) + self.body)
            case UpstreamFault.FALSE_PROMISE:
                writer.write(self.encode_head(503, headers | length) + self.body)
            case UpstreamFault.RESET:
                reset(writer)
            case UpstreamFault.CUT:
                writer.write(self.encode_head(200, headers | length) + self.body[:-2])
            case UpstreamFault.UNFRAMED | UpstreamFault.UNFRAMED_RESET:
                writer.write(self.encode_head(200, headers) + self.body[:-2])
                await writer.drain()
                await asyncio.sleep(0.02)
                if fault is UpstreamFault.UNFRAMED_RESET:
                    reset(writer)
                else:
                    writer.write(self.body[-2:])
            case UpstreamFault.EXTRA:
                full_answer = self.encode_head(200, headers | length) + self.body
                writer.write(full_answer + full_answer)
            case UpstreamFault.OTHER_ID:
                other_headers = headers | length | {REQUEST_ID: "another"}
                writer.write(self.encode_head(200, other_headers) + self.body)
            case UpstreamFault.UNSIGNED:
                del headers[SIGNATURE]
                writer.write(self.encode_head(200, headers | length) + self.body)
            case UpstreamFault.ENCODED:
                encoded = headers | length | {"Content-Encoding": "gzip"}
                writer.write(self.encode_head(200, encoded) + self.body)
            case UpstreamFault.GARBAGE:
                writer.write(b"\x00\xffnothing of the protocol\r\n\r\n")
            case UpstreamFault.HANG:
                await reader.read()
                self.caller_disconnects += 1
            case _:
                writer.write(self.encode_head(200, headers | length) + self.body)
        if not writer.is_closing():
            await writer.drain()

    async def stream(
        self,
        call: ReceivedCall,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Stream the events after the last one that the caller has received."""
        headers = {
            REQUEST_ID: call.headers[REQUEST_ID],
            SIGNATURE: f"by-{self.name}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        if self.send_limit is not None:
            headers[SEND_LIMIT] = self.send_limit
        writer.write(self.encode_head(200, headers))
        first_number = int(call.headers.get(LAST_EVENT_ID, "0")) + 1
        await asyncio.sleep(self.first_event_s)
        for number in range(first_number, self.events + 1):
            writer.write(encode_chunk(event(number, self.event_padding)))
            await writer.drain()
            if number == self.die_after:
                # The reset cuts off the chunk that this begins.
                writer.write(encode_chunk(b"id: 99")[:-4])
                await writer.drain()
                await asyncio.sleep(0.01)
                reset(writer)
                return
            if number == self.trickle_after:
                await self.trickle(event(number + 1), reader, writer)
                return
            if number == self.stop_after:
                await reader.read()
                self.caller_disconnects += 1
                return
            await asyncio.sleep(self.event_gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def trickle(
        self,
        unfinished: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send an event a byte at a time, and its last byte never.

        At its end the bytes begin again, as a comment that does not end.
        """
        for byte in itertools.chain(unfinished[:-2], itertools.repeat(ord("."))):
            writer.write(encode_chunk(bytes([byte])))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TRICKLE_PAUSE_S):
                    with contextlib.suppress(ConnectionError):
                        await reader.read()
                    self.caller_disconnects += 1
                    return


async def read_call(reader: asyncio.StreamReader) -> ReceivedCall | None:
    """Read one call; None if the caller closed the connection without sending any."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    request_line, *header_lines = text.split("\r\n")
    method, target, _ = request_line.split(" ")
    headers = {}
    for line in header_lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    at = asyncio.get_running_loop().time()
    return ReceivedCall(method, target, headers, body, at)


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Return the status line and headers of an answer, in HTTP/1.1 format."""
    reason_phrases = {
        200: "OK",
        404: "Not Found",
        421: "Misdirected",
        500: "Failed",
        503: "Unavailable",
    }
    lines = [f"HTTP/1.1 {status} {reason_phrases[status]}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if status == 421 or NOT_RUN_MARK in headers:
        lines.append("Content-Length: 0")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def event(number: int, padding: int = 0) -> bytes:
    """Return one server-sent event of a stream, larger by so many bytes."""
    return f"id: {number}\ndata: piece {number}{'.' * padding}\n\n".encode()


def encode_chunk(payload: bytes) -> bytes:
    """Return one chunk of a body in chunked transfer encoding."""
    return f"{len(payload):x}\r\n".encode() + payload + b"\r\n"


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset the connection with RST instead of closing it."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()


@asynccontextmanager
async def running_upstream(
    name: str, **state: object
) -> AsyncIterator[UpstreamStandin]:
    """Run an upstream with the given state on a free loopback port and yield it."""
    standin = UpstreamStandin(name, **state)  # type: ignore[arg-type]
    async with running_standin(standin):
        yield standin


def full_backlog(address: str) -> list[socket.socket]:
    """Return sockets that keep connections to an address unanswered while open.

    The kernel drops the first packet of a connection if as many wait to be accepted as
    the listener allows: with a backlog of 0, one.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(0)
    sockets = [listener]
    for _ in range(2):
        sockets.append(socket.socket())
        sockets[-1].setblocking(False)
        sockets[-1].connect_ex((host, int(port)))
    return sockets


@asynccontextmanager
async def running_standin(
    standin: UpstreamStandin, port: int = 0
) -> AsyncIterator[None]:
    """Serve an existing upstream on a loopback port, free by default."""
    server = await asyncio.start_server(standin.serve, LOOPBACK, port)
    standin.server = server
    port = server.sockets[0].getsockname()[1]
    standin.address = f"{LOOPBACK}:{port}"
    try:
        yield
    finally:
        server.close()
