"""Test what becomes of runs that were left at upstreams that still answer.

Those of streams come first, then those of generations.
"""

from __future__ import annotations

import asyncio
import io
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from parameterized import parameterized
from testtools import TestCase
from testtools.matchers import EndsWith, MatchesRegex

from tests.common.asynchronous import run_async
from tests.common.engines import make_engines
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
from tests.common.waiting import wait_until
from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.open_losses import EndState
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    AttemptConnected,
    MemoryCopy,
    ProbeUpstream,
    ReleaseCopy,
    ReportState,
    RunStopped,
    SettleRun,
    StartRelay,
    StoppedRun,
    StopRun,
    StreamFinished,
    UpstreamProbed,
)
from turmericusher.decisions.relay_state import SILENT_LIMIT_S
from turmericusher.decisions.run_ends import (
    MAX_AGE_S,
    START_DELAY_S,
    LeftGenerationRun,
    LeftRelayRun,
    RunEnd,
    RunEnds,
    is_final,
    leave_generation_run,
)
from turmericusher.logs import logging_to
from turmericusher.ports.upstream import EnginePort
from turmericusher.standins.working_upstream import HANDOVER_LIMIT_S
from turmericusher.tasks.generation_runs import GenerationRunAsker
from turmericusher.tasks.relay_runs import RelayRunAsker, StopOrders, loop_time
from turmericusher.tasks.run_ends import RunEndChecks, checking_run_ends

EVENT_AT = 0.1
PROBED_AT = EVENT_AT + RUNNING_PROBE_S
ANSWERED_AT = PROBED_AT + 0.15

STARTED_AT = 100.0
LEFT_AT = 100.5
ENGINE, OTHER = make_engines(2)


def left_relay_run(name, now, lasts_s):
    """Return a run of a relayed request that is left now, with its deadline."""
    one, other = make_upstream(0), make_upstream(1)
    return LeftRelayRun(name, one, now, now + lasts_s, now, other)


def make_ended_port():
    """Return the port of an upstream that refuses connections."""
    return FakePort(EndState.ENDED, RunEnd.UPSTREAM_ENDED)


def make_relay_checks(port, release=lambda _: None):
    """Return the checks of a relay; `release` gets the copies."""
    asker = RelayRunAsker(port, StopOrders(port, set()), release)
    return RunEndChecks(RunEnds(), asker, loop_time)


def left_generation_run(
    name: str = "r-1", upstream: UpstreamInstance = ENGINE
) -> LeftGenerationRun:
    """Return the run of that name, which was left."""
    request_id, _, attempt = name.rpartition("-")
    return leave_generation_run(request_id, int(attempt), upstream, STARTED_AT, LEFT_AT)


def make_generation_checks(
    port: EnginePort, after_s: float = START_DELAY_S
) -> RunEndChecks[LeftGenerationRun]:
    """Return the checks of generations, at so many seconds after their runs' start."""
    asker = GenerationRunAsker(port)
    return RunEndChecks(RunEnds(), asker, lambda: STARTED_AT + after_s)


def make_stoppable_stream():
    """Return a stream with three events whose upstream takes orders to stop."""
    relay, start = make_started_stream(make_relay_shared(), 3)
    traits = replace(relay.routed.service, moves_copies=True)
    relay.routed = replace(relay.routed, service=traits)
    relay.handle(AttemptConnected(1, 0.0), EVENT_AT)
    return relay, start


