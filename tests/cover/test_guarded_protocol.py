"""The server's limits on heads, bodies, connections and clients that do not read.

Failure: a client outside the limits is served on, or one inside them is refused.
"""

from __future__ import annotations

import asyncio
import dataclasses
import socket
from contextlib import asynccontextmanager, suppress

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_fixtures import (
    PATHS,
    running_relay_simulation,
    unused_loopback_host,
)
from tests.common.waiting import wait_until
from turmericusher.asgi import CallerGoneError, body_parts, read_body
from turmericusher.decisions.held_memory.account import MemoryAccount
from turmericusher.decisions.held_memory.limits import make_held_limits
from turmericusher.decisions.routing import RequestKind, RequestLimits
from turmericusher.errors import RequestRefusedError
from turmericusher.memory_guard import MemoryGuard
from turmericusher.metrics import Metrics
from turmericusher.web_server import running_server

BODY_LIMIT = 400_000
HEADER_LIMIT = 16_384
HELD_MB = 1
"""Of which 786,432 bytes are for large bodies: one of the largest at a time."""

ANSWER_LIMIT_S = 10.0
CHUNKED = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


def head(length: int, extra: bytes = b"") -> bytes:
    return b"POST / HTTP/1.1\r\nContent-Length: %d\r\n%s\r\n" % (length, extra)


class Server:
    """An application that answers with the size of each body that it has read."""

    def __init__(self, **limits):
        held = make_held_limits(128, 1_638, **({"held_mb": HELD_MB} | limits))
        self.guard = MemoryGuard(MemoryAccount(held), Metrics())
        self.guard.request_limits = lambda: RequestLimits(BODY_LIMIT, HEADER_LIMIT)
        self.sizes, self.host = [], unused_loopback_host()
        self.answer, self.may_answer = b"", asyncio.Event()
        self.may_answer.set()

    async def serve(self, scope, receive, send):
        try:
            body = await read_body(body_parts(receive), BODY_LIMIT)
            status = 200
        except CallerGoneError:
            return
        except RequestRefusedError:
            body, status = b"", 413
        self.sizes.append(len(body))
        await self.may_answer.wait()
        text = self.answer or str(len(body)).encode()
        length = [(b"content-length", str(len(text)).encode())]
        await send({"type": "http.response.start", "status": status, "headers": length})
        await send({"type": "http.response.body", "body": text})

    @asynccontextmanager
    async def running(self):
        async def app(scope, receive, send):
            await self.serve(scope, receive, send)

        async with running_server(app, f"{self.host}:20001", 0, guard=self.guard):
            yield self

    async def connect(self):
        return await asyncio.open_connection(self.host, 20001)

    async def ask(self, *parts):
        """Send parts on a new connection; return the answer's status and its bytes."""
        reader, writer = await self.connect()
        async with asyncio.timeout(ANSWER_LIMIT_S):
            with suppress(ConnectionError):
                for part in parts:
                    writer.write(part)
                    await writer.drain()
            answer = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return int(answer.split()[1]), answer


