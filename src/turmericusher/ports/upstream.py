"""The port to model engines: one stream of chunks for each attempt, and its end."""

from __future__ import annotations

import enum
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from typing import Protocol

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.run_ends import RunEnd
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
class EngineChunk:
    """Some tokens of a stream with their text.

    `text` may be empty while a character or a word is incomplete. Only the first chunk
    of an attempt has `prompt_token_ids`. `version` is the engine's version.
    """

    token_ids: tuple[int, ...]
    text: str
    finish_reason: str | None = None
    prompt_token_ids: tuple[int, ...] | None = None
    version: str = ""


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """One attempt, as it is sent to an engine.

    Exactly one of `prompt`, `prompt_token_ids` and `messages` is set. `parameters`
    are the caller's sampling parameters, passed on unchanged. `max_tokens` limits the
    tokens still to be generated; None leaves the engine's default.
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

    `verdict` states whether the engine may have begun to run the attempt. `status` is
    the HTTP status of a rejection, otherwise 0. `retry_after_s` is the engine's own
    advice in seconds, if it gave one.
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
    """Opens streams on engines, and stops runs whose streams were left."""

    def open_stream(
        self, upstream: UpstreamInstance, request: EngineRequest
    ) -> AbstractAsyncContextManager[AsyncIterator[EngineChunk]]:
        """Open a stream; leaving the context asks the engine to stop, by closing it.

        Iteration raises `StreamDiedError` when the stream ends without a finish reason.
        """
        ...

    async def stop_runs(
        self, upstream: UpstreamInstance, names: tuple[str, ...]
    ) -> RunEnd:
        """Have an engine stop runs, over a new connection; return what is known then.

        `names` has the `request_id` of each. One that the engine does not run is no
        error.
        """
        ...
