"""Parsing of what a client receives: chunks of answers, errors and call results."""

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
    """An entry point of the system; `address` is its `ip:port`."""

    name: str
    address: str
    failure_domain: str


RETRY_ELSEWHERE_CODES = frozenset(
    {
        ErrorCode.INSTANCE_STOPPING,
        ErrorCode.INSTANCE_STALE,
        ErrorCode.ANSWER_INTERRUPTED,
        ErrorCode.INTERNAL,
    }
)
"""Errors specific to one entry instance: another may continue the request."""

REPEATABLE_WITH_SAME_KEY = frozenset(
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
"""Errors of a call after which a repeat with the same key may succeed or return the
outcome, even if the call has run."""


@dataclass(frozen=True, slots=True)
class ReceivedChunk:
    """One chunk of an answer: tokens and text; only the last has a finish reason."""

    token_ids: tuple[int, ...]
    text: str
    finish_reason: str | None = None


@dataclass(slots=True)
class Received:
    """Everything that a caller has received of an answer.

    `version` is the version of the model that generated it. `resumes` counts the
    attempts to continue it at another entry point.
    """

    prompt_token_ids: tuple[int, ...] = ()
    token_ids: list[int] = field(default_factory=list)
    text: str = ""
    version: str = ""
    finish_reason: str | None = None
    usage: dict[str, int] | None = None
    resumes: int = 0

    def add(self, chunk: ReceivedChunk) -> None:
        """Append a chunk to the answer."""
        self.token_ids.extend(chunk.token_ids)
        self.text += chunk.text
        self.finish_reason = chunk.finish_reason


@dataclass(frozen=True, slots=True)
class CallResult:
    """The response of a plain service."""

    status: int
    body: bytes
    headers: Mapping[str, str]


class ConnectionLostError(Exception):
    """A stream was cut or stalled before its answer was complete."""


class RetryElsewhereError(Exception):
    """This instance cannot continue a request, but another one may."""

    def __init__(self, error: TurmericusherError) -> None:
        super().__init__(error.message)
        self.error = error


def build_request_body(body: Mapping[str, Any], answer: Received) -> dict[str, Any]:
    """Return the request body to send, which asks for a stream with token IDs.

    It includes what has been received of the answer, so that the instance resumes it.
    """
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
    """Yield the data of each server-sent event; comments are heartbeats, so skipped."""
    async for line in response.content:
        if line.startswith(DATA_FIELD):
            yield line[len(DATA_FIELD) :].strip()


def process_event(event: dict[str, Any], answer: Received) -> ReceivedChunk | None:
    """Return the chunk in an event, or None if the event has none.

    The other fields of the event (usage, version, prompt tokens) are stored in
    `answer`. Raises the error that an event carries.
    """
    if "error" in event:
        raise_for_error(orjson.dumps(event))
    if event.get("usage") is not None:
        answer.usage = event["usage"]
    if "turmericusher" in event and not answer.version:
        answer.version = event["turmericusher"].get("version", "")
    if not event["choices"]:
        return None
    choice = event["choices"][0]
    if choice.get("prompt_token_ids") is not None:
        answer.prompt_token_ids = tuple(choice["prompt_token_ids"])
    delta = choice.get("delta")
    text = choice.get("text") if delta is None else delta.get("content")
    return ReceivedChunk(
        token_ids=tuple(choice.get("token_ids") or ()),
        text=text or "",
        finish_reason=choice.get("finish_reason"),
    )


def raise_for_error(data: bytes) -> None:
    """Raise the error in a response body.

    Raises `RetryElsewhereError` if another instance may continue the request.
    """
    error = parse_error(data)
    if error is None:
        raise ConnectionLostError(f"error response without a code: {data[:200]!r}")
    if error.code in RETRY_ELSEWHERE_CODES:
        raise RetryElsewhereError(error)
    raise error


def parse_error(data: bytes) -> TurmericusherError | None:
    """Return the error that a JSON body describes, or None if it describes none."""
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
