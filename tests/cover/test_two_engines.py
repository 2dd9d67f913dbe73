"""Test that a stream does not go on at a second engine while the first works on it."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import RESUMABLE
from tests.common.relay_fixtures import running_relay_simulation
from turmericusher.platform.names import REQUEST_ID, SIGNATURE
from turmericusher.standins.platform_upstream import event, reset
from turmericusher.standins.working_upstream import (
    Run,
    WorkingUpstream,
    find_overlaps,
)
from turmericusher.tasks.background import cancel_tasks

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


async def reset_in_a_pause(engine: WorkingUpstream) -> None:
    """Reset an engine's connections at the other end only while it stands still."""
    engine.reset_far_ends()
    await engine.stand_still(1.2)


async def crash(engine: WorkingUpstream) -> None:
    """End an engine: its connections are reset, and new ones are refused."""
    engine.stop_listening()
    for run in list(engine.active.values()):
        run.stopped.set()
        engine.end(run)
        reset(run.writer)


@dataclass(slots=True)
class StallingEngine(WorkingUpstream):
    """Ends its answers by closing; a run from the beginning pauses after event 20."""

    async def work(self, run: Run) -> None:
        """Make the events that are left."""
        headers = {
            REQUEST_ID: run.request_id,
            SIGNATURE: f"by-{self.name}",
            "Content-Type": "text/event-stream",
            "Connection": "close",
        }
        self.send(run, self.encode_head(200, headers))
        is_first = run.position == 0
        while run.position < self.events:
            await asyncio.sleep(2.0 if is_first and run.position == 20 else EVENT_GAP_S)
            run.position += 1
            self.send(run, event(run.position))


class StoppedStreamTest(TestCase):
    @run_async
    async def test_a_stream_that_was_stopped_is_not_told_as_whole(self):
        simulation = running_relay_simulation(
            make_standin=lambda name: StallingEngine(name, events=EVENTS),
            route_changes=ROUTE,
        )
        async with simulation as running:
            answer = await running.call(RESUMABLE, wait_ms=20_000)
            runs = [run for each in running.upstreams for run in each.history]
        ids = [int(each) for each in EVENT_IDS.findall(answer.body)]
        self.assertEqual((list(range(1, EVENTS + 1)), 2), (ids, len(runs)))

    @run_async
    async def test_twice_a_stream_that_is_taken_up_here_ends_behind_a_dead_connection(
        self,
    ):
        simulation = running_relay_simulation(
            make_standin=make_engine, route_changes=ROUTE
        )
        async with simulation as running:
            call = running.call(RESUMABLE, wait_ms=20_000, X_Request_Id="r1")
            first = asyncio.create_task(call)
            await asyncio.sleep(0.5)
            (engine,) = (each for each in running.upstreams if each.active)
            engine.silence_connections()
            await asyncio.sleep(0.05)
            await cancel_tasks([first])
            await running.call(
                RESUMABLE, wait_ms=20_000, X_Request_Id="r1", Last_Event_Id="5"
            )
            now = asyncio.get_running_loop().time()
            self.assertEqual([], find_overlaps(running.upstreams, now))


class TwoEnginesTest(TestCase):
    @parameterized.expand(
        [
            ("open_connections_fall_silent", silence_connections),
            ("its_process_stands_still", pause),
            ("a_connection_is_reset_at_one_end", reset_far_ends),
            ("it_crashes", crash),
            ("a_connection_is_reset_while_it_stands_still", reset_in_a_pause),
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
