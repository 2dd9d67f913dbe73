"""A fake engine port: a deterministic model, and every fault that an engine can have.

Each token is a function of all tokens before it, so a token that was not computed from
exactly the delivered ones differs from the expected answer.
"""

from __future__ import annotations

import asyncio
import enum
import zlib
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance, UpstreamKind
from turmericusher.decisions.requests import GenerationRequest
from turmericusher.decisions.run_ends import RunEnd
from turmericusher.errors import Verdict
from turmericusher.ports.upstream import (
    DeathCause,
    EngineChunk,
    EngineRequest,
    StreamDiedError,
)
from turmericusher.profiles import Profile

VOCABULARY = ("a", "b", "c", "é", "€", "", "stop", "st")
"""Text of each token id; `€` takes two tokens, the first of which has no text."""

HALF_TOKEN = 5
EURO_TOKEN = 4
PROMPT = (11, 12, 13)
ANSWER_LENGTH = 24


def next_token(tokens: Sequence[int]) -> int:
    """Return the token after `tokens`; a half token is always completed next."""
    if tokens and tokens[-1] == HALF_TOKEN:
        return EURO_TOKEN
    token = zlib.crc32(repr(tuple(tokens)).encode()) % len(VOCABULARY)
    return HALF_TOKEN if token == EURO_TOKEN else token


def expected_tokens(prompt: Sequence[int], count: int) -> list[int]:
    """Return the `count` tokens that an engine without faults generates."""
    tokens = list(prompt)
    for _ in range(count):
        tokens.append(next_token(tokens))
    return tokens[len(prompt) :]


def decode_tokens(tokens: Sequence[int]) -> str:
    """Return the text of a token sequence."""
    return "".join(VOCABULARY[token] for token in tokens)


class Fault(enum.StrEnum):
    """What an engine does when the answer reaches the offset of the fault."""

    REFUSE = "refuse"
    OVERLOAD = "overload"
    REJECT = "reject"
    RESET = "reset"
    EARLY_END = "early_end"
    MALFORMED = "malformed"
    FREEZE = "freeze"
    SLOW = "slow"
    OTHER_VERSION = "other_version"
    ABORT = "abort"
    LOST_FINISH = "lost_finish"


SEND_FAULTS = {
    Fault.REFUSE: StreamDiedError(DeathCause.REFUSED, "refused", Verdict.NOT_RUN),
    Fault.OVERLOAD: StreamDiedError(
        DeathCause.REJECTED, "overloaded", Verdict.NOT_RUN, status=503
    ),
    Fault.REJECT: StreamDiedError(
        DeathCause.REJECTED, "bad request", Verdict.NOT_RUN, status=400
    ),
}

STREAM_FAULTS = {
    Fault.RESET: DeathCause.RESET,
    Fault.EARLY_END: DeathCause.EARLY_END,
    Fault.MALFORMED: DeathCause.MALFORMED,
}


@dataclass(frozen=True, slots=True)
class FaultAt:
    """A fault of one attempt.

    `at_offset` is the number of tokens of the whole answer, those of earlier attempts
    included, after which it occurs.
    """

    fault: Fault
    at_offset: int = 0


