"""An answer that an upstream breaks off, or that is none, is not passed on as one."""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
from contextlib import asynccontextmanager
from dataclasses import replace

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.raw_servers import running_raw_server
from tests.common.relay_fixtures import (
    make_relay_shared,
    make_test_relay,
    make_upstream,
)
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    AttemptFailed,
    StartRelay,
    StreamFinished,
)
from turmericusher.decisions.routing import RequestKind
from turmericusher.errors import UpstreamError, Verdict
from turmericusher.platform.upstreams import open_platform_upstreams
from turmericusher.ports.services import OutgoingCall, open_service_port

UPLOAD = b"u" * 4_000_000
HEAD = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n\r\n"
LENGTH_HEAD = HEAD.replace(b"\r\n\r\n", b"\r\nContent-Length: 4\r\n\r\n")
EVENT = b"id: 1\ndata: x\n\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ResettingUpstream:
    """Answers 200 while the request is written, then resets.

    It reads `read_bytes` of the request first, and waits between head, part of the body
    and reset for the seconds of `pauses`.
    """

    def __init__(self, part, read_bytes, pauses, head=HEAD):
        self.part, self.read_bytes, self.pauses = part, read_bytes, pauses
        self.head = head

    async def serve(self, reader, writer):
        await reader.readexactly(self.read_bytes)
        before_part_s, before_reset_s = self.pauses
        if before_part_s:
            writer.write(self.head)
            await asyncio.sleep(before_part_s)
            writer.write(self.part)
        else:
            writer.write(self.head + self.part)
        await asyncio.sleep(before_reset_s)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()


@asynccontextmanager
async def running_relay_port(serve, sink_s=0.0):
    """Yield a function that relays a request to an upstream and returns its end.

    Whoever takes the events of the attempt needs some seconds for each.
    """
    async with (
        running_raw_server(serve) as address,
        open_platform_upstreams(*[lambda *_: None] * 4) as port,
    ):

        async def send(kind, body):
            relay = make_test_relay(kind, make_relay_shared())
            events = []

            async def sink(event):
                events.append(event)
                await asyncio.sleep(sink_s)

            upstream = replace(make_upstream(0), address=address)
            start = StartRelay(1, upstream, asyncio.get_running_loop().time() + 5.0)
            request = replace(relay.request, body=body)
            await port.send(start, request, relay.routed, sink)
            return events[-1]

        yield send


async def call_service(serve, body):
    """Send a call to a plain service, and return its answer."""
    async with running_raw_server(serve) as address, open_service_port() as port:
        upstream = replace(make_upstream(0), address=address)
        call = OutgoingCall("POST", "/", (("Host", "h"),), body)
        return await port.send(upstream, call, 5.0)


RESETS = [
    (f"{size}_bytes_read_{read}_paused_{first}_{second}", body, read, (first, second))
    for (size, body), read, first, second in itertools.product(
        ((len(UPLOAD), UPLOAD), (4, b"body")), (10, 60), (0.0, 0.05), (0.0, 0.05)
    )
]


class ResetTest(TestCase):
    @parameterized.expand(RESETS)
    @run_async
    async def test_mixed_a_part_of_an_answer_that_was_reset_is_no_answer(
        self, _, body, read_bytes, pauses
    ):
        upstream = ResettingUpstream(b"part", read_bytes, pauses)
        async with running_relay_port(upstream.serve) as send:
            ended = await send(RequestKind.NON_IDEMPOTENT, body)
        self.assertIsInstance(ended, AttemptFailed)
        self.assertEqual(Verdict.MAY_HAVE_RUN, ended.verdict)

    @parameterized.expand(RESETS)
    @run_async
    async def test_order_a_stream_that_was_reset_has_not_ended(
        self, _, body, read_bytes, pauses
    ):
        upstream = ResettingUpstream(EVENT, read_bytes, pauses)
        async with running_relay_port(upstream.serve) as send:
            ended = await send(RequestKind.RESUMABLE_STREAM, body)
        self.assertNotIsInstance(ended, StreamFinished)
        self.assertEqual(AttemptCause.LOST, ended.cause)

    @parameterized.expand(RESETS)
    @run_async
    async def test_mixed_a_service_that_resets_its_answer_has_not_answered(
        self, _, body, read_bytes, pauses
    ):
        upstream = ResettingUpstream(b"part", read_bytes, pauses)
        error = await self.assertRaisesAsync(call_service(upstream.serve, body))
        self.assertEqual(Verdict.MAY_HAVE_RUN, error.verdict)

    @parameterized.expand(RESETS)
    @run_async
    async def test_order_a_stream_that_was_reset_before_it_was_read_has_not_ended(
        self, _, body, read_bytes, pauses
    ):
        upstream = ResettingUpstream(EVENT, read_bytes, pauses)
        async with running_relay_port(upstream.serve, sink_s=0.2) as send:
            ended = await send(RequestKind.RESUMABLE_STREAM, body)
        self.assertNotIsInstance(ended, StreamFinished)

    @parameterized.expand(RESETS)
    @run_async
    async def test_an_answer_that_was_whole_before_a_reset_is_passed_on(
        self, _, body, read_bytes, pauses
    ):
        whole = ResettingUpstream(b"part", read_bytes, pauses, LENGTH_HEAD)
        async with running_relay_port(whole.serve) as send:
            ended = await send(RequestKind.NON_IDEMPOTENT, body)
        self.assertEqual(b"part", ended.answer.body)
        answer = await call_service(whole.serve, body)
        self.assertEqual(b"part", answer.body)

    async def assertRaisesAsync(self, call):
        """Return the `UpstreamError` that a call raises."""
        try:
            answer = await call
        except UpstreamError as error:
            return error
        raise AssertionError(f"answered with {answer}")


STATUSES = [(status,) for status in ("000", "001", "099", "600", "999")]


class StatusTest(TestCase):
    @parameterized.expand(STATUSES)
    @run_async
    async def test_mixed_a_status_that_is_none_is_no_answer(self, status):
        async with running_relay_port(answering(status)) as send:
            ended = await send(RequestKind.IDEMPOTENT, b"")
        self.assertIsInstance(ended, AttemptFailed)
        self.assertEqual(AttemptCause.MALFORMED, ended.cause)
        self.assertIsNone(ended.answer)

    @parameterized.expand(STATUSES)
    @run_async
    async def test_mixed_a_service_with_a_status_that_is_none_has_not_answered(
        self, status
    ):
        error = await ResetTest.assertRaisesAsync(
            self, call_service(answering(status), b"")
        )
        self.assertEqual(Verdict.MAY_HAVE_RUN, error.verdict)

    @parameterized.expand([("200",), ("404",), ("418",), ("599",)])
    @run_async
    async def test_a_status_of_the_protocol_is_passed_on(self, status):
        answer = await call_service(answering(status), b"")
        self.assertEqual(int(status), answer.status)
        async with running_relay_port(answering(status)) as send:
            ended = await send(RequestKind.IDEMPOTENT, b"")
        self.assertEqual(int(status), ended.answer.status)


def answering(status):
    """Return a server that answers each request with a status, and its mark."""
    lines = f"HTTP/1.1 {status} X\r\nX-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok"

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(lines.encode())

    return serve
