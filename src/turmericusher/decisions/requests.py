"""What a caller asks for and what it gets, as the decisions see them."""

from __future__ import annotations

from dataclasses import dataclass, field

from turmericusher.profiles import Profile


@dataclass(frozen=True, slots=True)
class ReceivedAnswer:
    """The part of an answer that a resuming caller already holds.

    `prompt_token_ids` and `version` came with the answer's first piece. `text` is the
    text received so far, which stop strings that span the cut need.
    """

    prompt_token_ids: tuple[int, ...]
    token_ids: tuple[int, ...]
    text: str = ""
    version: str = ""


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """One generation that a caller asked for.

    Exactly one of `prompt`, `prompt_token_ids` and `messages` is set. `parameters` are
    sampling parameters that engines get as they are; `max_tokens` and `stop` are not
    among them because a resumed attempt needs them changed. `fingerprint` is equal
    for equal requests, whichever instance they reach. `idempotency_key`,
    `attempt_number` (0 when not given) and `body_hash` matter under a profile that is
    not idempotent only.
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
    """Token counts of a whole answer."""

    prompt_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class AnswerPiece:
    """Some tokens of the answer, in order, for the caller.

    `prompt_token_ids` comes with the first piece only; `finish_reason` and `usage`
    come with the last piece only. A piece without tokens and text is a heartbeat.
    """

    token_ids: tuple[int, ...] = ()
    text: str = ""
    finish_reason: str | None = None
    prompt_token_ids: tuple[int, ...] | None = None
    version: str = ""
    usage: Usage | None = None
