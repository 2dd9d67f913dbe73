"""Test that a stream does not go on at a second engine while the first works on it."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import RESUMABLE
from tests.common.relay_fixtures import running_relay_simulation
from turmericusher.standins.platform_upstream import reset
from turmericusher.standins.working_upstream import WorkingUpstream, find_overlaps

EVENTS, EVENT_GAP_S = 100, 0.03
STREAMS = 12
ARRIVAL_GAP_S = 0.08
ROUTE = {"timeout_ms": 20_000, "target_latency_ms": 4_500, "target_gap_ms": 700}
"""Long streams whose callers accept a pause of 0.7 s between two events."""

EVENT_IDS = re.compile(rb"^id: (\d+)$", re.MULTILINE)


def make_engine(name: str) -> WorkingUpstream:
    """Return an engine that makes the events of a long stream."""
    return WorkingUpstream(name, events=EVENTS, event_gap_s=EVENT_GAP_S)


async def silence_connections(engine: WorkingUpstream) -> None:
    """Have the open connections of an engine fall silent for good."""
    engine.silence_connections()


async def reset_far_ends(engine: WorkingUpstream) -> None:
    """Reset an engine's connections at the other end only."""
    engine.reset_far_ends()


async def pause(engine: WorkingUpstream) -> None:
    """Have an engine's process stand still for 1.2 s."""
    await engine.stand_still(1.2)


async def crash(engine: WorkingUpstream) -> None:
    """End an engine: its connections are reset, and new ones are refused."""
    engine.stop_listening()
    for run in list(engine.active.values()):
        run.stopped.set()
        engine.end(run)
        reset(run.writer)


class TwoEnginesTest(TestCase):
    @parameterized.expand(
        [
            ("open_connections_fall_silent", silence_connections),
            ("its_process_stands_still", pause),
            ("a_connection_is_reset_at_one_end", reset_far_ends),
            ("it_crashes", crash),
        ]
    )
    @run_async
    async def test_twice_a_stream_goes_on_only_after_its_engine_has_stopped_if(
        self, _, trouble: Callable[[WorkingUpstream], Awaitable[None]]
    ):
        simulation = running_relay_simulation(
            make_standin=make_engine, route_changes=ROUTE
        )
        async with simulation as running:
            calls = []
            for _ in range(STREAMS):
                call = running.call(RESUMABLE, wait_ms=20_000)
                calls.append(asyncio.create_task(call))
                await asyncio.sleep(ARRIVAL_GAP_S)
            engine = max(running.upstreams, key=lambda each: len(each.active))
            self.assertGreater(len(engine.active), 0)
            await trouble(engine)
            answers = await asyncio.gather(*calls)
            now = asyncio.get_running_loop().time()
            self.assertEqual([], find_overlaps(running.upstreams, now))
            for answer in answers:
                self.assertEqual((200, True), (answer.status, answer.is_whole), answer)
                ids = [int(each) for each in EVENT_IDS.findall(answer.body)]
                self.assertEqual(list(range(1, EVENTS + 1)), ids)
