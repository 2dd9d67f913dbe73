"""What one entry instance asks of another, and what it is answered."""

from __future__ import annotations

from dataclasses import dataclass

from turmericusher.decisions.membership import MemberClaim
from turmericusher.decisions.rollout import PeerRecords
from turmericusher.decisions.suspicion import CrashReport
from turmericusher.decisions.upstream_marks import LeavingMark


@dataclass(frozen=True, slots=True)
class PeerQuestion:
    """A question; it tells no time, because it may be delayed.

    `about_asked` is the claim that the asker holds about the asked instance. `cursor`
    is the revision up to which the asker needs no records.
    """

    asker: MemberClaim
    about_asked: MemberClaim | None
    cursor: int


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """An answer, bounded in every part.

    `loads` are the answerer's own requests in flight, by upstream.
    """

    own: MemberClaim
    members: tuple[MemberClaim, ...]
    records: PeerRecords
    marks: tuple[LeavingMark, ...] = ()
    loads: tuple[tuple[str, int], ...] = ()
    charges: tuple[CrashReport, ...] = ()
