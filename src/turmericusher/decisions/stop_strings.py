"""Matching of stop strings across the chunks of an answer's text."""

from __future__ import annotations

from collections.abc import Iterable


def find_stop_string(text: str, stops: Iterable[str]) -> int | None:
    """Return the index of the stop string that ends first in `text`, or None.

    That is the one at which generation token by token would have stopped, however the
    text was split into chunks.
    """
    found = [(text.find(stop), len(stop)) for stop in stops if stop]
    ends = [(index + length, index) for index, length in found if index >= 0]
    return min(ends)[1] if ends else None


def safe_text_length(text: str, stops: Iterable[str]) -> int:
    """Return how many characters of `text` cannot belong to a stop string any more.

    The rest is the longest suffix of `text` that is a prefix of a stop string.
    """
    longest = max(
        (partial_match_length(text, stop) for stop in stops if stop), default=0
    )
    return len(text) - longest


def partial_match_length(text: str, stop: str) -> int:
    """Return the length of the longest proper prefix of `stop` that ends `text`."""
    for length in range(min(len(text), len(stop) - 1), 0, -1):
        if text.endswith(stop[:length]):
            return length
    return 0
