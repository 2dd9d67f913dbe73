"""Test what becomes of the runs that a stream leaves at upstreams that still answer."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import (
    MAY_HAVE_RUN,
    RUNNING_PROBE_S,
    event,
    failed,
    filter_by_type,
    make_started_stream,
    make_upstream_report,
)
from tests.common.relay_fixtures import make_relay_shared, make_upstream
from turmericusher.decisions.open_losses import EndState
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    AttemptConnected,
    MemoryCopy,
    ReportState,
    RunStopped,
    SettleRun,
    StartRelay,
    StoppedRun,
    StopRun,
    UpstreamProbed,
)
from turmericusher.decisions.relay_state import SILENT_LIMIT_S
from turmericusher.decisions.run_ends import LeftRun, RunEnd, RunEnds
from turmericusher.tasks.run_ends import RunEndChecks, checking_run_ends

EVENT_AT = 0.1
PROBED_AT = EVENT_AT + RUNNING_PROBE_S
ANSWERED_AT = PROBED_AT + 0.15


def make_stoppable_stream():
    """Return a stream with three events whose upstream takes orders to stop."""
    relay, start = make_started_stream(make_relay_shared(), 3)
    traits = replace(relay.routed.service, moves_copies=True)
    relay.routed = replace(relay.routed, service=traits)
    relay.handle(AttemptConnected(1, 0.0), EVENT_AT)
    return relay, start


def make_probed_stream(state=ReportState.SILENT, made=None):
    """Return a stream with three events whose upstream was probed, and its actions."""
    relay, start = make_stoppable_stream()
    relay.tick(PROBED_AT)
    report = make_upstream_report(made=made) if state is ReportState.ANSWERED else None
    probed = UpstreamProbed(1, ANSWERED_AT, report, state)
    return relay, start, relay.handle(probed, ANSWERED_AT)


class SilentUpstreamTest(TestCase):
    @parameterized.expand(
        [
            ("is_silent_and_may_stand_still", ReportState.SILENT, []),
            ("refuses_connections", ReportState.REFUSED, [2]),
            ("is_not_reached", ReportState.UNREACHED, [2]),
            ("answers_without_a_report", ReportState.INVALID, [2]),
        ]
    )
    def test_twice_a_stream_leaves_by_what_was_seen_of_an_upstream_that(
        self, _, state, attempts
    ):
        _, _, actions = make_probed_stream(state)
        starts = filter_by_type(actions, StartRelay)
        self.assertEqual(attempts, [each.attempt for each in starts])

    def test_a_stream_goes_on_when_its_upstream_is_silent_for_too_long(self):
        relay, _, actions = make_probed_stream()
        now = ANSWERED_AT
        while not filter_by_type(actions, StartRelay):
            now = relay.wake_at()
            actions = relay.tick(now)
            probed = UpstreamProbed(1, now, None, ReportState.SILENT)
            actions += relay.handle(probed, now)
        self.assertAlmostEqual(EVENT_AT + SILENT_LIMIT_S, now, delta=0.25)
        self.assertLess(now - EVENT_AT, 2.0)
        # An upstream that stands still would find the order to stop when it goes on.
        self.assertEqual([], filter_by_type(actions, StopRun))
        self.assertEqual(1, len(filter_by_type(actions, SettleRun)))

    def test_an_event_ends_the_silence_of_an_upstream(self):
        relay, _, _ = make_probed_stream()
        relay.handle(event(1, 4, 1.0), 1.0)
        self.assertFalse(relay.attempts[1].is_upstream_silent)
        self.assertLess(relay.wake_at(), 1.0 + SILENT_LIMIT_S)


class StopFirstTest(TestCase):
    def stop(self, make_stopped):
        """Stop the run of a stream whose events are lost; return what follows."""
        relay, _, actions = make_probed_stream(ReportState.ANSWERED, made={"q1": 50})
        self.assertEqual([], filter_by_type(actions, StartRelay))
        (stop,) = filter_by_type(actions, StopRun)
        stopped = make_stopped(stop)
        now = ANSWERED_AT + 0.01
        return stop, relay, relay.handle(RunStopped(1, now, stopped), now)

    @parameterized.expand(
        [
            ("stopped_and_copied", RunEnd.STOPPED, "copy-1"),
            ("no_longer_running", RunEnd.ABSENT, None),
        ]
    )
    def test_twice_a_stream_whose_events_are_lost_goes_on_when_its_run_is(
        self, _, end, handle
    ):
        def make_stopped(stop):
            copy = handle and MemoryCopy(stop.target, stop.upstream, handle)
            return StoppedRun(end, copy)

        stop, _, actions = self.stop(make_stopped)
        (resumed,) = filter_by_type(actions, StartRelay)
        self.assertEqual(stop.target, resumed.upstream)
        self.assertEqual(handle or "q1", resumed.copy.handle)
        self.assertEqual([], filter_by_type(actions, SettleRun))

    def test_twice_a_stream_waits_if_the_order_to_stop_is_not_answered(self):
        _, relay, actions = self.stop(lambda _: StoppedRun(RunEnd.UNKNOWN))
        self.assertEqual([], filter_by_type(actions, StartRelay))
        self.assertTrue(relay.attempts[1].is_upstream_silent)

    def test_a_connection_that_ends_by_the_order_to_stop_is_no_failure(self):
        relay, _, actions = make_probed_stream(ReportState.ANSWERED, made={"q1": 50})
        self.assertEqual(1, len(filter_by_type(actions, StopRun)))
        lost = failed(1, AttemptCause.LOST, MAY_HAVE_RUN, ANSWERED_AT)
        self.assertEqual([], relay.handle(lost, ANSWERED_AT))


class LeftRunTest(TestCase):
    def test_twice_a_request_is_not_sent_to_an_upstream_that_may_still_run_it(self):
        relay, start = make_stoppable_stream()
        lost = failed(1, AttemptCause.LOST, MAY_HAVE_RUN, 0.2)
        (settle,) = filter_by_type(relay.handle(lost, 0.2), SettleRun)
        relay.shared.run_ends.add(settle.run)
        relay.excluded.clear()
        self.assertEqual({start.upstream.name}, relay.open_upstreams())
        self.assertNotIn(
            start.upstream,
            relay.shared.selector.candidates(relay.pick_request(set(), set(), 0.3)),
        )
        relay.shared.run_ends.record_end(settle.run, RunEnd.ABSENT)
        self.assertEqual(frozenset(), relay.open_upstreams())

    @parameterized.expand(
        [
            ("the_upstream_has_ended", EndState.ENDED, None, RunEnd.UPSTREAM_ENDED, 0),
            ("it_is_stopped", EndState.RUNNING, RunEnd.STOPPED, RunEnd.STOPPED, 1),
            ("it_is_absent", EndState.RUNNING, RunEnd.ABSENT, RunEnd.ABSENT, 1),
            ("its_deadline_passes", EndState.UNKNOWN, None, RunEnd.EXPIRED, 0),
            ("no_stop_is_known", EndState.RUNNING, RunEnd.UNKNOWN, RunEnd.EXPIRED, 2),
        ]
    )
    @run_async
    async def test_a_run_that_was_left_is_open_until(self, _, state, end, known, stops):
        port, released = FakePort(state, end), []
        checks = RunEndChecks(RunEnds(), port, released.append)
        now = asyncio.get_running_loop().time()
        run = LeftRun("q1", make_upstream(0), make_upstream(1), now, now + 0.3, now)
        async with checking_run_ends(checks):
            checks.add(run, "lost")
            self.assertEqual({"u0"}, checks.run_ends.open_upstreams("q1"))
            async with asyncio.timeout(5.0):
                while checks.checks:
                    await asyncio.sleep(0.01)
        self.assertEqual({known: 1}, dict(checks.run_ends.ended))
        self.assertGreaterEqual(port.stops, stops)
        self.assertEqual(end is RunEnd.STOPPED, bool(released))

    @run_async
    async def test_a_run_that_is_left_as_the_last_one_ends_is_found_out_about(self):
        checks = RunEndChecks(RunEnds(), FakePort(EndState.ENDED, None), lambda _: None)
        now = asyncio.get_running_loop().time()
        one, other = make_upstream(0), make_upstream(1)
        first, *others = (
            LeftRun(f"q{number}", one, other, now, now + 9.0, now)
            for number in range(40)
        )
        async with checking_run_ends(checks):
            checks.add(first, "lost")
            for run in others:
                await asyncio.sleep(0)
                checks.add(run, "lost")
            async with asyncio.timeout(5.0):
                while checks.checks:
                    await asyncio.sleep(0.01)
        self.assertEqual(0, checks.run_ends.count())
        self.assertEqual(40, checks.run_ends.ended[RunEnd.UPSTREAM_ENDED])

    @run_async
    async def test_an_upstream_that_does_not_answer_gets_no_order_and_few_questions(
        self,
    ):
        port = FakePort(EndState.UNKNOWN, None)
        checks = RunEndChecks(RunEnds(), port, lambda _: None)
        now = asyncio.get_running_loop().time()
        async with checking_run_ends(checks):
            for number in range(50):
                name = f"q{number}"
                checks.add(
                    LeftRun(
                        name, make_upstream(0), make_upstream(1), now, now + 9, now
                    ),
                    "lost",
                )
            await asyncio.sleep(0.5)
        self.assertEqual(0, port.stops)
        self.assertLess(port.questions, 8)


class FakePort:
    """Answers questions and orders in one way, and counts them."""

    def __init__(self, state, end):
        self.state, self.end = state, end
        self.questions = self.stops = 0

    async def find_end_state(self, upstream):
        self.questions += 1
        return self.state

    async def stop_run(self, source, request_id, target):
        self.stops += 1
        is_stopped = self.end is RunEnd.STOPPED
        copy = MemoryCopy(target, source, "h") if is_stopped else None
        return StoppedRun(self.end, copy)
