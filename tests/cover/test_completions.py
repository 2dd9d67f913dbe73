"""Streamed answers: the response head, heartbeats while waiting, and errors."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from unittest import mock

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from turmericusher.api import completions
from turmericusher.api.chunks import AnswerFormat
from turmericusher.decisions.requests import AnswerChunk, GenerationRequest, Usage
from turmericusher.errors import ErrorCode, RequestRefusedError
from turmericusher.profiles import Profile

SHAPE = AnswerFormat(False, "cmpl-1", "model", 0, has_usage=True)
REQUEST = GenerationRequest("1", "team", Profile("default"), "drafts", "model", "f")


class SlowRuntime:
    """A runtime whose generation starts or fails with `error` once `opened` is set."""

    def __init__(self, error: RequestRefusedError | None = None) -> None:
        self.opened = asyncio.Event()
        self.error = error
        self.is_closed = False

    @asynccontextmanager
    async def generate(
        self, _request: GenerationRequest
    ) -> AsyncIterator[AsyncIterator[AnswerChunk]]:
        try:
            await self.opened.wait()
            if self.error is not None:
                raise self.error
            yield self.chunks()
        finally:
            self.is_closed = True

    async def chunks(self) -> AsyncIterator[AnswerChunk]:
        yield AnswerChunk((1,), "a")
        yield AnswerChunk((2,), "b", finish_reason="stop", usage=Usage(1, 2))


class Connection:
    """An ASGI connection that records what is sent, and whose caller may disconnect."""

    def __init__(self) -> None:
        self.sent: list[dict[str, Any]] = []
        self.disconnected = asyncio.Event()

    async def receive(self) -> dict[str, Any]:
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: Any) -> None:
        self.sent.append(message)

    def body(self) -> bytes:
        return b"".join(message.get("body", b"") for message in self.sent)

    async def wait_until_sent(self, data: bytes) -> None:
        """Wait until the body contains `data`, for 10 s at most."""
        async with asyncio.timeout(10):
            while data not in self.body():
                await asyncio.sleep(0.005)


class StreamedAnswerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        patcher = mock.patch.object(completions, "HEARTBEAT_INTERVAL_S", 0.01)
        patcher.start()
        self.addCleanup(patcher.stop)

    def start(self, runtime: SlowRuntime) -> tuple[Connection, asyncio.Task[None]]:
        connection = Connection()
        answer = completions.StreamedAnswer(runtime, REQUEST, SHAPE)  # type: ignore[arg-type]
        running = answer({"type": "http"}, connection.receive, connection.send)
        return connection, asyncio.ensure_future(running)

    @run_async
    async def test_heartbeats_are_sent_while_the_generation_waits(self) -> None:
        runtime = SlowRuntime()
        connection, running = self.start(runtime)
        await connection.wait_until_sent(b": heartbeat\n\n: heartbeat\n\n")
        runtime.opened.set()
        await running
        body = connection.body()
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))
        self.assertEqual(2, body.count(b'"text"'))
        self.assertIn(b'"completion_tokens":2', body)
        starts = [m for m in connection.sent if m["type"] == "http.response.start"]
        self.assertEqual(1, len(starts))

    @parameterized.expand([("before_the_head", False), ("after_a_heartbeat", True)])
    @run_async
    async def test_a_refusal_is_sent_with_its_verdict(
        self, _name: str, after_heartbeat: bool
    ) -> None:
        error = RequestRefusedError(ErrorCode.OVERLOADED, "busy", retry_after_s=2)
        runtime = SlowRuntime(error)
        if not after_heartbeat:
            runtime.opened.set()
        connection, running = self.start(runtime)
        if after_heartbeat:
            await connection.wait_until_sent(b"heartbeat")
            runtime.opened.set()
        await running
        self.assertEqual(200 if after_heartbeat else 429, connection.sent[0]["status"])
        self.assertIn(b'"verdict":"not_run"', connection.body())

    @run_async
    async def test_a_caller_that_goes_away_ends_the_generation(self) -> None:
        runtime = SlowRuntime()
        connection, running = self.start(runtime)
        await connection.wait_until_sent(b"heartbeat")
        connection.disconnected.set()
        await running
        self.assertTrue(runtime.is_closed)
