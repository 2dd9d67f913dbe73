"""Test that a stopping instance accepts only requests that will end in time."""

from parameterized import parameterized
from testtools import TestCase

from turmericusher.decisions.relay_stop import DurationEstimate, RelayStop
from turmericusher.decisions.routing import RequestKind

LIMIT_S = 8.0


def stop_asked_at(at: float, stream_s: float) -> RelayStop:
    made = RelayStop(LIMIT_S)
    for _ in range(50):
        made.stream_duration.record_duration(stream_s)
    made.begin(at)
    return made


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
    def test_what_is_taken(self, _, kind, stream_s, after_s, is_taken):
        made = stop_asked_at(100.0, stream_s)
        self.assertEqual(is_taken, made.can_accept(kind, 100.0 + after_s))

    def test_everything_is_taken_before_the_signal(self):
        made = RelayStop(LIMIT_S)
        for kind in RequestKind:
            self.assertTrue(made.can_accept(kind, 1e9))

    def test_a_second_signal_changes_nothing(self):
        made = stop_asked_at(100.0, 1.0)
        ends_at = made.ends_at()
        made.begin(105.0)
        self.assertEqual(ends_at, made.ends_at())
        self.assertTrue(100.0 < made.accepts_until() < ends_at < 100.0 + LIMIT_S)


class DurationEstimateTest(TestCase):
    def test_nine_in_ten_streams_are_shorter_than_the_longest_likely(self):
        estimate = DurationEstimate()
        lengths = [4.0 + (index * 7 % 20) / 10 for index in range(200)]
        for length_s in lengths:
            estimate.record_duration(length_s)
        shorter = [each for each in lengths if each <= estimate.upper_estimate_s()]
        self.assertTrue(len(shorter) >= 0.9 * len(lengths), len(shorter))
