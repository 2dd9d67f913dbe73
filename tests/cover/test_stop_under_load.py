"""Test that a planned stop under load cuts off no request that was accepted."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import IDEMPOTENT, NON_IDEMPOTENT
from tests.common.relay_fixtures import PATHS, running_relay_simulation
from turmericusher.api.relay import RelayFrontend
from turmericusher.relay_serving import drain
from turmericusher.standins.platform_upstream import UpstreamStandin

CALLERS = 24
ANSWER_S = 0.4
PARTS = 3
"""A request is sent in so many parts, so that a stop meets it at any point."""


class Callers:
    """Callers that send requests without a pause, each over one connection at a time.

    `answered` has the ids of the requests that were answered whole, by an upstream.
    """

    def __init__(self, simulation, kind):
        self.simulation, self.kind = simulation, kind
        self.address = simulation.settings.caller_address.split(":")
        self.answered = set()

    def request(self, request_id):
        """Return the bytes of a request."""
        lines = [
            f"POST {PATHS[self.kind]}x HTTP/1.1",
            f"X-Request-Id: {request_id}",
            "X-Deadline-Milliseconds: 3000",
            "Content-Length: 4",
            *(f"{name}: {value}" for name, value in self.simulation.headers.items()),
        ]
        return "\r\n".join([*lines, "", "body"]).encode()

    async def run(self, caller):
        """Send requests until connections are refused."""
        number = 0
        try:
            while True:
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    while True:
                        number += 1
                        if not await self.call(reader, writer, f"{caller}-{number}"):
                            break
                except (ConnectionError, asyncio.IncompleteReadError):
                    # Cut off; what matters is whether the instance had read it.
                    pass
                finally:
                    writer.close()
        except OSError:
            return

    async def call(self, reader, writer, request_id):
        """Send one request in parts; return whether the connection may be used on."""
        data = self.request(request_id)
        size = len(data) // PARTS + 1
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await writer.drain()
            await asyncio.sleep(0)
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        _, _, rest = head.partition("content-length: ")
        await reader.readexactly(int(rest.partition("\r\n")[0]))
        if head.startswith("http/1.1 200 "):
            self.answered.add(request_id)
        return "connection: close" not in head


class StopUnderLoadTest(TestCase):
    @parameterized.expand([("idempotent", IDEMPOTENT), ("not so", NON_IDEMPOTENT)])
    @run_async
    async def test_each_request_that_was_read_is_answered(self, _, kind):
        read = set()
        serve = RelayFrontend.__call__
        send_full_answer = UpstreamStandin.send_full_answer

        async def record(frontend, scope, receive, send):
            if scope["type"] == "http":
                headers = dict(scope["headers"])
                read.add(headers[b"x-request-id"].decode())
            await serve(frontend, scope, receive, send)

        async def answer_slowly(upstream, *arguments):
            await asyncio.sleep(ANSWER_S)
            await send_full_answer(upstream, *arguments)

        async with running_relay_simulation(3) as simulation:
            with (
                patch.object(RelayFrontend, "__call__", record),
                patch.object(UpstreamStandin, "send_full_answer", answer_slowly),
            ):
                callers = Callers(simulation, kind)
                tasks = [asyncio.create_task(callers.run(n)) for n in range(CALLERS)]
                await asyncio.sleep(0.3)
                # The process ends when this returns.
                await drain(simulation.node)
        async with asyncio.timeout(5):
            await asyncio.gather(*tasks)
        self.assertGreaterEqual(len(read), CALLERS)
        self.assertEqual(set(), read - callers.answered)
