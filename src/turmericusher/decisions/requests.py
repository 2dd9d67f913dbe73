"""A caller's generation request and the chunks of its answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from turmericusher.profiles import Profile


@dataclass(frozen=True, slots=True)
class ReceivedAnswer:
    """The part of an answer that a resuming caller already holds.

    `prompt_token_ids` and `version` came with the answer's first chunk. `text` is the
    text received so far, which is needed to match stop strings across the cut.
    """

    prompt_token_ids: tuple[int, ...]
    token_ids: tuple[int, ...]
    text: str = ""
    version: str = ""


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """One generation that a caller asked for.

    Exactly one of `prompt`, `prompt_token_ids` and `messages` is set. `parameters` are
    sampling parameters that are passed to engines unchanged; `max_tokens` and `stop`
    are separate because a resumed attempt needs different values. `fingerprint` is
    equal for equal requests on all instances. `idempotency_key`, `attempt_number` (0 if
    not given) and `body_hash` are used only with a profile that is not idempotent.
    """

    request_id: str
    team: str
    profile: Profile
    service: str
    model: str
    fingerprint: str
    prompt: str | None = None
    prompt_token_ids: tuple[int, ...] | None = None
    messages: tuple[dict[str, object], ...] | None = None
    max_tokens: int | None = None
    stop: tuple[str, ...] = ()
    parameters: dict[str, object] = field(default_factory=dict)
    received: ReceivedAnswer | None = None
    idempotency_key: str | None = None
    attempt_number: int = 0
    body_hash: str = ""


@dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of a complete answer."""

    prompt_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class AnswerChunk:
    """A part of the answer for the caller: tokens in order, with their text.

    `prompt_token_ids` comes only with the first chunk, `finish_reason` and `usage` only
    with the last one. A chunk without tokens and text is a heartbeat.
    """

    token_ids: tuple[int, ...] = ()
    text: str = ""
    finish_reason: str | None = None
    prompt_token_ids: tuple[int, ...] | None = None
    version: str = ""
    usage: Usage | None = None
