"""Test how a relayed stream reacts to an upstream that stalls."""

import itertools

from parameterized import parameterized
from testtools import TestCase

from tests.common.relay_events import (
    MAY_HAVE_RUN,
    NOT_RUN,
    RESUMABLE,
    RUNNING_LIMIT_S,
    RUNNING_PROBE_S,
    event,
    failed,
    filter_by_type,
    make_started_stream,
    make_upstream_report,
)
from tests.common.relay_fixtures import (
    SERVICE,
    make_relay_shared,
    make_test_relay,
    start_taken_up,
)
from turmericusher.decisions.generation_messages import CancelAttempt
from turmericusher.decisions.relay import REPORT_VISIBLE_AFTER_S
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    ProbeUpstream,
    StartRelay,
    UpstreamProbed,
)
from turmericusher.decisions.relay_state import (
    BUSY_LIMIT_S,
    MIN_STARTING_LIMIT_S,
    STARTING_LIMIT_SHARE,
    STARTING_PROBE_AFTER_S,
)

UPSTREAMS = 16


class RefusedConnectionsTest(TestCase):
    def test_a_stream_tries_upstreams_that_all_refuse_connections_ever_less_often(
        self,
    ):
        shared = make_relay_shared(UPSTREAMS)
        relay = make_test_relay(RESUMABLE, shared, deadline=60.0)
        relay.start(0.0)
        relay.handle(event(1, 1), 0.1)
        now, tries = 0.2, []
        actions = relay.handle(failed(1, AttemptCause.LOST, MAY_HAVE_RUN, now), now)
        while now < 10.0:
            # Other requests reach the service, such as at its other version.
            shared.reach.record_success(SERVICE, now)
            starts = filter_by_type(actions, StartRelay)
            if starts:
                now += 0.001
                tries.append(now)
                failure = failed(
                    starts[0].attempt, AttemptCause.UNREACHABLE, NOT_RUN, now
                )
                actions = relay.handle(failure, now)
            else:
                now = relay.wake_at()
                actions = relay.tick(now)
        last_second = [at for at in tries if at > now - 1.0]
        self.assertLessEqual(len(last_second), 2 * UPSTREAMS)
        # Output goes on within 2 s after an upstream is back.
        gaps = [b - a for a, b in itertools.pairwise(tries)]
        self.assertLess(max(gaps), 1.5)


