"""Conversion between the messages of `claims.proto` and the data classes of claims."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from turmericusher.decisions.claim_pages import ClaimRecord, ClaimState
from turmericusher.decisions.claims import (
    AcquireClaim,
    ClaimCommand,
    ClaimReply,
    RecordOutcome,
    ReleaseClaim,
    ReplyKind,
)
from turmericusher.decisions.idempotency_keys import PageName
from turmericusher.peers import claims_pb2

Message = Any
"""A generated message; the generated module is untyped."""


def request_message(name: PageName, command: ClaimCommand) -> Message:
    """Return the request that submits a command to a page."""
    message = claims_pb2.SubmitRequest(window=name.window, shard=name.shard)
    set_command(command, message)
    return message


@singledispatch
def set_command(command: ClaimCommand, message: Message) -> None:
    """Set the command field of a request by the type of the command."""
    raise TypeError(f"command={command!r} is not a claim command")


@set_command.register
def set_acquire(command: AcquireClaim, message: Message) -> None:
    """Set an `AcquireClaim` command, which is named `take` on the wire."""
    message.take.key = command.key
    message.take.attempt_id = command.attempt_id
    message.take.number = command.number
    message.take.body_hash = command.body_hash
    message.take.deadline_ms = command.deadline_ms


@set_command.register
def set_release(command: ReleaseClaim, message: Message) -> None:
    """Set a `ReleaseClaim` command."""
    message.release.key = command.key
    message.release.attempt_id = command.attempt_id
    message.release.number = command.number
    message.release.body_hash = command.body_hash


@set_command.register
def set_outcome(command: RecordOutcome, message: Message) -> None:
    """Set a `RecordOutcome` command."""
    message.outcome.key = command.key
    message.outcome.attempt_id = command.attempt_id
    message.outcome.state = command.state.value
    message.outcome.outcome = command.outcome


def parse_page(message: Message) -> PageName:
    """Return the name of the page that a request is for."""
    return PageName(message.window, message.shard)


def parse_command(message: Message) -> ClaimCommand:
    """Return the command of a request; raise `ValueError` if it is missing or invalid.

    A `RecordOutcome` with an unknown state is invalid.
    """
    match message.WhichOneof("command"):
        case "take":
            take = message.take
            return AcquireClaim(
                take.key,
                take.attempt_id,
                take.number,
                take.body_hash,
                take.deadline_ms,
            )
        case "release":
            release = message.release
            return ReleaseClaim(
                release.key, release.attempt_id, release.number, release.body_hash
            )
        case "outcome":
            outcome = message.outcome
            return RecordOutcome(
                outcome.key,
                outcome.attempt_id,
                ClaimState(outcome.state),
                outcome.outcome,
            )
    raise ValueError("the request contains no command")


def reply_message(reply: ClaimReply) -> Message:
    """Return the message that carries a reply and its record, if any."""
    message = claims_pb2.SubmitReply(kind=reply.kind.value)
    record = reply.record
    if record is not None:
        message.record.CopyFrom(
            claims_pb2.Record(
                key=record.key,
                state=record.state.value,
                attempt_id=record.attempt_id,
                body_hash=record.body_hash,
                deadline_ms=record.deadline_ms,
                outcome=record.outcome,
                released_ids=record.released_ids,
                fence=record.fence,
            )
        )
    return message


def parse_reply(message: Message) -> ClaimReply:
    """Return the reply in a message.

    Raises `ValueError` if the kind of the reply or the state of its record is unknown.
    """
    kind = ReplyKind(message.kind)
    if not message.HasField("record"):
        return ClaimReply(kind)
    record = message.record
    return ClaimReply(
        kind,
        ClaimRecord(
            key=record.key,
            state=ClaimState(record.state),
            attempt_id=record.attempt_id,
            body_hash=record.body_hash,
            deadline_ms=record.deadline_ms,
            outcome=record.outcome,
            released_ids=tuple(record.released_ids),
            fence=record.fence,
        ),
    )
