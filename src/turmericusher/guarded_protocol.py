"""The server's HTTP/1.1 protocol within limits: heads, bodies, trailers, slow readers.

httptools collects a head, or the lines after a body, without any limit. The bytes that
have come in and are no part of a body are therefore counted here.
"""

from __future__ import annotations

import asyncio
from typing import Any

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from turmericusher.decisions.held_memory.account import (
    FREE_BYTES,
    Grant,
    Holding,
    Phase,
    Reason,
)
from turmericusher.memory_guard import MemoryGuard, now
from turmericusher.write_watch import WriteWatch

OVERHEAD_FACTOR = 3
"""What may come in besides a body, in largest header sections: the request line, the
header section, and what chunks and trailers add."""

UPGRADE = b"upgrade"

FIELD_SEPARATOR_BYTES = 4
"""A colon, a space and the end of the line."""

CHUNK_FRAME_BYTES = 4
"""The two line ends of a chunk, besides the digits of its size."""

FREE_FIELDS = 64
"""Fields of a head that count with their connection only."""

FIELD_MEMORY_BYTES = 256
"""Memory that a short field takes: a tuple and two byte strings."""

FIRST_TARGET_BYTES = 65_536
"""Memory asked for a body of unknown length; it is doubled as the body grows."""

MAX_PIPELINED = 64
"""Requests that may wait on a connection behind another one."""

MAX_PIPELINED_BYTES = 65_536
"""Body bytes that such a request may have in the process."""

RETRY_AFTER_S = 1

LINGER_S = 0.5
"""Seconds for which a refused client may still send, so that it can read the refusal:
closing a connection with unread bytes resets it."""

LINGER_BYTES = 1_048_576


class RefusedError(Exception):
    """The connection's problem is set; ends the parsing of what was received."""


class HeldFlow(FlowControl):
    """Flow control that also stops reading while a request waits for memory."""

    is_held = False

    def resume_reading(self) -> None:
        """Read on unless the request waits."""
        if not self.is_held:
            super().resume_reading()

    def hold(self) -> None:
        """Stop reading until `release`."""
        self.is_held = True
        self.pause_reading()

    def release(self) -> None:
        """Read on."""
        self.is_held = False
        self.resume_reading()


