"""Every fault of an engine at each step of a generation."""

from __future__ import annotations

import asyncio
import random
from itertools import product

from parameterized import parameterized
from testtools import TestCase

from tests.common.engines import (
    ANSWER_LENGTH,
    HALF_TOKEN,
    PROMPT,
    FakeEngines,
    Fault,
    FaultAt,
    decode_tokens,
    expected_tokens,
    make_engines,
    make_request,
)
from turmericusher.decisions.placing.selection import Selector
from turmericusher.decisions.requests import AnswerChunk, GenerationRequest
from turmericusher.errors import ErrorCode, TurmericusherError, Verdict
from turmericusher.profiles import Profile, SecondAttempt
from turmericusher.tasks.generation import (
    GenerationContext,
    make_generation_context,
    open_generation,
)

PROFILES = {
    "early": Profile(
        name="early",
        second_attempt=SecondAttempt.EARLY,
        stall_floor_s=0.02,
        stall_cap_s=0.06,
        max_wait_s=20.0,
    ),
    "when_dead": Profile(name="when_dead", stall_cap_s=0.04, max_wait_s=20.0),
}
ANSWER = expected_tokens(PROMPT, ANSWER_LENGTH)
MID_CHARACTER_OFFSET = ANSWER.index(HALF_TOKEN) + 1
STEPS = {
    "before_the_first_token": 0,
    "after_the_first_token": 1,
    "in_mid_stream": ANSWER_LENGTH // 2,
    "inside_a_character": MID_CHARACTER_OFFSET,
    "at_the_last_token": ANSWER_LENGTH - 1,
}
FINAL_FAULTS = {Fault.REJECT}
CASES = [
    (f"{fault}_{step}_{profile}", fault, offset, profile)
    for fault, (step, offset), profile in product(Fault, STEPS.items(), PROFILES)
    if fault not in FINAL_FAULTS
]


def make_context(engines: FakeEngines, count: int = 9) -> GenerationContext:
    """Return the context of an instance that serves generations from `engines`."""
    selector = Selector(random.Random(1))
    selector.update(make_engines(count))
    return make_generation_context(engines, selector, heartbeat_s=5.0)


async def collect(
    context: GenerationContext, request: GenerationRequest
) -> list[AnswerChunk]:
    """Return all chunks of one answer."""
    async with open_generation(context, request) as chunks:
        return [chunk async for chunk in chunks]


def run(engines: FakeEngines, request: GenerationRequest) -> list[AnswerChunk]:
    """Run a generation to its end, and check that nothing of it is left behind."""
    context = make_context(engines)
    chunks = asyncio.run(collect(context, request))
    assert engines.open_streams == 0
    assert context.selector.in_flight == {}
    assert context.suspicion.running == {}
    assert context.shared.resumes.waiting == 0
    return chunks


def failure(engines: FakeEngines, request: GenerationRequest) -> TurmericusherError:
    """Run a generation that must fail, and return its error."""
    try:
        run(engines, request)
    except TurmericusherError as error:
        return error
    raise AssertionError("the generation did not fail")


