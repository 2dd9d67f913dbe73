"""Encoding of answers in OpenAI's format: stream events and unstreamed bodies."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import orjson

from turmericusher.api.errors import error_body
from turmericusher.decisions.requests import AnswerChunk, Usage
from turmericusher.errors import TurmericusherError

HEARTBEAT = b": heartbeat\n\n"
STREAM_END = b"data: [DONE]\n\n"


@dataclass(frozen=True, slots=True)
class AnswerShape:
    """The format in which one answer is encoded.

    `created` is in seconds since the epoch. `has_token_ids` adds the token ids that a
    caller needs to resume. `has_usage` adds a final event with the token counts.
    """

    is_chat: bool
    answer_id: str
    model: str
    created: int
    with_token_ids: bool = False
    with_usage: bool = False


def chunk_event(shape: AnswerShape, piece: AnswerChunk, is_first: bool) -> bytes:
    """Return the server-sent event for a chunk of the answer."""
    body = envelope(shape, is_chunk=True)
    if piece.version:
        body["system_fingerprint"] = piece.version
    if is_first and piece.version:
        body["turmericusher"] = {"version": piece.version}
    body["choices"] = [chunk_choice(shape, piece, is_first)]
    return event(body)


def chunk_choice(
    shape: AnswerShape, piece: AnswerChunk, is_first: bool
) -> dict[str, object]:
    """Return the entry of `choices` for a chunk of the answer."""
    choice: dict[str, object] = {"index": 0, "finish_reason": piece.finish_reason}
    if shape.is_chat:
        delta = {"content": piece.text}
        choice["delta"] = {"role": "assistant", **delta} if is_first else delta
    else:
        choice["text"] = piece.text
    if shape.with_token_ids:
        choice["token_ids"] = piece.token_ids
        if piece.prompt_token_ids is not None:
            choice["prompt_token_ids"] = piece.prompt_token_ids
    return choice


def usage_event(shape: AnswerShape, usage: Usage) -> bytes:
    """Return the final event with the token counts; its `choices` are empty."""
    body = envelope(shape, is_chunk=True)
    body["choices"] = []
    body["usage"] = usage_body(usage)
    return event(body)


def error_event(error: TurmericusherError) -> bytes:
    """Return the server-sent event that ends a stream with an error."""
    return event(error_body(error))


def whole_body(shape: AnswerShape, pieces: Iterable[AnswerChunk]) -> dict[str, object]:
    """Return the body of an answer that is not streamed."""
    collected = list(pieces)
    text = "".join(piece.text for piece in collected)
    last = collected[-1]
    choice: dict[str, object] = {"index": 0, "finish_reason": last.finish_reason}
    if shape.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    if shape.with_token_ids:
        choice["token_ids"] = [t for piece in collected for t in piece.token_ids]
        choice["prompt_token_ids"] = collected[0].prompt_token_ids
    body = envelope(shape, is_chunk=False)
    body["choices"] = [choice]
    if last.usage is not None:
        body["usage"] = usage_body(last.usage)
    return body


def envelope(shape: AnswerShape, is_chunk: bool) -> dict[str, object]:
    """Return the fields that are common to all bodies and events of an answer."""
    name = "text_completion"
    if shape.is_chat:
        name = "chat.completion.chunk" if is_chunk else "chat.completion"
    return {
        "id": shape.answer_id,
        "object": name,
        "created": shape.created,
        "model": shape.model,
    }


def usage_body(usage: Usage) -> dict[str, int]:
    """Return the token counts in OpenAI's format."""
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
    }


def event(body: dict[str, object]) -> bytes:
    """Return one server-sent event with a JSON body."""
    return b"data: " + orjson.dumps(body) + b"\n\n"