class LimitsTest(TestCase):
    @parameterized.expand(
        [
            ("a header section", [b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 4_000], 431),
            (
                "a whole header section",
                [b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 4_000 + b"\r\n"],
                431,
            ),
            ("a header line", [b"GET / HTTP/1.1\r\nX: " + b"y" * 60_000], 431),
            ("a target", [b"GET /" + b"y" * 60_000], 431),
            ("empty lines", [b"\r\n" * 30_000], 431),
            ("a chunk extension", [CHUNKED + b"1;" + b"x" * 60_000], 431),
            ("many extensions", [CHUNKED + b"1;extension=x\r\na\r\n" * 5_000], 431),
            ("trailers", [CHUNKED + b"1\r\na\r\n0\r\n" + b"X: y\r\n" * 4_000], 431),
            ("a trailer", [CHUNKED + b"1\r\na\r\n0\r\nX: " + b"y" * 60_000], 431),
            (
                "whole trailers",
                [CHUNKED + b"1\r\na\r\n0\r\n" + b"X: y\r\n" * 6_000 + b"\r\n"],
                431,
            ),
            ("a body", [head(BODY_LIMIT + 1), bytes(BODY_LIMIT + 1)], 413),
            ("chunks", [CHUNKED] + [b"10000\r\n" + bytes(65_536) + b"\r\n"] * 8, 413),
        ]
    )
    @run_async
    async def test_what_is_too_large_is_refused(self, _, parts, expected):
        async with Server().running() as server:
            status, _ = await server.ask(*parts)
            self.assertEqual(expected, status)
            self.assertEqual(0, sum(server.sizes))
            await wait_until(lambda: not server.guard.account.used)

    @parameterized.expand(
        [
            ("the largest body", [head(BODY_LIMIT), bytes(BODY_LIMIT)]),
            (
                "the largest header section",
                [
                    b"GET / HTTP/1.1\r\nX: " + b"y" * (HEADER_LIMIT - 6),
                    b"\r\n\r\n",
                ],
            ),
            (
                "both",
                [
                    head(BODY_LIMIT, b"X: " + b"y" * (HEADER_LIMIT - 60) + b"\r\n"),
                    bytes(BODY_LIMIT),
                ],
            ),
            (
                "chunks of a byte",
                [CHUNKED, b"1\r\na\r\n" * 100_000, b"0\r\n\r\n"],
            ),
            (
                "chunks of a few bytes",
                [CHUNKED, b"14\r\n" + bytes(20) + b"\r\n"]
                + [(b"14\r\n" + bytes(20) + b"\r\n") * 1_000] * 19
                + [b"0\r\n\r\n"],
            ),
            (
                "a trailer",
                [CHUNKED + b"1\r\na\r\n0\r\nX: " + b"y" * 9_000, b"\r\n\r\n"],
            ),
            ("some empty lines", [b"\r\n" * 10 + head(4) + b"body"]),
        ]
    )
    @run_async
    async def test_what_is_within_the_limits_is_served(self, _, parts):
        async with Server().running() as server:
            self.assertEqual(200, (await server.ask(*parts))[0])
            await wait_until(lambda: not server.guard.account.used)

    @run_async
    async def test_requests_on_one_connection_are_counted_one_by_one(self):
        async with Server().running() as server:
            reader, writer = await server.connect()
            extra = b"X: " + b"y" * 10_000 + b"\r\n"
            for _ in range(20):
                writer.write(head(20_000, extra) + bytes(20_000))
                await reader.readuntil(b"\r\n\r\n20000")
            # The same, all at once.
            writer.write((head(20, extra) + bytes(20)) * 20)
            for _ in range(20):
                await reader.readuntil(b"\r\n\r\n20")
            await wait_until(lambda: not server.guard.account.used)
            writer.close()

    @run_async
    async def test_too_many_requests_at_once_on_one_connection_end_it(self):
        async with Server().running() as server:
            server.may_answer.clear()
            reader, writer = await server.connect()
            writer.write(b"GET / HTTP/1.1\r\n\r\n" * 1_000)
            async with asyncio.timeout(ANSWER_LIMIT_S):
                with suppress(ConnectionError):
                    self.assertEqual(b"", await reader.read())
            writer.close()
            self.assertEqual(0, len(server.guard.account.holdings))


