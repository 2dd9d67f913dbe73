"""One entry instance's view of the fleet, and what it reports to its peers.

Instances query each other for membership, profile records, leaving marks, loads and
crash reports. A `cursor` is a revision of the store: an instance holds the latest
record of every profile that was last changed at or before its cursor.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Iterable, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass, field

from pydantic import BaseModel, ConfigDict, ValidationError

from turmericusher.decisions.entrypoints import EntryPoint, choose_entrypoints
from turmericusher.decisions.fleet import EntryInstance, Lifecycle, UpstreamInstance
from turmericusher.decisions.membership import MemberClaim, Membership, is_within
from turmericusher.decisions.peer_messages import PeerQuery, PeerReply
from turmericusher.decisions.rollout import InstanceRevision
from turmericusher.decisions.suspicion import CrashReport
from turmericusher.decisions.upstream_marks import (
    LeavingMark,
    LeavingMarks,
    leaving_mark,
)
from turmericusher.errors import (
    ConflictError,
    ErrorCode,
    RequestRefusedError,
    TurmericusherError,
)
from turmericusher.logs import log_event
from turmericusher.ports.keyvalue import ABSENT, KeyValueStore
from turmericusher.tasks.background import background_tasks
from turmericusher.tasks.profile_watch import ProfileTable, Registration

MAX_RECORDS = 64
MAX_LOADS = 64
MAX_CRASH_REPORTS = 32
"""Limits of one answer to a peer.

Profile records that are left out follow in a later answer. Of the loads only the
largest are sent, and of the crash reports only the newest."""

ADVANCE_INTERVAL_S = 0.5
"""Seconds between two checks for suspected members whose timeout has passed."""
REGISTRATION_TTL_S = 60
"""Seconds after which the store drops a registration that is not renewed."""
RENEW_INTERVAL_S = 20.0
REGISTER_RETRY_S = 1.0
REVOKE_TIMEOUT_S = 1.0


class RegistrationModel(BaseModel):
    """A registration of an entry instance as stored in the key-value service."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str
    failure_domain: str
    caller_address: str
    peer_address: str
    incarnation: str


def no_loads() -> Mapping[str, int]:
    """Return no loads, for an instance that counts no requests in flight."""
    return {}


def no_crash_reports(_limit: int) -> Sequence[CrashReport]:
    """Return no crash reports, for an instance that collects none."""
    return ()


def ignore_loads(_peer: str, _loads: Mapping[str, int]) -> None:
    """Ignore the loads of a peer, for a selection that does not use them."""


def ignore_crash_reports(_reports: Sequence[CrashReport]) -> None:
    """Ignore the crash reports of a peer, for an instance that collects none."""


def ignore_instances(_names: Iterable[str]) -> None:
    """Ignore the live instances, for a selection that does not use them."""


def ignore_marks() -> None:
    """Ignore new leaving marks, for a selection that does not use them."""


@dataclass(slots=True)
class ExchangeHooks:
    """Callbacks that connect the peer exchange to other parts of the instance.

    `own_loads` returns the number of requests in flight by upstream, and
    `own_crash_reports` at most the given number of crash reports. `on_peer_loads` and
    `on_crash_reports` receive what a peer sent, `on_live_instances` the names of the
    live instances including this one. `on_marks_changed` is called after a new leaving
    mark was added.
    """

    own_loads: Callable[[], Mapping[str, int]] = no_loads
    own_crash_reports: Callable[[int], Sequence[CrashReport]] = no_crash_reports
    on_peer_loads: Callable[[str, Mapping[str, int]], None] = ignore_loads
    on_crash_reports: Callable[[Sequence[CrashReport]], None] = ignore_crash_reports
    on_live_instances: Callable[[Iterable[str]], None] = ignore_instances
    on_marks_changed: Callable[[], None] = ignore_marks


