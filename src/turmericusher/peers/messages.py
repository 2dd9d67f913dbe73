"""Conversion between the messages of `exchange.proto` and the data classes."""

from __future__ import annotations

from turmericusher.decisions.fleet import EntryInstance, Lifecycle
from turmericusher.decisions.membership import Health, MemberClaim, MemberState
from turmericusher.decisions.peer_messages import PeerQuery, PeerReply
from turmericusher.decisions.rollout import PeerRecords, ProfileRecord
from turmericusher.decisions.suspicion import CrashReport
from turmericusher.decisions.upstream_marks import LeavingMark
from turmericusher.errors import ErrorCode, TurmericusherError
from turmericusher.peers import exchange_pb2 as pb
from turmericusher.tasks.profile_records import (
    UnreadableRecordError,
    decode_record,
    encode_record,
)

MAX_MESSAGE_BYTES = 65_536
MAX_RECORD_BYTES = 32_768
"""Size limit of the profile records in one reply; further ones are sent in the next."""


class PeerMessageError(TurmericusherError):
    """A peer's message is too large or invalid."""

    def __init__(self, reason: str) -> None:
        super().__init__(ErrorCode.INTERNAL, f"dropped a peer's message: {reason}")


def check_size(message: pb.PullRequest | pb.PullAnswer) -> None:
    """Raise `PeerMessageError` if a message exceeds `MAX_MESSAGE_BYTES`."""
    size = message.ByteSize()
    if size > MAX_MESSAGE_BYTES:
        raise PeerMessageError(f"{size} bytes exceed the limit of {MAX_MESSAGE_BYTES}")


def claim_to_wire(claim: MemberClaim) -> pb.MemberClaim:
    """Return the wire form of a claim about a member."""
    return pb.MemberClaim(
        name=claim.instance.name,
        failure_domain=claim.instance.failure_domain,
        caller_address=claim.instance.caller_address,
        peer_address=claim.instance.peer_address,
        incarnation=claim.instance.incarnation,
        is_leaving=claim.instance.lifecycle is Lifecycle.LEAVING,
        refutations=claim.refutations,
        health=int(claim.health),
        heartbeat=claim.state.heartbeat,
        cursor=claim.state.cursor,
        load=claim.state.load,
        takes_work=claim.state.takes_work,
    )


def claim_from_wire(wire: pb.MemberClaim) -> MemberClaim:
    """Return a claim about a member; raise `PeerMessageError` if it is invalid."""
    if not wire.name or wire.health not in {one.value for one in Health}:
        raise PeerMessageError(f"claim name={wire.name!r} health={wire.health!r}")
    lifecycle = Lifecycle.LEAVING if wire.is_leaving else Lifecycle.LIVE
    instance = EntryInstance(
        wire.name,
        wire.failure_domain,
        wire.caller_address,
        wire.peer_address,
        wire.incarnation,
        lifecycle,
    )
    state = MemberState(wire.heartbeat, wire.cursor, wire.load, wire.takes_work)
    return MemberClaim(instance, wire.refutations, Health(wire.health), state)


def question_to_wire(question: PeerQuery) -> pb.PullRequest:
    """Return the wire form of a query."""
    wire = pb.PullRequest(asker=claim_to_wire(question.asker), cursor=question.cursor)
    if question.about_asked is not None:
        wire.about_asked.CopyFrom(claim_to_wire(question.about_asked))
    return wire


def question_from_wire(wire: pb.PullRequest) -> PeerQuery:
    """Return a peer's query; raise `PeerMessageError` if it is invalid."""
    check_size(wire)
    about = claim_from_wire(wire.about_asked) if wire.HasField("about_asked") else None
    return PeerQuery(claim_from_wire(wire.asker), about, wire.cursor)


def answer_to_wire(answer: PeerReply) -> pb.PullAnswer:
    """Return the wire form of a reply, with as many profile records as fit."""
    records = answer.records
    wire = pb.PullAnswer(
        own=claim_to_wire(answer.own),
        members=[claim_to_wire(claim) for claim in answer.members],
        cursor=records.cursor,
        is_voter=records.is_voter,
        marks=[
            pb.LeavingMark(upstream=mark.upstream, incarnation=mark.incarnation)
            for mark in answer.marks
        ],
        loads=[
            pb.UpstreamLoad(upstream=name, in_flight=count)
            for name, count in answer.loads
        ],
        charges=[charge_to_wire(charge) for charge in answer.charges],
    )
    if records.age_s is not None:
        wire.age_s = records.age_s
    all_fit = add_records(wire, records.records)
    wire.is_whole = records.is_whole and all_fit
    return wire


def add_records(wire: pb.PullAnswer, records: tuple[ProfileRecord, ...]) -> bool:
    """Add profile records in order up to `MAX_RECORD_BYTES`; return if all fit."""
    size = 0
    for record in records:
        value = encode_record(record)
        size += len(value)
        if size > MAX_RECORD_BYTES:
            return False
        wire.records.append(pb.ProfileRecord(revision=record.revision, value=value))
    return True


def answer_from_wire(wire: pb.PullAnswer) -> PeerReply:
    """Return a peer's reply; raise `TurmericusherError` if it cannot be used."""
    check_size(wire)
    readable = readable_records(wire)
    records = PeerRecords(
        readable,
        wire.cursor,
        wire.age_s if wire.HasField("age_s") else None,
        wire.is_whole and len(readable) == len(wire.records),
        wire.is_voter,
    )
    return PeerReply(
        claim_from_wire(wire.own),
        tuple(claim_from_wire(one) for one in wire.members),
        records,
        tuple(LeavingMark(one.upstream, one.incarnation) for one in wire.marks),
        tuple((one.upstream, one.in_flight) for one in wire.loads),
        tuple(charge_from_wire(one) for one in wire.charges),
    )


def readable_records(wire: pb.PullAnswer) -> tuple[ProfileRecord, ...]:
    """Return the records before the first unreadable one.

    A newer version of the software must have written that one.
    """
    records = []
    for one in wire.records:
        try:
            records.append(decode_record(one.value, one.revision))
        except UnreadableRecordError:
            break
    return tuple(records)


def charge_to_wire(charge: CrashReport) -> pb.Charge:
    """Return the wire form of a crash report."""
    return pb.Charge(
        fingerprint=charge.fingerprint,
        upstream=charge.upstream,
        incarnation=charge.incarnation,
        failure_domain=charge.failure_domain,
        domain_size=charge.domain_size,
        age_s=charge.age_s,
        is_stall=charge.is_stall,
    )


def charge_from_wire(wire: pb.Charge) -> CrashReport:
    """Return the crash report in a message."""
    return CrashReport(
        wire.fingerprint,
        wire.upstream,
        wire.incarnation,
        wire.failure_domain,
        wire.domain_size,
        wire.age_s,
        wire.is_stall,
    )
