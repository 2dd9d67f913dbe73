"""Conversion between the messages of `exchange.proto` and the data classes.

An entry instance queries its peers for their state: claims about members, profile
records, leaving marks, loads of upstreams and crash reports.
"""

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
"""Size limit of a received query or reply; a larger one is rejected."""

MAX_RECORD_BYTES = 32_768
"""Size limit of the profile records in one reply: half of a message.

Further records are sent in replies to later queries.
"""


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
    """Return the wire form of a claim about a member's addresses, health and load."""
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


def claim_from_wire(message: pb.MemberClaim) -> MemberClaim:
    """Return a claim about a member; raise `PeerMessageError` if it is invalid."""
    if not message.name or message.health not in {health.value for health in Health}:
        raise PeerMessageError(
            f"invalid claim about a member: name={message.name!r} "
            f"health={message.health!r}"
        )
    lifecycle = Lifecycle.LEAVING if message.is_leaving else Lifecycle.LIVE
    instance = EntryInstance(
        message.name,
        message.failure_domain,
        message.caller_address,
        message.peer_address,
        message.incarnation,
        lifecycle,
    )
    state = MemberState(
        message.heartbeat, message.cursor, message.load, message.takes_work
    )
    return MemberClaim(instance, message.refutations, Health(message.health), state)


def query_to_wire(query: PeerQuery) -> pb.PullRequest:
    """Return the wire form of a query, with claims about the asker and the peer.

    The claim about the peer is left out if the asker has none.
    """
    message = pb.PullRequest(asker=claim_to_wire(query.asker), cursor=query.cursor)
    if query.about_asked is not None:
        message.about_asked.CopyFrom(claim_to_wire(query.about_asked))
    return message


def query_from_wire(message: pb.PullRequest) -> PeerQuery:
    """Return a peer's query; raise `PeerMessageError` if it is invalid."""
    check_size(message)
    about = (
        claim_from_wire(message.about_asked)
        if message.HasField("about_asked")
        else None
    )
    return PeerQuery(claim_from_wire(message.asker), about, message.cursor)


def reply_to_wire(reply: PeerReply) -> pb.PullAnswer:
    """Return the wire form of a reply, with as many profile records as fit.

    `is_whole` is false in it if newer records are missing; the receiver's cursor then
    advances at most to the last record that it received.
    """
    records = reply.records
    message = pb.PullAnswer(
        own=claim_to_wire(reply.own),
        members=[claim_to_wire(claim) for claim in reply.members],
        cursor=records.cursor,
        is_voter=records.is_voter,
        marks=[
            pb.LeavingMark(upstream=mark.upstream, incarnation=mark.incarnation)
            for mark in reply.marks
        ],
        loads=[
            pb.UpstreamLoad(upstream=name, in_flight=count)
            for name, count in reply.loads
        ],
        charges=[crash_report_to_wire(report) for report in reply.charges],
    )
    if records.age_s is not None:
        message.age_s = records.age_s
    all_fit = add_records(message, records.records)
    message.is_whole = records.is_whole and all_fit
    return message


def add_records(message: pb.PullAnswer, records: tuple[ProfileRecord, ...]) -> bool:
    """Add profile records in order up to `MAX_RECORD_BYTES`; return whether all fit."""
    size = 0
    for record in records:
        value = encode_record(record)
        size += len(value)
        if size > MAX_RECORD_BYTES:
            return False
        message.records.append(pb.ProfileRecord(revision=record.revision, value=value))
    return True


def reply_from_wire(message: pb.PullAnswer) -> PeerReply:
    """Return a peer's reply; raise `PeerMessageError` if it is invalid.

    A reply with an unreadable record counts as partial, so `is_whole` becomes False.
    """
    check_size(message)
    decoded = decode_records(message)
    records = PeerRecords(
        decoded,
        message.cursor,
        message.age_s if message.HasField("age_s") else None,
        message.is_whole and len(decoded) == len(message.records),
        message.is_voter,
    )
    return PeerReply(
        claim_from_wire(message.own),
        tuple(claim_from_wire(item) for item in message.members),
        records,
        tuple(LeavingMark(item.upstream, item.incarnation) for item in message.marks),
        tuple((item.upstream, item.in_flight) for item in message.loads),
        tuple(crash_report_from_wire(item) for item in message.charges),
    )


def decode_records(message: pb.PullAnswer) -> tuple[ProfileRecord, ...]:
    """Return the records before the first unreadable one.

    A newer version of the software may have written that one. The records after it are
    dropped as well, because the cursor advances to the last record returned here and
    must not pass the unreadable one.
    """
    records = []
    for item in message.records:
        try:
            records.append(decode_record(item.value, item.revision))
        except UnreadableRecordError:
            break
    return tuple(records)


def crash_report_to_wire(report: CrashReport) -> pb.Charge:
    """Return the wire form of a crash report."""
    return pb.Charge(
        fingerprint=report.fingerprint,
        upstream=report.upstream,
        incarnation=report.incarnation,
        failure_domain=report.failure_domain,
        domain_size=report.domain_size,
        age_s=report.age_s,
        is_stall=report.is_stall,
    )


def crash_report_from_wire(message: pb.Charge) -> CrashReport:
    """Return the crash report in a message."""
    return CrashReport(
        message.fingerprint,
        message.upstream,
        message.incarnation,
        message.failure_domain,
        message.domain_size,
        message.age_s,
        message.is_stall,
    )
