"""Test that a refusal of another request does not count as "not run" of this one."""

from __future__ import annotations

import asyncio
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
    AnswerArrived,
    AttemptCause,
    AttemptFailed,
    StartRelay,
)
from turmericusher.decisions.routing import RequestKind
from turmericusher.errors import Verdict
from turmericusher.platform.upstreams import open_platform_upstreams


def refusal(status, request_id, *headers):
    """Return an upstream's refusal of a request."""
    lines = [f"HTTP/1.1 {status} No", f"X-Request-Id: {request_id}", *headers]
    return ("\r\n".join([*lines, "Content-Length: 0"]) + "\r\n\r\n").encode()


ANSWER = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok"


class RepeatingUpstream:
    """Refuses the first request, and writes that refusal again where it is not due.

    It keeps its connections open. `again` is what it answers the second request with
    first, and `connections` counts them.
    """

    def __init__(self, first, again=b""):
        self.first, self.again = first, again
        self.requests = self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        while True:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            if self.requests > 1:
                writer.write(self.again + ANSWER)
                continue
            writer.write(self.first)
            await asyncio.sleep(0.05)
            writer.write(self.first)


@asynccontextmanager
async def running_port(upstream, signals):
    """Yield a function that sends a request to an upstream and returns its end."""
    listeners = [lambda *each: signals.append(each)] * 4
    async with (
        running_raw_server(upstream.serve) as address,
        open_platform_upstreams(*listeners) as port,
    ):
        known = replace(make_upstream(0), address=address)

        async def send(request_id, body=b""):
            relay = make_test_relay(RequestKind.NON_IDEMPOTENT, make_relay_shared())
            request = replace(relay.request, request_id=request_id, body=body)
            events = []

            async def sink(event):
                events.append(event)

            start = StartRelay(1, known, asyncio.get_running_loop().time() + 5.0)
            await port.send(start, request, relay.routed, sink)
            return events[-1]

        yield send


class EarlierRefusalTest(TestCase):
    # Clients were told "not run" for requests that an upstream was running (issue 48).
    @parameterized.expand(
        [
            ("one that is full", refusal(503, "q1", "X-Not-Executed: 1")),
            ("one of a limit", refusal(429, "q1", "X-Not-Executed: 1")),
            ("one of another upstream", refusal(421, "q1")),
        ]
    )
    @run_async
    async def test_a_refusal_of_another_request_says_nothing_of_this_one(
        self, _, first
    ):
        upstream = RepeatingUpstream(first, again=first)
        async with running_port(upstream, []) as send:
            refused = await send("q1")
            self.assertEqual(Verdict.NOT_RUN, refused.verdict)
            failed = await send("q2")
        self.assertIsInstance(failed, AttemptFailed)
        self.assertEqual(AttemptCause.MALFORMED, failed.cause)
        self.assertEqual(Verdict.MAY_HAVE_RUN, failed.verdict)

    @run_async
    async def test_what_it_asks_for_is_not_done(self):
        signs = ("X-Not-Executed: 1", "Retry-After: 3", "Server-Leaving: 1")
        again = refusal(503, "q1", *signs)
        signals = []
        upstream = RepeatingUpstream(refusal(503, "q1", "X-Not-Executed: 1"), again)
        async with running_port(upstream, signals) as send:
            await send("q1")
            signals.clear()
            await send("q2")
        self.assertEqual([], signals)

    @run_async
    async def test_a_refusal_that_comes_late_never_meets_the_next_request(self):
        # The same request may come again, so that its id does not tell them apart.
        upstream = RepeatingUpstream(refusal(503, "q1", "X-Not-Executed: 1"))
        async with running_port(upstream, []) as send:
            await send("q1")
            await asyncio.sleep(0.1)
            answered = await send("q1")
        self.assertIsInstance(answered, AnswerArrived)
        self.assertEqual(2, upstream.connections)
