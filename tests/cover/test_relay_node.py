"""Test what callers of an instance on stand-ins receive, whatever its upstreams do."""

import asyncio
from dataclasses import replace

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import IDEMPOTENT, ONCE, RESUMABLE, STREAM
from tests.common.relay_parts import relay_world, runs
from tests.common.waiting import wait_until
from turmericusher.platform.names import (
    TEAM,
)
from turmericusher.standins.platform_upstream import UpstreamFault, event

SEAL = "x-response-seal"
EVENTS = 12
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENTS + 1))

SPOILT = [
    UpstreamFault.RESET,
    UpstreamFault.CUT,
    UpstreamFault.UNFRAMED_RESET,
    UpstreamFault.OTHER_ID,
    UpstreamFault.UNSIGNED,
    UpstreamFault.ENCODED,
    UpstreamFault.GARBAGE,
    UpstreamFault.FALSE_PROMISE,
]


def set_fault(world, fault, calls=1):
    """Make the first calls fail, whichever upstreams they reach."""
    shared = [fault] * calls
    for upstream in world.upstreams:
        upstream.faults = shared


class WholeAnswerTest(TestCase):
    @parameterized.expand([(kind.value, kind) for kind in (IDEMPOTENT, ONCE)])
    @run_async
    async def test_a_call_is_passed_on_unchanged(self, _, kind):
        async with relay_world() as world:
            headers = {TEAM: "forged", "X_Cache_Hold": "1", "X_Other": "kept"}
            answer = await world.call(kind, **headers)
            self.assertEqual(200, answer.status)
            self.assertEqual(b"whole answer", answer.body)
            (call,) = [call for each in world.upstreams for call in each.calls]
            self.assertEqual(b"body", call.body)
            self.assertEqual("team-1", call.headers[TEAM])
            self.assertEqual("kept", call.headers["x-other"])
            self.assertNotIn("authorization", call.headers)
            self.assertNotIn("x-cache-hold", call.headers)
            self.assertTrue(int(call.headers["x-deadline-milliseconds"]) > 2_500)

    @parameterized.expand([(fault.value, fault) for fault in SPOILT])
    @run_async
    async def test_a_call_that_must_not_repeat_runs_once(self, _, fault):
        async with relay_world() as world:
            set_fault(world, fault)
            answer = await world.call(ONCE)
            self.assertEqual(502, answer.status)
            self.assertNotIn(SEAL, answer.headers)
            self.assertEqual(1, runs(world))

    @parameterized.expand([(fault.value, fault) for fault in SPOILT])
    @run_async
    async def test_an_idempotent_call_is_repeated_elsewhere(self, _, fault):
        async with relay_world() as world:
            set_fault(world, fault)
            answer = await world.call(IDEMPOTENT)
            self.assertEqual((200, b"whole answer"), (answer.status, answer.body))
            self.assertEqual(2, runs(world))

    @parameterized.expand(
        [
            ("an answer without a length", UpstreamFault.UNFRAMED),
            ("a second answer behind the first", UpstreamFault.EXTRA),
        ]
    )
    @run_async
    async def test_an_odd_but_whole_answer_is_passed_on(self, _, fault):
        async with relay_world() as world:
            set_fault(world, fault)
            for _number in range(2):
                answer = await world.call(ONCE)
                self.assertEqual((200, b"whole answer"), (answer.status, answer.body))

    @run_async
    async def test_an_upstreams_own_failure_keeps_its_signature(self):
        async with relay_world() as world:
            set_fault(world, UpstreamFault.FAIL)
            answer = await world.call(ONCE)
            self.assertEqual(500, answer.status)
            self.assertIn(SEAL, answer.headers)

    @run_async
    async def test_a_full_service_is_refused_with_the_time_to_come_back(self):
        async with relay_world() as world:
            set_fault(world, UpstreamFault.SHED, calls=99)
            answer = await world.call(ONCE)
            self.assertEqual(503, answer.status)
            self.assertTrue(0 < float(answer.headers["retry-after"]) < 1)
            self.assertEqual(0, runs(world))

    @run_async
    async def test_a_silent_upstream_costs_an_idempotent_call_little(self):
        async with relay_world() as world:
            set_fault(world, UpstreamFault.HANG)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            answer = await world.call(IDEMPOTENT)
            self.assertEqual(200, answer.status)
            self.assertTrue(loop.time() - started_at < 1.0)

    @run_async
    async def test_a_call_past_its_deadline_is_answered_as_one_that_may_have_run(self):
        async with relay_world() as world:
            set_fault(world, UpstreamFault.HANG)
            answer = await world.call(ONCE, wait_ms=300)
            self.assertEqual(504, answer.status)
            await wait_until(
                lambda: sum(each.caller_disconnects for each in world.upstreams) == 1,
                1.0,
            )

    @run_async
    async def test_the_upstreams_work_ends_when_the_caller_leaves(self):
        async with relay_world() as world:
            set_fault(world, UpstreamFault.HANG)
            calling = asyncio.create_task(world.call(ONCE))
            await wait_until(lambda: runs(world) == 1)
            calling.cancel()
            await wait_until(
                lambda: sum(each.caller_disconnects for each in world.upstreams) == 1,
                1.0,
            )

    @run_async
    async def test_another_upstream_at_a_known_address_runs_nothing(self):
        async with relay_world(1) as world:
            world.upstreams[0].name = "another"
            answer = await world.call(ONCE)
            self.assertEqual(503, answer.status)
            self.assertEqual(0, runs(world))


