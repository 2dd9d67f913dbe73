"""Calls under a claim: acquiring it, sending the call once, storing the outcome.

A claim is a committed record that names the one attempt that may send the call of an
idempotency key. `claimed` guards a call that must run at most once, be it a plain call
or a generation:

    async with claimed(claims, request) as claim:
        if claim.stored_answer is not None:
            return claim.stored_answer
        claim.begin_send()
        claim.set_answer(await send())

When the block ends without an answer, the outcome is recorded as "may have run" if
`begin_send` was called; otherwise the claim is released.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from turmericusher.decisions.claim_pages import (
    MAX_OUTCOME_BYTES,
    ClaimRecord,
    ClaimState,
)
from turmericusher.decisions.claims import (
    AcquireClaim,
    ClaimCommand,
    ClaimReply,
    RecordOutcome,
    ReleaseClaim,
    ReplyKind,
)
from turmericusher.decisions.idempotency_keys import (
    MS_PER_S,
    IdempotencyKey,
    PageName,
    check_age,
    page_for_key,
)
from turmericusher.errors import (
    ErrorCode,
    RequestRefusedError,
    UpstreamError,
    Verdict,
)
from turmericusher.tasks.claims import Claims

INITIAL_POLL_INTERVAL_S = 0.1
MAX_POLL_INTERVAL_S = 0.5
"""Seconds before a claim that another attempt holds is requested again.

The interval is doubled after each request, up to the maximum."""
RETRY_AFTER_S = 1.0
"""Seconds after which a refused caller is told to repeat its request."""


class ClaimOutcomeUnknownError(RequestRefusedError):
    """The deadline passed, and a submitted claim command may still take effect.

    `claimed` then commits a release, so that the command does not hold the key.
    """


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """One request to claim an idempotency key.

    `number` counts the caller's requests with this key from 1. It is 0 (`UNNUMBERED`)
    if the caller does not number them. `body_hash` is equal for equal requests.
    `deadline` is the event loop's time in seconds after which nothing is sent.
    `answer_grace_s` is how many seconds after the deadline the outcome of a sent call
    is still awaited.
    """

    key: IdempotencyKey
    number: int
    body_hash: str
    deadline: float
    answer_grace_s: float


@dataclass(slots=True)
class HeldClaim:
    """A claim that this attempt holds, or the stored answer of an earlier attempt.

    `has_run` is set once the call is known to have run. `answer` is then still None if
    it is too large to store.
    """

    request: ClaimRequest
    stored_answer: str | None = None
    is_sent: bool = False
    answer: str | None = None
    has_run: bool = False

    def begin_send(self) -> None:
        """Mark the call as sent, just before the first byte may leave.

        Raises `RequestRefusedError` when the request's deadline has passed.
        """
        if asyncio.get_running_loop().time() > self.request.deadline:
            raise RequestRefusedError(
                ErrorCode.WAIT_EXCEEDED,
                f"key {self.request.key.text!r}: the profile's max_wait_s passed "
                "before the call could be sent; repeat it",
                retry_after_s=RETRY_AFTER_S,
            )
        self.is_sent = True

    def mark_unsent(self) -> None:
        """Undo `begin_send` when it turns out that no byte was sent."""
        self.is_sent = False

    def set_answer(self, answer: str) -> None:
        """Set the answer to store for repeated requests."""
        self.answer = answer
        self.has_run = True

    def mark_run(self) -> None:
        """Mark the call as run, with an answer that is too large to store."""
        self.has_run = True


def hash_parts(parts: Iterable[bytes]) -> str:
    """Return a hash of byte strings that is equal for equal sequences only."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()[:32]


def verdict_before_claim(number: int) -> Verdict:
    """Return the verdict of a refusal made before the key's record was read.

    The refused request has not run, but an earlier one with the same key may have: its
    caller may have lost the answer. Only for a first request is that impossible.
    """
    return Verdict.NOT_RUN if number == 1 else Verdict.MAY_HAVE_RUN


@asynccontextmanager
async def claimed(claims: Claims, request: ClaimRequest) -> AsyncIterator[HeldClaim]:
    """Hold the claim of a key, or yield the stored answer of an earlier attempt.

    On exit the outcome, or the release if nothing was sent, is committed in the
    background. Raises `TurmericusherError` when the key can be neither claimed nor
    answered.
    """
    verdict = verdict_before_claim(request.number)
    check_age(request.key, claims.now_ms(), claims.ages, verdict)
    name = page_for_key(request.key, claims.layout)
    attempt_id = claims.attempt_id()
    claim = HeldClaim(request)
    release = ReleaseClaim(
        request.key.text, attempt_id, request.number, request.body_hash
    )
    try:
        claim.stored_answer = await acquire_claim(claims, name, request, attempt_id)
    except (asyncio.CancelledError, ClaimOutcomeUnknownError):
        claims.commit_in_background(name, release)
        raise
    if claim.stored_answer is not None:
        yield claim
        return
    try:
        yield claim
    finally:
        if claim.is_sent:
            claims.commit_in_background(name, outcome_command(claim, attempt_id))
        else:
            claims.commit_in_background(name, release)