class GuardedProtocol(HttpToolsProtocol):
    """One connection of a client, and its holding in the account of the process.

    `overhead` counts the bytes since the last complete request that are no part of a
    body, and `body_bytes` those of the body. `head_fields` is the number of fields in
    the header section, behind which the library appends trailers, and `fields_bytes`
    the memory of many fields.
    `expected` is the length that the head states, up to the limit of bodies. `problem`
    is the status and the text of a refusal. `drained` counts what came after it.
    `offer` is the head of a request that offers another protocol, without that offer.
    """

    def __init__(self, guard: MemoryGuard, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.guard = guard
        self.holding: Holding | None = None
        self.watch: WriteWatch | None = None
        self.overhead = self.body_bytes = self.chunk_bytes = 0
        self.expected = self.head_fields = self.fields_bytes = 0
        self.is_pipelined = False
        self.problem: tuple[int, str] | None = None
        self.offer: bytes | None = None
        self.is_refused = False
        self.drained = 0

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Serve the connection, or refuse it if there are too many."""
        super().connection_made(transport)
        self.flow = HeldFlow(transport)
        self.holding = self.guard.open(self)
        if self.holding is None:
            # The descriptor is needed, so that nothing is read from the connection.
            self.is_refused = True
            transport.write(refusal(503, "too many connections"))
            transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Give back all that the connection held."""
        if self.watch is not None:
            self.watch.stop()
        super().connection_lost(exc)
        if self.holding is not None:
            self.guard.account.close(self.holding)
            self.guard.settle()

    def data_received(self, data: bytes) -> None:
        """Parse what came in, within the limits."""
        if self.is_refused:
            self.drained += len(data)
            if self.drained > LINGER_BYTES:
                self.transport.abort()
            return
        self.overhead += len(data)
        self.parse(data)
        if self.is_refused or not self.overhead:
            return
        limit = self.guard.header_bytes()
        if self.overhead > OVERHEAD_FACTOR * limit or self.open_fields_size() > limit:
            self.refuse_counted(431, "the request's head or trailers are too large")
        elif self.has_many_fields() and not self.ask_for_memory():
            self.refuse_counted(503, "no memory for the request's head")

    def parse(self, data: bytes) -> None:
        """Parse what came in; an offer of another protocol is not taken up.

        The library ends a request with such an offer at its head. It is therefore read
        once more without the offer, by a new parser, and then its body.
        """
        self._unset_keepalive_if_required()
        while data:
            try:
                self.parser.feed_data(data)
                return
            except HttpParserUpgrade as error:
                if self.offer is None:
                    return
                data = self.offer + data[error.args[0] :]
                self.offer = None
                self.parser = HttpRequestParser(self)
                self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
            except HttpParserError:
                self.send_400_response("Invalid HTTP request received.")
                return

    def head_without_offer(self) -> bytes:
        """Return the head that was read, without its offer of another protocol."""
        version = self.parser.get_http_version().encode()
        lines = [b"%s %s HTTP/%s" % (self.parser.get_method(), self.url, version)]
        for name, value in self.headers:
            if name == b"connection":
                options = [each.strip() for each in value.split(b",")]
                value = b", ".join(e for e in options if e.lower() != UPGRADE)
            if name != UPGRADE and (value or name != b"connection"):
                lines.append(b"%s: %s" % (name, value))
        return b"\r\n".join([*lines, b"", b""])

    def open_fields_size(self) -> int:
        """Return the size of the fields of a head, or of trailers, in progress."""
        if not self.headers or self.holding is None:
            return 0
        if self.holding.phase is not Phase.READING:
            return 0
        fields = self.headers[self.head_fields :]
        return sum(
            len(name) + len(value) + FIELD_SEPARATOR_BYTES for name, value in fields
        )

    def has_many_fields(self) -> bool:
        """Whether the request in progress has fields that count; sets their memory."""
        if self.is_pipelined or self.holding is None or not self.headers:
            return False
        if self.holding.phase is not Phase.READING or len(self.headers) <= FREE_FIELDS:
            return False
        self.fields_bytes = len(self.headers) * FIELD_MEMORY_BYTES
        return True

    def send_400_response(self, msg: str) -> None:
        """Answer what the parser cannot go on with."""
        if self.problem is None:
            super().send_400_response(msg)
        else:
            self.refuse(*self.problem)

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin to count a request."""
        super().on_message_begin()
        self.body_bytes = self.chunk_bytes = self.expected = 0
        self.head_fields = self.fields_bytes = 0
        cycle = self.cycle
        self.is_pipelined = cycle is not None and not cycle.response_complete
        if self.holding is not None and not self.is_pipelined:
            self.guard.account.begin(self.holding, now())

    def on_headers_complete(self) -> None:
        """Ask for the memory of the body whose length the head states."""
        is_tunnel = self.parser.get_method() == b"CONNECT"
        if self.parser.should_upgrade() and not is_tunnel:
            self.offer = self.head_without_offer()
            return
        self.head_fields = len(self.headers)
        size = self.head_fields * FIELD_SEPARATOR_BYTES
        for name, value in self.headers:
            size += len(name) + len(value)
            if name == b"content-length" and value.isdigit():
                limit = self.guard.request_limits().max_body_bytes
                self.expected = min(int(value), limit)
        if size > self.guard.header_bytes():
            self.stop_parsing(431, "the header section is too large")
        super().on_headers_complete()
        if len(self.pipeline) > MAX_PIPELINED:
            self.stop_parsing(503, "too many requests wait on this connection")
        if self.has_many_fields() or (
            self.expected > FREE_BYTES and not self.is_pipelined
        ):
            self.must_have_memory()

    def on_body(self, body: bytes) -> None:
        """Take a part of a body and ask for the memory of what follows."""
        size = len(body)
        self.overhead -= size
        self.chunk_bytes += size
        self.body_bytes += size
        super().on_body(body)
        if self.cycle.response_complete:
            if self.body_bytes > self.guard.request_limits().max_body_bytes:
                self.stop_parsing(413, "the body is too large")
        elif self.is_pipelined:
            if len(self.cycle.body) > MAX_PIPELINED_BYTES:
                self.stop_parsing(413, "the body of a waiting request is too large")
        elif self.body_bytes > FREE_BYTES:
            self.must_have_memory()

    def on_chunk_header(self) -> None:
        """Begin to count a chunk."""
        self.chunk_bytes = 0

    def on_chunk_complete(self) -> None:
        """Leave out what the frame of a chunk takes at least."""
        digits = (self.chunk_bytes.bit_length() + 3) // 4 or 1
        self.overhead -= digits + CHUNK_FRAME_BYTES

    def on_message_complete(self) -> None:
        """Record that the request is complete, and may run."""
        if self.offer is not None:
            return
        self.overhead = 0
        if len(self.headers) > self.head_fields:
            if self.open_fields_size() > self.guard.header_bytes():
                self.stop_parsing(431, "the trailers are too large")
            if self.has_many_fields():
                self.must_have_memory()
        # The answer may be complete already, and then the connection is idle.
        is_answered = self.cycle.response_complete
        if self.holding is not None and not self.is_pipelined and not is_answered:
            size = self.body_bytes + self.fields_bytes
            self.guard.account.complete(self.holding, size)
            self.release_flow()
        super().on_message_complete()

    # Callbacks of the response

    def on_response_complete(self) -> None:
        """Give back the memory of the request; the next one may have arrived."""
        account, holding = self.guard.account, self.holding
        if holding is not None and not self.is_refused:
            account.finish(holding, now())
            if self.pipeline:
                waiting, _ = self.pipeline[-1]
                account.begin(holding, now())
                account.receive(holding, len(waiting.body), 0, now())
                self.is_pipelined = len(self.pipeline) > 1
                if not waiting.more_body:
                    account.complete(holding, len(waiting.body))
            self.release_flow()
            self.guard.settle()
        super().on_response_complete()

    def pause_writing(self) -> None:
        """Watch whether the client reads."""
        super().pause_writing()
        if self.watch is None:
            self.watch = WriteWatch(
                self.transport,
                self.guard.limits.slow_reader_s,
                self.count_unread,
                self.cut_off,
            )
        self.watch.start()

    def resume_writing(self) -> None:
        """Stop the watch, as the client has read."""
        super().resume_writing()
        if self.watch is not None:
            self.watch.stop()
            self.count_unread(0)

    def count_unread(self, size: int) -> None:
        """Count what waits for the client."""
        if self.holding is not None:
            self.guard.account.set_unread(self.holding, size, now())
            self.guard.settle()

    def cut_off(self) -> None:
        """Close the connection of a client that does not read."""
        self.guard.count("slow_reader")
        self.transport.abort()

    # Memory

    def must_have_memory(self) -> None:
        """Ask for memory, and refuse the request without it."""
        if not self.ask_for_memory():
            self.stop_parsing(503, "no memory for the request")

    def ask_for_memory(self) -> bool:
        """Ask for the memory of the request, or wait for it; return whether it may."""
        if self.holding is None:
            return True
        size = self.body_bytes + self.fields_bytes
        target = self.expected + self.fields_bytes
        if self.holding.request_bytes < size > target:
            limit = self.guard.request_limits().max_body_bytes
            target = min(limit, max(FIRST_TARGET_BYTES, 2 * size))
        grant = self.guard.account.receive(self.holding, size, target, now())
        if grant is Grant.WAIT:
            self.hold_flow()
        self.guard.settle()
        return grant is not Grant.REFUSED

    def hold_flow(self) -> None:
        """Stop reading while the request waits for memory."""
        assert isinstance(self.flow, HeldFlow)
        self.flow.hold()

    def release_flow(self) -> None:
        """Read on."""
        if isinstance(self.flow, HeldFlow) and self.flow.is_held:
            self.flow.release()

    def resume_for_memory(self) -> None:
        """Read on: the request has the memory that it waited for."""
        self.release_flow()

    def close_for(self, reason: Reason) -> None:
        """Refuse an incomplete request; close a connection without one."""
        is_idle = self.holding is None or self.holding.phase is Phase.IDLE
        if reason is Reason.UNREAD:
            self.transport.abort()
        elif is_idle:
            self.transport.close()
        else:
            self.refuse(503, "the request's body came too slowly, or needs memory")

    # Refusals

    def stop_parsing(self, status: int, text: str) -> None:
        """Refuse the request and raise an error that ends the parsing."""
        self.problem = (status, text)
        self.guard.count(f"status_{status}")
        raise RefusedError(text)

    def refuse_counted(self, status: int, text: str) -> None:
        """Refuse the request and count it."""
        self.guard.count(f"status_{status}")
        self.refuse(status, text)

    def refuse(self, status: int, text: str) -> None:
        """Answer that the incomplete request was refused, and close the connection.

        No answer is sent while another one is in progress.
        """
        if self.is_refused or self.transport.is_closing():
            return
        self.is_refused = True
        cycle = self.cycle
        is_answering = self.is_pipelined or (
            cycle is not None and cycle.response_started and not cycle.response_complete
        )
        if self.holding is not None:
            self.guard.account.close(self.holding)
        if cycle is not None and not cycle.response_complete:
            cycle.disconnected = True
            cycle.message_event.set()
        self.pipeline.clear()
        self._unset_keepalive_if_required()
        if is_answering:
            self.transport.close()
            return
        self.transport.write(refusal(status, text))
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.release_flow()
        self.flow.resume_reading()
        self.loop.call_later(LINGER_S, self.transport.close)


def refusal(status: int, text: str) -> bytes:
    """Return the bytes of a refusal after which the connection closes."""
    body = f"{text}\n".encode()
    retry = f"retry-after: {RETRY_AFTER_S}\r\n" if status == 503 else ""
    head = (
        f"content-type: text/plain; charset=utf-8\r\ncontent-length: {len(body)}\r\n"
        f"{retry}connection: close\r\n\r\n"
    )
    return STATUS_LINE[status] + head.encode() + body
