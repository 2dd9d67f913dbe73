"""Membership: which entry instances exist, and which of them answer.

Each instance queries a few peers a second, in a shuffled order that reaches every peer
before any twice, and merges the claims in their replies. A peer that does not answer is
suspected and then declared dead unless it refutes the suspicion, as in Das, Gupta and
Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002). The work per instance does not grow with the number of instances.

Only a reply to a query of this instance's own is evidence of recency: the sending time
of the query bounds the age of everything in the reply. Any other message may have been
delayed.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from turmericusher.decisions.fleet import EntryInstance, Lifecycle

SUSPICION_TIMEOUT_S = 2.0
"""Seconds within which a suspected instance may refute the suspicion."""

DEAD_RETENTION_S = 900.0
"""Seconds for which an instance that died or left is still kept. A dead one counts
towards the size of a majority for this time."""

MAX_MEMBERS = 1024
NEWEST_CLAIMS = 8
RANDOM_CLAIMS = 8
"""Claims in one reply: the latest ones spread changes, the random ones fill gaps."""

DIRECT_MAJORITY_MEMBERS = 16
"""Up to this number of members, a majority is of all of them; above it, of those that
were queried within the time bound."""


class Health(enum.IntEnum):
    """The claimed health of an instance; a higher value overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(frozen=True, slots=True)
class MemberState:
    """The state that an instance reports of itself.

    The highest `heartbeat` is the latest. `cursor` is the revision up to which it has
    every change in force. `load` is the number of its requests in flight. `takes_work`
    is False while it refuses new work.
    """

    heartbeat: int = 0
    cursor: int = 0
    load: int = 0
    takes_work: bool = True


@dataclass(frozen=True, slots=True)
class MemberClaim:
    """A claim about one instance, by the instance itself or passed on by a peer.

    `refutations` is incremented by the instance each time it refutes a suspicion.
    """

    instance: EntryInstance
    refutations: int = 0
    health: Health = Health.ALIVE
    state: MemberState = MemberState()

    @property
    def precedence(self) -> tuple[str, int, int]:
        """The order of claims about one name; incarnations sort by their start."""
        return (self.instance.incarnation, self.refutations, int(self.health))


@dataclass(slots=True)
class Member:
    """The state of one other instance; times are monotonic seconds.

    `updated_at` is when the claim last changed by more than its state. `health_since`
    is when its health last changed. `queried_at` is when a query was last sent to the
    member. `answered_at` is what counts for a majority: the sending time of the last
    query that the member answered while it could be counted in one, provided that this
    instance then held all records of the member.
    """

    claim: MemberClaim
    updated_at: float
    health_since: float
    queried_at: float | None = None
    answered_at: float | None = None


