"""One attempt at a generation: what it brought and how much of it may be delivered."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.generation_messages import PieceArrived
from turmericusher.decisions.stop_strings import find_stop, safe_length

MAX_TEXTLESS_TOKENS = 16


@dataclass(frozen=True, slots=True)
class Segment:
    """Tokens and the text that came with them."""

    token_ids: tuple[int, ...]
    text: str


@dataclass(frozen=True, slots=True)
class Release:
    """What of an attempt's held segments goes to the caller."""

    token_ids: tuple[int, ...]
    text: str
    finish_reason: str | None = None


@dataclass(slots=True)
class Attempt:
    """One run of a generation on one upstream.

    `start` is the offset in the answer of its first token; `delivered_to` the offset of
    the first token it holds. Segments are held while their text is incomplete or may be
    the beginning of a stop string. They are lost with the attempt, so that the next
    one computes them again and neither a character nor a stop string is ever cut.
    """

    number: int
    upstream: UpstreamInstance
    start: int
    started_at: float
    heard_at: float
    delivered_to: int = field(default=0)
    prompt_token_ids: tuple[int, ...] | None = None
    version: str = ""
    held: list[Segment] = field(default_factory=list)
    token_count: int = 0
    has_piece: bool = False
    is_second: bool = False
    is_suspected: bool = False
    is_overdue: bool = False
    is_in_gate: bool = False

    def __post_init__(self) -> None:
        """Begin at the start offset."""
        self.delivered_to = self.start

    def add(self, piece: PieceArrived) -> None:
        """Take in a piece: the attempt is alive and holds some more."""
        self.heard_at = max(self.heard_at, piece.at)
        self.is_suspected = False
        self.is_overdue = False
        self.version = self.version or piece.version or self.upstream.version
        if self.prompt_token_ids is None:
            self.prompt_token_ids = piece.prompt_token_ids
        if piece.token_ids or piece.text:
            self.has_piece = True
            self.token_count += len(piece.token_ids)
            self.held.append(Segment(piece.token_ids, piece.text))


def release_held(
    attempt: Attempt, stops: Sequence[str], finish_reason: str | None
) -> Release | None:
    """Take out of an attempt what may be delivered now, or return None."""
    text = "".join(segment.text for segment in attempt.held)
    stop_index = find_stop(text, stops)
    if stop_index is not None:
        return take_out(attempt, len(attempt.held), "stop", stop_index)
    if finish_reason is not None:
        return take_out(attempt, len(attempt.held), finish_reason)
    count = complete_segments(attempt.held, safe_length(text, stops))
    return take_out(attempt, count) if count else None


def take_out(
    attempt: Attempt,
    count: int,
    finish_reason: str | None = None,
    text_length: int | None = None,
) -> Release:
    """Take the first `count` segments, with their text up to `text_length`."""
    taken, attempt.held = attempt.held[:count], attempt.held[count:]
    tokens = tuple(token for segment in taken for token in segment.token_ids)
    text = "".join(segment.text for segment in taken)
    attempt.delivered_to += len(tokens)
    return Release(tokens, text[:text_length], finish_reason)


def complete_segments(held: Sequence[Segment], safe: int) -> int:
    """Return how many segments end in whole text that no stop string reaches.

    An engine that gives no text at all, as with special tokens, is not held up for
    more tokens than a character can take.
    """
    complete = 0
    for count, length in enumerate(text_lengths(held), start=1):
        if length <= safe and held[count - 1].text:
            complete = count
    textless = sum(len(segment.token_ids) for segment in held[complete:])
    if textless > MAX_TEXTLESS_TOKENS and not any(s.text for s in held[complete:]):
        return len(held)
    return complete


def text_lengths(held: Sequence[Segment]) -> Iterator[int]:
    """Yield the length of the text up to and including each segment."""
    total = 0
    for segment in held:
        total += len(segment.text)
        yield total
