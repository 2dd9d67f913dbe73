"""Membership: which entry instances there are, and which of them answer.

Each instance asks a few peers a second, in a shuffled order that reaches every one
before any twice, and merges what they say. A peer without an answer is suspected and
then held for dead unless it refutes the suspicion, as in Das, Gupta and Motivala,
"SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol"
(2002).
The work per instance is the same however many instances there are.

Only an answer to a question of one's own tells time: the question's sending bounds the
age of all that the answer says. Anything that is merely received may have been delayed.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from turmericusher.decisions.fleet import EntryInstance, Lifecycle

SUSPICION_S = 2.0
"""Seconds in which a suspected instance may refute."""

FORGET_DEAD_S = 900.0
"""Seconds for which a dead instance still counts in a majority."""

MAX_MEMBERS = 1024
NEWEST_CLAIMS = 8
RANDOM_CLAIMS = 8
"""Claims in one answer: those learned last spread news, the others fill gaps."""

DIRECT_MAJORITY_MEMBERS = 16
"""Up to this number each member counts; above it, those asked within the bound do."""


class Health(enum.IntEnum):
    """What is claimed of an instance; a higher value overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(frozen=True, slots=True)
class MemberState:
    """What an instance says of itself; the higher `heartbeat` is the later one.

    `cursor` is the revision up to which it has every change in force. `load` is the
    number of its requests in flight. `takes_work` is False while it refuses new work.
    """

    heartbeat: int = 0
    cursor: int = 0
    load: int = 0
    takes_work: bool = True


@dataclass(frozen=True, slots=True)
class MemberClaim:
    """A claim about one instance, by itself or passed on.

    `refutations` is raised by the instance itself each time it refutes a suspicion.
    """

    instance: EntryInstance
    refutations: int = 0
    health: Health = Health.ALIVE
    state: MemberState = MemberState()

    @property
    def precedence(self) -> tuple[str, int, int]:
        """Order of claims about one name; incarnations sort by their start."""
        return (self.instance.incarnation, self.refutations, int(self.health))


@dataclass(slots=True)
class Member:
    """What is known of one other instance; times are monotonic seconds.

    `answered_at` is when the question was sent that it last answered, with all that it
    holds and as one that may be counted in a majority.
    """

    claim: MemberClaim
    learned_at: float
    health_since: float
    asked_at: float | None = None
    answered_at: float | None = None


