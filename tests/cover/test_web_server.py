"""Test that the web server answers without delay, and costs nothing while idle."""

import asyncio
import socket

from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_fixtures import unused_loopback_host
from turmericusher.asgi import Page, pages_app
from turmericusher.listeners import open_listener
from turmericusher.web_server import running_server

IDLE_S = 1.0


class NoDelayTest(TestCase):
    @run_async
    async def test_connections_have_nagles_algorithm_disabled(self):
        # With Nagle's algorithm, the body of an answer waited 40 ms after its headers.
        listener = open_listener("127.0.0.1:0")
        accepted = asyncio.get_running_loop().create_future()

        class Protocol(asyncio.Protocol):
            def connection_made(self, transport):
                sock = transport.get_extra_info("socket")
                option = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                accepted.set_result(option)

        loop = asyncio.get_running_loop()
        server = await loop.create_server(Protocol, sock=listener)
        async with server:
            port = listener.getsockname()[1]
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            self.assertNotEqual(0, await accepted)
            writer.close()


class IdleTest(TestCase):
    @run_async
    async def test_an_idle_server_does_not_wake_the_process(self):
        # An instance has four servers, and a fleet hundreds of instances.
        loop = asyncio.get_running_loop()
        timers = []
        call_at = loop.call_at

        def record(when, *arguments, **options):
            timers.append(when)
            return call_at(when, *arguments, **options)

        address = f"{unused_loopback_host()}:20001"
        async with running_server(pages_app({"/": Page}), address, 0) as server:
            loop.call_at = record
            self.addCleanup(setattr, loop, "call_at", call_at)
            await asyncio.sleep(IDLE_S)
            self.assertEqual(1, len(timers), "more than the timer of this test")
            started_at = loop.time()
        self.assertLess(loop.time() - started_at, IDLE_S)
        self.assertTrue(server.should_exit)