def outcome_command(claim: HeldClaim, attempt_id: str) -> RecordOutcome:
    """Return the command that records the outcome of a sent call."""
    key = claim.request.key.text
    if not claim.has_run:
        return RecordOutcome(key, attempt_id, ClaimState.UNKNOWN)
    if claim.answer is None or len(claim.answer) > MAX_OUTCOME_BYTES:
        return RecordOutcome(key, attempt_id, ClaimState.RAN)
    return RecordOutcome(key, attempt_id, ClaimState.ANSWERED, claim.answer)


async def acquire_claim(
    claims: Claims, name: PageName, request: ClaimRequest, attempt_id: str
) -> str | None:
    """Return None once this attempt holds the claim, or another attempt's answer.

    While another attempt is in progress the command is submitted repeatedly: it
    acquires the claim if that attempt releases it.
    """
    loop = asyncio.get_running_loop()
    wait_ms = (request.deadline - loop.time() + request.answer_grace_s) * MS_PER_S
    command = AcquireClaim(
        key=request.key.text,
        attempt_id=attempt_id,
        number=request.number,
        body_hash=request.body_hash,
        deadline_ms=claims.now_ms() + int(wait_ms),
    )
    poll_interval_s = INITIAL_POLL_INTERVAL_S
    while True:
        reply = await submit_before_deadline(claims, name, request, command)
        if reply.kind is ReplyKind.GRANTED:
            return None
        record = reply.record
        if record is None:
            raise refusal_error(reply.kind, request)
        if record.state is not ClaimState.CLAIMED:
            return answer_from_record(record)
        check_can_wait(claims, record, request)
        await asyncio.sleep(
            min(poll_interval_s, max(0.0, request.deadline - loop.time()))
        )
        check_can_wait(claims, record, request)
        poll_interval_s = min(MAX_POLL_INTERVAL_S, 2 * poll_interval_s)


async def submit_before_deadline(
    claims: Claims, name: PageName, request: ClaimRequest, command: ClaimCommand
) -> ClaimReply:
    """Submit a command; raise `ClaimOutcomeUnknownError` at the request's deadline."""
    try:
        async with asyncio.timeout_at(request.deadline):
            return await claims.submit(name, command)
    except TimeoutError:
        raise ClaimOutcomeUnknownError(
            ErrorCode.STORE_UNAVAILABLE,
            f"key {request.key.text!r}: its claim could not be committed within the "
            "profile's max_wait_s; repeat the request with the same key",
            verdict=verdict_before_claim(request.number),
            retry_after_s=RETRY_AFTER_S,
        ) from None


def answer_from_record(record: ClaimRecord) -> str:
    """Return the stored answer; raise `UpstreamError` when there will never be one."""
    if record.state is ClaimState.ANSWERED:
        return record.outcome
    if record.state is ClaimState.RAN:
        raise UpstreamError(
            ErrorCode.OUTCOME_TOO_LARGE,
            f"key {record.key!r}: the call ran, but its answer was too large to keep",
            verdict=Verdict.RAN,
        )
    raise UpstreamError(
        ErrorCode.UPSTREAM_FAILED,
        f"key {record.key!r}: the call was sent and its answer was lost; check "
        "whether it took effect",
        verdict=Verdict.MAY_HAVE_RUN,
    )


def check_can_wait(claims: Claims, record: ClaimRecord, request: ClaimRequest) -> None:
    """Raise when waiting longer for another attempt's outcome is pointless.

    That is so once the outcome is overdue, or at the deadline of this request.
    """
    skew_ms = claims.ages.clock_skew_s * MS_PER_S
    if claims.now_ms() > record.deadline_ms + skew_ms:
        raise UpstreamError(
            ErrorCode.ANSWER_INTERRUPTED,
            f"key {record.key!r}: the instance that claimed it recorded no outcome; "
            "check whether the call took effect",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    if asyncio.get_running_loop().time() >= request.deadline:
        raise ClaimOutcomeUnknownError(
            ErrorCode.REQUEST_IN_PROGRESS,
            f"key {record.key!r}: an earlier request with it is in progress; repeat "
            "it with the same key",
            verdict=Verdict.MAY_HAVE_RUN,
            retry_after_s=RETRY_AFTER_S,
        )


def refusal_error(kind: ReplyKind, request: ClaimRequest) -> RequestRefusedError:
    """Return the error for a key that this request cannot claim."""
    subject = f"key {request.key.text!r}"
    verdict = verdict_before_claim(request.number)
    match kind:
        case ReplyKind.KEY_REUSED:
            return RequestRefusedError(
                ErrorCode.KEY_REUSED,
                f"{subject} belongs to a request with another body or target; use a "
                "new key for each request",
            )
        case ReplyKind.PAGE_FULL:
            return RequestRefusedError(
                ErrorCode.OVERLOADED,
                f"{subject}: too many keys were made at its time; make a new key now",
                verdict=verdict,
            )
        case ReplyKind.EXPIRED:
            return RequestRefusedError(
                ErrorCode.KEY_EXPIRED,
                f"{subject} is older than the retention; check whether the call took "
                "effect, then use a new key",
                verdict=verdict,
            )
    return RequestRefusedError(
        ErrorCode.REQUEST_IN_PROGRESS,
        f"{subject}: a later request with it superseded this one",
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after_s=RETRY_AFTER_S,
    )