class MemoryTest(TestCase):
    @run_async
    async def test_a_large_body_waits_for_memory_and_is_then_served(self):
        async with Server().running() as server:
            server.may_answer.clear()
            parts = [head(BODY_LIMIT), bytes(BODY_LIMIT)]
            first = asyncio.create_task(server.ask(*parts))
            await wait_until(lambda: server.sizes == [BODY_LIMIT])
            second = asyncio.create_task(server.ask(*parts))
            await wait_until(lambda: bool(server.guard.account.waiting))
            server.may_answer.set()
            self.assertEqual(200, (await first)[0])
            self.assertEqual(200, (await second)[0])
            self.assertEqual(0, server.guard.account.used)

    @run_async
    async def test_a_body_that_finds_no_memory_is_refused_and_has_not_run(self):
        async with Server().running() as server:
            server.may_answer.clear()
            parts = [head(BODY_LIMIT), bytes(BODY_LIMIT)]
            first = asyncio.create_task(server.ask(*parts))
            await wait_until(lambda: server.sizes == [BODY_LIMIT])
            status, answer = await server.ask(*parts)
            self.assertEqual(503, status)
            self.assertIn(b"retry-after: ", answer)
            self.assertIn(b"connection: close", answer)
            self.assertEqual([BODY_LIMIT], server.sizes)
            # The request that runs is not touched, and small ones get in.
            small = asyncio.create_task(server.ask(head(30_000), bytes(30_000)))
            await wait_until(lambda: server.sizes == [BODY_LIMIT, 30_000])
            server.may_answer.set()
            self.assertEqual(200, (await first)[0])
            self.assertEqual(200, (await small)[0])
            self.assertEqual(1, server.guard.metrics.counts["clients_closed.waited"])

    @run_async
    async def test_many_short_fields_count(self):
        # 4,000 fields of 4 bytes are within the limit, and take a megabyte.
        fields = b"X:\r\n" * 3_000
        async with Server().running() as server:
            _, writer = await server.connect()
            writer.write(b"GET / HTTP/1.1\r\n" + fields)
            await wait_until(lambda: server.guard.account.used >= 256 * 2_900)
            writer.close()
            await wait_until(lambda: not server.guard.account.used)
            request = b"GET / HTTP/1.1\r\n" + fields + b"\r\n"
            self.assertEqual(200, (await server.ask(request))[0])
            await wait_until(lambda: not server.guard.account.used)

    @run_async
    async def test_a_body_that_stalls_makes_room(self):
        async with Server().running() as server:
            _, stalled = await server.connect()
            stalled.write(head(BODY_LIMIT) + bytes(1_000))
            await wait_until(lambda: server.guard.account.used > 0)
            status, _ = await server.ask(head(BODY_LIMIT), bytes(BODY_LIMIT))
            self.assertEqual(200, status)
            self.assertEqual([BODY_LIMIT], server.sizes)
            stalled.close()

    @run_async
    async def test_the_longest_idle_connection_makes_room(self):
        async with Server(connections=3).running() as server:
            idle = [await server.connect() for _ in range(3)]
            await wait_until(lambda: len(server.guard.account.holdings) == 3)
            self.assertEqual(200, (await server.ask(head(1), b"a"))[0])
            self.assertEqual(b"", await idle[0][0].read())
            for _, writer in idle:
                writer.close()

    @run_async
    async def test_a_client_that_does_not_read_is_cut_off(self):
        async with Server(slow_reader_s=1, held_mb=64).running() as server:
            server.answer = bytes(20_000_000)
            connection = socket.socket()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            connection.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(connection, (server.host, 20001))
            await loop.sock_sendall(connection, head(0))
            counts = server.guard.metrics.counts
            await wait_until(lambda: "clients_closed.slow_reader" in counts)
            # The connection ends in a later step of the event loop than the count.
            account = server.guard.account
            await wait_until(lambda: not account.used, limit_s=0.2)
            self.assertEqual(0, len(account.holdings))
            connection.close()


class SlowUpstreamTest(TestCase):
    @parameterized.expand(
        [(RequestKind.NON_IDEMPOTENT, 1), (RequestKind.IDEMPOTENT, 2)]
    )
    @run_async
    async def test_an_upstream_that_does_not_read_is_left(self, kind, least_sends):
        # Once it was sent, a request that must not be repeated is not sent again.
        connections = []

        async def serve(reader, writer):
            writer.transport.pause_reading()
            connections.append(writer)

        async with running_relay_simulation(1) as simulation:
            session = simulation.node.frontend.context.port.session
            make_handler = session.connector._factory

            def make_impatient():
                handler = make_handler()
                handler.slow_reader_s = 0.6
                return handler

            session.connector._factory = make_impatient
            async with running_slow_server(serve) as address:
                selector = simulation.node.shared.selector
                upstream = dataclasses.replace(
                    selector.upstreams["u0"], address=address
                )
                selector.upstreams["u0"] = upstream
                status, text = await post_large(simulation, kind)
        for writer in connections:
            writer.transport.abort()
        self.assertIn(status, (502, 504), text)
        if least_sends == 1:
            self.assertEqual(1, len(connections))
        else:
            self.assertGreaterEqual(len(connections), least_sends, text)


@asynccontextmanager
async def running_slow_server(serve):
    """Run a server whose sockets take little: by default they may take 4 MB."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(serve, sock=listener)
        try:
            yield f"127.0.0.1:{listener.getsockname()[1]}"
        finally:
            server.close()


async def post_large(simulation, kind):
    """Send a body larger than the buffers of sockets; return status and answer."""
    url = f"http://{simulation.settings.caller_address}{PATHS[kind]}x"
    headers = simulation.headers | {
        "X-Request-Id": "large",
        "X-Deadline-Milliseconds": "4000",
    }
    body = bytes(4_194_304)
    async with simulation.session.post(url, headers=headers, data=body) as response:
        return response.status, await response.text()
