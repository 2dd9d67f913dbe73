"""Claims: who may send the call of an idempotency key, and what became of it.

A claim is a record in a page. A call may be sent only by the attempt that its record
names, and only after the page with the record was committed. A record never passes
from one attempt to another unless the first attempt released it, which it does only
when it has sent nothing and never will.
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
    has_room_for_claim,
    has_room_for_outcome,
)

UNNUMBERED = 0
"""The number of an attempt whose caller does not number its repeats."""

KEPT_RELEASED_IDS = 8


@dataclass(frozen=True, slots=True)
class TakeClaim:
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
    """Give the key back: the attempt has sent nothing and never will.

    It is also written where no claim is found, so that a copy of the claim that is
    still on its way to the store finds the attempt released.
    """

    key: str
    attempt_id: str
    number: int
    body_hash: str


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Keep what became of a sent call; `state` is final."""

    key: str
    attempt_id: str
    state: ClaimState
    outcome: str = ""


ClaimCommand = TakeClaim | ReleaseClaim | RecordOutcome


class ReplyKind(enum.StrEnum):
    """What became of a command.

    `GRANTED`: the claim is committed and may be sent by this attempt alone.
    `HELD`: another attempt has the claim; its record is in the reply.
    `SUPERSEDED`: this attempt was released before, and must not be sent.
    `KEY_REUSED`: the key is bound to another request.
    `PAGE_FULL`: the page takes no further claims.
    `EXPIRED`: the page was deleted, so that the key's history is not known.
    `DONE`: a release or an outcome was written, or had no record to change.
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
    """The answer to a command; `record` comes with `HELD` only."""

    kind: ReplyKind
    record: ClaimRecord | None = None


DONE = ClaimReply(ReplyKind.DONE)
GRANTED = ClaimReply(ReplyKind.GRANTED)
SUPERSEDED = ClaimReply(ReplyKind.SUPERSEDED)


@singledispatch
def apply_command(command: ClaimCommand, page: ClaimPage) -> ClaimReply:
    """Apply a command to a page, which is changed in place, and return the reply.

    Applying a command twice gives the same reply and changes nothing more, so that a
    lost reply of the store is settled by reading the page and applying again.
    """
    raise TypeError(f"command={command!r} is no command of claims")


@apply_command.register
def take_claim(command: TakeClaim, page: ClaimPage) -> ClaimReply:
    """Claim the key if no attempt holds it."""
    record = page.records.get(command.key)
    if record is None:
        return add_claim(command, page, released=(), fence=UNNUMBERED)
    if record.body_hash != command.body_hash:
        return ClaimReply(ReplyKind.KEY_REUSED)
    if record.state is ClaimState.RELEASED:
        return take_released(command, page, record)
    if record.attempt_id != command.attempt_id:
        return ClaimReply(ReplyKind.HELD, record)
    return GRANTED if record.state is ClaimState.CLAIMED else SUPERSEDED


def take_released(
    command: TakeClaim, page: ClaimPage, record: ClaimRecord
) -> ClaimReply:
    """Claim a released key, unless the attempt is one that was given up.

    A released attempt may come back: its claim was still on its way when its caller
    was told `not_run`. Its own identifier bars it, and so does a number that is not
    above the number of the attempt that was released last.
    """
    if command.attempt_id in record.released_ids:
        return SUPERSEDED
    if command.number != UNNUMBERED and command.number <= record.fence:
        return SUPERSEDED
    return add_claim(command, page, record.released_ids, record.fence)


def add_claim(
    command: TakeClaim, page: ClaimPage, released: tuple[str, ...], fence: int
) -> ClaimReply:
    """Write the claim into the page, if there is room."""
    if not has_room_for_claim(page):
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
    """Release the key, or bar the attempt where its claim is not in the page."""
    record = page.records.get(command.key)
    if record is None:
        if has_room_for_outcome(page, " " * RECORD_BYTES):
            page.put(released_record(command, (), UNNUMBERED))
        return DONE
    if record.body_hash != command.body_hash:
        return DONE
    is_ours = record.attempt_id == command.attempt_id
    is_open = record.state is ClaimState.CLAIMED and is_ours
    is_barred = command.attempt_id in record.released_ids
    if is_open or (record.state is ClaimState.RELEASED and not is_barred):
        page.put(released_record(command, record.released_ids, record.fence))
    return DONE


def released_record(
    command: ReleaseClaim, released: tuple[str, ...], fence: int
) -> ClaimRecord:
    """Return the record of a released key."""
    return ClaimRecord(
        key=command.key,
        state=ClaimState.RELEASED,
        attempt_id=command.attempt_id,
        body_hash=command.body_hash,
        deadline_ms=0,
        released_ids=(*released, command.attempt_id)[-KEPT_RELEASED_IDS:],
        fence=max(fence, command.number),
    )


@apply_command.register
def record_outcome(command: RecordOutcome, page: ClaimPage) -> ClaimReply:
    """Write an outcome into the attempt's own open claim, and nowhere else."""
    record = page.records.get(command.key)
    if record is None or record.attempt_id != command.attempt_id:
        return DONE
    if record.state is not ClaimState.CLAIMED:
        return DONE
    state, outcome = command.state, command.outcome
    if outcome and not has_room_for_outcome(page, outcome):
        state, outcome = ClaimState.RAN, ""
    page.put(replace(record, state=state, outcome=outcome))
    return DONE