@dataclass(slots=True)
class Membership:
    """The entry instances as one of them, `own`, sees them.

    `is_seed_due` alternates so that seeds are tried beside the known members, for a
    fleet in which all were replaced at once.
    """

    own: EntryInstance
    rng: random.Random
    seeds: tuple[str, ...] = ()
    members: dict[str, Member] = field(default_factory=dict)
    round: list[str] = field(default_factory=list)
    refutations: int = 0
    state: MemberState = MemberState()

    def own_claim(self) -> MemberClaim:
        """Return what this instance says of itself."""
        return MemberClaim(self.own, self.refutations, Health.ALIVE, self.state)

    def beat(self, cursor: int, load: int, takes_work: bool) -> None:
        """Renew what this instance says of itself."""
        heartbeat = self.state.heartbeat + 1
        self.state = MemberState(heartbeat, cursor, load, takes_work)

    def leave(self) -> None:
        """Mark this instance as leaving, for good."""
        self.own = replace(self.own, lifecycle=Lifecycle.LEAVING)

    def merge(self, claims: Iterable[MemberClaim], now: float) -> None:
        """Take in claims, in any order and any number of times."""
        for claim in claims:
            if claim.instance.name == self.own.name:
                self.refute(claim)
            else:
                self.merge_one(claim, now)

    def refute(self, claim: MemberClaim) -> None:
        """Answer a claim that this instance is not alive."""
        is_ours = claim.instance.incarnation == self.own.incarnation
        if is_ours and claim.health is not Health.ALIVE:
            self.refutations = max(self.refutations, claim.refutations + 1)

    def merge_one(self, claim: MemberClaim, now: float) -> None:
        """Keep the stronger of two claims about another instance.

        A leaving mark outlives every other claim about the same incarnation.
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
        if is_news(held.claim, merged):
            held.learned_at = now
        held.claim = merged

    def asked(self, name: str, now: float) -> None:
        """Note that a question is sent to a member."""
        member = self.members.get(name)
        if member is not None:
            member.asked_at = now

    def answered(
        self, claim: MemberClaim, asked_at: float, now: float, is_counted: bool
    ) -> None:
        """Take in a peer's own answer to a question sent at `asked_at`.

        `is_counted` tells that the peer may be counted in a majority and that this
        instance now holds all that the peer held.
        """
        self.merge((claim,), now)
        member = self.members.get(claim.instance.name)
        if member is None:
            return
        if member.claim.instance.incarnation != claim.instance.incarnation:
            return
        if is_counted:
            member.answered_at = asked_at

    def failed(self, name: str, now: float) -> None:
        """Suspect a member that did not answer."""
        member = self.members.get(name)
        if member is not None and member.claim.health is Health.ALIVE:
            self.merge((replace(member.claim, health=Health.SUSPECT),), now)

    def advance(self, now: float, is_store_heard: bool) -> None:
        """Hold suspects for dead after their time, and forget the long dead.

        Without news of the store the dead are kept: an instance that is cut off from
        the others must not come to count itself for a majority.
        """
        for name, member in list(self.members.items()):
            since_s = now - member.health_since
            if member.claim.health is Health.SUSPECT and since_s >= SUSPICION_S:
                self.merge((replace(member.claim, health=Health.DEAD),), now)
            elif is_gone(member) and since_s >= FORGET_DEAD_S and is_store_heard:
                del self.members[name]

    def held_claim(self, name: str) -> MemberClaim | None:
        """Return the claim held about a member, which it may refute when asked."""
        member = self.members.get(name)
        return member.claim if member is not None else None

    def next_address(self) -> tuple[str, str]:
        """Return the name and peer address to ask next; empty when there is none.

        The name of a seed that is not a known member is empty.
        """
        while True:
            if not self.round:
                self.round = self.new_round()
            if not self.round:
                return "", ""
            target = self.round.pop()
            member = self.members.get(target)
            if member is not None:
                return target, member.claim.instance.peer_address
            if target in self.seeds:
                return "", target

    def new_round(self) -> list[str]:
        """Return the members to ask in a shuffled order, one dead and one seed too.

        The dead one and the seed let a fleet find together again after a partition.
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

    def claims_for_answer(self) -> list[MemberClaim]:
        """Return a bounded choice of claims: the newest ones and some at random."""
        ordered = sorted(
            self.members.values(),
            key=lambda m: (-m.learned_at, m.claim.instance.name),
        )
        others = ordered[NEWEST_CLAIMS:]
        chosen = ordered[:NEWEST_CLAIMS]
        chosen += self.rng.sample(others, min(RANDOM_CLAIMS, len(others)))
        return [member.claim for member in chosen]

    def hears_majority(self, now: float, bound_s: float, has_vote: bool) -> bool:
        """Whether more than half of the instances answered within the bound.

        `has_vote` tells whether this instance may count itself.
        """
        counted = [
            m
            for m in self.members.values()
            if m.claim.instance.lifecycle is not Lifecycle.LEAVING
        ]
        if len(counted) > DIRECT_MAJORITY_MEMBERS:
            counted = [m for m in counted if is_within(m.asked_at, now, bound_s)]
        votes = sum(is_within(m.answered_at, now, bound_s) for m in counted)
        return 2 * (votes + has_vote) > len(counted) + 1

    def present(self) -> list[MemberClaim]:
        """Return the claims of every other instance that is not held for dead."""
        return [
            member.claim
            for _, member in sorted(self.members.items())
            if member.claim.health is not Health.DEAD
            and member.claim.instance.lifecycle is not Lifecycle.LEAVING
        ]


def merge_claims(held: MemberClaim, claim: MemberClaim) -> MemberClaim:
    """Return what two claims about one name amount to."""
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


def is_news(held: MemberClaim, merged: MemberClaim) -> bool:
    """Whether a claim says more than a later heartbeat."""
    if merged.precedence != held.precedence:
        return True
    return merged.instance != held.instance


def is_gone(member: Member) -> bool:
    """Whether a member is dead or has left."""
    claim = member.claim
    return claim.health is Health.DEAD or claim.instance.lifecycle is Lifecycle.LEAVING


def is_within(moment: float | None, now: float, bound_s: float) -> bool:
    """Whether a time is known and at most `bound_s` seconds past."""
    return moment is not None and now - moment <= bound_s