def lose_unreached(relay):
    """Lose a stream's connection to an upstream that is not reached any more."""
    relay.handle(failed(1, AttemptCause.LOST, MAY_HAVE_RUN, 0.2), 0.2)
    return relay.handle(UpstreamProbed(1, 0.3, None, ReportState.UNREACHED), 0.3)


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
    def test_twice_a_stream_is_stopped_also_where_no_standby_is_left(self):
        relay, start = make_stoppable_stream()
        relay.excluded |= relay.shared.selector.upstreams.keys()
        relay.attempts[1].copy = None
        relay.tick(PROBED_AT)
        report = make_upstream_report(made={"q1": 50})
        probed = UpstreamProbed(1, ANSWERED_AT, report, ReportState.ANSWERED)
        (stop,) = relay.handle(probed, ANSWERED_AT)
        self.assertIsInstance(stop, StopRun)
        self.assertNotEqual(start.upstream, stop.target)

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
        unknown = StoppedRun(RunEnd.UNKNOWN, has_answered=False)
        stop, relay, actions = self.stop(lambda _: unknown)
        self.assertEqual([ProbeUpstream(1, stop.upstream)], actions)
        now = ANSWERED_AT + 0.2
        silent = UpstreamProbed(1, now, None, ReportState.SILENT)
        self.assertEqual([], relay.handle(silent, now))
        self.assertGreater(relay.abandon_at(relay.attempts[1]), 1.5)

    def test_a_connection_that_ends_by_the_order_to_stop_is_no_failure(self):
        relay, _, actions = make_probed_stream(ReportState.ANSWERED, made={"q1": 50})
        self.assertEqual(1, len(filter_by_type(actions, StopRun)))
        lost = failed(1, AttemptCause.LOST, MAY_HAVE_RUN, ANSWERED_AT)
        self.assertEqual([], relay.handle(lost, ANSWERED_AT))


class UnderAnOrderTest(TestCase):
    """What comes for an attempt while its upstream has the order to stop it."""

    def make_ordered_stream(self):
        """Return a stream whose upstream has the order to stop it, and the order."""
        relay, _, actions = make_probed_stream(ReportState.ANSWERED, made={"q1": 50})
        (stop,) = filter_by_type(actions, StopRun)
        return relay, stop

    def test_a_stream_does_not_hang_after_unanswered_orders_beside_active_ones(self):
        relay, _ = self.make_ordered_stream()
        now = ANSWERED_AT
        for _ in range(2):
            now += 0.25
            unknown = StoppedRun(RunEnd.UNKNOWN, has_answered=False)
            relay.handle(RunStopped(1, now, unknown), now)
            report = make_upstream_report(made={"q1": 50})
            probed = UpstreamProbed(1, now, report, ReportState.ANSWERED)
            actions = relay.handle(probed, now)
        self.assertEqual(1, len(filter_by_type(actions, StartRelay)))
        self.assertEqual(1, len(filter_by_type(actions, SettleRun)))

    def test_a_stream_does_not_hang_after_a_silent_report_beside_active_ones(self):
        relay, start, _ = make_probed_stream()
        now = ANSWERED_AT
        actions = []
        while not actions and now < 4.0:
            now += 0.05
            relay.shared.stall_detector.record_activity(start.upstream.name, now)
            actions = relay.tick(now) if relay.wake_at() <= now else []
        self.assertEqual(1, len(filter_by_type(actions, StopRun)))
        self.assertLess(now, EVENT_AT + 1.0)

    def test_the_end_of_a_stopped_streams_connection_is_not_the_end_of_the_answer(
        self,
    ):
        relay, _ = self.make_ordered_stream()
        finished = StreamFinished(1, ANSWERED_AT, has_own_end=False)
        self.assertEqual([], relay.handle(finished, ANSWERED_AT))
        self.assertFalse(relay.is_over)

    def test_a_probe_that_is_answered_meanwhile_gives_no_second_order(self):
        relay, _ = self.make_ordered_stream()
        report = make_upstream_report(made={"q1": 50})
        probed = UpstreamProbed(1, ANSWERED_AT, report, ReportState.ANSWERED)
        self.assertEqual([], relay.handle(probed, ANSWERED_AT))

    def test_a_stream_that_was_lost_meanwhile_goes_on_if_its_upstream_has_ended(self):
        relay, _ = self.make_ordered_stream()
        lost = failed(1, AttemptCause.LOST, MAY_HAVE_RUN, ANSWERED_AT)
        relay.handle(lost, ANSWERED_AT)
        now = ANSWERED_AT + 0.1
        stopped = StoppedRun(RunEnd.UPSTREAM_ENDED, has_answered=False)
        actions = relay.handle(RunStopped(1, now, stopped), now)
        self.assertEqual(1, len(filter_by_type(actions, StartRelay)))

    def test_a_stream_that_was_lost_meanwhile_goes_on_if_its_upstream_is_gone(self):
        relay, stop = self.make_ordered_stream()
        lost = failed(1, AttemptCause.LOST, MAY_HAVE_RUN, ANSWERED_AT)
        relay.handle(lost, ANSWERED_AT)
        now = ANSWERED_AT + 0.1
        unknown = StoppedRun(RunEnd.UNKNOWN, has_answered=False)
        actions = relay.handle(RunStopped(1, now, unknown), now)
        self.assertEqual([ProbeUpstream(1, stop.upstream)], actions)
        refused = UpstreamProbed(1, now, None, ReportState.REFUSED)
        actions = relay.handle(refused, now)
        self.assertEqual(1, len(filter_by_type(actions, StartRelay)))

    def test_a_stream_goes_on_if_its_upstream_answers_and_does_not_stop_it(self):
        relay, _ = self.make_ordered_stream()
        now = ANSWERED_AT + 0.2
        actions = relay.handle(RunStopped(1, now, StoppedRun(RunEnd.UNKNOWN)), now)
        self.assertEqual(1, len(filter_by_type(actions, StartRelay)))
        self.assertEqual(1, len(filter_by_type(actions, SettleRun)))

    def test_a_last_copy_that_comes_too_late_is_freed(self):
        relay, stop = self.make_ordered_stream()
        relay.handle(event(1, 9, ANSWERED_AT), ANSWERED_AT)
        copy = MemoryCopy(stop.target, stop.upstream, "h")
        now = ANSWERED_AT + 0.1
        stopped = RunStopped(1, now, StoppedRun(RunEnd.STOPPED, copy))
        self.assertEqual([ReleaseCopy(copy)], relay.handle(stopped, now))

    def test_a_last_copy_that_its_upstream_keeps_is_freed(self):
        relay, stop = self.make_ordered_stream()
        copy = MemoryCopy(stop.upstream, stop.upstream, "h")
        now = ANSWERED_AT + 0.1
        stopped = RunStopped(1, now, StoppedRun(RunEnd.STOPPED, copy))
        actions = relay.handle(stopped, now)
        self.assertEqual([ReleaseCopy(copy)], filter_by_type(actions, ReleaseCopy))
        (resumed,) = filter_by_type(actions, StartRelay)
        self.assertEqual("q1", resumed.copy.handle)

    def test_a_run_without_an_event_may_begin_after_its_upstream_did_not_know_it(self):
        relay, _ = self.make_ordered_stream()
        relay.attempts[1].first_event_at = None
        relay.attempts[1].events = 0
        now = ANSWERED_AT + 0.1
        actions = relay.handle(RunStopped(1, now, StoppedRun(RunEnd.ABSENT)), now)
        (settle,) = filter_by_type(actions, SettleRun)
        self.assertGreater(settle.run.may_start_until, now)


