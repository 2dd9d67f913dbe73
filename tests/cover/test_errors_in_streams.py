"""The error of a further upstream is no part of a stream that has begun."""

from __future__ import annotations

from contextlib import contextmanager
from unittest.mock import patch

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import RESUMABLE
from tests.common.relay_fixtures import running_relay_simulation
from turmericusher.platform.names import LAST_EVENT_ID
from turmericusher.standins.platform_upstream import UpstreamStandin, event, reset

EVENTS = 12
BROKEN_AFTER = 4
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENTS + 1))
TEXT = b"error: no such model\n\n"
ANSWERS = {
    "400": b"HTTP/1.1 400 Bad Request\r\n",
    "404": b"HTTP/1.1 404 Not Found\r\n",
    "409": b"HTTP/1.1 409 Conflict\r\n",
    "302": b"HTTP/1.1 302 Found\r\nLocation: /\r\n",
    "429 without the mark": b"HTTP/1.1 429 Too Many Requests\r\n",
    "500": b"HTTP/1.1 500 Internal Server Error\r\n",
    "503 without the mark": b"HTTP/1.1 503 Service Unavailable\r\n",
    "a success that is no stream": b"HTTP/1.1 200 OK\r\n",
    "a status that is none": b"HTTP/1.1 000 Oops\r\n",
}
CASES = [
    (f"{name}, {count} times", head, count)
    for name, head in ANSWERS.items()
    for count in (1, 2)
]


class ErrorInStreamTest(TestCase):
    @parameterized.expand(CASES)
    @run_async
    async def test_order_a_stream_goes_on_after_another_upstream_answered_with(
        self, _, head, count
    ):
        async with running_relay_simulation(4) as simulation:
            with failing_resumes(head, count) as resumes:
                answer = await self.stream(simulation)
        self.assertEqual(count + 1, len(resumes))
        self.assertEqual(WHOLE_STREAM, answer.body)
        self.assertTrue(answer.is_whole)

    @parameterized.expand(CASES)
    @run_async
    async def test_order_a_stream_breaks_off_if_all_others_answer_with(
        self, _, head, count
    ):
        async with running_relay_simulation(1 + count) as simulation:
            with failing_resumes(head, 1_000):
                answer = await self.stream(simulation)
        self.assertEqual(WHOLE_STREAM[: len(answer.body)], answer.body)
        self.assertFalse(answer.is_whole)

    async def stream(self, simulation):
        """Return the answer to a stream whose first upstream breaks it off."""
        for each in simulation.upstreams:
            each.events = EVENTS
        return await simulation.call(RESUMABLE)


@contextmanager
def failing_resumes(head, count):
    """Let streams break off and some resumes get an error; yield the resumes."""
    resumes = []
    stream = UpstreamStandin.stream

    async def answer(upstream, call, reader, writer):
        if LAST_EVENT_ID.lower() not in call.headers:
            first = b"".join(event(number) for number in range(1, BROKEN_AFTER + 1))
            writer.write(upstream.encode_head(200, {"X-Response-Seal": "s"}) + first)
            await writer.drain()
            reset(writer)
            return
        resumes.append(upstream.name)
        if len(resumes) > count:
            await stream(upstream, call, reader, writer)
            return
        fields = f"X-Response-Seal: s\r\nContent-Length: {len(TEXT)}\r\n\r\n".encode()
        writer.write(head + fields + TEXT)

    with patch.object(UpstreamStandin, "stream", answer):
        yield resumes
