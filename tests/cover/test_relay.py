"""Test how a relayed request proceeds after failed attempts, by kind of request."""

from parameterized import parameterized
from testtools import TestCase

from tests.common.relay_events import (
    ANSWER,
    FAILURE,
    IDEMPOTENT,
    MAY_HAVE_RUN,
    NON_IDEMPOTENT,
    NOT_RUN,
    RESUMABLE,
    STREAM,
    failed,
    filter_by_type,
)
from tests.common.relay_fixtures import (
    make_relay_shared,
    make_test_relay,
    make_upstream,
)
from turmericusher.decisions.fleet import Lifecycle
from turmericusher.decisions.generation_messages import CancelAttempt, Fail
from turmericusher.decisions.relay_messages import (
    AnswerArrived,
    AttemptCause,
    DeliverAnswer,
    StartRelay,
)
from turmericusher.decisions.routing import RequestKind
from turmericusher.errors import ErrorCode


class RetryTest(TestCase):
    @parameterized.expand(
        [
            (f"{kind.value} {cause.value}", kind, cause, verdict, is_repeated)
            for kind, cause, verdict, is_repeated in [
                (NON_IDEMPOTENT, AttemptCause.OVERLOADED, NOT_RUN, True),
                (NON_IDEMPOTENT, AttemptCause.MISDIRECTED, NOT_RUN, True),
                (NON_IDEMPOTENT, AttemptCause.UNREACHABLE, NOT_RUN, True),
                (NON_IDEMPOTENT, AttemptCause.LOST, MAY_HAVE_RUN, False),
                (NON_IDEMPOTENT, AttemptCause.MALFORMED, MAY_HAVE_RUN, False),
                (NON_IDEMPOTENT, AttemptCause.FAILED, MAY_HAVE_RUN, False),
                (STREAM, AttemptCause.LOST, MAY_HAVE_RUN, False),
                (STREAM, AttemptCause.OVERLOADED, NOT_RUN, True),
                (IDEMPOTENT, AttemptCause.LOST, MAY_HAVE_RUN, True),
                (IDEMPOTENT, AttemptCause.FAILED, MAY_HAVE_RUN, True),
                (RESUMABLE, AttemptCause.LOST, MAY_HAVE_RUN, True),
                (RESUMABLE, AttemptCause.FAILED, MAY_HAVE_RUN, True),
            ]
        ]
    )
    def test_only_requests_that_may_repeat_are_retried(
        self, _, kind, cause, verdict, is_repeated
    ):
        relay = make_test_relay(kind, make_relay_shared())
        (first,) = relay.start(0.0)
        actions = relay.handle(failed(1, cause, verdict), 0.1)
        starts = filter_by_type(actions, StartRelay)
        self.assertEqual(is_repeated, bool(starts))
        if starts:
            self.assertNotEqual(first.upstream.name, starts[0].upstream.name)
        else:
            (failure,) = filter_by_type(actions, Fail)
            self.assertEqual(MAY_HAVE_RUN, failure.verdict)

    def test_an_upstream_failure_is_relayed_after_the_last_attempt(self):
        relay = make_test_relay(IDEMPOTENT, make_relay_shared(), max_attempts=2)
        relay.start(0.0)
        first = failed(1, AttemptCause.FAILED, MAY_HAVE_RUN, answer=FAILURE)
        self.assertEqual(1, len(filter_by_type(relay.handle(first, 0.1), StartRelay)))
        second = failed(2, AttemptCause.FAILED, MAY_HAVE_RUN, answer=FAILURE)
        self.assertEqual([DeliverAnswer(FAILURE)], relay.handle(second, 0.2))

    def test_a_request_that_all_upstreams_refuse_has_not_run(self):
        relay = make_test_relay(NON_IDEMPOTENT, make_relay_shared())
        relay.start(0.0)
        actions, attempt = [], 1
        while not filter_by_type(actions, Fail):
            refusal = failed(attempt, AttemptCause.OVERLOADED, NOT_RUN)
            actions = relay.handle(refusal, 0.1)
            attempt += 1
        (failure,) = filter_by_type(actions, Fail)
        self.assertEqual(NOT_RUN, failure.verdict)
        self.assertEqual(ErrorCode.OVERLOADED, failure.code)
        self.assertTrue(0 < failure.retry_after_s < 1)
        self.assertTrue(attempt - 1 <= 3, attempt)

    def test_retries_stay_within_the_budget_when_every_upstream_refuses(self):
        # Every upstream is full while 1,000 calls arrive at one instance.
        shared = make_relay_shared()
        shared.set_budgets(ratio=0.5, reserve=10.0)
        sends = 0
        for _ in range(1_000):
            relay = make_test_relay(NON_IDEMPOTENT, shared)
            actions, attempt = relay.start(0.0), 0
            while filter_by_type(actions, StartRelay):
                sends, attempt = sends + 1, attempt + 1
                refusal = failed(attempt, AttemptCause.OVERLOADED, NOT_RUN)
                actions = relay.handle(refusal, 0.0)
            self.assertEqual(NOT_RUN, filter_by_type(actions, Fail)[0].verdict)
        self.assertTrue(sends <= 1_000 * 1.5 + 10, sends)

    def test_without_upstreams_a_request_is_refused_at_once(self):
        for kind in RequestKind:
            relay = make_test_relay(kind, make_relay_shared(0))
            (failure,) = relay.start(0.0)
            self.assertEqual(ErrorCode.NO_UPSTREAM, failure.code)
            self.assertEqual(NOT_RUN, failure.verdict)
            self.assertTrue(0 < failure.retry_after_s < 1)

    def test_no_request_is_sent_to_an_upstream_known_to_be_replaced(self):
        # While the store is unavailable, the list names engines that have restarted.
        shared = make_relay_shared(6)
        for stale in ("u0", "u1", "u2", "u3", "u4"):
            shared.selector.mark_replaced(shared.selector.upstreams[stale])
        for kind in RequestKind:
            (start,) = make_test_relay(kind, shared).start(0.0)
            self.assertEqual("u5", start.upstream.name)
        shared.selector.update([make_upstream(0, incarnation="2"), make_upstream(1)])
        (start,) = make_test_relay(NON_IDEMPOTENT, shared).start(0.0)
        self.assertEqual("u0", start.upstream.name)

    def test_stale_entries_do_not_count_as_refusals(self):
        relay = make_test_relay(NON_IDEMPOTENT, make_relay_shared(6))
        relay.start(0.0)
        for attempt in range(1, 6):
            misdirected = failed(attempt, AttemptCause.MISDIRECTED, NOT_RUN)
            self.assertEqual(
                1, len(filter_by_type(relay.handle(misdirected, 0.1), StartRelay))
            )

    def test_a_leaving_upstream_gets_no_attempt(self):
        shared = make_relay_shared(0)
        lifecycle = Lifecycle.LEAVING
        shared.selector.update([make_upstream(0, lifecycle), make_upstream(1)])
        for _ in range(20):
            (start,) = make_test_relay(RESUMABLE, shared).start(0.0)
            self.assertEqual("u1", start.upstream.name)
            self.assertIsNone(start.standby)