class LostStreamTest(TestCase):
    def lose(self, state, report=None, at=0.2):
        """Lose the connection of a stream; return what its upstream's report brings."""
        relay, start = make_stoppable_stream()
        actions = relay.handle(failed(1, AttemptCause.LOST, MAY_HAVE_RUN, at), at)
        self.assertEqual([ProbeUpstream(1, start.upstream)], actions)
        probed = UpstreamProbed(1, at + 0.01, report, state)
        return relay, start, relay.handle(probed, at + 0.01)

    @parameterized.expand(
        [
            ("has_ended", ReportState.REFUSED, 0),
            ("is_not_reached", ReportState.UNREACHED, 1),
            ("breaks_off_its_answer", ReportState.INVALID, 1),
        ]
    )
    def test_a_lost_stream_goes_on_at_once_if_its_upstream(self, _, state, settles):
        _, start, actions = self.lose(state)
        (resumed,) = filter_by_type(actions, StartRelay)
        self.assertEqual(start.standby, resumed.upstream)
        self.assertEqual(settles, len(filter_by_type(actions, SettleRun)))

    @parameterized.expand(
        [
            ("has_stopped_its_run", RunEnd.STOPPED, "h"),
            ("does_not_run_it", RunEnd.ABSENT, "q1"),
        ]
    )
    def test_twice_a_lost_stream_goes_on_when_an_upstream_that_answers(
        self, _, end, handle
    ):
        relay, _, actions = self.lose(ReportState.ANSWERED, make_upstream_report())
        (stop,) = actions
        self.assertIsInstance(stop, StopRun)
        copy = MemoryCopy(stop.target, stop.upstream, "h")
        stopped = StoppedRun(end, copy if end is RunEnd.STOPPED else None)
        actions = relay.handle(RunStopped(1, 0.25, stopped), 0.25)
        (resumed,) = filter_by_type(actions, StartRelay)
        self.assertEqual(handle, resumed.copy.handle)
        self.assertEqual([], filter_by_type(actions, SettleRun))

    def test_twice_a_lost_stream_waits_for_an_upstream_that_may_stand_still(self):
        relay, _, actions = self.lose(ReportState.SILENT)
        self.assertEqual([], actions)
        now = 0.2
        while not filter_by_type(actions, StartRelay):
            now = relay.wake_at()
            actions = relay.tick(now)
            silent = UpstreamProbed(1, now, None, ReportState.SILENT)
            actions += relay.handle(silent, now)
        self.assertAlmostEqual(EVENT_AT + SILENT_LIMIT_S, now, delta=0.25)


