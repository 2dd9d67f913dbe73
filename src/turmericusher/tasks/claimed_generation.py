"""Generations under a non-idempotent profile, which run at most once under a claim.

A repeated request gets the stored answer as a single chunk. Such a generation is never
resumed or sent again.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, field

import orjson

from turmericusher.decisions.idempotency_keys import parse_key
from turmericusher.decisions.requests import AnswerChunk, GenerationRequest, Usage
from turmericusher.errors import TurmericusherError, Verdict
from turmericusher.tasks.claimed import ClaimRequest, HeldClaim, claimed
from turmericusher.tasks.claims import Claims

ANSWER_GRACE_S = 1800.0
"""Seconds after the request's deadline for which the outcome is still awaited."""

Chunks = AsyncIterator[AnswerChunk]
OpenGeneration = Callable[[], AbstractAsyncContextManager[Chunks]]


@asynccontextmanager
async def open_claimed_generation(
    claims: Claims, request: GenerationRequest, open_generation: OpenGeneration
) -> AsyncIterator[Chunks]:
    """Open a generation under its key's claim, or yield the chunks of a stored answer.

    Raises the errors of `claimed`, and those of `open_generation`.
    """
    loop = asyncio.get_running_loop()
    claim_request = ClaimRequest(
        key=parse_key(request.idempotency_key),
        number=request.attempt_number,
        body_hash=request.body_hash,
        deadline=loop.time() + request.profile.max_wait_s,
        answer_grace_s=ANSWER_GRACE_S,
    )
    async with claimed(claims, claim_request) as claim:
        if claim.stored_answer is not None:
            yield stored_chunks(claim.stored_answer)
            return
        async with open_generation() as chunks:
            claim.begin_send()
            try:
                yield recorded_chunks(claim, chunks)
            except TurmericusherError as error:
                release_if_not_run(claim, error)
                raise


def release_if_not_run(claim: HeldClaim, error: TurmericusherError) -> None:
    """Have the claim released if the error says that no byte was sent."""
    if error.verdict is Verdict.NOT_RUN:
        claim.mark_unsent()


async def recorded_chunks(claim: HeldClaim, chunks: Chunks) -> Chunks:
    """Yield the chunks; set the claim's answer when the last one has arrived."""
    builder = AnswerBuilder()
    async for chunk in chunks:
        builder.add(chunk)
        if chunk.finish_reason is not None:
            claim.set_answer(builder.encode())
        yield chunk


async def stored_chunks(text: str) -> Chunks:
    """Yield a stored answer as one chunk."""
    yield decode_chunk(text)


@dataclass(slots=True)
class AnswerBuilder:
    """Joins the chunks of an answer into the one that is stored.

    `first` is the chunk with the prompt's token ids, `last` the latest one.
    """

    token_ids: list[int] = field(default_factory=list)
    texts: list[str] = field(default_factory=list)
    first: AnswerChunk | None = None
    last: AnswerChunk | None = None

    def add(self, chunk: AnswerChunk) -> None:
        """Append the next chunk."""
        self.token_ids.extend(chunk.token_ids)
        self.texts.append(chunk.text)
        if chunk.prompt_token_ids is not None:
            self.first = chunk
        self.last = chunk

    def encode(self) -> str:
        """Return the answer in the encoding that is stored with its claim."""
        first, last = self.first, self.last
        usage = last.usage if last is not None else None
        fields = [
            self.token_ids,
            "".join(self.texts),
            last.finish_reason if last is not None else None,
            first.prompt_token_ids if first is not None else None,
            first.version if first is not None else "",
            [usage.prompt_tokens, usage.completion_tokens] if usage else None,
        ]
        return orjson.dumps(fields).decode()


def decode_chunk(text: str) -> AnswerChunk:
    """Return a stored answer as one chunk."""
    tokens, answer_text, finish_reason, prompt, version, usage = orjson.loads(text)
    return AnswerChunk(
        token_ids=tuple(tokens),
        text=answer_text,
        finish_reason=finish_reason,
        prompt_token_ids=tuple(prompt) if prompt is not None else None,
        version=version,
        usage=Usage(*usage) if usage is not None else None,
    )
