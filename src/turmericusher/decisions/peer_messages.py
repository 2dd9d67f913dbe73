"""Messages between entry instances: a query and the reply to it."""

from __future__ import annotations

from dataclasses import dataclass

from turmericusher.decisions.membership import MemberClaim
from turmericusher.decisions.rollout import PeerRecords
from turmericusher.decisions.suspicion import CrashReport
from turmericusher.decisions.upstream_marks import LeavingMark


@dataclass(frozen=True, slots=True)
class PeerQuery:
    """A query to a peer; it is no evidence of recency, because it may be delayed.

    `about_asked` is the claim that the sender holds about the receiver. `cursor` is the
    revision up to which the sender needs no records.
    """

    asker: MemberClaim
    about_asked: MemberClaim | None
    cursor: int


@dataclass(frozen=True, slots=True)
class PeerReply:
    """A reply, of bounded size in every part.

    `loads` are the replying instance's own requests in flight, by upstream.
    """

    own: MemberClaim
    members: tuple[MemberClaim, ...]
    records: PeerRecords
    marks: tuple[LeavingMark, ...] = ()
    loads: tuple[tuple[str, int], ...] = ()
    charges: tuple[CrashReport, ...] = ()
