"""An answer that ends in the middle of its head, or of its framing, is no answer."""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
from contextlib import asynccontextmanager
from dataclasses import replace

import aiohttp
from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.raw_servers import running_raw_server
from tests.common.relay_fixtures import (
    ACCESS_KEY,
    HOST,
    PATHS,
    encode_upstream_entry,
    make_relay_shared,
    make_test_relay,
    make_upstream,
    running_relay_simulation,
)
from tests.common.waiting import wait_until
from turmericusher.client import ClientOptions, open_client
from turmericusher.client_answers import ConnectionLostError, Received
from turmericusher.decisions.forwarding import Hop
from turmericusher.decisions.relay_messages import (
    AttemptFailed,
    StartRelay,
    StreamFinished,
)
from turmericusher.decisions.routing import RequestKind
from turmericusher.errors import UpstreamError, Verdict
from turmericusher.platform.names import UPSTREAM_PREFIX
from turmericusher.platform.upstreams import open_platform_upstreams
from turmericusher.ports.engines import open_engine_port
from turmericusher.ports.services import OutgoingCall, open_service_port
from turmericusher.ports.upstream import EngineRequest, StreamDiedError

MARKS = b"X-Response-Seal: s\r\nServer-Leaving: 0\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"


def head(status, *lines):
    """Return the head of an answer with these lines beside its marks."""
    return b"".join([b"HTTP/1.1 ", status, b"\r\n", MARKS, *lines, b"\r\n"])


LENGTH = head(b"200 OK", b"Content-Length: 4\r\n") + b"part"
CHUNKS = (
    head(b"200 OK", b"Transfer-Encoding: chunked\r\n")
    + b"4;x=1\r\npart\r\n0\r\nX-Trailer: t\r\n\r\n"
)
UNTIL_CLOSE = head(b"200 OK")
EMPTY = head(b"200 OK", b"Content-Length: 0\r\n")
REFUSAL = head(b"503 Service Unavailable", b"X-Not-Executed: 1\r\n")

ANSWERS = {
    "a length": LENGTH,
    "chunks and a trailer": CHUNKS,
    "neither": UNTIL_CLOSE,
    "no body": EMPTY,
    "a refusal": REFUSAL,
    "an interim answer before it": INTERIM + LENGTH,
    "an interim answer before neither": INTERIM + UNTIL_CLOSE,
}
ENDS = ("closed", "reset")
CASES = list(itertools.product(ANSWERS, ENDS))
PAUSED_S = 0.01
KINDS = (
    RequestKind.NON_IDEMPOTENT,
    RequestKind.STREAM,
    RequestKind.RESUMABLE_STREAM,
)


