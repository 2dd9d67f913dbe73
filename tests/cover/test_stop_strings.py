"""Test that stop strings end an answer at the same place however its text is split."""

from __future__ import annotations

from hypothesis import example, given
from hypothesis import strategies as st
from testtools import TestCase

from tests.common.engines import make_engines
from turmericusher.decisions.attempts import Attempt, release_held
from turmericusher.decisions.generation_messages import ChunkArrived
from turmericusher.decisions.stop_strings import find_stop_string, safe_text_length

TEXTS = st.text(alphabet="ab", max_size=12)
STOPS = st.lists(st.text(alphabet="ab", min_size=1, max_size=4), max_size=3)


CHUNKS = st.lists(st.text(alphabet="ab", max_size=3), max_size=6)


def released_text(chunks: list[str], stops: list[str]) -> tuple[str, bool]:
    """Return what one attempt may deliver, and whether a stop string ended it."""
    attempt = Attempt(1, make_engines(1)[0], 0, 0.0, 0.0)
    text = ""
    for chunk in chunks:
        attempt.add_chunk(ChunkArrived(1, 0.0, (7,), chunk, None, None, "v1"))
        release = release_held(attempt, stops, None)
        if release is not None:
            text += release.text
            if release.finish_reason is not None:
                return text, True
    return text, False


class StopStringsTest(TestCase):
    @given(CHUNKS, CHUNKS, STOPS)
    @example(lost=["a", "b"], following=["a", "b"], stops=["aa", "ba"])
    def test_no_stop_string_spans_the_output_of_a_lost_attempt_and_the_next(
        self, lost: list[str], following: list[str], stops: list[str]
    ) -> None:
        delivered, is_ended = released_text(lost, stops)
        if not is_ended:
            delivered += released_text(following, stops)[0]
        self.assertIsNone(find_stop_string(delivered, stops))

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
