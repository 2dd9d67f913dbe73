"""Test what callers of an instance on stand-ins receive, whatever its upstreams do."""

import asyncio
from dataclasses import replace

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import IDEMPOTENT, NON_IDEMPOTENT, RESUMABLE, STREAM
from tests.common.relay_fixtures import running_relay_simulation, runs
from tests.common.waiting import wait_until
from turmericusher.platform.names import (
    TEAM,
)
from turmericusher.standins.platform_upstream import UpstreamFault, event

SEAL = "x-response-seal"
EVENTS = 12
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENTS + 1))

FAULTS_AFTER_RUN = [
    UpstreamFault.RESET,
    UpstreamFault.CUT,
    UpstreamFault.UNFRAMED_RESET,
    UpstreamFault.OTHER_ID,
    UpstreamFault.UNSIGNED,
    UpstreamFault.ENCODED,
    UpstreamFault.GARBAGE,
    UpstreamFault.FALSE_PROMISE,
]


def set_fault(simulation, fault, calls=1):
    """Make the first calls fail, whichever upstreams they reach."""
    shared_faults = [fault] * calls
    for upstream in simulation.upstreams:
        upstream.faults = shared_faults


class WholeAnswerTest(TestCase):
    @parameterized.expand([(kind.value, kind) for kind in (IDEMPOTENT, NON_IDEMPOTENT)])
    @run_async
    async def test_a_call_is_relayed_with_only_the_allowed_headers(self, _, kind):
        async with running_relay_simulation() as simulation:
            headers = {TEAM: "forged", "X_Cache_Hold": "1", "X_Other": "kept"}
            answer = await simulation.call(kind, **headers)
            self.assertEqual(200, answer.status)
            self.assertEqual(b"whole answer", answer.body)
            (call,) = [call for each in simulation.upstreams for call in each.calls]
            self.assertEqual(b"body", call.body)
            self.assertEqual("team-1", call.headers[TEAM])
            self.assertEqual("kept", call.headers["x-other"])
            self.assertNotIn("authorization", call.headers)
            self.assertNotIn("x-cache-hold", call.headers)
            self.assertTrue(int(call.headers["x-deadline-milliseconds"]) > 2_500)

    @parameterized.expand([(fault.value, fault) for fault in FAULTS_AFTER_RUN])
    @run_async
    async def test_a_non_idempotent_call_runs_once(self, _, fault):
        async with running_relay_simulation() as simulation:
            set_fault(simulation, fault)
            answer = await simulation.call(NON_IDEMPOTENT)
            self.assertEqual(502, answer.status)
            self.assertNotIn(SEAL, answer.headers)
            self.assertEqual(1, runs(simulation))

    @parameterized.expand([(fault.value, fault) for fault in FAULTS_AFTER_RUN])
    @run_async
    async def test_an_idempotent_call_is_retried_on_another_upstream(self, _, fault):
        async with running_relay_simulation() as simulation:
            set_fault(simulation, fault)
            answer = await simulation.call(IDEMPOTENT)
            self.assertEqual((200, b"whole answer"), (answer.status, answer.body))
            self.assertEqual(2, runs(simulation))

    @parameterized.expand(
        [
            ("an answer without a length", UpstreamFault.UNFRAMED),
            ("a second answer behind the first", UpstreamFault.EXTRA),
        ]
    )
    @run_async
    async def test_an_unusual_but_complete_answer_is_relayed(self, _, fault):
        async with running_relay_simulation() as simulation:
            set_fault(simulation, fault)
            for _number in range(2):
                answer = await simulation.call(NON_IDEMPOTENT)
                self.assertEqual((200, b"whole answer"), (answer.status, answer.body))

    @run_async
    async def test_an_upstream_failure_keeps_its_response_seal(self):
        async with running_relay_simulation() as simulation:
            set_fault(simulation, UpstreamFault.FAIL)
            answer = await simulation.call(NON_IDEMPOTENT)
            self.assertEqual(500, answer.status)
            self.assertIn(SEAL, answer.headers)

    @run_async
    async def test_a_refusal_of_a_full_service_has_a_retry_after_header(self):
        async with running_relay_simulation() as simulation:
            set_fault(simulation, UpstreamFault.SHED, calls=99)
            answer = await simulation.call(NON_IDEMPOTENT)
            self.assertEqual(503, answer.status)
            self.assertTrue(0 < float(answer.headers["retry-after"]) < 1)
            self.assertEqual(0, runs(simulation))

    @run_async
    async def test_a_stalled_upstream_delays_an_idempotent_call_little(self):
        async with running_relay_simulation() as simulation:
            set_fault(simulation, UpstreamFault.HANG)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            answer = await simulation.call(IDEMPOTENT)
            self.assertEqual(200, answer.status)
            self.assertTrue(loop.time() - started_at < 1.0)

    @run_async
    async def test_a_call_past_its_deadline_is_canceled_and_answered_with_504(self):
        async with running_relay_simulation() as simulation:
            set_fault(simulation, UpstreamFault.HANG)
            answer = await simulation.call(NON_IDEMPOTENT, wait_ms=300)
            self.assertEqual(504, answer.status)
            await wait_until(
                lambda: (
                    sum(each.caller_disconnects for each in simulation.upstreams) == 1
                ),
                1.0,
            )

    @run_async
    async def test_an_attempt_is_canceled_when_its_caller_disconnects(self):
        async with running_relay_simulation() as simulation:
            set_fault(simulation, UpstreamFault.HANG)
            call_task = asyncio.create_task(simulation.call(NON_IDEMPOTENT))
            await wait_until(lambda: runs(simulation) == 1)
            call_task.cancel()
            await wait_until(
                lambda: (
                    sum(each.caller_disconnects for each in simulation.upstreams) == 1
                ),
                1.0,
            )

    @run_async
    async def test_an_upstream_of_another_name_at_the_address_runs_nothing(self):
        async with running_relay_simulation(1) as simulation:
            simulation.upstreams[0].name = "another"
            answer = await simulation.call(NON_IDEMPOTENT)
            self.assertEqual(503, answer.status)
            self.assertEqual(0, runs(simulation))


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
    async def test_a_stream_is_complete_despite_one_fault(
        self, _, die_after, stop_after
    ):
        async with running_relay_simulation() as simulation:
            for upstream in simulation.upstreams:
                upstream.events, upstream.event_gap_s = EVENTS, 0.005
                upstream.first_event_s = 0.05
            call_task = asyncio.create_task(simulation.call(RESUMABLE))
            await wait_until(lambda: runs(simulation) == 1)
            (first,) = [each for each in simulation.upstreams if each.runs]
            first.die_after, first.stop_after = die_after, stop_after
            answer = await call_task
            self.assertTrue(answer.is_whole)
            self.assertEqual(WHOLE_STREAM, answer.body)
            self.assertEqual(f"by-{first.name}", answer.headers[SEAL])
            if die_after or stop_after:
                calls = [call for each in simulation.upstreams for call in each.calls]
                self.assertEqual(1, sum("kv-from" in call.headers for call in calls))

    @parameterized.expand([("standby unlisted", True), ("standby restarted", False)])
    @run_async
    async def test_a_stream_survives_the_loss_of_its_standby_and_then_engine(
        self, _, is_unlisted
    ):
        async with running_relay_simulation() as simulation:
            for upstream in simulation.upstreams:
                upstream.events, upstream.event_gap_s = 40, 0.06
            call_task = asyncio.create_task(simulation.call(RESUMABLE))
            await wait_until(lambda: runs(simulation) == 1)
            (first,) = [each for each in simulation.upstreams if each.runs]
            address = first.calls[0].headers["x-cache-backup"]
            (standby,) = [
                each for each in simulation.upstreams if each.address == address
            ]
            if is_unlisted:
                simulation.delete_upstream_entry(int(standby.name[1:]))
            standby.report = replace(standby.report, incarnation="2")
            (other,) = [
                each for each in simulation.upstreams if each not in (first, standby)
            ]
            await wait_until(lambda: bool(other.copies))
            self.assertEqual([], first.released)
            first.die_after = 36
            answer = await call_task
            self.assertTrue(answer.is_whole)
            self.assertEqual(40, answer.body.count(b"id: "))
            (resumed,) = other.calls
            self.assertEqual(f"{first.address}/copy-of-q1", resumed.headers["kv-from"])

    @run_async
    async def test_a_broken_stream_that_cannot_resume_looks_incomplete(self):
        async with running_relay_simulation() as simulation:
            for upstream in simulation.upstreams:
                upstream.events, upstream.die_after = EVENTS, 6
            answer = await simulation.call(STREAM)
            self.assertFalse(answer.is_whole)
            self.assertEqual(1, runs(simulation))

    @run_async
    async def test_a_stream_moves_off_an_upstream_dead_before_its_first_event(self):
        async with running_relay_simulation() as simulation:
            for upstream in simulation.upstreams:
                upstream.events = EVENTS
            set_fault(simulation, UpstreamFault.HANG)
            call_task = asyncio.create_task(simulation.call(RESUMABLE))
            await wait_until(lambda: runs(simulation) == 1)
            (hung,) = [each for each in simulation.upstreams if each.runs]
            hung.stop_listening()
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            answer = await call_task
            self.assertEqual(WHOLE_STREAM, answer.body)
            self.assertTrue(loop.time() - started_at < 2.0)
            await wait_until(lambda: hung.caller_disconnects == 1, 1.0)
