"""The stall timeout follows the gaps that an engine has shown, within its bounds."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from turmericusher.decisions.patience import (
    BUCKET_RATIO,
    GAP_MULTIPLE,
    MAX_UPSTREAMS,
    MIN_SAMPLES,
    StallDetector,
    first_chunk_cap_s,
)
from turmericusher.profiles import Profile

PROFILE = Profile(name="p", stall_floor_s=0.1, stall_cap_s=2.0, max_wait_s=10.0)


def detector_with_gaps(gaps: dict[str, float]) -> StallDetector:
    """Return a detector with enough samples of one gap for each upstream."""
    detector = StallDetector()
    for upstream, gap_s in gaps.items():
        for _ in range(MIN_SAMPLES):
            detector.record_gap(upstream, gap_s)
            detector.record_first_chunk(upstream, gap_s)
    return detector


class StallDetectorTest(TestCase):
    @parameterized.expand(
        [
            ("quick", 0.001, 0.1),
            ("usual", 0.1, 0.1 * GAP_MULTIPLE),
            ("slow", 5.0, 2.0),
        ]
    )
    def test_the_timeout_is_a_multiple_of_the_gap_within_its_bounds(
        self, name: str, gap_s: float, limit_s: float
    ) -> None:
        timeout_s = detector_with_gaps({"engine": gap_s}).stall_timeout_s(
            "engine", PROFILE
        )
        self.assertTrue(limit_s <= timeout_s <= limit_s * BUCKET_RATIO)

    def test_an_unknown_engine_gets_the_timeout_of_the_others(self) -> None:
        detector = detector_with_gaps({"engine": 0.1})
        self.assertEqual(
            detector.stall_timeout_s("engine", PROFILE),
            detector.stall_timeout_s("new", PROFILE),
        )

    def test_the_timeout_is_the_cap_without_samples(self) -> None:
        self.assertEqual(2.0, StallDetector().stall_timeout_s("engine", PROFILE))
        self.assertEqual(
            first_chunk_cap_s(PROFILE),
            StallDetector().first_chunk_timeout_s("engine", PROFILE),
        )

    def test_each_engine_with_samples_has_its_own_timeout(self) -> None:
        detector = detector_with_gaps({"quick": 0.01, "slow": 0.4})
        self.assertTrue(detector.stall_timeout_s("slow", PROFILE) >= 0.4 * GAP_MULTIPLE)
        self.assertEqual(0.1, detector.stall_timeout_s("quick", PROFILE))

    def test_old_gaps_are_forgotten(self) -> None:
        detector = detector_with_gaps({"engine": 1.0})
        for _ in range(5000):
            detector.record_gap("engine", 0.01)
        self.assertEqual(0.1, detector.stall_timeout_s("engine", PROFILE))

    @given(st.floats(0.0, 1e6), st.floats(0.0, 1e6))
    def test_timeouts_stay_within_the_bounds(
        self, gap_s: float, first_s: float
    ) -> None:
        detector = StallDetector()
        for _ in range(MIN_SAMPLES):
            detector.record_gap("engine", gap_s)
            detector.record_first_chunk("engine", first_s)
        self.assertTrue(0.1 <= detector.stall_timeout_s("engine", PROFILE) <= 2.0)
        first_s = detector.first_chunk_timeout_s("engine", PROFILE)
        overdue_s = detector.first_chunk_overdue_s("engine", PROFILE)
        self.assertTrue(0.1 <= first_s <= overdue_s <= first_chunk_cap_s(PROFILE))

    def test_the_number_of_engines_remembered_is_bounded(self) -> None:
        detector = StallDetector()
        for number in range(MAX_UPSTREAMS + 10):
            detector.record_gap(f"engine-{number}", 0.1)
        self.assertEqual(MAX_UPSTREAMS, len(detector.upstreams))
