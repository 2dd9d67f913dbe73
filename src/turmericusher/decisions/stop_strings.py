"""Stop strings: where an answer's text ends, and what of it is already safe to send."""

from __future__ import annotations

from collections.abc import Iterable


def find_stop(text: str, stops: Iterable[str]) -> int | None:
    """Return the index of the stop string that ends first in `text`, or None.

    The one that ends first is what generation token by token would have met first,
    however the text was cut into pieces.
    """
    found = [(text.find(stop), len(stop)) for stop in stops if stop]
    ends = [(index + length, index) for index, length in found if index >= 0]
    return min(ends)[1] if ends else None


def safe_length(text: str, stops: Iterable[str]) -> int:
    """Return how many characters of `text` no stop string can still reach back to.

    The rest is the longest end of `text` that is the beginning of a stop string.
    """
    longest = max((beginning_at_end(text, stop) for stop in stops if stop), default=0)
    return len(text) - longest


def beginning_at_end(text: str, stop: str) -> int:
    """Return the length of the longest proper beginning of `stop` that ends `text`."""
    for length in range(min(len(text), len(stop) - 1), 0, -1):
        if text.endswith(stop[:length]):
            return length
    return 0