@dataclass(slots=True)
class FakeEngines:
    """An engine port whose n-th opened stream has the n-th of `faults`.

    A request with the parameter `kill_at` kills its engine, and with it every other
    stream there, when the answer reaches that offset. `sent` records all requests,
    `open_streams` counts the streams that are open now, and `dead_engines` holds the
    names of the killed engines. `gap_s` and `slow_gap_s` are the seconds between two
    tokens, normally and under the fault `SLOW`.
    """

    faults: list[FaultAt | None] = field(default_factory=list)
    gap_s: float = 0.0
    slow_gap_s: float = 0.01
    answer_length: int = ANSWER_LENGTH
    sent: list[tuple[UpstreamInstance, EngineRequest]] = field(default_factory=list)
    open_streams: int = 0
    dead_engines: set[str] = field(default_factory=set)

    @asynccontextmanager
    async def open_stream(
        self, upstream: UpstreamInstance, request: EngineRequest
    ) -> AsyncIterator[AsyncIterator[EngineChunk]]:
        """Open a stream that has the next fault of `faults`."""
        fault = self.faults.pop(0) if self.faults else None
        self.sent.append((upstream, request))
        if fault is not None and fault.fault in SEND_FAULTS:
            raise SEND_FAULTS[fault.fault]
        if upstream.name in self.dead_engines:
            raise SEND_FAULTS[Fault.REFUSE]
        self.open_streams += 1
        try:
            yield self.generate_chunks(upstream, request, fault)
        finally:
            self.open_streams -= 1

    async def stop_runs(
        self, _upstream: UpstreamInstance, _names: tuple[str, ...]
    ) -> RunEnd:
        """Say that the runs have stopped, as those here do with their streams."""
        return RunEnd.STOPPED

    async def generate_chunks(
        self, upstream: UpstreamInstance, request: EngineRequest, fault: FaultAt | None
    ) -> AsyncIterator[EngineChunk]:
        """Generate the answer token by token, and apply the fault at its offset."""
        tokens = list(request.prompt_token_ids or PROMPT)
        wanted = (
            self.answer_length if request.max_tokens is None else request.max_tokens
        )
        end = len(tokens) + wanted
        prompt: tuple[int, ...] | None = tuple(tokens)
        version = upstream.version
        while True:
            offset = len(tokens) - len(PROMPT)
            if offset >= request.parameters.get("kill_at", offset + 1):  # type: ignore[operator]
                self.dead_engines.add(upstream.name)
            if upstream.name in self.dead_engines:
                await apply_fault(Fault.RESET)
            gap_s = self.gap_s
            if fault is not None and offset >= fault.at_offset:
                if fault.fault is Fault.OTHER_VERSION:
                    version = "other"
                elif fault.fault is Fault.SLOW:
                    gap_s = self.slow_gap_s
                elif fault.fault is Fault.ABORT:
                    yield EngineChunk((), "", "abort")
                elif fault.fault is not Fault.LOST_FINISH:
                    await apply_fault(fault.fault)
            await asyncio.sleep(gap_s)
            tokens.append(next_token(tokens))
            is_last = len(tokens) >= end
            has_finish = is_last and (
                fault is None or fault.fault is not Fault.LOST_FINISH
            )
            yield EngineChunk(
                (tokens[-1],),
                VOCABULARY[tokens[-1]],
                "length" if has_finish else None,
                prompt,
                version,
            )
            prompt = None
            if has_finish:
                return
            if is_last:
                await apply_fault(Fault.RESET)


async def apply_fault(fault: Fault) -> None:
    """Raise the error that ends the stream, or never return (`FREEZE`)."""
    if fault is Fault.FREEZE:
        await asyncio.Event().wait()
    raise StreamDiedError(STREAM_FAULTS[fault], fault.value, Verdict.MAY_HAVE_RUN)


def make_engines(count: int, domains: int = 3) -> list[UpstreamInstance]:
    """Return `count` engines, spread evenly over the failure domains."""
    return [
        UpstreamInstance(
            name=f"engine-{number}",
            service="drafts",
            kind=UpstreamKind.ENGINE,
            address=f"127.0.0.1:{9000 + number}",
            failure_domain=f"domain-{number % domains}",
            incarnation="1",
            version="v1",
            models=("model",),
        )
        for number in range(count)
    ]


def make_request(profile: Profile, **changes: object) -> GenerationRequest:
    """Return a request for `ANSWER_LENGTH` tokens, with some fields changed."""
    fields: dict[str, object] = {
        "request_id": "request-1",
        "team": "team-1",
        "profile": profile,
        "service": "drafts",
        "model": "model",
        "fingerprint": "fingerprint-1",
        "prompt": "write",
        "max_tokens": ANSWER_LENGTH,
    }
    return GenerationRequest(**(fields | changes))  # type: ignore[arg-type]
