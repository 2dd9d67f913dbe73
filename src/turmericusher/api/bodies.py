"""Validation of completion bodies and their conversion to `GenerationRequest`."""

from __future__ import annotations

import hashlib
from typing import Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from turmericusher.api.body_parsing import invalid_body_error, parse_object, short_repr
from turmericusher.decisions.requests import GenerationRequest, ReceivedAnswer
from turmericusher.errors import ErrorCode, RequestRefusedError
from turmericusher.profiles import Profile
from turmericusher.validation import describe_validation_error

MAX_STOP_STRINGS = 16


class ResumeModel(BaseModel):
    """The `turmericusher_resume` field: what a caller has received of the answer."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    prompt_token_ids: tuple[int, ...] = Field(min_length=1)
    token_ids: tuple[int, ...]
    text: str = ""
    version: str = ""


class GenerationBody(BaseModel):
    """The fields of a completion that turmericusher itself interprets.

    All other fields are sampling parameters, which engines receive unchanged.
    """

    model_config = ConfigDict(extra="allow", frozen=True)

    model: str = Field(min_length=1, max_length=200)
    stream: bool = False
    stream_options: dict[str, Any] | None = None
    max_tokens: int | None = Field(default=None, ge=1, le=10_000_000)
    stop: str | tuple[str, ...] | None = None
    return_token_ids: bool = False
    turmericusher_resume: ResumeModel | None = None


class CompletionBody(GenerationBody):
    """The body of `/v1/completions`.

    `max_tokens` has OpenAI's default. It must be known here: an engine would apply its
    own default again at each resume, and the answer would come out longer.
    """

    max_tokens: int | None = Field(default=16, ge=1, le=10_000_000)
    prompt: str | tuple[int, ...]


class ChatMessage(BaseModel):
    """One message of a chat prompt; unknown fields are passed to the engine."""

    model_config = ConfigDict(extra="allow", frozen=True)

    role: str
    content: Any = None


class ChatBody(GenerationBody):
    """The body of `/v1/chat/completions`."""

    messages: tuple[ChatMessage, ...] = Field(min_length=1)
    max_completion_tokens: int | None = Field(default=None, ge=1, le=10_000_000)


ACCEPTED_VALUES = {
    "n": (None, 1),
    "best_of": (None, 1),
    "echo": (None, False),
    "logprobs": (None, False),
    "top_logprobs": (None, 0),
    "suffix": (None, ""),
    "tools": (None, []),
    "functions": (None, []),
    "response_format": (None, {"type": "text"}),
    "guided_json": (None,),
    "guided_regex": (None,),
    "prompt_logprobs": (None,),
    "min_tokens": (None, 0),
}
"""Fields that are accepted only with these values, under which a resume is possible."""


def parse_body(
    data: bytes, model: type[CompletionBody] | type[ChatBody]
) -> GenerationBody:
    """Validate a completion's body; raise `RequestRefusedError` if it is invalid."""
    mapping = parse_object(data)
    for name, accepted in ACCEPTED_VALUES.items():
        if mapping.get(name) not in accepted:
            raise RequestRefusedError(
                ErrorCode.UNSUPPORTED_PARAMETER,
                f"{name}={short_repr(mapping[name])} does not allow a resume on "
                f"another engine; leave it out or send {accepted[-1]!r}",
            )
    try:
        return model.model_validate(mapping)
    except ValidationError as error:
        raise invalid_body_error(
            describe_validation_error("body", error)[:400]
        ) from error


def generation_from_body(
    body: GenerationBody, request_id: str, team: str, profile: Profile, service: str
) -> GenerationRequest:
    """Return the request that the decision logic works on."""
    parameters = dict(body.model_extra or {})
    prompt = body.prompt if isinstance(body, CompletionBody) else None
    messages = None
    max_tokens = body.max_tokens
    if isinstance(body, ChatBody):
        messages = tuple(m.model_dump(exclude_unset=True) for m in body.messages)
        max_tokens = body.max_completion_tokens or body.max_tokens
    try:
        fingerprint = request_fingerprint(body.model, prompt, messages)
        orjson.dumps(parameters)
    except orjson.JSONEncodeError as error:
        # orjson parses deeper nesting than it serializes for the engine.
        raise invalid_body_error(
            f"body cannot be passed on to an engine: {error}"
        ) from error
    return GenerationRequest(
        request_id=request_id,
        team=team,
        profile=profile,
        service=service,
        model=body.model,
        fingerprint=fingerprint,
        prompt=prompt if isinstance(prompt, str) else None,
        prompt_token_ids=prompt if isinstance(prompt, tuple) else None,
        messages=messages,
        max_tokens=max_tokens,
        stop=parse_stop_strings(body.stop),
        parameters=parameters,
        received=received_answer(body.turmericusher_resume),
    )


def received_answer(model: ResumeModel | None) -> ReceivedAnswer | None:
    """Return the part of the answer that a resuming caller has received, if any."""
    if model is None:
        return None
    return ReceivedAnswer(
        prompt_token_ids=model.prompt_token_ids,
        token_ids=model.token_ids,
        text=model.text,
        version=model.version,
    )


def parse_stop_strings(stop: str | tuple[str, ...] | None) -> tuple[str, ...]:
    """Return the stop strings; raise if there are too many or any is empty."""
    if stop is None:
        return ()
    strings = (stop,) if isinstance(stop, str) else stop
    if len(strings) > MAX_STOP_STRINGS or not all(strings):
        raise invalid_body_error(
            f"body.stop={short_repr(list(strings))}: send 1 to {MAX_STOP_STRINGS} "
            "strings, none of them empty"
        )
    return strings


def request_fingerprint(model: str, prompt: object, messages: object) -> str:
    """Return a hash that all instances compute alike for a model and its prompt."""
    data = orjson.dumps([model, prompt, messages], option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(data).hexdigest()[:32]