class StallTest(TestCase):
    @parameterized.expand(
        [
            ("before the first event", 0, STARTING_PROBE_AFTER_S),
            ("between events", 3, 0.1 + RUNNING_PROBE_S),
        ]
    )
    def test_a_stalled_upstream_is_probed_and_abandoned_if_unreachable(
        self, _, events, due_at
    ):
        relay, start = make_started_stream(make_relay_shared(), events)
        if not events:
            relay.attempts[1].last_active_at = 0.0
        self.assertAlmostEqual(due_at, relay.wake_at())
        (probe,) = relay.tick(due_at)
        self.assertEqual(ProbeUpstream(1, start.upstream), probe)
        at = due_at + 0.1
        actions = relay.handle(UpstreamProbed(1, at, None), at)
        self.assertEqual([CancelAttempt(1)], filter_by_type(actions, CancelAttempt))
        (resumed,) = filter_by_type(actions, StartRelay)
        self.assertEqual(start.standby, resumed.upstream)

    @parameterized.expand(
        [
            ("short target", 0.1, make_upstream_report(), MIN_STARTING_LIMIT_S),
            ("long target", 4.0, make_upstream_report(), 4.0 * STARTING_LIMIT_SHARE),
            ("a prompt is in prefill", 0.1, make_upstream_report(1), BUSY_LIMIT_S),
            (
                "requests are waiting",
                0.1,
                make_upstream_report(waiting=1),
                BUSY_LIMIT_S,
            ),
        ]
    )
    def test_an_upstream_that_answers_the_probe_has_until_a_limit(
        self, _, target_s, upstream_report, limit_s
    ):
        relay = make_test_relay(
            RESUMABLE, make_relay_shared(), target_latency_s=target_s
        )
        relay.start(0.0)
        relay.tick(STARTING_PROBE_AFTER_S)
        answer = UpstreamProbed(1, 0.65, upstream_report)
        self.assertEqual([], relay.handle(answer, 0.65))
        now = 0.65
        while now < limit_s - 0.01:
            self.assertEqual([], filter_by_type(relay.tick(now), StartRelay))
            now = max(relay.wake_at(), now + 0.01)
        self.assertEqual(1, len(filter_by_type(relay.tick(limit_s), StartRelay)))

    @parameterized.expand(
        [
            ("all that arrived, and those before", {"q1": 6}, False),
            ("the first of its own, in transit", {"q1": 8}, False),
            ("more of its own than can be in transit", {"q1": 9}, True),
            ("those of its own alone", {"q1": 2}, False),
        ]
    )
    def test_a_resumed_attempt_is_not_expected_to_repeat_the_events_before_it(
        self, _, made, is_abandoned
    ):
        # Engines count the events of a resumed stream from its beginning.
        relay = make_test_relay(RESUMABLE, make_relay_shared(), resume_after=4)
        start_taken_up(relay)
        relay.handle(event(1, 5), 0.1)
        relay.handle(event(1, 6), 0.1)
        at = relay.wake_at()
        relay.tick(at)
        answer = UpstreamProbed(1, at, make_upstream_report(made=made))
        starts = filter_by_type(relay.handle(answer, at), StartRelay)
        self.assertEqual(is_abandoned, bool(starts))

    @parameterized.expand(
        [
            ("it produces events that do not arrive", 0, {"q1": 2}, 0, True),
            ("it has not begun", 0, {}, 1, False),
            ("events are in transit", 3, {"q1": 5}, 0, False),
            ("events are lost", 3, {"q1": 6}, 0, True),
            ("it no longer runs the request", 3, {}, 0, True),
            ("it has requeued the request", 3, {}, 1, False),
        ]
    )
    def test_the_report_of_a_stalled_upstream_decides_the_attempt(
        self, _, events, made, waiting, is_abandoned
    ):
        relay, start = make_started_stream(make_relay_shared(), events)
        if events:
            relay.attempts[1].first_event_at = -REPORT_VISIBLE_AFTER_S
        at = relay.wake_at()
        relay.tick(at)
        answer = UpstreamProbed(1, at, make_upstream_report(waiting=waiting, made=made))
        starts = filter_by_type(relay.handle(answer, at), StartRelay)
        self.assertEqual(is_abandoned, bool(starts))
        if is_abandoned:
            self.assertEqual(start.standby, starts[0].upstream)
            self.assertTrue(starts[0].from_copy)

    @parameterized.expand(
        [
            ("too recent to be reported", 0.65, make_upstream_report(), False),
            ("old enough to be reported", 0.85, make_upstream_report(), True),
            ("possibly the prompt in prefill", 0.85, make_upstream_report(1), False),
            (
                "another incarnation answers",
                0.65,
                make_upstream_report(1, incarnation="2"),
                True,
            ),
        ]
    )
    def test_an_attempt_is_abandoned_if_its_upstream_should_report_it(
        self, _, at, upstream_report, is_abandoned
    ):
        shared = make_relay_shared()
        relay, start = make_started_stream(shared, 0)
        relay.attempts[1].probed_at = at
        starts = filter_by_type(
            relay.handle(UpstreamProbed(1, at, upstream_report), at), StartRelay
        )
        self.assertEqual(is_abandoned, bool(starts))
        is_replaced = start.upstream.name in shared.selector.replaced
        self.assertEqual(upstream_report.incarnation == "2", is_replaced)

    def test_a_stream_that_has_just_begun_may_be_missing_from_reports(self):
        # Reports are some hundred milliseconds old: a stream that stalled just after
        # its first event was mistaken for one that its engine no longer ran.
        relay, _ = make_started_stream(make_relay_shared(), 1)
        at = relay.wake_at()
        relay.tick(at)
        probed = UpstreamProbed(1, at, make_upstream_report(running=1))
        self.assertEqual([], relay.handle(probed, at))

    def test_an_event_during_the_probe_keeps_the_attempt(self):
        relay, _ = make_started_stream(make_relay_shared())
        relay.tick(0.1 + RUNNING_PROBE_S)
        relay.handle(event(1, 4, at=0.42), 0.42)
        late_answer = UpstreamProbed(1, 0.45, None)
        self.assertEqual([], relay.handle(late_answer, 0.45))

    def test_an_event_of_another_stream_shows_that_the_upstream_is_alive(self):
        shared = make_relay_shared(1)
        relay, _ = make_started_stream(shared)
        other_relay, _ = make_started_stream(shared)
        other_relay.handle(event(1, 4, at=0.25), 0.25)
        self.assertEqual([], relay.tick(0.1 + RUNNING_PROBE_S))

    def test_a_busy_upstream_is_probed_for_a_waiting_request(self):
        # Events of other streams hid that the engine was prefilling this prompt, so the
        # attempt was canceled as if nothing were known of it.
        shared = make_relay_shared(1)
        waiting = make_test_relay(RESUMABLE, shared, target_latency_s=4.0)
        waiting.start(0.0)
        other_relay, _ = make_started_stream(shared)
        for step in range(1, 36):
            now = step / 10
            other_relay.handle(event(1, 3 + step, at=now), now)
            if now < waiting.wake_at():
                continue
            for action in waiting.tick(now):
                self.assertIsInstance(action, ProbeUpstream)
                waiting.handle(
                    UpstreamProbed(1, now, make_upstream_report(running=2)), now
                )
        self.assertTrue(waiting.attempts)

    def test_a_running_stream_that_stays_stalled_is_resumed_elsewhere(self):
        relay, _ = make_started_stream(make_relay_shared())
        at = 0.1 + RUNNING_LIMIT_S
        relay.attempts[1].probed_at = at - 0.01
        self.assertEqual(1, len(filter_by_type(relay.tick(at), StartRelay)))

    def test_a_pause_of_this_process_is_not_mistaken_for_a_stall(self):
        relay, _ = make_started_stream(make_relay_shared())
        self.assertEqual([], relay.tick(5.0))
        self.assertTrue(relay.wake_at() > 5.0)

    def test_closing_cancels_attempts_and_frees_their_slots(self):
        shared = make_relay_shared()
        relay, start = make_started_stream(shared)
        self.assertEqual(1, shared.selector.in_flight[start.upstream.name])
        self.assertEqual([CancelAttempt(1)], relay.close(0.5))
        self.assertEqual({}, shared.selector.in_flight)
