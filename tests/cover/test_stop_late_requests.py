"""A planned stop leaves no request without an answer, however late it came."""

from __future__ import annotations

import asyncio
import time
from unittest.mock import patch

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import IDEMPOTENT, NON_IDEMPOTENT
from tests.common.relay_fixtures import PATHS, running_relay_simulation, runs
from tests.common.waiting import wait_until
from turmericusher.relay_serving import drain
from turmericusher.standins.platform_upstream import UpstreamStandin

ANSWER_S = 1.5
LONG_ANSWER_S = 3.5
WRITTEN_S = 0.1
"""Seconds in which what was written before is read here."""

KINDS = [("idempotent", IDEMPOTENT), ("not so", NON_IDEMPOTENT)]


class KeptConnection:
    """One connection of a caller, which it keeps until it is told to close."""

    def __init__(self, simulation, kind):
        self.simulation, self.kind = simulation, kind
        self.reader = self.writer = None

    async def open(self):
        host, _, port = self.simulation.settings.caller_address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    async def call(self, request_id, body=b"body"):
        """Send a request; return the status, or None without an answer."""
        lines = [
            f"POST {PATHS[self.kind]}x HTTP/1.1",
            f"X-Request-Id: {request_id}",
            "X-Deadline-Milliseconds: 20000",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in self.simulation.headers.items()),
        ]
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
            _, _, rest = head.partition("content-length: ")
            await self.reader.readexactly(int(rest.partition("\r\n")[0]))
        except (asyncio.IncompleteReadError, OSError):
            return None
        return int(head.split()[1])


def answering_after(seconds):
    """Return a context in which upstreams need some seconds for an answer."""
    send_full_answer = UpstreamStandin.send_full_answer

    async def answer_slowly(upstream, *arguments):
        await asyncio.sleep(seconds)
        await send_full_answer(upstream, *arguments)

    return patch.object(UpstreamStandin, "send_full_answer", answer_slowly)


class LateRequestTest(TestCase):
    @parameterized.expand(KINDS)
    @run_async
    async def test_lost_a_request_that_comes_late_in_a_stop_is_not_taken(self, _, kind):
        async with running_relay_simulation(3) as simulation:
            kept, pressing = (KeptConnection(simulation, kind) for _ in range(2))
            await kept.open()
            await pressing.open()
            stop = simulation.node.frontend.stop
            with answering_after(ANSWER_S):
                draining = asyncio.create_task(drain(simulation.node))
                await wait_until(stop.has_begun)
                last = asyncio.create_task(pressing.call("last"))
                await asyncio.sleep(stop.accepts_until() - time.monotonic() + 0.1)
                self.assertIsNone(await kept.call("late"))
                with self.assertRaises(ConnectionRefusedError):
                    await kept.open()
                self.assertEqual(200, await last)
                await draining
            ran = {each for upstream in simulation.upstreams for each in upstream.runs}
            self.assertEqual({"last"}, ran)

    @parameterized.expand(KINDS)
    @run_async
    async def test_lost_a_request_in_flight_at_the_end_of_a_stop_gets_an_answer(
        self, _, kind
    ):
        async with running_relay_simulation(3) as simulation:
            connection = KeptConnection(simulation, kind)
            await connection.open()
            with answering_after(LONG_ANSWER_S):
                call = asyncio.create_task(connection.call("long"))
                await wait_until(lambda: runs(simulation) == 1)
                # The process ends when this returns.
                await drain(simulation.node)
                async with asyncio.timeout(WRITTEN_S):
                    self.assertEqual(502, await call)
