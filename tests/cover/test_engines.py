"""The engine adapter against the engine stand-in: whole streams and each death."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web
from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from turmericusher.decisions.fleet import UpstreamInstance, UpstreamKind
from turmericusher.decisions.run_ends import RunEnd
from turmericusher.errors import Verdict
from turmericusher.ports.engines import open_engine_port
from turmericusher.ports.upstream import (
    DeathCause,
    EngineChunk,
    EngineRequest,
    StreamDiedError,
)
from turmericusher.standins.engine import EngineOptions, EngineStandin, running_engine
from turmericusher.standins.token_model import (
    decode_tokens,
    encode_prompt,
    expected_token_ids,
)
from turmericusher.standins.working_engine import WorkingEngine, running_working_engine

FAST = EngineOptions(first_token_s=0.0, token_gap_s=0.0)


def engine_at(address: str) -> UpstreamInstance:
    return UpstreamInstance("e", "drafts", UpstreamKind.ENGINE, address, "a")


async def read_stream(address: str, request: EngineRequest) -> list[EngineChunk]:
    """Run a request at an engine, and return all its chunks."""
    async with (
        open_engine_port() as port,
        port.open_stream(engine_at(address), request) as chunks,
    ):
        return [chunk async for chunk in chunks]


@asynccontextmanager
async def running_fixed_response(body: bytes, status: int = 200) -> AsyncIterator[str]:
    """Serve one fixed response to every request, and yield the address."""

    async def handle(_request: web.Request) -> web.Response:
        return web.Response(body=body, status=status, headers={"Retry-After": "7"})

    app = web.Application()
    app.router.add_post("/v1/completions", handle)
    app.router.add_post("/abort_requests", handle)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    try:
        yield f"127.0.0.1:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()


class EngineAdapterTest(TestCase):
    @parameterized.expand(
        [
            ("text", EngineRequest("model", prompt="hello", max_tokens=40)),
            (
                "token_ids",
                EngineRequest(
                    "model", prompt_token_ids=encode_prompt("hello"), max_tokens=40
                ),
            ),
        ]
    )
    @run_async
    async def test_a_stream_carries_the_whole_answer(
        self, _name: str, request: EngineRequest
    ) -> None:
        async with running_engine(EngineStandin(FAST)) as address:
            chunks = await read_stream(address, request)
        expected = expected_token_ids(encode_prompt("hello"), 0, 40)
        tokens = tuple(t for chunk in chunks for t in chunk.token_ids)
        self.assertEqual(expected, tokens)
        self.assertEqual("length", chunks[-1].finish_reason)
        self.assertEqual(encode_prompt("hello"), chunks[0].prompt_token_ids)
        # The last token may hold part of a character, whose text is never sent.
        text = "".join(chunk.text for chunk in chunks)
        self.assertTrue(decode_tokens(expected).startswith(text))

    @run_async
    async def test_a_continuation_equals_the_unbroken_answer(self) -> None:
        prompt = encode_prompt("hello")
        whole = expected_token_ids(prompt, 0, 40)
        request = EngineRequest(
            "model", prompt_token_ids=prompt + whole[:17], max_tokens=23
        )
        async with running_engine(EngineStandin(FAST)) as address:
            chunks = await read_stream(address, request)
        tokens = tuple(t for chunk in chunks for t in chunk.token_ids)
        self.assertEqual(whole[17:], tokens)

    @run_async
    async def test_a_refused_connection_is_reported_as_not_run(self) -> None:
        async with running_engine(EngineStandin(FAST)) as address:
            pass
        with self.assertRaisesRegex(StreamDiedError, "refused") as caught:
            await read_stream(address, EngineRequest("model", prompt="x"))
        self.assertEqual(Verdict.NOT_RUN, caught.exception.verdict)

    @run_async
    async def test_a_death_mid_stream_is_reported_as_may_have_run(self) -> None:
        standin = EngineStandin(EngineOptions(first_token_s=0.0, token_gap_s=0.01))
        async with running_engine(standin) as address, open_engine_port() as port:
            request = EngineRequest("model", prompt="x", max_tokens=1000)
            with self.assertRaises(StreamDiedError) as caught:
                async with port.open_stream(engine_at(address), request) as chunks:
                    async for _ in chunks:
                        standin.die()
        self.assertEqual(Verdict.MAY_HAVE_RUN, caught.exception.verdict)
        self.assertIn(caught.exception.cause, (DeathCause.RESET, DeathCause.EARLY_END))

    @run_async
    async def test_leaving_the_context_cancels_the_request(self) -> None:
        standin = EngineStandin(EngineOptions(first_token_s=0.0, token_gap_s=0.01))
        async with running_engine(standin) as address, open_engine_port() as port:
            request = EngineRequest("model", prompt="x", max_tokens=100_000)
            async with port.open_stream(engine_at(address), request) as chunks:
                await anext(chunks)
            async with asyncio.timeout(10):
                while not standin.counts.cancelled:
                    await asyncio.sleep(0.01)
        self.assertEqual(0, standin.running)

    @parameterized.expand(
        [
            ("busy", b"busy", 503, DeathCause.REJECTED, Verdict.NOT_RUN),
            ("bad_request", b"no", 400, DeathCause.REJECTED, Verdict.NOT_RUN),
            ("server_error", b"oops", 500, DeathCause.REJECTED, Verdict.MAY_HAVE_RUN),
            ("empty", b"", 200, DeathCause.EARLY_END, Verdict.MAY_HAVE_RUN),
            ("no_end", b"data: [DONE]", 200, DeathCause.EARLY_END, None),
            ("not_json", b"data: {\n\n", 200, DeathCause.MALFORMED, None),
            ("not_chunk", b"data: 3\n\n", 200, DeathCause.MALFORMED, None),
            ("error", b'data: {"error": 1}\n\n', 200, DeathCause.MALFORMED, None),
            (
                "bad_token",
                b'data: {"choices": [{"text": "a", "token_ids": ["b"]}]}\n\n',
                200,
                DeathCause.MALFORMED,
                None,
            ),
        ]
    )
    @run_async
    async def test_a_bad_response_ends_the_stream_as_died(
        self,
        _name: str,
        body: bytes,
        status: int,
        cause: DeathCause,
        verdict: Verdict | None,
    ) -> None:
        async with running_fixed_response(body, status) as address:
            with self.assertRaises(StreamDiedError) as caught:
                await read_stream(address, EngineRequest("model", prompt="x"))
        self.assertEqual(cause, caught.exception.cause)
        if verdict is not None:
            self.assertEqual(verdict, caught.exception.verdict)
        if status != 200:
            self.assertEqual(7.0, caught.exception.retry_after_s)

    @parameterized.expand(
        [
            ("stopped", 200, RunEnd.STOPPED),
            ("not_offered", 404, RunEnd.NO_STOP),
            ("not_allowed", 405, RunEnd.NO_STOP),
            ("overloaded", 503, RunEnd.UNKNOWN),
        ]
    )
    @run_async
    async def test_an_answer_to_a_stop_says_what_became_of_the_runs(
        self, _name: str, status: int, end: RunEnd
    ) -> None:
        async with (
            running_fixed_response(b"", status) as address,
            open_engine_port() as port,
        ):
            self.assertEqual(end, await port.stop_runs(engine_at(address), ("r-1",)))

    @run_async
    async def test_only_a_refused_connection_shows_that_an_engine_has_ended(
        self,
    ) -> None:
        engine = WorkingEngine(FAST)
        async with open_engine_port() as port:
            async with running_working_engine(engine) as address:
                engine.is_unpaused.clear()
                silent = await port.stop_runs(engine_at(address), ("r-1",))
                engine.is_unpaused.set()
            gone = await port.stop_runs(engine_at(address), ("r-1",))
        self.assertEqual(
            (RunEnd.UNKNOWN, RunEnd.UPSTREAM_ENDED),
            (silent, gone),
        )
