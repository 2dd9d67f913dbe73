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
class AnswerFormat:
    """The format in which one answer is encoded.

    `created` is in seconds since the epoch. `has_token_ids` adds the token ids that a
    caller needs to resume. `has_usage` adds a final event with the token counts.
    """

    is_chat: bool
    answer_id: str
    model: str
    created: int
    has_token_ids: bool = False
    has_usage: bool = False


def chunk_event(
    answer_format: AnswerFormat, chunk: AnswerChunk, is_first: bool
) -> bytes:
    """Return the server-sent event for a chunk of the answer."""
    body = common_fields(answer_format, is_chunk=True)
    if chunk.version:
        body["system_fingerprint"] = chunk.version
    if is_first and chunk.version:
        body["turmericusher"] = {"version": chunk.version}
    body["choices"] = [chunk_choice(answer_format, chunk, is_first)]
    return event(body)


def chunk_choice(
    answer_format: AnswerFormat, chunk: AnswerChunk, is_first: bool
) -> dict[str, object]:
    """Return the entry of `choices` for a chunk of the answer."""
    choice: dict[str, object] = {"index": 0, "finish_reason": chunk.finish_reason}
    if answer_format.is_chat:
        delta = {"content": chunk.text}
        choice["delta"] = {"role": "assistant", **delta} if is_first else delta
    else:
        choice["text"] = chunk.text
    if answer_format.has_token_ids:
        choice["token_ids"] = chunk.token_ids
        if chunk.prompt_token_ids is not None:
            choice["prompt_token_ids"] = chunk.prompt_token_ids
    return choice


def usage_event(answer_format: AnswerFormat, usage: Usage) -> bytes:
    """Return the final event with the token counts; its `choices` are empty."""
    body = common_fields(answer_format, is_chunk=True)
    body["choices"] = []
    body["usage"] = usage_body(usage)
    return event(body)


def error_event(error: TurmericusherError) -> bytes:
    """Return the server-sent event that ends a stream with an error."""
    return event(error_body(error))


def unstreamed_body(
    answer_format: AnswerFormat, chunks: Iterable[AnswerChunk]
) -> dict[str, object]:
    """Return the body of an answer that is not streamed."""
    chunk_list = list(chunks)
    text = "".join(chunk.text for chunk in chunk_list)
    last_chunk = chunk_list[-1]
    choice: dict[str, object] = {"index": 0, "finish_reason": last_chunk.finish_reason}
    if answer_format.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    if answer_format.has_token_ids:
        choice["token_ids"] = [t for chunk in chunk_list for t in chunk.token_ids]
        choice["prompt_token_ids"] = chunk_list[0].prompt_token_ids
    body = common_fields(answer_format, is_chunk=False)
    body["choices"] = [choice]
    if last_chunk.usage is not None:
        body["usage"] = usage_body(last_chunk.usage)
    return body


def common_fields(answer_format: AnswerFormat, is_chunk: bool) -> dict[str, object]:
    """Return the fields that are common to all bodies and events of an answer."""
    name = "text_completion"
    if answer_format.is_chat:
        name = "chat.completion.chunk" if is_chunk else "chat.completion"
    return {
        "id": answer_format.answer_id,
        "object": name,
        "created": answer_format.created,
        "model": answer_format.model,
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