class DeadlineTest(TestCase):
    @parameterized.expand(
        [
            ("the caller's", 2.0, 20.0, 2.0),
            ("the route's", 10.0, 1.5, 1.5),
        ]
    )
    def test_the_earlier_limit_ends_the_request(self, _, deadline, timeout_s, at):
        shared = make_relay_shared()
        relay = make_test_relay(
            NON_IDEMPOTENT, shared, deadline=deadline, timeout_s=timeout_s
        )
        (start,) = relay.start(0.0)
        self.assertEqual(at, start.deadline)
        self.assertEqual(at, relay.wake_at())
        actions = relay.tick(at)
        self.assertEqual([CancelAttempt(1)], filter_by_type(actions, CancelAttempt))
        (failure,) = filter_by_type(actions, Fail)
        self.assertEqual(ErrorCode.WAIT_EXCEEDED, failure.code)
        self.assertEqual(MAY_HAVE_RUN, failure.verdict)

    def test_a_slow_idempotent_call_gets_a_second_attempt(self):
        relay = make_test_relay(IDEMPOTENT, make_relay_shared(), target_latency_s=0.1)
        (first,) = relay.start(0.0)
        (second,) = relay.tick(relay.wake_at())
        self.assertNotEqual(first.upstream.name, second.upstream.name)
        actions = relay.handle(AnswerArrived(2, 0.1, ANSWER), 0.1)
        self.assertEqual([CancelAttempt(1), DeliverAnswer(ANSWER)], actions)

    def test_a_slow_non_idempotent_call_gets_no_second_attempt(self):
        relay = make_test_relay(
            NON_IDEMPOTENT, make_relay_shared(), target_latency_s=0.1
        )
        relay.start(0.0)
        self.assertEqual(10.0, relay.wake_at())
        self.assertEqual([], relay.tick(5.0 - 4.9))
