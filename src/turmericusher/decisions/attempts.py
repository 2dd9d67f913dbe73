"""State of one generation attempt, and how much of its output may be delivered.

Output is held back while a character is incomplete or a stop string may have begun.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.generation_messages import ChunkArrived
from turmericusher.decisions.stop_strings import find_stop_string, safe_text_length

MAX_TEXTLESS_TOKENS = 16
"""Tokens without any text that are held back at most; no character takes as many."""


@dataclass(frozen=True, slots=True)
class Segment:
    """Tokens of one chunk and the text that came with them."""

    token_ids: tuple[int, ...]
    text: str


@dataclass(frozen=True, slots=True)
class Release:
    """The part of an attempt's held segments that may go to the caller now."""

    token_ids: tuple[int, ...]
    text: str
    finish_reason: str | None = None


@dataclass(slots=True)
class Attempt:
    """One run of a generation on one upstream.

    `start_offset` is the offset of its first token in the answer, and `next_offset` the
    offset of the first token in `held`. Segments are held while their text is
    incomplete or may be the beginning of a stop string. They are discarded with the
    attempt and generated again by the next one, so neither a character nor a stop
    string is ever split. Times are monotonic seconds.
    """

    number: int
    upstream: UpstreamInstance
    start_offset: int
    started_at: float
    last_active_at: float
    next_offset: int = field(default=0)
    prompt_token_ids: tuple[int, ...] | None = None
    version: str = ""
    held: list[Segment] = field(default_factory=list)
    token_count: int = 0
    has_chunk: bool = False
    is_second: bool = False
    is_suspected: bool = False
    is_overdue: bool = False
    holds_resume_slot: bool = False

    def __post_init__(self) -> None:
        """Set the next offset to the start offset."""
        self.next_offset = self.start_offset

    def add_chunk(self, chunk: ChunkArrived) -> None:
        """Record activity, clear the stall marks and hold the chunk's output."""
        self.last_active_at = max(self.last_active_at, chunk.at)
        self.is_suspected = False
        self.is_overdue = False
        self.version = self.version or chunk.version or self.upstream.version
        if self.prompt_token_ids is None:
            self.prompt_token_ids = chunk.prompt_token_ids
        if chunk.token_ids or chunk.text:
            self.has_chunk = True
            self.token_count += len(chunk.token_ids)
            self.held.append(Segment(chunk.token_ids, chunk.text))


def release_held(
    attempt: Attempt, stops: Sequence[str], finish_reason: str | None
) -> Release | None:
    """Remove and return the output that may be delivered now; None if there is none.

    The output ends in front of the first stop string. Once there is a finish reason,
    everything held is released.
    """
    text = "".join(segment.text for segment in attempt.held)
    stop_index = find_stop_string(text, stops)
    if stop_index is not None:
        return release_segments(attempt, len(attempt.held), "stop", stop_index)
    if finish_reason is not None:
        return release_segments(attempt, len(attempt.held), finish_reason)
    count = count_complete_segments(attempt.held, text, stops)
    return release_segments(attempt, count) if count else None


def release_segments(
    attempt: Attempt,
    count: int,
    finish_reason: str | None = None,
    text_length: int | None = None,
) -> Release:
    """Remove the first `count` segments and return them as one release.

    The text is cut at `text_length` characters; None keeps all of it.
    """
    released, attempt.held = attempt.held[:count], attempt.held[count:]
    tokens = tuple(token for segment in released for token in segment.token_ids)
    text = "".join(segment.text for segment in released)
    attempt.next_offset += len(tokens)
    return Release(tokens, text[:text_length], finish_reason)


def count_complete_segments(
    held: Sequence[Segment], text: str, stops: Sequence[str]
) -> int:
    """Return how many leading segments end in complete text before any stop string.

    `text` is that of all segments. What stays held may be lost with the attempt, and
    the next one may continue otherwise, so the text in front of it must not end in the
    beginning of a stop string either. Tokens without text, such as special tokens, are
    held only until there are more of them than one character can take.
    """
    complete_count = 0
    safe_chars = safe_text_length(text, stops)
    for count, length in enumerate(cumulative_text_lengths(held), start=1):
        if length > safe_chars or not held[count - 1].text:
            continue
        if safe_text_length(text[:length], stops) == length:
            complete_count = count
    textless_tokens = sum(len(segment.token_ids) for segment in held[complete_count:])
    if textless_tokens > MAX_TEXTLESS_TOKENS and not any(
        s.text for s in held[complete_count:]
    ):
        return len(held)
    return complete_count


def cumulative_text_lengths(held: Sequence[Segment]) -> Iterator[int]:
    """Yield the total length of the text up to and including each segment."""
    total = 0
    for segment in held:
        total += len(segment.text)
        yield total
