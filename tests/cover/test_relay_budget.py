"""Test that repeats of running streams keep within the limit on all retries."""

from itertools import pairwise

from parameterized import parameterized
from testtools import TestCase

from benchmarks.stream_faults import (
    GROWN,
    SMALL,
    EngineFault,
    FaultSpan,
    make_simulation,
    worst_excess,
)
from tests.common.relay_events import (
    MAY_HAVE_RUN,
    NOT_RUN,
    RESUMABLE,
    RUNNING_LIMIT_S,
    event,
    failed,
    filter_by_type,
    make_started_stream,
)
from tests.common.relay_fixtures import (
    DOMAINS,
    make_relay_shared,
    make_test_relay,
    make_upstream,
)
from turmericusher.decisions.generation_messages import CancelAttempt
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    BreakStream,
    DeliverEvents,
    StartRelay,
    StreamOpened,
    UpstreamProbed,
)

FAULT_AT_S = 12.0
LAST_ARRIVAL_S = 20.0
END_S = 50.0
"""When every stream is over, as each may take 25 s."""

SILENCES_IN_TURN = tuple(
    FaultSpan(
        EngineFault.SILENT,
        FAULT_AT_S + 0.7 * step,
        FAULT_AT_S + 0.7 * step + 1.0,
        (DOMAINS[step % len(DOMAINS)],),
    )
    for step in range(9)
)
SILENCES_OF_ALL = tuple(
    FaultSpan(
        EngineFault.SILENT, FAULT_AT_S + 2.5 * step, FAULT_AT_S + 2.5 * step + 1.0
    )
    for step in range(3)
)


def fault_of_all(fault):
    """Return a fault that all engines have for two seconds."""
    return (FaultSpan(fault, FAULT_AT_S, FAULT_AT_S + 2.0),)


def simulate(deployment, faults):
    """Run a simulation to its end and return the records of its streams."""
    simulation = make_simulation(deployment, faults, LAST_ARRIVAL_S)
    simulation.scheduler.run(END_S)
    return simulation.records


class RetryLimitTest(TestCase):
    @parameterized.expand(
        [
            ("refuse and 7 instances", SMALL, fault_of_all(EngineFault.SHEDS)),
            ("refuse and 86 instances", GROWN, fault_of_all(EngineFault.SHEDS)),
            ("reset and 7 instances", SMALL, fault_of_all(EngineFault.RESETS)),
            ("reset and 86 instances", GROWN, fault_of_all(EngineFault.RESETS)),
            ("pause and 7 instances", SMALL, SILENCES_OF_ALL),
            ("pause and 86 instances", GROWN, SILENCES_OF_ALL),
            ("pause in turn and 86 instances", GROWN, SILENCES_IN_TURN),
        ]
    )
    def test_running_streams_do_not_exceed_the_retry_limit_when_all_engines(
        self, _, deployment, faults
    ):
        records = simulate(deployment, faults)
        self.assertLessEqual(worst_excess(records), 0.0)

    @parameterized.expand(
        [
            ("all pause, 7 instances", SMALL, SILENCES_OF_ALL),
            ("all pause, 86 instances", GROWN, SILENCES_OF_ALL),
            ("they pause in turn, 7 instances", SMALL, SILENCES_IN_TURN),
            ("they pause in turn, 86 instances", GROWN, SILENCES_IN_TURN),
        ]
    )
    def test_streams_are_not_given_up_on_engines_that_go_on_when(
        self, _, deployment, faults
    ):
        records = simulate(deployment, faults)
        broken = [record for record in records if not record.is_complete]
        self.assertEqual([], broken)

    @parameterized.expand(
        [("refuse", EngineFault.SHEDS), ("reset", EngineFault.RESETS)]
    )
    def test_running_streams_outlast_the_lack_of_retries_when_all_engines(
        self, _, fault
    ):
        records = simulate(SMALL, fault_of_all(fault))
        broken = [record for record in records if record.events and record.is_broken]
        self.assertEqual([], broken)


def tick_until_acting(relay):
    """Tick a relay at its wake times until an attempt starts; return the actions."""
    while True:
        actions = relay.tick(relay.wake_at())
        if filter_by_type(actions, StartRelay):
            return actions