class GenerationMatrixTest(TestCase):
    def assert_whole(self, chunks: list[AnswerChunk]) -> None:
        """Check that the chunks are the complete answer of an engine without faults."""
        tokens = [token for chunk in chunks for token in chunk.token_ids]
        self.assertEqual(ANSWER, tokens)
        self.assertEqual(decode_tokens(ANSWER), "".join(chunk.text for chunk in chunks))
        self.assertEqual("length", chunks[-1].finish_reason)
        usage = chunks[-1].usage
        assert usage is not None
        self.assertEqual(len(PROMPT), usage.prompt_tokens)
        self.assertEqual(ANSWER_LENGTH, usage.completion_tokens)
        chunks_with_prompt = [
            each for each in chunks if each.prompt_token_ids is not None
        ]
        self.assertEqual([chunks[0]], chunks_with_prompt)
        self.assertEqual(PROMPT, chunks[0].prompt_token_ids)

    @parameterized.expand(CASES)
    def test_the_answer_is_whole_despite_one_fault(
        self, name: str, fault: Fault, offset: int, profile: str
    ) -> None:
        engines = FakeEngines([FaultAt(fault, offset)])
        self.assert_whole(run(engines, make_request(PROFILES[profile])))

    @parameterized.expand(CASES)
    def test_the_answer_is_whole_despite_a_fault_during_the_resume(
        self, name: str, fault: Fault, offset: int, profile: str
    ) -> None:
        first = FaultAt(Fault.RESET, offset // 2)
        engines = FakeEngines([first, FaultAt(fault, offset)])
        self.assert_whole(run(engines, make_request(PROFILES[profile])))

    @parameterized.expand(CASES)
    def test_the_answer_is_whole_despite_a_fault_during_the_second_resume(
        self, name: str, fault: Fault, offset: int, profile: str
    ) -> None:
        faults = [
            FaultAt(Fault.EARLY_END, offset // 3),
            FaultAt(Fault.FREEZE, offset // 2),
            FaultAt(fault, offset),
        ]
        engines = FakeEngines(list(faults))
        self.assert_whole(run(engines, make_request(PROFILES[profile])))

    @parameterized.expand(CASES)
    def test_a_non_idempotent_request_is_sent_at_most_once(
        self, name: str, fault: Fault, offset: int, profile: str
    ) -> None:
        # Only a freeze ends by the wait limit. The other faults must not, even on a
        # busy machine.
        once = Profile(
            name="once",
            idempotent=False,
            stall_cap_s=0.02,
            max_wait_s=0.6 if fault is Fault.FREEZE else 20.0,
        )
        engines = FakeEngines([FaultAt(fault, offset)])
        request = make_request(once)
        if fault in (Fault.REFUSE, Fault.OVERLOAD):
            self.assert_whole(run(engines, request))
            self.assertEqual(2, len(engines.sent))
            return
        error = None
        if fault is Fault.SLOW or (fault is Fault.OTHER_VERSION and offset == 0):
            self.assert_whole(run(engines, request))
        else:
            error = failure(engines, request)
            self.assertIs(Verdict.MAY_HAVE_RUN, error.verdict)
        self.assertEqual(1, len(engines.sent), repr(error))

    def test_a_resume_has_a_higher_priority_than_new_work(self) -> None:
        engines = FakeEngines([FaultAt(Fault.RESET, 3)])
        self.assert_whole(run(engines, make_request(PROFILES["early"])))
        first, resume = [request for _, request in engines.sent]
        self.assertEqual(first.max_tokens, ANSWER_LENGTH)
        self.assertEqual(resume.max_tokens, ANSWER_LENGTH - 3)
        self.assertTrue(resume.priority < 0 <= first.priority)

    def test_a_caller_that_disconnects_cancels_the_work_at_once(self) -> None:
        engines = FakeEngines([FaultAt(Fault.FREEZE, 3)])

        async def disconnect() -> None:
            context = make_context(engines)
            request = make_request(PROFILES["when_dead"])
            async with open_generation(context, request) as chunks:
                await anext(aiter(chunks))
                self.assertEqual(1, engines.open_streams)
            self.assertEqual(0, engines.open_streams)
            self.assertEqual({}, context.selector.in_flight)
            await asyncio.sleep(0)
            self.assertEqual({asyncio.current_task()}, asyncio.all_tasks())

        asyncio.run(disconnect())

    @parameterized.expand(
        [("another_version", Fault.OTHER_VERSION), ("abort", Fault.ABORT)]
    )
    def test_twice_an_engine_is_told_to_stop_when_its_answer_cannot_be_used(
        self, _name: str, fault: Fault
    ) -> None:
        """The engine's stream is intact: only closing it ends the work there."""
        engines = FakeEngines([FaultAt(fault, 4)], gap_s=0.01)

        async def most_streams_after_resume() -> int:
            context = make_context(engines)
            request = make_request(PROFILES["when_dead"])
            counts = [0]
            async with open_generation(context, request) as chunks:
                async for _ in chunks:
                    if len(engines.sent) == 2:
                        counts.append(engines.open_streams)
            return max(counts)

        self.assertEqual(1, asyncio.run(most_streams_after_resume()))
        self.assertEqual(2, len(engines.sent))

    def test_heartbeats_are_sent_while_an_engine_stalls(self) -> None:
        engines = FakeEngines(gap_s=0.03)

        async def answer() -> list[AnswerChunk]:
            context = make_context(engines)
            context.heartbeat_s = 0.01
            return await collect(context, make_request(PROFILES["when_dead"]))

        chunks = asyncio.run(answer())
        self.assertIn(AnswerChunk(), chunks)
        self.assert_whole([chunk for chunk in chunks if chunk != AnswerChunk()])

    def test_a_missing_upstream_is_reported_within_the_wait_limit(self) -> None:
        engines = FakeEngines()
        profile = Profile(name="p", max_wait_s=0.05)
        error = failure(engines, make_request(profile, service="none"))
        self.assertIs(ErrorCode.NO_UPSTREAM, error.code)
        self.assertIs(Verdict.NOT_RUN, error.verdict)
        self.assertIsNotNone(error.retry_after_s)

    def test_a_rejected_request_fails_at_once_and_was_not_run(self) -> None:
        engines = FakeEngines([FaultAt(Fault.REJECT)])
        error = failure(engines, make_request(PROFILES["early"]))
        self.assertIs(ErrorCode.UPSTREAM_REJECTED, error.code)
        self.assertIs(Verdict.NOT_RUN, error.verdict)
        self.assertEqual(1, len(engines.sent))
