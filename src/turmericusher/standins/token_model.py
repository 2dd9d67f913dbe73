"""A deterministic language model for the engine stand-in.

Each token is a function of all tokens before it and of the seed, so a wrong, lost or
repeated token changes everything after it. Some characters take two tokens, so an
interruption can fall inside a character.
"""

from __future__ import annotations

import codecs
import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

WORDS = (
    "lot", "price", "crate", "north", "parcel", "line", "early", "field", "two",
    "north-east", "sheet", "due", "grade", "open", "review", "clause", "term",
    "stone", "river", "mark", "day", "new", "fair", "small", "long", "first",
)  # fmt: skip
FIRST_WORD_ID = 300
# Ids below 256 are bytes. These two are the halves of `é` in UTF-8, a token each.
LEAD_BYTE_ID = 256
CONTINUATION_BYTE_ID = 257
# The end-of-sequence token, which has no text.
EOS_ID = 258
STATE_BYTES = 8


@dataclass(frozen=True, slots=True)
class GeneratedToken:
    """A generated token and the UTF-8 bytes that it encodes."""

    token_id: int
    data: bytes


def encode_prompt(text: str) -> tuple[int, ...]:
    """Return a prompt's token ids, one for each byte of its UTF-8 encoding."""
    return tuple(text.encode("utf-8"))


def token_bytes(token_id: int) -> bytes:
    """Return the UTF-8 bytes that a token id encodes."""
    if token_id < LEAD_BYTE_ID:
        return bytes([token_id])
    if token_id == LEAD_BYTE_ID:
        return b"\xc3"
    if token_id == CONTINUATION_BYTE_ID:
        return b"\xa9"
    if token_id == EOS_ID:
        return b""
    return b" " + WORDS[(token_id - FIRST_WORD_ID) % len(WORDS)].encode("ascii")


def generate_tokens(
    prompt: Iterable[int], seed: int, eos_interval: int
) -> Iterator[GeneratedToken]:
    """Yield the tokens that continue `prompt`.

    About one token in `eos_interval` ends the sequence; with 0 it never ends.
    """
    state = seed.to_bytes(STATE_BYTES, "big", signed=True)
    last_id = -1
    for token_id in prompt:
        state = next_state(state, token_id)
        last_id = token_id
    while True:
        last_id = next_token_id(state, last_id, eos_interval)
        yield GeneratedToken(last_id, token_bytes(last_id))
        if last_id == EOS_ID:
            return
        state = next_state(state, last_id)


def next_state(state: bytes, token_id: int) -> bytes:
    """Return the hash of the state and one more token."""
    data = state + token_id.to_bytes(4, "big")
    return hashlib.blake2b(data, digest_size=STATE_BYTES).digest()


def next_token_id(state: bytes, last_id: int, eos_interval: int) -> int:
    """Return the id of the token that follows `last_id` in `state`."""
    if last_id == LEAD_BYTE_ID:
        return CONTINUATION_BYTE_ID
    number = int.from_bytes(state, "big")
    if eos_interval and number % eos_interval == 0:
        return EOS_ID
    word_index = number % (len(WORDS) + 2)
    if word_index >= len(WORDS):
        return LEAD_BYTE_ID
    return FIRST_WORD_ID + word_index


def expected_token_ids(prompt: Iterable[int], seed: int, count: int) -> tuple[int, ...]:
    """Return the first `count` token ids of an uninterrupted answer to `prompt`."""
    tokens = generate_tokens(prompt, seed, 0)
    return tuple(next(tokens).token_id for _ in range(count))


def decode_tokens(token_ids: Iterable[int]) -> str:
    """Return the text that the token ids encode."""
    data = b"".join(token_bytes(token_id) for token_id in token_ids)
    return data.decode("utf-8", "replace")


def make_text_decoder() -> codecs.IncrementalDecoder:
    """Return a decoder that holds back the bytes of an incomplete character."""
    return codecs.getincrementaldecoder("utf-8")("replace")
