"""Test how long an instance waits for changes in the store, and pauses after some."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from turmericusher.decisions.watch_pace import (
    ENCODED_SHARE,
    MIN_PAUSE_SHARE,
    MIN_WAIT_SHARE,
    make_watch_pace,
)

VALUE_BYTES = 1_048_576
BYTES_PER_MBIT = 125_000.0
CHANGE_INTERVAL_S = 0.2
"""Entries of a fleet of a few hundred change this often."""

DAY_S = 60.0


def calls_for_changes(pause_s: float, wait_s: float) -> int:
    """Return how many calls one instance makes in a day of regular changes."""
    now, calls = 0.0, 0
    while now < DAY_S:
        calls += 1
        now += min(wait_s, CHANGE_INTERVAL_S) + pause_s
    return calls


class WatchPaceTest(TestCase):
    @given(
        limit_s=st.floats(1.0, 20.0),
        mbit_per_s=st.floats(1.0, 10_000.0),
        value_bytes=st.integers(1, 4 * VALUE_BYTES),
    )
    def test_a_change_is_in_force_in_time_unless_the_link_is_too_slow(
        self, limit_s, mbit_per_s, value_bytes
    ):
        speed = mbit_per_s * BYTES_PER_MBIT
        pace = make_watch_pace(limit_s, speed, value_bytes)
        transfer_s = ENCODED_SHARE * value_bytes / speed
        if pace.pause_s > MIN_PAUSE_SHARE * limit_s:
            self.assertLess(pace.pause_s + 2 * transfer_s, limit_s)
        if pace.wait_s > MIN_WAIT_SHARE * limit_s:
            self.assertLess(pace.wait_s + transfer_s, limit_s)

    @parameterized.expand([("unknown", None), ("slow", 5 * BYTES_PER_MBIT)])
    def test_a_link_that_is_slow_or_unknown_leaves_time_for_large_values(
        self, _, speed
    ):
        pace = make_watch_pace(3.0, speed, VALUE_BYTES)
        self.assertEqual((1.65, 0.75), (round(pace.wait_s, 6), pace.pause_s))

    @parameterized.expand([(2.0,), (3.0,), (4.0,)])
    def test_regular_changes_take_at_most_half_of_the_calls_on_a_fast_link(
        self, limit_s
    ):
        slow = make_watch_pace(limit_s, None, VALUE_BYTES)
        fast = make_watch_pace(limit_s, 100 * BYTES_PER_MBIT, VALUE_BYTES)
        before = calls_for_changes(slow.pause_s, slow.wait_s)
        after = calls_for_changes(fast.pause_s, fast.wait_s)
        self.assertLess(after, 0.55 * before)
