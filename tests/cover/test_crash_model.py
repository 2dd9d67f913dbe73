"""Test with a model of a fleet that a part which crashes engines costs few of them."""

from parameterized import parameterized
from testtools import TestCase

from benchmarks.crash_model import CrashTraffic, simulate_crashes
from benchmarks.stream_faults import GROWN, SMALL, Deployment

NINE_ENGINES = Deployment(8, 9, 2.4)
SETTLE_S = 3.0
"""Seconds after the fifth crash from which on few requests may still be sent."""

MAX_LATE_SENDS = 3
MIN_SHARE_BEGUN = 0.5
"""Share of sound streams that must begin, against the share without any trouble."""

TRAFFIC = {
    "8 instances": CrashTraffic(NINE_ENGINES),
    "7 instances and twice as many": CrashTraffic(SMALL, bad_per_s=2.0),
    "8 instances and five a second": CrashTraffic(NINE_ENGINES, bad_per_s=5.0),
    "86 instances": CrashTraffic(GROWN, 5.0, bad_from=3.0, ends_at=10.0),
    "a first part": CrashTraffic(NINE_ENGINES, is_bad_part_first=True),
    "domains that crash in turn": CrashTraffic(
        NINE_ENGINES, domain_crashes=(5.0, 7.0, 9.0, 11.0, 13.0, 20.0)
    ),
    "resets": CrashTraffic(NINE_ENGINES, resets=(5.0, 6.0, 7.0, 8.0, 9.0, 10.0, 11.0)),
    "instances that start again": CrashTraffic(
        NINE_ENGINES, restarts=(7.0, 8.0, 9.0, 10.0, 15.0, 20.0)
    ),
    "an instance without the store": CrashTraffic(
        NINE_ENGINES, store_cuts=((5.0, 15.0),)
    ),
}


class CrashModelTest(TestCase):
    @parameterized.expand(TRAFFIC.items())
    def test_requests_with_a_crashing_part_stop_and_sound_ones_begin_with(
        self, _, traffic
    ):
        simulation = simulate_crashes(traffic)
        self.assertLessEqual(simulation.late_bad_sends(5, SETTLE_S), MAX_LATE_SENDS)
        before = simulation.share_begun(0.0, traffic.bad_from)
        after = simulation.share_begun(traffic.bad_from, traffic.ends_at)
        self.assertGreaterEqual(after, MIN_SHARE_BEGUN * before)

    def test_a_part_that_crashes_no_longer_comes_free_again(self):
        traffic = CrashTraffic(NINE_ENGINES, bad_until=10.0, ends_at=50.0)
        simulation = simulate_crashes(traffic)
        last = [s for s in simulation.streams if s.is_bad and s.sent_at > 40.0]
        self.assertTrue(all(stream.has_begun for stream in last))

    @parameterized.expand([(seed,) for seed in range(1, 4)])
    def test_streams_that_no_one_has_seen_run_are_served_after_a_crash_of_all(
        self, seed
    ):
        traffic = CrashTraffic(
            Deployment(8, 9, 12.0),
            bad_per_s=0.001,
            bad_from=19.9,
            ends_at=20.0,
            domain_crashes=(1.3,) * 6,
        )
        simulation = simulate_crashes(traffic, seed)
        self.assertEqual(1.0, simulation.share_begun(10.0, 19.9))