class LeftRunTest(TestCase):
    @parameterized.expand([("silent",), ("being_stopped",)])
    def test_a_run_is_asked_about_when_its_request_ends_while_its_upstream_is(
        self, state
    ):
        if state == "silent":
            relay, _, _ = make_probed_stream()
        else:
            relay, _, _ = make_probed_stream(ReportState.ANSWERED, made={"q1": 50})
        actions = relay.close(ANSWERED_AT + 0.1)
        self.assertEqual(1, len(filter_by_type(actions, SettleRun)))

    def test_an_order_for_a_left_run_spares_the_copy_that_its_stream_goes_on_from(
        self,
    ):
        relay, start = make_stoppable_stream()
        others = [start.standby, start.upstream]
        relay.shared.selector.update(others)
        actions = lose_unreached(relay)
        (settle,) = filter_by_type(actions, SettleRun)
        (resumed,) = filter_by_type(actions, StartRelay)
        self.assertEqual(start.standby, resumed.upstream)
        self.assertNotEqual(start.standby, settle.run.target)

    def test_a_run_is_asked_about_where_no_other_upstream_is_listed(self):
        relay, start = make_stoppable_stream()
        relay.shared.selector.update([start.upstream])
        actions = lose_unreached(relay)
        self.assertEqual(1, len(filter_by_type(actions, SettleRun)))

    @run_async
    async def test_an_upstream_that_has_ended_gets_one_order_for_all_runs(self):
        port = make_ended_port()
        checks, now = make_relay_checks(port), loop_time()
        async with checking_run_ends(checks):
            for number in range(40):
                checks.add(left_relay_run(f"q{number}", now, 9.0), cause="lost")
            await wait_until(lambda: not checks.checks)
        self.assertEqual((1, 1), (port.questions, port.stops))
        self.assertEqual({RunEnd.UPSTREAM_ENDED: 40}, dict(checks.run_ends.ended))

    @run_async
    async def test_all_orders_are_sent_within_the_handover_limit(self):
        port = SlowPort(EndState.RUNNING, RunEnd.STOPPED)
        checks, now = make_relay_checks(port), loop_time()
        async with checking_run_ends(checks):
            for number in range(60):
                checks.add(left_relay_run(f"q{number}", now, 9.0), cause="lost")
            await wait_until(lambda: len(port.ordered_at) == 60)
        self.assertLess(max(port.ordered_at) - now, HANDOVER_LIMIT_S)

    @run_async
    async def test_an_upstream_that_answers_again_is_asked_at_once(self):
        port = FakePort(EndState.UNKNOWN, RunEnd.STOPPED)
        checks, run = make_relay_checks(port), left_relay_run("q1", loop_time(), 9.0)
        async with checking_run_ends(checks):
            checks.add(run, cause="lost")
            await asyncio.sleep(1.0)
            port.state, back_at = EndState.RUNNING, loop_time()
            checks.wake(run.upstream)
            await wait_until(lambda: not checks.checks)
        self.assertLess(loop_time() - back_at, HANDOVER_LIMIT_S)

    @run_async
    async def test_a_copy_that_is_complete_too_late_is_freed(self):
        port, tasks = SlowPort(EndState.RUNNING, RunEnd.STOPPED, delay_s=0.4), set()
        one, other = make_upstream(0), make_upstream(1)
        stopped = await StopOrders(port, tasks).stop(one, "q1", other)
        self.assertEqual(StoppedRun(RunEnd.UNKNOWN, has_answered=False), stopped)
        await asyncio.gather(*tasks)
        self.assertEqual(["h"], [copy.handle for copy in port.released])

    def test_twice_a_request_is_not_sent_to_an_upstream_that_may_still_run_it(self):
        relay, start = make_stoppable_stream()
        (settle,) = filter_by_type(lose_unreached(relay), SettleRun)
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
            (
                "the_upstream_has_ended",
                EndState.ENDED,
                RunEnd.UPSTREAM_ENDED,
                RunEnd.UPSTREAM_ENDED,
                1,
            ),
            (
                "its_successor_stops_it",
                EndState.ENDED,
                RunEnd.STOPPED,
                RunEnd.STOPPED,
                1,
            ),
            ("its_successor_lacks_it", EndState.ENDED, RunEnd.ABSENT, RunEnd.ABSENT, 1),
            ("it_is_stopped", EndState.RUNNING, RunEnd.STOPPED, RunEnd.STOPPED, 1),
            ("it_is_absent", EndState.RUNNING, RunEnd.ABSENT, RunEnd.ABSENT, 1),
            ("its_deadline_passes", EndState.UNKNOWN, None, RunEnd.EXPIRED, 0),
            ("no_stop_is_known", EndState.RUNNING, RunEnd.UNKNOWN, RunEnd.EXPIRED, 2),
        ]
    )
    @run_async
    async def test_a_run_that_was_left_is_open_until(self, _, state, end, known, stops):
        port, released = FakePort(state, end), []
        checks = make_relay_checks(port, released.append)
        run = left_relay_run("q1", loop_time(), 0.3)
        async with checking_run_ends(checks):
            checks.add(run, cause="lost")
            self.assertEqual({"u0"}, checks.run_ends.open_upstreams("q1"))
            async with asyncio.timeout(5.0):
                while checks.checks:
                    await asyncio.sleep(0.01)
        self.assertEqual({known: 1}, dict(checks.run_ends.ended))
        self.assertGreaterEqual(port.stops, stops)
        self.assertEqual(end is RunEnd.STOPPED, bool(released))

    @run_async
    async def test_a_run_that_is_left_as_the_last_one_ends_is_found_out_about(self):
        checks, now = (
            make_relay_checks(make_ended_port()),
            loop_time(),
        )
        await self.leave_one_after_another(
            checks, [left_relay_run(f"q{number}", now, 9.0) for number in range(40)]
        )
        self.assertEqual({RunEnd.UPSTREAM_ENDED: 40}, dict(checks.run_ends.ended))

    @run_async
    async def test_a_generation_run_that_is_left_as_the_last_one_ends_is_stopped(self):
        checks = make_generation_checks(FakePort(None, RunEnd.STOPPED))
        await self.leave_one_after_another(
            checks, [left_generation_run(f"r-{number}") for number in range(40)]
        )
        self.assertEqual({RunEnd.STOPPED: 40}, dict(checks.run_ends.ended))

    async def leave_one_after_another(self, checks, runs):
        """Leave a run at each step of the event loop, and wait until all have ended."""
        async with checking_run_ends(checks):
            checks.add(runs[0], cause="lost")
            for run in runs[1:]:
                await asyncio.sleep(0)
                checks.add(run, cause="lost")
            async with asyncio.timeout(5.0):
                while checks.checks:
                    await asyncio.sleep(0.01)
        self.assertEqual(0, checks.run_ends.count())
        self.assertEqual({}, checks.run_ends.by_upstream)

    @parameterized.expand(
        [
            (
                "request",
                lambda: make_relay_checks(make_ended_port()),
                lambda: left_relay_run("q1", loop_time(), 9.0),
                {"cause": "lost"},
                "id=q1 upstream=u0",
                "upstream_ended",
            ),
            (
                "generation",
                lambda: make_generation_checks(ScriptedPort(iter([RunEnd.NO_STOP]))),
                left_generation_run,
                {},
                f"request_id=r attempt=1 upstream={ENGINE.name}",
                "no_stop",
            ),
        ]
    )
    @run_async
    async def test_the_log_tells_of_the_run_that_was_left_by_a(
        self, _, make_checks, make_run, details, fields, end
    ):
        checks, stream = make_checks(), io.StringIO()
        with logging_to(stream):
            async with checking_run_ends(checks):
                checks.add(make_run(), **details)
                await wait_until(lambda: not checks.checks)
        left, ended = stream.getvalue().splitlines()
        cause = "".join(f" {key}={value}" for key, value in details.items())
        self.assertThat(left, EndsWith(f" event=run_left {fields}{cause}"))
        line = rf".* event=run_ended {fields} end={end} after_s=[0-9.e-]+$"
        self.assertThat(ended, MatchesRegex(line))

    @run_async
    async def test_no_question_is_asked_after_the_deadline_of_a_request(self):
        port = FakePort(EndState.RUNNING, RunEnd.STOPPED)
        checks = make_relay_checks(port)
        await checks.ask(checks.run_ends.add(left_relay_run("q1", loop_time(), 0.0)))
        self.assertEqual((0, 0), (port.questions, port.stops))
        self.assertEqual({RunEnd.EXPIRED: 1}, dict(checks.run_ends.ended))

    @run_async
    async def test_an_upstream_that_does_not_answer_gets_no_order_and_few_questions(
        self,
    ):
        port = FakePort(EndState.UNKNOWN, None)
        checks, now = make_relay_checks(port), loop_time()
        async with checking_run_ends(checks):
            for number in range(50):
                checks.add(left_relay_run(f"q{number}", now, 9.0), cause="lost")
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

    async def stop_runs(self, upstream, names):
        self.stops += 1
        return self.end