@dataclass(slots=True)
class Membership:
    """The entry instances as one of them, `own`, sees them.

    `seeds` are peer addresses from the settings. They are queried beside the known
    members, so that an instance also finds a fleet in which all were replaced at once.
    `pending_targets` holds the names and seeds that remain in the current round.
    """

    own: EntryInstance
    rng: random.Random
    seeds: tuple[str, ...] = ()
    members: dict[str, Member] = field(default_factory=dict)
    pending_targets: list[str] = field(default_factory=list)
    refutations: int = 0
    state: MemberState = MemberState()

    def own_claim(self) -> MemberClaim:
        """Return this instance's claim about itself."""
        return MemberClaim(self.own, self.refutations, Health.ALIVE, self.state)

    def update_state(self, cursor: int, load: int, takes_work: bool) -> None:
        """Increment the heartbeat and set the reported state of this instance."""
        heartbeat = self.state.heartbeat + 1
        self.state = MemberState(heartbeat, cursor, load, takes_work)

    def leave(self) -> None:
        """Mark this instance as leaving; the mark is never removed."""
        self.own = replace(self.own, lifecycle=Lifecycle.LEAVING)

    def merge(self, claims: Iterable[MemberClaim], now: float) -> None:
        """Merge claims; their order and repetitions do not matter."""
        for claim in claims:
            if claim.instance.name == self.own.name:
                self.refute(claim)
            else:
                self.merge_one(claim, now)

    def refute(self, claim: MemberClaim) -> None:
        """Refute a claim that this incarnation is suspected or dead."""
        is_ours = claim.instance.incarnation == self.own.incarnation
        if is_ours and claim.health is not Health.ALIVE:
            self.refutations = max(self.refutations, claim.refutations + 1)

    def merge_one(self, claim: MemberClaim, now: float) -> None:
        """Merge a claim about another instance with the one held about it.

        A leaving mark overrides every other claim about the same incarnation.
        """
        name = claim.instance.name
        held = self.members.get(name)
        if held is None:
            if len(self.members) < MAX_MEMBERS:
                self.members[name] = Member(claim, now, now)
            return
        merged = merge_claims(held.claim, claim)
        if merged == held.claim:
            return
        if merged.instance.incarnation != held.claim.instance.incarnation:
            self.members[name] = Member(merged, now, now)
            return
        if merged.health is not held.claim.health:
            held.health_since = now
        if differs_beyond_state(held.claim, merged):
            held.updated_at = now
        held.claim = merged

    def record_query(self, name: str, now: float) -> None:
        """Record that a query is sent to a member."""
        member = self.members.get(name)
        if member is not None:
            member.queried_at = now

    def record_reply(
        self, claim: MemberClaim, queried_at: float, now: float, is_counted: bool
    ) -> None:
        """Merge a peer's claim about itself from its reply to a query.

        `queried_at` is the monotonic time at which the query was sent.
        `is_counted` tells that the peer may be counted in a majority and that this
        instance now holds all records that the peer held.
        """
        self.merge((claim,), now)
        member = self.members.get(claim.instance.name)
        if member is None:
            return
        if member.claim.instance.incarnation != claim.instance.incarnation:
            return
        if is_counted:
            member.answered_at = queried_at

    def failed(self, name: str, now: float) -> None:
        """Suspect a member that did not answer a query."""
        member = self.members.get(name)
        if member is not None and member.claim.health is Health.ALIVE:
            self.merge((replace(member.claim, health=Health.SUSPECT),), now)

    def advance(self, now: float, is_store_recent: bool) -> None:
        """Declare suspects dead after their timeout, and forget departed members.

        A dead or leaving member is forgotten `DEAD_RETENTION_S` after its health last
        changed, but not without recent data from the store: an instance that is
        partitioned from the others must not become a majority on its own.
        """
        for name, member in list(self.members.items()):
            since_s = now - member.health_since
            if member.claim.health is Health.SUSPECT and since_s >= SUSPICION_TIMEOUT_S:
                self.merge((replace(member.claim, health=Health.DEAD),), now)
            elif (
                has_departed(member) and since_s >= DEAD_RETENTION_S and is_store_recent
            ):
                del self.members[name]

    def claim_about(self, name: str) -> MemberClaim | None:
        """Return the claim held about a member, which it may refute when queried."""
        member = self.members.get(name)
        return member.claim if member is not None else None

    def next_address(self) -> tuple[str, str]:
        """Return the name and peer address to query next, both empty if none is left.

        For a seed that is not a known member, only the name is empty.
        """
        while True:
            if not self.pending_targets:
                self.pending_targets = self.shuffled_targets()
            if not self.pending_targets:
                return "", ""
            target = self.pending_targets.pop()
            member = self.members.get(target)
            if member is not None:
                return target, member.claim.instance.peer_address
            if target in self.seeds:
                return "", target

    def shuffled_targets(self) -> list[str]:
        """Return the targets of one round in a random order.

        These are all members that are not dead, one dead member and one unknown seed;
        the last two let a fleet reunite after a partition.
        """
        present = sorted(
            name
            for name, m in self.members.items()
            if m.claim.health is not Health.DEAD
        )
        dead = sorted(self.members.keys() - set(present))
        targets = present + self.rng.sample(dead, min(1, len(dead)))
        known = {m.claim.instance.peer_address for m in self.members.values()}
        unknown = sorted(set(self.seeds) - known - {self.own.peer_address})
        targets += self.rng.sample(unknown, min(1, len(unknown)))
        self.rng.shuffle(targets)
        return targets

    def claims_for_reply(self) -> list[MemberClaim]:
        """Return a bounded selection of claims: the latest ones and some at random."""
        ordered = sorted(
            self.members.values(),
            key=lambda m: (-m.updated_at, m.claim.instance.name),
        )
        others = ordered[NEWEST_CLAIMS:]
        chosen = ordered[:NEWEST_CLAIMS]
        chosen += self.rng.sample(others, min(RANDOM_CLAIMS, len(others)))
        return [member.claim for member in chosen]

    def has_recent_majority(self, now: float, bound_s: float, has_vote: bool) -> bool:
        """Whether more than half of the instances answered within the bound.

        `has_vote` tells whether this instance may count itself.
        """
        counted = [
            m
            for m in self.members.values()
            if m.claim.instance.lifecycle is not Lifecycle.LEAVING
        ]
        if len(counted) > DIRECT_MAJORITY_MEMBERS:
            counted = [m for m in counted if is_within(m.queried_at, now, bound_s)]
        votes = sum(is_within(m.answered_at, now, bound_s) for m in counted)
        return 2 * (votes + has_vote) > len(counted) + 1

    def active_claims(self) -> list[MemberClaim]:
        """Return the claims about other instances that are neither dead nor leaving."""
        return [
            member.claim
            for _, member in sorted(self.members.items())
            if member.claim.health is not Health.DEAD
            and member.claim.instance.lifecycle is not Lifecycle.LEAVING
        ]


def merge_claims(held: MemberClaim, claim: MemberClaim) -> MemberClaim:
    """Return the merged claim from two claims about one name.

    Of two incarnations, the later one's claim is returned unchanged. Within one, the
    claim of higher precedence gets the latest state, and the leaving mark if either
    claim has it.
    """
    stronger = max(held, claim, key=lambda one: one.precedence)
    if held.instance.incarnation != claim.instance.incarnation:
        return stronger
    is_leaving = Lifecycle.LEAVING in (
        held.instance.lifecycle,
        claim.instance.lifecycle,
    )
    lifecycle = Lifecycle.LEAVING if is_leaving else Lifecycle.LIVE
    state = max(held.state, claim.state, key=lambda one: one.heartbeat)
    if stronger.instance.lifecycle is lifecycle and stronger.state is state:
        return stronger
    instance = replace(stronger.instance, lifecycle=lifecycle)
    return replace(stronger, instance=instance, state=state)


def differs_beyond_state(held: MemberClaim, merged: MemberClaim) -> bool:
    """Whether a merged claim differs from the held one by more than its state."""
    if merged.precedence != held.precedence:
        return True
    return merged.instance != held.instance


def has_departed(member: Member) -> bool:
    """Whether a member is dead or has left."""
    claim = member.claim
    return claim.health is Health.DEAD or claim.instance.lifecycle is Lifecycle.LEAVING


def is_within(moment: float | None, now: float, bound_s: float) -> bool:
    """Whether a time is known and at most `bound_s` seconds ago."""
    return moment is not None and now - moment <= bound_s