class CuttingServer:
    """Sends the first `cut` bytes of an answer, and then ends the connection.

    With a pause, these come in two parts.
    """

    def __init__(self, answer, end, pause_s=0.0):
        self.answer, self.end, self.pause_s, self.cut = answer, end, pause_s, 0

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        sent = self.answer[: self.cut]
        if self.pause_s:
            writer.write(sent[: self.cut // 2])
            await asyncio.sleep(self.pause_s)
            sent = sent[self.cut // 2 :]
        writer.write(sent)
        if self.end == "reset":
            # What was sent must arrive before the reset drops it.
            await asyncio.sleep(0.001)
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()


@asynccontextmanager
async def cutting(name, end, pause_s=0.0):
    """Yield the address of a server, and a function that sets each of its cuts."""
    answer = ANSWERS[name]
    server = CuttingServer(answer, end, pause_s)
    step = 1 if not pause_s else 5

    def cuts():
        for cut in range(0, len(answer), step):
            server.cut = cut
            yield cut

    async with running_raw_server(server.serve) as address:
        yield address, cuts


class CutTest(TestCase):
    """Each cut of an answer is tried on each way by which answers come."""

    @asynccontextmanager
    async def relaying(self, address, hop=None):
        async with open_platform_upstreams(*[lambda *_: None] * 4) as port:

            async def send(kind):
                relay = make_test_relay(kind, make_relay_shared())
                events = []

                async def sink(event):
                    events.append(event)

                upstream = replace(make_upstream(0), address=address)
                deadline = asyncio.get_running_loop().time() + 5.0
                start = StartRelay(1, upstream, deadline, hop=hop)
                await port.send(start, relay.request, relay.routed, sink)
                return events[-1]

            yield send

    def assert_lost(self, ended, cut):
        self.assertIsInstance(ended, AttemptFailed, cut)
        self.assertIsNone(ended.answer, cut)
        self.assertEqual(Verdict.MAY_HAVE_RUN, ended.verdict, cut)

    @parameterized.expand(CASES)
    @run_async
    async def test_mixed_a_cut_answer_to_a_relayed_call_is_none(self, name, end):
        async with (
            cutting(name, end) as (address, cuts),
            self.relaying(address) as send,
        ):
            for cut in cuts():
                self.assert_lost(await send(RequestKind.NON_IDEMPOTENT), cut)

    @parameterized.expand(CASES)
    @run_async
    async def test_order_a_cut_answer_to_a_relayed_stream_has_not_ended(
        self, name, end
    ):
        async with (
            cutting(name, end) as (address, cuts),
            self.relaying(address) as send,
        ):
            for cut in cuts():
                ended = await send(RequestKind.RESUMABLE_STREAM)
                self.assertNotIsInstance(ended, StreamFinished, cut)
                self.assertEqual(Verdict.MAY_HAVE_RUN, ended.verdict, cut)

    @parameterized.expand(CASES)
    @run_async
    async def test_mixed_a_cut_answer_in_parts_is_none(self, name, end):
        async with (
            cutting(name, end, PAUSED_S) as (address, cuts),
            self.relaying(address) as send,
        ):
            for cut in cuts():
                self.assert_lost(await send(RequestKind.IDEMPOTENT), cut)

    @parameterized.expand(CASES)
    @run_async
    async def test_mixed_a_cut_answer_of_an_instance_that_forwards_is_none(
        self, name, end
    ):
        hop = Hop("entry-1", 1, False, "incarnation")
        async with (
            cutting(name, end) as (address, cuts),
            self.relaying(address, hop) as send,
        ):
            for cut in cuts():
                self.assert_lost(await send(RequestKind.NON_IDEMPOTENT), cut)

    @parameterized.expand(CASES)
    @run_async
    async def test_mixed_a_cut_answer_of_a_plain_service_is_none(self, name, end):
        async with (
            cutting(name, end) as (address, cuts),
            open_service_port() as port,
        ):
            upstream = replace(make_upstream(0), address=address)
            call = OutgoingCall("POST", "/", (("Host", "h"),), b"body")
            for cut in cuts():
                with self.assert_raises(UpstreamError, cut) as caught:
                    await port.send(upstream, call, 5.0)
                self.assertEqual(Verdict.MAY_HAVE_RUN, caught.error.verdict, cut)

    @parameterized.expand(CASES)
    @run_async
    async def test_order_a_cut_answer_of_an_engine_has_not_ended(self, name, end):
        async with cutting(name, end) as (address, cuts), open_engine_port() as port:
            upstream = replace(make_upstream(0), address=address)
            request = EngineRequest("m", prompt="p")
            for cut in cuts():
                with self.assert_raises(StreamDiedError, cut) as caught:
                    async with port.open_stream(upstream, request) as chunks:
                        async for _ in chunks:
                            pass
                self.assertEqual(Verdict.MAY_HAVE_RUN, caught.error.verdict, cut)

    @parameterized.expand(CASES)
    @run_async
    async def test_mixed_a_cut_answer_is_none_to_the_client_library(self, name, end):
        async with (
            cutting(name, end) as (address, cuts),
            open_client(ClientOptions((address,)), seed=1) as client,
        ):
            url = f"http://{address}/v1/services/s/x"
            deadline = client.clock() + 60.0
            for cut in cuts():
                with self.assert_raises(aiohttp.ClientError, cut, OSError):
                    await client.call_once("POST", url, b"", {}, deadline)
                received = Received()
                with self.assert_raises(ConnectionLostError, cut):
                    async for _ in client.stream_once(address, {}, received):
                        pass
                self.assertIsNone(received.finish_reason, cut)

    def assert_raises(self, expected, cut, *more):
        """Return a context in which one of some errors must be raised."""
        return RaisesContext((expected, *more), cut)


class RaisesContext:
    """Keeps the error that was raised inside it in `error`."""

    def __init__(self, expected, cut):
        self.expected, self.cut, self.error = expected, cut, None

    def __enter__(self):
        return self

    def __exit__(self, kind, error, traceback):
        if error is None:
            raise AssertionError(f"no error at cut={self.cut}")
        self.error = error
        return isinstance(error, self.expected)


class EndToEndTest(TestCase):
    @parameterized.expand(CASES)
    @run_async
    async def test_mixed_a_caller_gets_no_success_for_a_cut_answer(self, name, end):
        async with (
            cutting(name, end) as (address, cuts),
            running_relay_simulation(0) as simulation,
        ):
            simulation.store.store.write(
                f"{UPSTREAM_PREFIX}cutting", encode_upstream_entry(address, 0)
            )
            listed = simulation.node.fleet.upstreams.entries
            await wait_until(lambda: "cutting" in listed)
            for cut in itertools.islice(cuts(), 0, None, 9):
                for kind in KINDS:
                    received = await read_raw(simulation, kind, f"{cut}{kind}")
                    self.assertNotIn(b" 200 ", received[:20], (cut, kind))


async def read_raw(simulation, kind, request_id):
    """Send a request on a connection of its own; return all that comes."""
    host, port = simulation.settings.caller_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [
        f"POST {PATHS[kind]}x HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {ACCESS_KEY}",
        f"X-Request-Id: {request_id}",
        "X-Deadline-Milliseconds: 250",
        "Content-Length: 0",
        "Connection: close",
    ]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    try:
        async with asyncio.timeout(5):
            return await reader.read()
    finally:
        writer.close()
