"""Test that a generation does not go on at a second engine while the first works on it.

Here an engine is an OpenAI-like one of the product's own role.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.engines import make_request
from tests.common.waiting import wait_until
from turmericusher.decisions.fleet import UpstreamInstance, UpstreamKind
from turmericusher.decisions.placing.selection import Selector
from turmericusher.decisions.requests import AnswerChunk
from turmericusher.errors import TurmericusherError, Verdict
from turmericusher.ports.engines import open_engine_port
from turmericusher.profiles import Profile, SecondAttempt
from turmericusher.standins.engine import EngineOptions
from turmericusher.standins.token_model import encode_prompt, expected_token_ids
from turmericusher.standins.working_engine import WorkingEngine, running_working_engine
from turmericusher.standins.working_upstream import find_overlaps
from turmericusher.tasks.generation import (
    GenerationContext,
    make_generation_context,
    open_generation,
)
from turmericusher.tasks.run_ends import checking_run_ends

ENGINES = 3
GENERATIONS = 9
TOKENS = 120
TOKEN_GAP_S = 0.02
TROUBLE_AT_S = 0.5
MAX_PAUSE_S = 2.0
"""Seconds within which output goes on after a loss."""

WHEN_DEAD = Profile(name="when-dead", second_attempt=SecondAttempt.WHEN_DEAD)
EARLY = Profile(name="early", second_attempt=SecondAttempt.EARLY)
ONCE = Profile(name="once", idempotent=False, max_wait_s=1.0)


async def silence_connections(engine: WorkingEngine) -> None:
    """Have the open connections of an engine fall silent for good."""
    engine.silence_connections()


async def reset_far_ends(engine: WorkingEngine) -> None:
    """Reset an engine's connections at the other end only."""
    engine.reset_far_ends()


async def pause(engine: WorkingEngine) -> None:
    """Have an engine's process stand still for 1.2 s."""
    await engine.stand_still(1.2)


async def pause_beyond_the_cap(engine: WorkingEngine) -> None:
    """Have an engine's process stand still for longer than any gap may last."""
    await engine.stand_still(2.4)


async def crash(engine: WorkingEngine) -> None:
    """End an engine: its connections are reset, and new ones are refused."""
    engine.crash()


Trouble = Callable[[WorkingEngine], Awaitable[None]]


@dataclass(slots=True)
class Fleet:
    """Engines with the context of an instance that serves generations from them."""

    engines: list[WorkingEngine]
    context: GenerationContext

    def busiest(self) -> WorkingEngine:
        """Return the engine with the most runs."""
        return max(self.engines, key=lambda each: len(each.active))


@dataclass(slots=True)
class Received:
    """What a caller got: tokens, the longest pause in seconds, the error if any."""

    tokens: list[int] = field(default_factory=list)
    longest_pause_s: float = 0.0
    error: TurmericusherError | None = None


@asynccontextmanager
async def running_fleet() -> AsyncIterator[Fleet]:
    """Run engines and the context of an instance before them."""
    async with AsyncExitStack() as stack:
        engines, listed = [], []
        for number in range(ENGINES):
            options = EngineOptions(f"engine-{number}", token_gap_s=TOKEN_GAP_S)
            engine = WorkingEngine(options)
            address = await stack.enter_async_context(running_working_engine(engine))
            engines.append(engine)
            listed.append(
                UpstreamInstance(
                    name=options.name,
                    service="drafts",
                    kind=UpstreamKind.ENGINE,
                    address=address,
                    failure_domain=f"domain-{number}",
                    incarnation="1",
                    version=options.version,
                    models=options.models,
                )
            )
        selector = Selector(random.Random(1))
        selector.update(listed)
        port = await stack.enter_async_context(open_engine_port())
        context = make_generation_context(port, selector)
        await stack.enter_async_context(checking_run_ends(context.run_end_checks))
        yield Fleet(engines, context)


async def receive(
    context: GenerationContext, number: int, profile: Profile
) -> Received:
    """Run one generation and return what its caller got."""
    received = Received()
    clock = asyncio.get_running_loop().time
    request = make_request(
        profile,
        request_id=f"request-{number}",
        fingerprint=f"fingerprint-{number}",
        max_tokens=TOKENS,
    )
    try:
        async with open_generation(context, request) as chunks:
            last_at = clock()
            async for chunk in chunks:
                if chunk == AnswerChunk():
                    continue
                received.tokens.extend(chunk.token_ids)
                pause_s = clock() - last_at
                received.longest_pause_s = max(received.longest_pause_s, pause_s)
                last_at = clock()
    except TurmericusherError as error:
        received.error = error
    return received


async def play(fleet: Fleet, profile: Profile, trouble: Trouble) -> list[Received]:
    """Run generations, bring trouble to the busiest engine; return what callers got."""
    calls = [
        asyncio.create_task(receive(fleet.context, number, profile))
        for number in range(GENERATIONS)
    ]
    await asyncio.sleep(TROUBLE_AT_S)
    engine = fleet.busiest()
    assert engine.active
    await trouble(engine)
    return await asyncio.gather(*calls)


class TwoGenerationEnginesTest(TestCase):
    @parameterized.expand(
        [
            ("open_connections_fall_silent", silence_connections, WHEN_DEAD),
            ("open_connections_fall_silent_early", silence_connections, EARLY),
            ("its_process_stands_still", pause, WHEN_DEAD),
            ("its_process_stands_still_early", pause, EARLY),
            ("its_process_stands_still_for_long", pause_beyond_the_cap, WHEN_DEAD),
            ("a_connection_is_reset_at_one_end", reset_far_ends, WHEN_DEAD),
            ("a_connection_is_reset_at_one_end_early", reset_far_ends, EARLY),
            ("it_crashes", crash, WHEN_DEAD),
        ]
    )
    @run_async
    async def test_twice_a_generation_goes_on_only_after_its_engine_has_stopped_if(
        self, _name: str, trouble: Trouble, profile: Profile
    ) -> None:
        """A second attempt's first token comes soon, and settles which one stays."""
        async with running_fleet() as fleet:
            answers = await play(fleet, profile, trouble)
            now = asyncio.get_running_loop().time()
            overlaps = find_overlaps(fleet.engines, now)
            run_ends = fleet.context.run_end_checks.run_ends
            await wait_until(lambda: run_ends.count() == 0)
        expected = list(expected_token_ids(encode_prompt("write"), 0, TOKENS))
        for answer in answers:
            self.assertIsNone(answer.error)
            self.assertEqual(expected, answer.tokens)
            self.assertLess(answer.longest_pause_s, MAX_PAUSE_S)
        self.assertEqual([], overlaps)
        runs_left = fleet.context.metrics.counts.get("generation.runs_left", 0)
        self.assertEqual(run_ends.ended.total(), runs_left)

    @parameterized.expand(
        [
            ("open_connections_fall_silent", silence_connections),
            ("its_process_stands_still", pause),
            ("a_connection_is_reset_at_one_end", reset_far_ends),
            ("it_crashes", crash),
        ]
    )
    @run_async
    async def test_a_generation_that_must_not_repeat_runs_once_if(
        self, _name: str, trouble: Trouble
    ) -> None:
        async with running_fleet() as fleet:
            answers = await play(fleet, ONCE, trouble)
            runs = [run.request_id for each in fleet.engines for run in each.history]
        self.assertEqual(GENERATIONS, len(runs))
        self.assertEqual(GENERATIONS, len(set(runs)))
        for answer in answers:
            if answer.error is not None:
                self.assertEqual(Verdict.MAY_HAVE_RUN, answer.error.verdict)
