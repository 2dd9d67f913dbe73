"""What the callers' library reads from the system: pieces, errors and outcomes."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import orjson

from turmericusher.errors import (
    ErrorCode,
    RequestRefusedError,
    TurmericusherError,
    UpstreamError,
    Verdict,
)

STREAM_END = b"[DONE]"
DATA_FIELD = b"data:"


@dataclass(frozen=True, slots=True)
class EntryPoint:
    """One address of the system, `ip:port`."""

    name: str
    address: str
    failure_domain: str


ELSEWHERE_CODES = frozenset(
    {
        ErrorCode.INSTANCE_STOPPING,
        ErrorCode.INSTANCE_STALE,
        ErrorCode.ANSWER_INTERRUPTED,
        ErrorCode.INTERNAL,
    }
)
"""Errors that another entry instance need not give."""

SETTLED_BY_REPEAT = frozenset(
    {
        ErrorCode.INSTANCE_STOPPING,
        ErrorCode.INSTANCE_STALE,
        ErrorCode.NO_UPSTREAM,
        ErrorCode.OVERLOADED,
        ErrorCode.REQUEST_IN_PROGRESS,
        ErrorCode.STORE_UNAVAILABLE,
        ErrorCode.WAIT_EXCEEDED,
    }
)
"""Errors of a call whose fate a repeat with the same key may show, though by then it
may have run."""


@dataclass(frozen=True, slots=True)
class ReceivedPiece:
    """One piece of an answer; the last one has a finish reason."""

    token_ids: tuple[int, ...]
    text: str
    finish_reason: str | None = None


@dataclass(slots=True)
class Received:
    """All that a caller holds of its answer.

    `resumes` counts the times it went on at another entry point.
    """

    prompt_token_ids: tuple[int, ...] = ()
    token_ids: list[int] = field(default_factory=list)
    text: str = ""
    version: str = ""
    finish_reason: str | None = None
    usage: dict[str, int] | None = None
    resumes: int = 0

    def add(self, piece: ReceivedPiece) -> None:
        """Take in a piece."""
        self.token_ids.extend(piece.token_ids)
        self.text += piece.text
        self.finish_reason = piece.finish_reason


@dataclass(frozen=True, slots=True)
class CallResult:
    """The answer of a plain service."""

    status: int
    body: bytes
    headers: Mapping[str, str]


class ConnectionLostError(Exception):
    """A stream broke off or fell silent before the answer was whole."""


class ElsewhereError(Exception):
    """An instance cannot go on with a request; another one may."""

    def __init__(self, error: TurmericusherError) -> None:
        super().__init__(error.message)
        self.error = error


def resumable_body(body: Mapping[str, Any], answer: Received) -> dict[str, Any]:
    """Return the body to send: streamed, with token ids, and with what has come."""
    sent = {**body, "stream": True, "return_token_ids": True}
    sent["stream_options"] = {"include_usage": True}
    if answer.token_ids:
        sent["turmericusher_resume"] = {
            "prompt_token_ids": list(answer.prompt_token_ids),
            "token_ids": answer.token_ids,
            "text": answer.text,
            "version": answer.version,
        }
    return sent


async def read_events(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield the data of each server-sent event; comments only keep the line alive."""
    async for line in response.content:
        if line.startswith(DATA_FIELD):
            yield line[len(DATA_FIELD) :].strip()


def take_chunk(chunk: dict[str, Any], answer: Received) -> ReceivedPiece | None:
    """Return the piece of a chunk; note what else it says in the answer."""
    if "error" in chunk:
        raise_for_error(orjson.dumps(chunk))
    if chunk.get("usage") is not None:
        answer.usage = chunk["usage"]
    if "turmericusher" in chunk and not answer.version:
        answer.version = chunk["turmericusher"].get("version", "")
    if not chunk["choices"]:
        return None
    choice = chunk["choices"][0]
    if choice.get("prompt_token_ids") is not None:
        answer.prompt_token_ids = tuple(choice["prompt_token_ids"])
    delta = choice.get("delta")
    text = choice.get("text") if delta is None else delta.get("content")
    return ReceivedPiece(
        token_ids=tuple(choice.get("token_ids") or ()),
        text=text or "",
        finish_reason=choice.get("finish_reason"),
    )


def raise_for_error(data: bytes) -> None:
    """Raise the coded error in a body, or `ElsewhereError` where another may go on."""
    error = error_in(data)
    if error is None:
        raise ConnectionLostError(f"an error without a code: {data[:200]!r}")
    if error.code in ELSEWHERE_CODES:
        raise ElsewhereError(error)
    raise error


def error_in(data: bytes) -> TurmericusherError | None:
    """Return the coded error that a body holds, or None."""
    try:
        fields = orjson.loads(data)["error"]
        code = ErrorCode(fields["code"])
        verdict = Verdict(fields["verdict"])
    except (ValueError, KeyError, TypeError):
        return None
    kind = RequestRefusedError if verdict is Verdict.NOT_RUN else UpstreamError
    return kind(
        code,
        str(fields.get("message", "")),
        verdict=verdict,
        retry_after_s=fields.get("retry_after_s"),
    )
