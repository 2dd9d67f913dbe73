"""Test that a stopping instance leaves, drains and hands over without losing work."""

import asyncio

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.fleet_model import FleetModel
from turmericusher.decisions.fleet import Lifecycle
from turmericusher.decisions.shutdown import MARK_SPREAD_S, Shutdown, ShutdownPhase
from turmericusher.errors import ErrorCode, RequestRefusedError, TurmericusherError
from turmericusher.tasks.shutdown import Draining, ending_at_handover

TTL_S = 5.0
DRAIN_S = 60.0
ACCEPTANCE_S = TTL_S + MARK_SPREAD_S


def stopping(is_alone: bool = False, drain_limit_s: float = DRAIN_S) -> Shutdown:
    shutdown = Shutdown(TTL_S, drain_limit_s)
    shutdown.begin(100.0, is_alone)
    return shutdown


class ShutdownDecisionTest(TestCase):
    @parameterized.expand(
        [
            ("idle_waits_for_entry_point_answers_to_expire", 1.0, 0, "leaving", True),
            ("busy_accepts_too", ACCEPTANCE_S - 0.1, 3, "leaving", True),
            ("idle_stops_after_they_expired", ACCEPTANCE_S, 0, "stopped", False),
            ("busy_drains", ACCEPTANCE_S, 3, "draining", False),
            ("busy_drains_to_its_limit", DRAIN_S - 0.1, 1, "draining", False),
            ("the_longest_are_handed_over", DRAIN_S, 1, "handing_over", False),
        ]
    )
    def test_the_phase_follows_the_time_and_the_work(
        self, _name: str, after_s: float, in_flight: int, phase: str, is_accepting: bool
    ) -> None:
        shutdown = stopping()
        current_phase = shutdown.advance(100.0 + after_s, in_flight)
        self.assertEqual(
            (phase, is_accepting), (current_phase.value, shutdown.is_accepting())
        )

    def test_remaining_requests_are_cut_off_after_the_handover_limit(self) -> None:
        shutdown = stopping()
        at_drain_limit = shutdown.advance(100.0 + DRAIN_S, 1)
        limit = shutdown.handover_limit_s
        before_limit = shutdown.advance(100.0 + DRAIN_S + limit - 0.1, 1)
        at_limit = shutdown.advance(100.0 + DRAIN_S + limit, 1)
        self.assertEqual(ShutdownPhase.HANDING_OVER, at_drain_limit)
        self.assertEqual(ShutdownPhase.HANDING_OVER, before_limit)
        self.assertEqual(ShutdownPhase.STOPPED, at_limit)

    def test_an_instance_that_is_the_only_one_stops_at_once(self) -> None:
        self.assertEqual(
            ShutdownPhase.STOPPED, stopping(is_alone=True).advance(100.0, 0)
        )

    def test_a_short_drain_limit_does_not_end_acceptance_early(self) -> None:
        shutdown = stopping(drain_limit_s=1.0)
        self.assertEqual(ShutdownPhase.LEAVING, shutdown.advance(102.0, 1))
        self.assertTrue(shutdown.is_accepting())

    def test_a_second_request_to_stop_changes_nothing(self) -> None:
        shutdown = stopping()
        shutdown.begin(150.0, is_alone=True)
        self.assertEqual(100.0 + ACCEPTANCE_S, shutdown.accepts_until())


class DrainingTest(TestCase):
    @run_async
    async def test_a_drain_waits_for_work_in_flight(self) -> None:
        draining = Draining(FleetModel(1).fleets[0], Shutdown(0.1, 60.0))
        draining.in_flight = 1
        drain = asyncio.create_task(draining.drain())
        await asyncio.sleep(0.3)
        self.assertFalse(drain.done())
        refusal = self.assertRaises(RequestRefusedError, draining.check_accepting)
        self.assertEqual(ErrorCode.INSTANCE_STOPPING, refusal.code)
        lifecycle = draining.fleet.membership.own.lifecycle
        self.assertIs(Lifecycle.LEAVING, lifecycle)
        draining.in_flight = 0
        await asyncio.wait_for(drain, 5)

    @run_async
    async def test_a_long_answer_ends_with_a_code_for_its_caller_to_resume(
        self,
    ) -> None:
        draining = Draining(FleetModel(1).fleets[0], Shutdown(0.1, 0.2))

        async def answer() -> ErrorCode | None:
            draining.in_flight += 1
            try:
                async with ending_at_handover(draining):
                    await asyncio.sleep(60)
            except TurmericusherError as error:
                return error.code
            finally:
                draining.in_flight -= 1
            return None

        answering = asyncio.create_task(answer())
        await asyncio.sleep(0)
        await asyncio.wait_for(draining.drain(), 5)
        self.assertEqual(ErrorCode.ANSWER_INTERRUPTED, await answering)

    @run_async
    async def test_a_timeout_raised_by_the_work_itself_is_passed_on(self) -> None:
        draining = Draining(FleetModel(1).fleets[0], Shutdown(0.1, 0.2))
        with self.assertRaisesRegex(TimeoutError, "own"):
            async with ending_at_handover(draining):
                raise TimeoutError("own")
        self.assertEqual(set(), draining.running)
