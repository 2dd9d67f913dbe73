"""Claims: which attempt may send the call of an idempotency key, and its outcome.

A claim is a record in a page; a page is one value in the store and has the records of
many keys. A call may be sent only by the attempt that its record names, and only after
the page with the record was committed. A record passes from one attempt to another only
if the first attempt released it, which it does only when it has sent nothing and never
will.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace
from functools import singledispatch

from turmericusher.decisions.claim_pages import (
    RECORD_BYTES,
    ClaimPage,
    ClaimRecord,
    ClaimState,
    can_add_claim,
    can_add_outcome,
)

UNNUMBERED = 0
"""Number of an attempt whose caller does not number its repeats."""

MAX_RELEASED_IDS = 8
"""Number of released attempts that a record lists, the latest ones."""


@dataclass(frozen=True, slots=True)
class AcquireClaim:
    """Claim `key` for the attempt `attempt_id`.

    `number` is the caller's count of its requests with this key, or `UNNUMBERED`.
    `body_hash` binds the key to one request. `deadline_ms` is the Unix time in
    milliseconds after which the outcome is no longer expected.
    """

    key: str
    attempt_id: str
    number: int
    body_hash: str
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Release the claim of an attempt that has sent nothing and never will.

    The release is written even where no claim is found, so that a delayed copy of the
    claim command finds the attempt released.
    """

    key: str
    attempt_id: str
    number: int
    body_hash: str


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Store the outcome of a sent call; `state` is its final state."""

    key: str
    attempt_id: str
    state: ClaimState
    outcome: str = ""


ClaimCommand = AcquireClaim | ReleaseClaim | RecordOutcome


class ReplyKind(enum.StrEnum):
    """The result of a command.

    `GRANTED`: the claim is committed, and this attempt alone may send the call.
    `HELD`: another attempt has the claim; its record is in the reply.
    `SUPERSEDED`: this attempt must not send the call, because it was released, or one
    with the same or a higher number was, or its outcome was already recorded.
    `KEY_REUSED`: the key is bound to another request.
    `PAGE_FULL`: the page accepts no further claims.
    `EXPIRED`: the page was deleted, so the key's history is not known.
    `DONE`: a release or an outcome was written, or there was no record to change.
    """

    GRANTED = "granted"
    HELD = "held"
    SUPERSEDED = "superseded"
    KEY_REUSED = "key_reused"
    PAGE_FULL = "page_full"
    EXPIRED = "expired"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """The reply to a command; `record` is set only with `HELD`."""

    kind: ReplyKind
    record: ClaimRecord | None = None


DONE = ClaimReply(ReplyKind.DONE)
GRANTED = ClaimReply(ReplyKind.GRANTED)
SUPERSEDED = ClaimReply(ReplyKind.SUPERSEDED)


@singledispatch
def apply_command(command: ClaimCommand, page: ClaimPage) -> ClaimReply:
    """Apply a command to a page, which is changed in place, and return the reply.

    Commands are idempotent: applying one again returns the same reply and changes
    nothing. When a reply of the store is lost, the page is read and the command is
    applied again.
    """
    raise TypeError(f"command={command!r} is not a claim command")


@apply_command.register
def acquire_claim(command: AcquireClaim, page: ClaimPage) -> ClaimReply:
    """Claim the key unless another attempt holds it."""
    record = page.records.get(command.key)
    if record is None:
        return add_claim(command, page, released=(), fence=UNNUMBERED)
    if record.body_hash != command.body_hash:
        return ClaimReply(ReplyKind.KEY_REUSED)
    if record.state is ClaimState.RELEASED:
        return acquire_released(command, page, record)
    if record.attempt_id != command.attempt_id:
        return ClaimReply(ReplyKind.HELD, record)
    return GRANTED if record.state is ClaimState.CLAIMED else SUPERSEDED


def acquire_released(
    command: AcquireClaim, page: ClaimPage, record: ClaimRecord
) -> ClaimReply:
    """Claim a released key, unless this attempt itself was released.

    A released attempt may arrive again: its claim command was still in transit when its
    caller received the verdict `not_run`. It is rejected by its identifier, and also by
    a number that is not above the highest number of a released attempt.
    """
    if command.attempt_id in record.released_ids:
        return SUPERSEDED
    if command.number != UNNUMBERED and command.number <= record.fence:
        return SUPERSEDED
    return add_claim(command, page, record.released_ids, record.fence)


def add_claim(
    command: AcquireClaim, page: ClaimPage, released: tuple[str, ...], fence: int
) -> ClaimReply:
    """Write a new claim into the page, if it fits."""
    if not can_add_claim(page):
        return ClaimReply(ReplyKind.PAGE_FULL)
    page.put(
        ClaimRecord(
            key=command.key,
            state=ClaimState.CLAIMED,
            attempt_id=command.attempt_id,
            body_hash=command.body_hash,
            deadline_ms=command.deadline_ms,
            released_ids=released,
            fence=fence,
        )
    )
    return GRANTED


@apply_command.register
def release_claim(command: ReleaseClaim, page: ClaimPage) -> ClaimReply:
    """Release the key, and list the attempt as released even if it had no claim.

    A claim of another attempt and a call with an outcome are left as they are.
    """
    record = page.records.get(command.key)
    if record is None:
        # A page without space for this record accepts no delayed claim either.
        if can_add_outcome(page, " " * RECORD_BYTES):
            page.put(released_record(command, (), UNNUMBERED))
        return DONE
    if record.body_hash != command.body_hash:
        return DONE
    is_own = record.attempt_id == command.attempt_id
    is_open = record.state is ClaimState.CLAIMED and is_own
    is_listed = command.attempt_id in record.released_ids
    if is_open or (record.state is ClaimState.RELEASED and not is_listed):
        page.put(released_record(command, record.released_ids, record.fence))
    return DONE


def released_record(
    command: ReleaseClaim, released: tuple[str, ...], fence: int
) -> ClaimRecord:
    """Return the record of a key that `command` releases."""
    return ClaimRecord(
        key=command.key,
        state=ClaimState.RELEASED,
        attempt_id=command.attempt_id,
        body_hash=command.body_hash,
        deadline_ms=0,
        released_ids=(*released, command.attempt_id)[-MAX_RELEASED_IDS:],
        fence=max(fence, command.number),
    )


@apply_command.register
def record_outcome(command: RecordOutcome, page: ClaimPage) -> ClaimReply:
    """Write an outcome into the attempt's own open claim; ignore it otherwise.

    An outcome that is too large is not stored; the state becomes `RAN` instead.
    """
    record = page.records.get(command.key)
    if record is None or record.attempt_id != command.attempt_id:
        return DONE
    if record.state is not ClaimState.CLAIMED:
        return DONE
    state, outcome = command.state, command.outcome
    if outcome and not can_add_outcome(page, outcome):
        state, outcome = ClaimState.RAN, ""
    page.put(replace(record, state=state, outcome=outcome))
    return DONE
