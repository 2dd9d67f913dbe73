"""Test that a stopping instance accepts only requests that will end in time."""

from parameterized import parameterized
from testtools import TestCase

from turmericusher.decisions.relay_stop import DurationEstimate, RelayStop
from turmericusher.decisions.routing import RequestKind

LIMIT_S = 8.0


def make_begun_stop(at: float, stream_s: float) -> RelayStop:
    relay_stop = RelayStop(LIMIT_S)
    for _ in range(50):
        relay_stop.stream_duration.record_duration(stream_s)
    relay_stop.begin(at)
    return relay_stop


class RelayStopTest(TestCase):
    @parameterized.expand(
        [
            ("a short stream at once", RequestKind.RESUMABLE_STREAM, 2.0, 0.0, True),
            ("a short stream late", RequestKind.RESUMABLE_STREAM, 2.0, 6.5, False),
            ("a long stream at once", RequestKind.STREAM, 12.0, 0.0, False),
            ("a call", RequestKind.NON_IDEMPOTENT, 12.0, 6.5, True),
            ("a call at the end", RequestKind.IDEMPOTENT, 12.0, 7.9, False),
        ]
    )
    def test_a_request_is_accepted_if_it_will_end_in_time(
        self, _, kind, stream_s, after_s, is_accepted
    ):
        relay_stop = make_begun_stop(100.0, stream_s)
        self.assertEqual(is_accepted, relay_stop.can_accept(kind, 100.0 + after_s))

    def test_every_request_is_accepted_before_the_signal(self):
        relay_stop = RelayStop(LIMIT_S)
        for kind in RequestKind:
            self.assertTrue(relay_stop.can_accept(kind, 1e9))

    def test_a_second_signal_changes_nothing(self):
        relay_stop = make_begun_stop(100.0, 1.0)
        ends_at = relay_stop.ends_at()
        relay_stop.begin(105.0)
        self.assertEqual(ends_at, relay_stop.ends_at())
        self.assertTrue(100.0 < relay_stop.accepts_until() < ends_at < 100.0 + LIMIT_S)


class DurationEstimateTest(TestCase):
    def test_nine_in_ten_streams_are_within_the_upper_estimate(self):
        estimate = DurationEstimate()
        durations = [4.0 + (index * 7 % 20) / 10 for index in range(200)]
        for duration_s in durations:
            estimate.record_duration(duration_s)
        within_estimate = [
            each for each in durations if each <= estimate.upper_estimate_s()
        ]
        self.assertTrue(
            len(within_estimate) >= 0.9 * len(durations), len(within_estimate)
        )