class SlowPort(FakePort):
    """Answers an order when the copy is complete, after `delay_s` seconds."""

    def __init__(self, state, end, delay_s=0.1):
        super().__init__(state, end)
        self.delay_s, self.ordered_at, self.released = delay_s, [], []

    async def stop_run(self, source, request_id, target):
        self.ordered_at.append(loop_time())
        await asyncio.sleep(self.delay_s)
        return await super().stop_run(source, request_id, target)

    async def release_copy(self, copy):
        self.released.append(copy)


@dataclass(slots=True)
class ScriptedPort:
    """An engine port whose stops have the results of `ends`, one after another.

    `asked` records the engine and the runs of each stop.
    """

    ends: Iterator[RunEnd | Exception]
    asked: list[tuple[str, tuple[str, ...]]] = field(default_factory=list)

    async def stop_runs(
        self, upstream: UpstreamInstance, names: tuple[str, ...]
    ) -> RunEnd:
        """Return or raise the next result."""
        self.asked.append((upstream.name, names))
        await asyncio.sleep(0)
        end = next(self.ends)
        if isinstance(end, Exception):
            raise end
        return end


class GenerationRunEndTest(TestCase):
    @parameterized.expand(
        [
            ("stopped", RunEnd.STOPPED, START_DELAY_S, RunEnd.STOPPED),
            ("stopped_before_it_may_have_begun", RunEnd.STOPPED, 0.9, None),
            ("engine_gone", RunEnd.UPSTREAM_ENDED, 0.5, RunEnd.UPSTREAM_ENDED),
            ("engine_without_stop", RunEnd.NO_STOP, 0.5, RunEnd.NO_STOP),
            ("no_answer", RunEnd.UNKNOWN, MAX_AGE_S, None),
            ("no_answer_for_long", RunEnd.UNKNOWN, MAX_AGE_S + 0.5, RunEnd.EXPIRED),
        ]
    )
    @run_async
    async def test_a_run_is_kept_until_its_end_is_known(
        self, _name: str, end: RunEnd, after_s: float, settled: RunEnd | None
    ) -> None:
        """The time counts from the start of the run."""
        checks = make_generation_checks(ScriptedPort(iter([end])), after_s)
        run = left_generation_run()
        left = checks.run_ends.add(run)
        self.assertEqual(settled is end, is_final(run, end, STARTED_AT + after_s))
        await checks.ask(left)
        self.assertEqual(
            {} if settled is None else {settled: 1}, dict(checks.run_ends.ended)
        )
        self.assertEqual([run] if settled is None else [], list(left.runs.values()))

    @run_async
    async def test_a_run_expires_though_each_question_fails(self) -> None:
        port = ScriptedPort(iter([ValueError("x")]))
        checks = make_generation_checks(port, MAX_AGE_S + 0.5)
        await checks.ask(checks.run_ends.add(left_generation_run()))
        self.assertEqual({RunEnd.EXPIRED: 1}, dict(checks.run_ends.ended))

    @run_async
    async def test_an_answer_tells_of_the_time_at_which_it_was_asked_for(self) -> None:
        port = ScriptedPort(iter([RunEnd.STOPPED]))
        times = iter([STARTED_AT + 0.9, *[STARTED_AT + START_DELAY_S] * 9])
        asker = GenerationRunAsker(port)
        checks = RunEndChecks(RunEnds(), asker, lambda: next(times))
        await checks.ask(checks.run_ends.add(left_generation_run()))
        self.assertEqual(1, checks.run_ends.count())

    def test_nothing_is_kept_of_an_engine_without_runs(self) -> None:
        run_ends: RunEnds[LeftGenerationRun] = RunEnds()
        runs = [
            left_generation_run("r-1"),
            left_generation_run("r-2"),
            left_generation_run("r-1", OTHER),
        ]
        for run in runs:
            run_ends.add(run)
        self.assertEqual((3, 2), (run_ends.count(), len(run_ends.by_upstream)))
        for run in runs:
            left = run_ends.by_upstream[run.upstream.name, run.upstream.incarnation]
            self.assertFalse(run_ends.close(left))
            run_ends.record_end(run, RunEnd.STOPPED)
        for left in list(run_ends.by_upstream.values()):
            self.assertTrue(run_ends.close(left))
        self.assertEqual({}, run_ends.by_upstream)
        self.assertEqual(3, run_ends.ended[RunEnd.STOPPED])

    @parameterized.expand(
        [
            ("at_once", [RunEnd.STOPPED], RunEnd.STOPPED),
            ("once_it_answers", [RunEnd.UNKNOWN, RunEnd.STOPPED], RunEnd.STOPPED),
            ("after_an_error", [ValueError("x"), RunEnd.STOPPED], RunEnd.STOPPED),
            ("not_at_all", [RunEnd.NO_STOP], RunEnd.NO_STOP),
            (
                "until_it_is_gone",
                [RunEnd.UNKNOWN, RunEnd.UPSTREAM_ENDED],
                RunEnd.UPSTREAM_ENDED,
            ),
        ]
    )
    @run_async
    async def test_an_engine_stops_its_runs(
        self, _name: str, ends: list[RunEnd | Exception], end: RunEnd
    ) -> None:
        port = ScriptedPort(iter(ends))
        checks = make_generation_checks(port)
        async with checking_run_ends(checks):
            checks.add(left_generation_run("r-1"))
            checks.add(left_generation_run("r-2"))
            await wait_until(lambda: not checks.checks)
        self.assertEqual([(ENGINE.name, ("r-1", "r-2"))] * len(ends), port.asked)
        self.assertEqual({end: 2}, dict(checks.run_ends.ended))
        self.assertEqual(0, checks.run_ends.count())

    @run_async
    async def test_a_run_that_is_left_during_a_question_is_asked_for_at_once(
        self,
    ) -> None:
        port = ScriptedPort(iter([RunEnd.STOPPED, RunEnd.STOPPED]))
        checks = make_generation_checks(port)
        async with checking_run_ends(checks):
            checks.add(left_generation_run("r-1"))
            await wait_until(lambda: len(port.asked) == 1)
            checks.add(left_generation_run("r-2"))
            await wait_until(lambda: not checks.checks)
        self.assertEqual(0, checks.run_ends.count())
        self.assertEqual(2, checks.run_ends.ended[RunEnd.STOPPED])
        self.assertEqual((ENGINE.name, ("r-2",)), port.asked[-1])