@dataclass(slots=True)
class Fleet:
    """One instance's view of the fleet.

    `accepts_work` is False once a stopping instance takes no new work. `lease` keeps
    this instance's registration in the store; it is 0 before there is one.
    `listed_upstreams` is the platform's last list of upstreams, without leaving marks.
    `pull_now` queries the peer at an address without delay.
    """

    membership: Membership
    marks: LeavingMarks
    table: ProfileTable
    rng: random.Random
    hooks: ExchangeHooks = field(default_factory=ExchangeHooks)
    accepts_work: bool = True
    lease: int = 0
    listed_upstreams: tuple[UpstreamInstance, ...] = ()
    pull_now: Callable[[str], None] = lambda _address: None

    def query_for(self, name: str) -> PeerQuery:
        """Return the query for a peer, whose name is empty when it is unknown."""
        self.update_own_state()
        return PeerQuery(
            self.membership.own_claim(),
            self.membership.claim_about(name),
            self.table.rollout.cursor,
        )

    def update_own_state(self) -> None:
        """Update the state that this instance reports of itself."""
        load = sum(self.hooks.own_loads().values())
        takes_work = self.accepts_work and self.table.is_current()
        self.membership.update_state(
            self.table.rollout.cursor_in_force, load, takes_work
        )

    def answer(self, query: PeerQuery) -> PeerReply:
        """Answer a peer's query; query the peer at once if its cursor is higher."""
        now = self.table.clock()
        claims_about_self = [] if query.about_asked is None else [query.about_asked]
        self.membership.merge([query.asker, *claims_about_self], now)
        if query.cursor > self.table.rollout.cursor:
            self.pull_now(query.asker.instance.peer_address)
        self.update_own_state()
        return PeerReply(
            own=self.membership.own_claim(),
            members=self.member_claims_for(query.asker),
            records=self.table.rollout.records_above(query.cursor, now, MAX_RECORDS),
            marks=tuple(self.marks.marks_for_reply()),
            loads=largest_loads(self.hooks.own_loads(), MAX_LOADS),
            charges=tuple(self.hooks.own_crash_reports(MAX_CRASH_REPORTS))[
                :MAX_CRASH_REPORTS
            ],
        )

    def member_claims_for(self, asker: MemberClaim) -> tuple[MemberClaim, ...]:
        """Return a bounded choice of member claims for a peer.

        The claim held about the peer itself comes first, so the peer can refute it.
        """
        name = asker.instance.name
        claims = self.membership.claims_for_reply()
        about_asker = self.membership.claim_about(name)
        others = [claim for claim in claims if claim.instance.name != name]
        return tuple(others if about_asker is None else [about_asker, *others])

    def apply_answer(self, answer: PeerReply, queried_at: float) -> None:
        """Apply a peer's answer to a query that was sent at `queried_at`.

        The answer counts towards a majority only if the peer is a voter and this
        instance now holds all records that the peer held. Once such answers form a
        majority without this instance's own vote, the rollout is marked as recovered:
        this process then knows what an earlier one of its name held.
        """
        now = self.table.clock()
        rollout = self.table.rollout
        previous_cursor = rollout.cursor
        has_all_records = rollout.apply_peer_records(answer.records, queried_at)
        is_counted = has_all_records and answer.records.is_voter
        self.membership.record_reply(answer.own, queried_at, now, is_counted)
        self.membership.merge(answer.members, now)
        max_age_s = self.table.stale_after_s
        if self.membership.has_recent_majority(now, max_age_s, has_vote=False):
            rollout.has_recovered = True
        if rollout.cursor != previous_cursor:
            self.table.notify_changed()
        self.add_marks(answer.marks)
        self.hooks.on_peer_loads(answer.own.instance.name, dict(answer.loads))
        self.hooks.on_crash_reports(answer.charges)

    def advance(self) -> None:
        """Expire suspicions of members, and pass the live instances on to selection.

        Dead members are forgotten only while the data from the store is recent, so that
        an instance that is partitioned from the others does not become a majority.
        """
        now = self.table.clock()
        fresh_as_of = self.table.rollout.fresh_as_of
        is_store_recent = is_within(fresh_as_of, now, self.table.stale_after_s)
        self.membership.advance(now, is_store_recent)
        present = [claim.instance.name for claim in self.membership.active_claims()]
        self.hooks.on_live_instances([self.membership.own.name, *present])

    def add_marks(self, marks: Iterable[LeavingMark]) -> None:
        """Add leaving marks of upstreams; notify the selection if any is new."""
        if self.marks.add(marks, self.table.clock()):
            self.hooks.on_marks_changed()

    def set_listed_upstreams(self, upstreams: Iterable[UpstreamInstance]) -> None:
        """Replace the platform's list of upstreams."""
        self.listed_upstreams = tuple(upstreams)

    def upstreams(self) -> tuple[UpstreamInstance, ...]:
        """Return the platform's list of upstreams with the leaving marks applied."""
        return self.marks.apply(self.listed_upstreams, self.table.clock())

    def mark_upstream_leaving(self, upstream: UpstreamInstance) -> None:
        """Mark an upstream's incarnation as leaving."""
        self.add_marks((leaving_mark(upstream),))

    def mark_leaving_by_name(self, name: str) -> LeavingMark:
        """Mark the listed incarnation of an upstream as leaving; return the mark.

        Raises `RequestRefusedError` when the platform does not list the upstream.
        """
        for upstream in self.listed_upstreams:
            if upstream.name == name:
                self.mark_upstream_leaving(upstream)
                return leaving_mark(upstream)
        raise RequestRefusedError(
            ErrorCode.NO_UPSTREAM,
            f"upstream={name!r} is not in the platform's list; check the name",
        )

    def has_recent_majority(self, now: float) -> bool:
        """Whether a majority of the instances answered within the staleness bound.

        This instance counts itself only if it is a voter.
        """
        has_vote = self.table.rollout.is_voter
        return self.membership.has_recent_majority(
            now, self.table.stale_after_s, has_vote
        )

    def entrypoints(self, failure_domain: str) -> list[EntryPoint]:
        """Return the entry points for a caller in the given failure domain."""
        self.update_own_state()
        claims = [self.membership.own_claim(), *self.membership.active_claims()]
        return choose_entrypoints(claims, failure_domain, self.rng)

    def live_revisions(self) -> list[InstanceRevision]:
        """Return the revisions in force on the live instances, this one included."""
        return self.revisions(self.membership.active_claims())

    def counted_revisions(self) -> list[InstanceRevision]:
        """Return the revisions in force on all instances that a majority is taken of.

        Dead instances are included, leaving ones are not.
        """
        claims = [member.claim for member in self.membership.members.values()]
        counted = [c for c in claims if c.instance.lifecycle is not Lifecycle.LEAVING]
        return self.revisions(counted)

    def revisions(self, claims: Iterable[MemberClaim]) -> list[InstanceRevision]:
        """Return this instance's revision, followed by those of the claims."""
        own = self.membership.own
        cursor = self.table.rollout.cursor_in_force
        known = [InstanceRevision(own.name, own.failure_domain, cursor, 0.0)]
        return known + [self.instance_revision(claim) for claim in claims]

    def instance_revision(self, claim: MemberClaim) -> InstanceRevision:
        """Return another instance's revision in force, and the age of its answer."""
        instance = claim.instance
        answered_at = self.membership.members[instance.name].answered_at
        age_s = None if answered_at is None else self.table.clock() - answered_at
        return InstanceRevision(
            instance.name, instance.failure_domain, claim.state.cursor, age_s
        )

    def apply_registration(self, registration: Registration) -> None:
        """Add the instance of a registration to the membership.

        The end of a registration is ignored: the store may have lost the lease while
        the instance is alive.
        """
        if registration.value is None:
            return
        try:
            model = RegistrationModel.model_validate_json(registration.value)
        except ValidationError:
            log_event("registration_unreadable", entry=registration.name)
            return
        instance = EntryInstance(**model.model_dump())
        self.membership.merge((MemberClaim(instance),), self.table.clock())


