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


def learned(gaps: dict[str, float]) -> StallDetector:
    """Return a detector with enough samples of one gap for each upstream."""
    patience = StallDetector()
    for upstream, gap_s in gaps.items():
        for _ in range(MIN_SAMPLES):
            patience.record_gap(upstream, gap_s)
            patience.record_first_chunk(upstream, gap_s)
    return patience


class PatienceTest(TestCase):
    @parameterized.expand(
        [
            ("quick", 0.001, 0.1),
            ("usual", 0.1, 0.1 * GAP_MULTIPLE),
            ("slow", 5.0, 2.0),
        ]
    )
    def test_the_limit_is_a_multiple_within_the_bounds(
        self, name: str, gap_s: float, limit_s: float
    ) -> None:
        found = learned({"engine": gap_s}).stall_timeout_s("engine", PROFILE)
        self.assertTrue(limit_s <= found <= limit_s * BUCKET_RATIO)

    def test_an_unknown_engine_is_judged_by_the_others(self) -> None:
        patience = learned({"engine": 0.1})
        self.assertEqual(
            patience.stall_timeout_s("engine", PROFILE),
            patience.stall_timeout_s("new", PROFILE),
        )

    def test_nothing_learned_means_the_cap(self) -> None:
        self.assertEqual(2.0, StallDetector().stall_timeout_s("engine", PROFILE))
        self.assertEqual(
            first_chunk_cap_s(PROFILE),
            StallDetector().first_chunk_timeout_s("engine", PROFILE),
        )

    def test_a_slow_engine_is_not_judged_by_quick_ones(self) -> None:
        patience = learned({"quick": 0.01, "slow": 0.4})
        self.assertTrue(patience.stall_timeout_s("slow", PROFILE) >= 0.4 * GAP_MULTIPLE)
        self.assertEqual(0.1, patience.stall_timeout_s("quick", PROFILE))

    def test_old_behaviour_is_forgotten(self) -> None:
        patience = learned({"engine": 1.0})
        for _ in range(5000):
            patience.record_gap("engine", 0.01)
        self.assertEqual(0.1, patience.stall_timeout_s("engine", PROFILE))

    @given(st.floats(0.0, 1e6), st.floats(0.0, 1e6))
    def test_limits_stay_within_the_bounds(self, gap_s: float, first_s: float) -> None:
        patience = StallDetector()
        for _ in range(MIN_SAMPLES):
            patience.record_gap("engine", gap_s)
            patience.record_first_chunk("engine", first_s)
        self.assertTrue(0.1 <= patience.stall_timeout_s("engine", PROFILE) <= 2.0)
        first_s = patience.first_chunk_timeout_s("engine", PROFILE)
        overdue_s = patience.first_chunk_overdue_s("engine", PROFILE)
        self.assertTrue(0.1 <= first_s <= overdue_s <= first_chunk_cap_s(PROFILE))

    def test_the_engines_remembered_are_bounded(self) -> None:
        patience = StallDetector()
        for number in range(MAX_UPSTREAMS + 10):
            patience.record_gap(f"engine-{number}", 0.1)
        self.assertEqual(MAX_UPSTREAMS, len(patience.upstreams))
