"""Reads bodies of responses within limits: what another process sends may never end.

A faulty upstream sends bytes until its caller closes. Bytes that have been received
count towards the memory of the machine, which is small.
"""

from __future__ import annotations

from collections.abc import AsyncIterable, AsyncIterator, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from turmericusher.decisions.held_memory.limits import SLOW_READER_S
from turmericusher.logs import log_event
from turmericusher.memory_guard import MemoryGuard
from turmericusher.write_watch import WriteWatch

MAX_MESSAGE_BYTES = 262_144
"""Size of the largest answer about a request or an upstream: a report has some 100
bytes for each of a few hundred runs."""

MAX_EVENT_BYTES = 1_048_576
"""Size of the largest event of a stream, which holds a few tokens."""

MAX_ANSWER_BYTES = 16_000_000
"""Size of the largest answer to a caller that is not a stream."""

MAX_STORE_ANSWER_BYTES = 16_000_000
"""Size of the largest answer of the store: a few of its largest values, in base64."""

FREE_BYTES = 262_144
"""Size up to which an answer counts for nothing in `HeldBytes`."""

MAX_HELD_BYTES = MAX_ANSWER_BYTES
"""Bytes of all larger answers that an instance holds at one time."""

FINAL_STATUSES = range(200, 600)
"""Statuses of final responses (RFC 9110, section 15)."""

MAX_OVERHEAD_BYTES = 262_144
MAX_OVERHEAD_RATIO = 8
"""Bytes of a response that are neither its head nor its body: so many, and so many for
each byte of the body. Blank lines before a head and the framing of chunks may go on
without end, and a parser that keeps none of them does not notice."""

HEADERS_OF_AN_END = ("Content-Length", "Transfer-Encoding")
"""Headers by which the end of a body is known without that of its connection."""

MAX_INTERIM_RESPONSES = 16
"""Interim responses (RFC 9110, section 15.2) before one that is final."""


class BodyTooLargeError(Exception):
    """A body is larger than allowed; its connection is closed."""


@dataclass(slots=True)
class HeldBytes:
    """The bytes of large answers that are held now, and how many may be.

    They count in the account of the process as well, if there is one.
    """

    limit: int = MAX_HELD_BYTES
    held: int = 0
    guard: MemoryGuard | None = None

    @contextmanager
    def counting(self) -> Iterator[CountedBody]:
        """Yield the count of one answer, which ends with the context."""
        counted = CountedBody(self)
        try:
            yield counted
        finally:
            self.held -= counted.counted
            if self.guard is not None:
                self.guard.return_answer(counted.in_account)


@dataclass(slots=True)
class CountedBody:
    """How many bytes of one answer count in `total` and in the process's account."""

    total: HeldBytes
    counted: int = 0
    in_account: int = 0

    async def take(self, size: int) -> None:
        """Count an answer of this size; wait for memory; raise as `grow_to` does."""
        self.grow_to(size)
        guard, missing = self.total.guard, self.counted - self.in_account
        if guard is None or missing <= 0:
            return
        if not await guard.take_answer(missing):
            raise BodyTooLargeError(f"no memory for an answer with {size} bytes")
        self.in_account += missing

    def grow_to(self, size: int) -> None:
        """Count an answer of this size; raise `BodyTooLargeError` over the limits."""
        check_size(size, MAX_ANSWER_BYTES)
        added = max(0, size - FREE_BYTES) - self.counted
        if added > self.total.limit - self.total.held:
            raise BodyTooLargeError(
                f"answers in progress hold {self.total.held} bytes of "
                f"{self.total.limit}; one with {size} bytes has no room"
            )
        self.total.held += added
        self.counted += added


def check_size(size: int, max_bytes: int) -> None:
    """Raise `BodyTooLargeError` if a body has more bytes than allowed."""
    if size > max_bytes:
        raise BodyTooLargeError(f"the body exceeds {max_bytes} bytes")


def has_own_end(response: aiohttp.ClientResponse) -> bool:
    """Whether the end of a body is known without that of its connection."""
    return any(name in response.headers for name in HEADERS_OF_AN_END)


