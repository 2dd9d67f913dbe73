"""Generations that are not idempotent run once, and repeats get the stored answer."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.call_fixtures import PROFILES, make_claims, new_key
from turmericusher.decisions.requests import AnswerChunk, GenerationRequest, Usage
from turmericusher.errors import ErrorCode, TurmericusherError, Verdict
from turmericusher.standins.store import MemoryStore
from turmericusher.tasks.claimed_generation import Chunks, open_claimed_generation
from turmericusher.tasks.claims import wait_for_commits

CHUNKS = (
    AnswerChunk((1, 2), "one ", prompt_token_ids=(9, 9), version="v1"),
    AnswerChunk((3,), 'two "', finish_reason="stop", usage=Usage(2, 3)),
)
WHOLE_ANSWER = AnswerChunk((1, 2, 3), 'one two "', "stop", (9, 9), "v1", Usage(2, 3))


@dataclass(slots=True)
class FakeEngine:
    """Counts the generations that ran.

    `failure` is raised once, after `chunks_before_failure` chunks.
    """

    runs: int = 0
    failure: TurmericusherError | None = None
    chunks_before_failure: int = 0

    @asynccontextmanager
    async def open(self) -> AsyncIterator[Chunks]:
        yield self.generate()

    async def generate(self) -> Chunks:
        failure, self.failure = self.failure, None
        if failure is None or failure.verdict is not Verdict.NOT_RUN:
            self.runs += 1
        if failure is not None:
            for chunk in CHUNKS[: self.chunks_before_failure]:
                yield chunk
            raise failure
        for chunk in CHUNKS:
            yield chunk


def request_with(key: str) -> GenerationRequest:
    return GenerationRequest(
        request_id="r",
        team="criee",
        profile=PROFILES["bookings"],
        service="drafts",
        model="m",
        fingerprint="f",
        prompt="p",
        idempotency_key=key,
        body_hash="b",
    )


class ClaimedGenerationTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = MemoryStore()
        self.engine = FakeEngine()
        self.key = new_key()

    async def generate(self) -> list[AnswerChunk]:
        """Generate at a new entry instance, and return the chunks."""
        claims = make_claims(self.store, seed=self.store.counts.reads + 7)
        request = request_with(self.key)
        try:
            async with open_claimed_generation(
                claims, request, self.engine.open
            ) as chunks:
                return [chunk async for chunk in chunks]
        finally:
            await wait_for_commits(claims.background_commits)

    async def fail(self) -> TurmericusherError:
        """Generate, which must fail, and return the error."""
        try:
            await self.generate()
        except TurmericusherError as error:
            return error
        raise AssertionError("the generation did not fail")

    @run_async
    async def test_a_repeat_gets_the_whole_answer_without_a_run(self) -> None:
        self.assertEqual(list(CHUNKS), await self.generate())
        self.assertEqual([WHOLE_ANSWER], await self.generate())
        self.assertEqual(1, self.engine.runs)

    @parameterized.expand([("before_any_chunk", 0), ("after_a_chunk", 1)])
    @run_async
    async def test_a_generation_that_may_have_run_is_not_sent_again(
        self, _name: str, chunk_count: int
    ) -> None:
        self.engine.failure = error_with(Verdict.MAY_HAVE_RUN)
        self.engine.chunks_before_failure = chunk_count
        self.assertEqual(Verdict.MAY_HAVE_RUN, (await self.fail()).verdict)
        self.assertEqual(Verdict.MAY_HAVE_RUN, (await self.fail()).verdict)
        self.assertEqual(1, self.engine.runs)

    @run_async
    async def test_a_generation_that_did_not_run_may_be_repeated(self) -> None:
        self.engine.failure = error_with(Verdict.NOT_RUN)
        self.assertEqual(Verdict.NOT_RUN, (await self.fail()).verdict)
        self.assertEqual(list(CHUNKS), await self.generate())
        self.assertEqual(1, self.engine.runs)


def error_with(verdict: Verdict) -> TurmericusherError:
    return TurmericusherError(ErrorCode.UPSTREAM_FAILED, "it failed", verdict=verdict)
