"""Test that stop strings end an answer at the same place however its text is split."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from turmericusher.decisions.stop_strings import find_stop_string, safe_text_length

TEXTS = st.text(alphabet="ab", max_size=12)
STOPS = st.lists(st.text(alphabet="ab", min_size=1, max_size=4), max_size=3)


class StopStringsTest(TestCase):
    @given(TEXTS, STOPS)
    def test_the_stop_string_that_ends_first_is_found(
        self, text: str, stops: list[str]
    ) -> None:
        prefixes = [text[:end] for end in range(len(text) + 1)]
        ended = next((p for p in prefixes if p.endswith(tuple(stops))), None)
        expected = None
        if ended is not None:
            expected = min(len(ended) - len(s) for s in stops if ended.endswith(s))
        self.assertEqual(expected, find_stop_string(text, stops))

    @given(TEXTS, TEXTS, STOPS)
    def test_no_later_stop_string_begins_in_safe_text(
        self, text: str, more: str, stops: list[str]
    ) -> None:
        if find_stop_string(text, stops) is not None:
            return
        safe = safe_text_length(text, stops)
        found = find_stop_string(text + more, stops)
        self.assertTrue(found is None or found >= safe)

    @given(TEXTS, STOPS)
    def test_only_a_prefix_of_a_stop_string_is_held_back(
        self, text: str, stops: list[str]
    ) -> None:
        rest = text[safe_text_length(text, stops) :]
        self.assertTrue(not rest or any(stop.startswith(rest) for stop in stops))