async def read_chunks(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield the bytes of a body; raise `OSError` if it ends with a reset.

    A body with neither a length nor chunks ends when its connection closes, and aiohttp
    reports a reset as such an end.
    """
    # A response whose body has ended has no public connection any more.
    protocol = response._protocol
    async for chunk in response.content.iter_any():
        yield chunk
    if not has_own_end(response) and isinstance(protocol, BoundedResponseHandler):
        protocol.raise_if_reset()


async def read_bounded(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the whole body; raise `BodyTooLargeError` beyond a size."""
    body = bytearray()
    await read_into(body, response, max_bytes)
    return bytes(body)


async def read_into(
    body: bytearray,
    response: aiohttp.ClientResponse,
    max_bytes: int,
    on_arrival: Callable[[], None] = lambda: None,
) -> None:
    """Append the body as it arrives; raise `BodyTooLargeError` beyond a size.

    A body whose stated length is beyond it is not read.
    """
    if (response.content_length or 0) > max_bytes:
        response.close()
        check_size(response.content_length or 0, max_bytes)
    async for chunk in read_chunks(response):
        on_arrival()
        body += chunk
        if len(body) > max_bytes:
            response.close()
            check_size(len(body), max_bytes)


async def read_held(chunks: AsyncIterable[bytes], held: HeldBytes) -> bytes:
    """Return the whole body of an answer to a caller, which counts while it is read.

    Raises `BodyTooLargeError` over the limits of one answer or of all.
    """
    body = bytearray()
    with held.counting() as counted:
        async for chunk in chunks:
            body += chunk
            await counted.take(len(body))
        return bytes(body)


class BoundedResponseHandler(ResponseHandler):
    """The reader of one connection, which ends after too many interim responses.

    aiohttp bounds each head but keeps all interim ones until the final one has come.
    It also ends if the server does not read the request: aiohttp has no time limit for
    that, and the request's body is held meanwhile.
    `lost_by` is the error that the connection ended with, if it did not end by itself:
    aiohttp forgets it when it closes its side. `received` counts the bytes since the
    last final head, whose body is `body`.
    """

    interim_count = 0
    received = 0
    body: aiohttp.StreamReader | None = None
    lost_by: OSError | None = None
    slow_reader_s = SLOW_READER_S
    watch: WriteWatch | None = None

    def pause_writing(self) -> None:
        """Watch whether the server reads."""
        super().pause_writing()
        if self.transport is not None:
            self.watch = WriteWatch(
                self.transport, self.slow_reader_s, lambda size: None, self.cut_off
            )
            self.watch.start()

    def resume_writing(self) -> None:
        """Stop the watch, as the server has read."""
        super().resume_writing()
        self.stop_watch()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the watch with the connection, and keep the error."""
        self.stop_watch()
        if isinstance(exc, OSError):
            self.lost_by = exc
        super().connection_lost(exc)

    def raise_if_reset(self) -> None:
        """Raise the error that the connection ended with, if there was one."""
        if self.lost_by is not None:
            raise self.lost_by

    def stop_watch(self) -> None:
        """End the watch, if there is one."""
        if self.watch is not None:
            self.watch.stop()
            self.watch = None

    def cut_off(self) -> None:
        """Close the connection to a server that does not read."""
        log_event("slow_server", limit_s=self.slow_reader_s)
        # An abort drops the exception.
        self.abort()
        self.lost_by = aiohttp.ServerTimeoutError(
            "the server does not read the request"
        )
        self.set_exception(self.lost_by)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take one response, or close the connection."""
        message, payload = data
        if message.code < 200:
            self.interim_count += 1
            if self.interim_count > MAX_INTERIM_RESPONSES:
                self.leave("too many interim responses")
                return
        else:
            self.interim_count = self.received = 0
            self.body = payload
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Take bytes, or close the connection if too many of them are no answer."""
        self.received += len(data)
        super().data_received(data)
        in_body = self.body.total_bytes if self.body is not None else 0
        limit = MAX_OVERHEAD_BYTES + MAX_OVERHEAD_RATIO * in_body
        if self.received - in_body > limit:
            self.leave("too many bytes that belong to no answer")

    def leave(self, problem: str) -> None:
        """Close the connection, whose request has failed."""
        # An abort drops the exception.
        self.abort()
        self.set_exception(aiohttp.ServerDisconnectedError(problem))


def bounded_connector(
    slow_reader_s: float = SLOW_READER_S, **options: Any
) -> aiohttp.TCPConnector:
    """Return a connector whose connections bound what precedes a response.

    They end if the server does not read the request for `slow_reader_s` seconds.
    """
    connector = aiohttp.TCPConnector(**options)

    def make_handler() -> BoundedResponseHandler:
        handler = BoundedResponseHandler(loop=connector._loop)
        handler.slow_reader_s = slow_reader_s
        return handler

    # aiohttp has no public option for the reader of its connections.
    factory: Any = make_handler
    connector._factory = factory
    return connector