class StalledStreamTest(TestCase):
    def test_a_stalled_stream_stays_with_its_engine_while_no_retry_is_left(self):
        shared = make_relay_shared()
        relay, _ = make_started_stream(shared)
        shared.set_budgets(0.0, 0.0)
        now = 0.1
        while now < 2 * RUNNING_LIMIT_S:
            now = relay.wake_at()
            self.assertEqual([], relay.tick(now))
        self.assertEqual([DeliverEvents(b"4;")], relay.handle(event(1, 4, now), now))

    def test_a_stalled_stream_leaves_its_engine_once_a_retry_is_allowed(self):
        shared = make_relay_shared()
        relay, _ = make_started_stream(shared)
        shared.set_budgets(0.0, 0.0)
        at = 0.1 + RUNNING_LIMIT_S
        self.assertEqual([], relay.tick(at))
        shared.set_budgets(0.0, 1.0)
        actions = relay.tick(relay.wake_at())
        self.assertEqual(1, len(filter_by_type(actions, CancelAttempt)))
        self.assertEqual(1, len(filter_by_type(actions, StartRelay)))

    def test_a_probe_without_answer_does_not_end_an_attempt_that_cannot_be_replaced(
        self,
    ):
        shared = make_relay_shared()
        relay, _ = make_started_stream(shared)
        at = relay.wake_at()
        relay.tick(at)
        shared.set_budgets(0.0, 0.0)
        probed = UpstreamProbed(1, at + 0.15, None)
        self.assertEqual([], relay.handle(probed, at + 0.15))
        self.assertEqual([1], list(relay.attempts))

    @parameterized.expand(
        [
            ("is still listed", "1", False),
            ("has started again", "2", True),
        ]
    )
    def test_a_silent_engine_counts_as_running_the_request_while_it(
        self, _, incarnation, is_resumed
    ):
        # Every attempt stalls, each on another engine.
        shared = make_relay_shared(12)
        relay = make_test_relay(RESUMABLE, shared, deadline=60.0, max_attempts=3)
        (start,) = relay.start(0.0)
        relay.handle(StreamOpened(1, 0.0, ()), 0.0)
        relay.handle(event(1, 1), 0.1)
        for _ in range(2):
            (start,) = filter_by_type(tick_until_acting(relay), StartRelay)
        for _ in range(20):
            self.assertEqual([], relay.tick(relay.wake_at()))
        shared.selector.update(
            make_upstream(
                index,
                incarnation="1" if start.upstream.name == f"u{index}" else incarnation,
            )
            for index in range(12)
        )
        actions = [each for _ in range(9) for each in relay.tick(relay.wake_at())]
        self.assertEqual(is_resumed, bool(filter_by_type(actions, StartRelay)))


class LostStreamTest(TestCase):
    def test_a_stream_that_keeps_failing_pauses_between_its_resumes(self):
        shared = make_relay_shared(12)
        relay, start = make_started_stream(shared)
        actions, starts, now = [start], [], 0.2
        while now < 4.0:
            if filter_by_type(actions, StartRelay):
                starts.append(now)
                refusal = failed(len(starts), AttemptCause.OVERLOADED, NOT_RUN, now)
                actions = relay.handle(refusal, now)
                continue
            now = relay.wake_at()
            actions = relay.tick(now)
        self.assertLessEqual(len(starts), 10)
        self.assertLessEqual(max(b - a for a, b in pairwise(starts)), 1.5)

    def test_new_streams_leave_half_of_the_retries_to_streams_in_progress(self):
        shared = make_relay_shared(12)
        running, _ = make_started_stream(shared)
        shared.set_budgets(0.0, 4.0)
        for _ in range(9):
            relay = make_test_relay(RESUMABLE, shared)
            relay.start(0.0)
            relay.handle(failed(1, AttemptCause.OVERLOADED, NOT_RUN), 0.2)
            running.handle(event(1, 4), 0.2)
        resumes = 0
        for attempt in (1, 2):
            lost = failed(attempt, AttemptCause.LOST, MAY_HAVE_RUN)
            resumes += len(filter_by_type(running.handle(lost, 0.2), StartRelay))
        self.assertEqual(2, resumes)

    def test_retries_are_spaced_while_no_upstream_of_a_service_answers(self):
        # Thirty streams lose their engines at once, and all others fail as well.
        shared = make_relay_shared(12)
        shared.set_budgets(0.0, 30.0)
        streams = [make_started_stream(shared)[0] for _ in range(30)]
        sends, now = 0, 0.2
        while now < 2.2:
            for relay in streams:
                actions = relay.tick(now)
                for attempt in list(relay.attempts):
                    lost = failed(attempt, AttemptCause.LOST, MAY_HAVE_RUN, now)
                    actions = [*actions, *relay.handle(lost, now)]
                sends += len(filter_by_type(actions, StartRelay))
            now += 0.01
        self.assertLessEqual(sends, 15)
        shared.budgets["s"].record_success()
        resumed = 0
        for relay in streams:
            resumed += len(filter_by_type(relay.tick(now + 0.3), StartRelay))
        self.assertGreaterEqual(resumed, 15)

    def test_a_lost_stream_waits_until_the_budget_allows_its_resume(self):
        shared = make_relay_shared()
        relay, _ = make_started_stream(shared)
        shared.set_budgets(0.0, 0.0)
        lost = failed(1, AttemptCause.LOST, MAY_HAVE_RUN)
        self.assertEqual([], relay.handle(lost, 0.2))
        for _ in range(20):
            self.assertEqual([], relay.tick(relay.wake_at()))
        shared.set_budgets(0.0, 1.0)
        (resumed,) = relay.tick(relay.wake_at())
        self.assertEqual(3, resumed.resume_after)

    def test_a_lost_stream_is_broken_off_at_its_deadline(self):
        shared = make_relay_shared()
        relay, _ = make_started_stream(shared)
        shared.set_budgets(0.0, 0.0)
        relay.handle(failed(1, AttemptCause.LOST, MAY_HAVE_RUN), 0.2)
        actions = []
        while not relay.is_over:
            now = relay.wake_at()
            actions = relay.tick(now)
        self.assertEqual(relay.deadline(), now)
        self.assertEqual(1, len(filter_by_type(actions, BreakStream)))