class StreamTest(TestCase):
    @parameterized.expand(
        [
            ("no fault", None, None),
            ("a death after the first event", 1, None),
            ("a death in mid-stream", 6, None),
            ("a death before the end", EVENTS - 1, None),
            ("a stall after the first event", None, 1),
            ("a stall in mid-stream", None, 6),
        ]
    )
    @run_async
    async def test_a_stream_is_whole_whatever_happens(self, _, die_after, stop_after):
        async with relay_world() as world:
            for upstream in world.upstreams:
                upstream.events, upstream.event_gap_s = EVENTS, 0.005
                upstream.first_event_s = 0.05
            calling = asyncio.create_task(world.call(RESUMABLE))
            await wait_until(lambda: runs(world) == 1)
            (first,) = [each for each in world.upstreams if each.runs]
            first.die_after, first.stop_after = die_after, stop_after
            answer = await calling
            self.assertTrue(answer.is_whole)
            self.assertEqual(WHOLE_STREAM, answer.body)
            self.assertEqual(f"by-{first.name}", answer.headers[SEAL])
            if die_after or stop_after:
                copies = [call for each in world.upstreams for call in each.calls]
                self.assertEqual(1, sum("kv-from" in call.headers for call in copies))

    @parameterized.expand([("standby unlisted", True), ("standby restarted", False)])
    @run_async
    async def test_a_stream_outlives_its_engine_after_its_standby(self, _, unlisted):
        async with relay_world() as world:
            for upstream in world.upstreams:
                upstream.events, upstream.event_gap_s = 40, 0.06
            calling = asyncio.create_task(world.call(RESUMABLE))
            await wait_until(lambda: runs(world) == 1)
            (first,) = [each for each in world.upstreams if each.runs]
            address = first.calls[0].headers["x-cache-backup"]
            (standby,) = [each for each in world.upstreams if each.address == address]
            if unlisted:
                world.unlist_upstream(int(standby.name[1:]))
            standby.report = replace(standby.report, incarnation="2")
            (other,) = [
                each for each in world.upstreams if each not in (first, standby)
            ]
            await wait_until(lambda: bool(other.copies))
            self.assertEqual([], first.released)
            first.die_after = 36
            answer = await calling
            self.assertTrue(answer.is_whole)
            self.assertEqual(40, answer.body.count(b"id: "))
            (resumed,) = other.calls
            self.assertEqual(f"{first.address}/copy-of-q1", resumed.headers["kv-from"])

    @run_async
    async def test_a_stream_that_cannot_resume_does_not_look_whole(self):
        async with relay_world() as world:
            for upstream in world.upstreams:
                upstream.events, upstream.die_after = EVENTS, 6
            answer = await world.call(STREAM)
            self.assertFalse(answer.is_whole)
            self.assertEqual(1, runs(world))

    @run_async
    async def test_a_dead_upstream_is_left_before_the_first_event(self):
        async with relay_world() as world:
            for upstream in world.upstreams:
                upstream.events = EVENTS
            set_fault(world, UpstreamFault.HANG)
            calling = asyncio.create_task(world.call(RESUMABLE))
            await wait_until(lambda: runs(world) == 1)
            (hung,) = [each for each in world.upstreams if each.runs]
            hung.stop_listening()
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            answer = await calling
            self.assertEqual(WHOLE_STREAM, answer.body)
            self.assertTrue(loop.time() - started_at < 2.0)
            await wait_until(lambda: hung.caller_disconnects == 1, 1.0)