def largest_loads(loads: Mapping[str, int], limit: int) -> tuple[tuple[str, int], ...]:
    """Return at most `limit` loads: the largest ones, in descending order."""
    return tuple(sorted(loads.items(), key=lambda item: (-item[1], item[0]))[:limit])


def make_fleet(
    own: EntryInstance,
    seeds: tuple[str, ...],
    table: ProfileTable,
    rng: random.Random,
    hooks: ExchangeHooks | None = None,
) -> Fleet:
    """Return an instance's view of the fleet, connected to its table of profiles.

    `seeds` are peer addresses from the settings, queried beside the known members.
    """
    membership = Membership(own, random.Random(rng.random()), seeds)
    marks = LeavingMarks(random.Random(rng.random()))
    fleet = Fleet(membership, marks, table, rng, hooks or ExchangeHooks())
    table.has_recent_majority = fleet.has_recent_majority
    table.on_registration = fleet.apply_registration
    return fleet


async def advance_membership(fleet: Fleet) -> None:
    """Advance the membership at a regular interval, forever."""
    while True:
        await asyncio.sleep(ADVANCE_INTERVAL_S)
        fleet.advance()


async def maintain_registration(fleet: Fleet, store: KeyValueStore) -> None:
    """Keep a leased registration in the store, so that new instances find this one."""
    while True:
        try:
            fleet.lease = await register(fleet, store)
            while True:
                await asyncio.sleep(RENEW_INTERVAL_S)
                if not await store.renew_lease(fleet.lease):
                    break
        except TurmericusherError as error:
            log_event("registration_failed", error=error.message)
        await asyncio.sleep(REGISTER_RETRY_S)


async def register(fleet: Fleet, store: KeyValueStore) -> int:
    """Write this instance's registration under a new lease; return the lease.

    Raises `ConflictError` when another process has written the key meanwhile.
    """
    own = fleet.membership.own
    key = fleet.table.entry_key(own.name)
    model = RegistrationModel.model_validate(asdict(own))
    lease = await store.grant_lease(REGISTRATION_TTL_S)
    current = await store.get(key)
    expected = current.revision if current is not None else ABSENT
    value = model.model_dump_json().encode()
    result = await store.compare_and_swap(key, expected, value, lease)
    if not result.succeeded:
        raise ConflictError(
            ErrorCode.REVISION_CONFLICT, f"key={key!r} was written by another process"
        )
    return lease


async def revoke_registration(fleet: Fleet, store: KeyValueStore) -> None:
    """Revoke the registration, so that new instances do not look for this one.

    If that fails, the registration is left to lapse with its lease.
    """
    if not fleet.lease:
        return
    try:
        async with asyncio.timeout(REVOKE_TIMEOUT_S):
            await store.revoke_lease(fleet.lease)
    except (TurmericusherError, TimeoutError):
        log_event("registration_left_to_lapse", entry=fleet.membership.own.name)


@asynccontextmanager
async def running_membership(fleet: Fleet, store: KeyValueStore) -> AsyncIterator[None]:
    """Keep up the membership and this instance's registration while entered."""
    work = {
        "membership": advance_membership(fleet),
        "registration": maintain_registration(fleet, store),
    }
    try:
        async with background_tasks(work):
            yield
    finally:
        await revoke_registration(fleet, store)
