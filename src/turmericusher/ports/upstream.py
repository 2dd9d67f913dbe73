"""The port to model engines: one stream of pieces for each attempt."""

from __future__ import annotations

import enum
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from typing import Protocol

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.errors import Verdict


class DeathCause(enum.StrEnum):
    """Why an attempt's stream ended without a finish reason."""

    REFUSED = "refused"
    RESET = "reset"
    EARLY_END = "early_end"
    REJECTED = "rejected"
    MALFORMED = "malformed"
    NEW_INCARNATION = "new_incarnation"
    STALLED = "stalled"


@dataclass(frozen=True, slots=True)
class EnginePiece:
    """Some tokens of a stream.

    `text` may be empty while a character or a word is incomplete. `prompt_token_ids`
    comes with the first piece of an attempt only.
    """

    token_ids: tuple[int, ...]
    text: str
    finish_reason: str | None = None
    prompt_token_ids: tuple[int, ...] | None = None
    version: str = ""


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """One attempt, as an engine gets it.

    Exactly one of `prompt`, `prompt_token_ids` and `messages` is set. `parameters`
    are the caller's sampling parameters, passed on as they are. `max_tokens` is what
    may still be generated; None leaves the engine's default.
    """

    model: str
    prompt: str | None = None
    prompt_token_ids: tuple[int, ...] | None = None
    messages: tuple[dict[str, object], ...] | None = None
    max_tokens: int | None = None
    priority: int = 0
    parameters: dict[str, object] = field(default_factory=dict)
    request_id: str = ""


class StreamDiedError(Exception):
    """An attempt's stream ended without a finish reason.

    `verdict` says whether the engine may have begun to run the attempt.
    `retry_after_s` is the engine's own advice, where it gave one.
    """

    def __init__(
        self,
        cause: DeathCause,
        message: str,
        verdict: Verdict,
        status: int = 0,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.cause = cause
        self.message = message
        self.verdict = verdict
        self.status = status
        self.retry_after_s = retry_after_s


class EnginePort(Protocol):
    """Opens streams on engines."""

    def open_stream(
        self, upstream: UpstreamInstance, request: EngineRequest
    ) -> AbstractAsyncContextManager[AsyncIterator[EnginePiece]]:
        """Open a stream; leaving the context cancels the work on the engine.

        Iteration raises `StreamDiedError` when the stream ends without a finish reason.
        """
        ...
