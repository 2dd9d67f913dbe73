"""A request that offers another protocol is read whole, and as one request."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import asynccontextmanager

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_fixtures import unused_loopback_host
from turmericusher.asgi import body_parts, read_body
from turmericusher.decisions.held_memory.account import MemoryAccount
from turmericusher.decisions.held_memory.limits import make_held_limits
from turmericusher.decisions.routing import RequestLimits
from turmericusher.memory_guard import MemoryGuard
from turmericusher.web_server import running_server

BODY = b"POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
"""A body that reads like a request."""

OFFERS = {
    "HTTP/2": (
        b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
        b"HTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA\r\n"
    ),
    "a websocket": (
        b"connection: keep-alive, upgrade\r\nupgrade: websocket\r\n"
        b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
    ),
    "something else": b"Upgrade: x/1\r\nConnection: upgrade\r\n",
}
FRAMINGS = {
    "a length": (b"Content-Length: %d\r\n" % len(BODY), BODY),
    "chunks": (
        b"Transfer-Encoding: chunked\r\n",
        b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY),
    ),
    "no body": (b"Content-Length: 0\r\n", b""),
}
DELIVERIES = ("at once", "head and body apart", "byte by byte")
CASES = list(itertools.product(OFFERS, FRAMINGS, DELIVERIES))


def divide(head, body, delivery):
    """Return a request in the parts in which it is sent."""
    if delivery == "at once":
        return [head + body]
    if delivery == "byte by byte":
        return [bytes([each]) for each in head + body]
    return [head, body]


@asynccontextmanager
async def recording():
    """Serve requests; yield the address, and what was read of each."""
    requests = []

    async def app(scope, receive, send):
        body = await read_body(body_parts(receive), 10_000)
        requests.append((scope["method"], scope["path"], body, scope["headers"]))
        length = [(b"content-length", b"2")]
        await send({"type": "http.response.start", "status": 200, "headers": length})
        await send({"type": "http.response.body", "body": b"ok"})

    guard = MemoryGuard(MemoryAccount(make_held_limits(128, 1_638)))
    guard.request_limits = lambda: RequestLimits(10_000, 16_384)
    host = unused_loopback_host()
    async with running_server(app, f"{host}:20001", 0, guard=guard):
        yield (host, 20001), requests, guard


class UpgradeOfferTest(TestCase):
    @parameterized.expand(CASES)
    @run_async
    async def test_unasked_a_request_with_an_offer_runs_once_with_its_body(
        self, offer, framing, delivery
    ):
        framing_line, body = FRAMINGS[framing]
        head = b"POST /a?b=c HTTP/1.1\r\nHost: h\r\n" + OFFERS[offer] + framing_line
        async with recording() as (address, requests, guard):
            reader, writer = await asyncio.open_connection(*address)
            for number in range(2):
                for part in divide(head + b"\r\n", body, delivery):
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(0.0 if delivery == "byte by byte" else 0.02)
                async with asyncio.timeout(5):
                    answer = await reader.readuntil(b"\r\n\r\nok")
                self.assertEqual(b"HTTP/1.1 200 OK", answer[:15], number)
            writer.write_eof()
            async with asyncio.timeout(5):
                self.assertEqual(b"", await reader.read())
            writer.close()
        expected = b"" if framing == "no body" else BODY
        seen = [(method, path, read) for method, path, read, _ in requests]
        self.assertEqual([("POST", "/a", expected)] * 2, seen)
        self.assertEqual(0, guard.account.used)

    @run_async
    async def test_requests_behind_one_with_an_offer_are_served(self):
        plain = b"GET /plain HTTP/1.1\r\nHost: h\r\n\r\n"
        head = b"POST /a HTTP/1.1\r\nHost: h\r\n" + OFFERS["HTTP/2"]
        offering = head + b"Content-Length: 4\r\n\r\nbody"
        async with recording() as (address, requests, _):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(plain + offering + plain + offering + plain)
            async with asyncio.timeout(5):
                for _ in range(5):
                    answer = await reader.readuntil(b"\r\n\r\nok")
                    self.assertEqual(b"HTTP/1.1 200 OK", answer[:15])
            writer.write_eof()
            async with asyncio.timeout(5):
                self.assertEqual(b"", await reader.read())
            writer.close()
        self.assertEqual(
            [b"", b"body", b"", b"body", b""], [body for _, _, body, _ in requests]
        )

    @run_async
    async def test_other_fields_of_the_head_are_kept(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\nExpect:\r\n"
        async with recording() as (address, requests, _):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(head + OFFERS["HTTP/2"] + b"Content-Length: 1\r\n\r\nx")
            async with asyncio.timeout(5):
                await reader.readuntil(b"\r\n\r\nok")
            writer.close()
        fields = dict(requests[0][3])
        self.assertEqual(b"q", fields[b"x-request-id"])
        self.assertNotIn(b"upgrade", fields)

    @run_async
    async def test_a_head_that_is_too_large_is_refused_with_an_offer_too(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\n" + OFFERS["HTTP/2"]
        async with recording() as (address, requests, _):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(head + b"X: " + b"y" * 16_384 + b"\r\n\r\n")
            async with asyncio.timeout(5):
                answer = await reader.readuntil(b"\r\n")
            writer.close()
        self.assertIn(b" 431 ", answer)
        self.assertEqual([], requests)
