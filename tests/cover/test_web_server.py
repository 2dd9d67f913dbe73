"""Test that the web server sends answers without waiting for acknowledgements."""

import asyncio
import socket

from testtools import TestCase

from tests.common.asynchronous import run_async
from turmericusher.web_server import open_listener


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
