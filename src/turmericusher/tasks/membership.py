"""One entry instance's view of the fleet, and what it reports to its peers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Iterable, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass, field

import orjson
from pydantic import BaseModel, ConfigDict, ValidationError

from turmericusher.decisions.entrypoints import EntryPoint, choose_entrypoints
from turmericusher.decisions.fleet import EntryInstance, Lifecycle, UpstreamInstance
from turmericusher.decisions.membership import MemberClaim, Membership, is_within
from turmericusher.decisions.peer_messages import PeerAnswer, PeerQuestion
from turmericusher.decisions.rollout import InstanceRevision
from turmericusher.decisions.suspicion import Charge
from turmericusher.decisions.upstream_marks import (
    LeavingMark,
    LeavingMarks,
    mark_of,
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
MAX_CHARGES = 32
"""Limits of one answer to a peer; what is left out is sent in a later one."""

ADVANCE_INTERVAL_S = 0.5
ENTRY_LEASE_S = 60
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


def no_charges(_limit: int) -> Sequence[Charge]:
    """Return no crash reports, for an instance that collects none."""
    return ()


def ignore_loads(_peer: str, _loads: Mapping[str, int]) -> None:
    """Ignore the loads of a peer, for a selection that does not use them."""


def ignore_charges(_charges: Sequence[Charge]) -> None:
    """Ignore the crash reports of a peer, for an instance that collects none."""


def ignore_instances(_names: Iterable[str]) -> None:
    """Ignore the live instances, for a selection that does not use them."""


def ignore_marks() -> None:
    """Ignore new leaving marks, for a selection that does not use them."""


@dataclass(slots=True)
class PeerFeeds:
    """Callbacks that connect the peer exchange to other parts of the instance.

    `own_loads` returns the number of requests in flight by upstream, and
    `own_crash_reports` at most the given number of crash reports. `on_peer_loads` and
    `on_crash_reports` receive what a peer sent, `on_live_instances` the names of the
    live instances including this one. `on_marks_changed` is called after a new leaving
    mark was added.
    """

    own_loads: Callable[[], Mapping[str, int]] = no_loads
    own_charges: Callable[[int], Sequence[Charge]] = no_charges
    take_loads: Callable[[str, Mapping[str, int]], None] = ignore_loads
    take_charges: Callable[[Sequence[Charge]], None] = ignore_charges
    take_instances: Callable[[Iterable[str]], None] = ignore_instances
    marks_changed: Callable[[], None] = ignore_marks


@dataclass(slots=True)
class Fleet:
    """One instance's view of the fleet.

    `accepts_work` is False once a stopping instance takes no new work. `lease` keeps
    this instance's registration in the store; it is 0 before there is one.
    `listed_upstreams` is the platform's last list of upstreams, without leaving marks.
    `query_now` queries the peer at an address without delay.
    """

    membership: Membership
    marks: LeavingMarks
    table: ProfileTable
    rng: random.Random
    feeds: PeerFeeds = field(default_factory=PeerFeeds)
    accepts_work: bool = True
    lease: int = 0
    listed: tuple[UpstreamInstance, ...] = ()
    ask_now: Callable[[str], None] = lambda _address: None

    def question_for(self, name: str) -> PeerQuestion:
        """Return the query for a peer, whose name is empty when it is unknown."""
        self.renew_state()
        return PeerQuestion(
            self.membership.own_claim(),
            self.membership.held_claim(name),
            self.table.rollout.cursor,
        )

    def renew_state(self) -> None:
        """Update the state that this instance reports of itself."""
        load = sum(self.feeds.own_loads().values())
        takes_work = self.accepts_work and self.table.is_current()
        self.membership.beat(self.table.rollout.cursor_in_force, load, takes_work)

    def answer(self, question: PeerQuestion) -> PeerAnswer:
        """Answer a peer's query; query the peer at once if its cursor is higher."""
        now = self.table.clock()
        about = [] if question.about_asked is None else [question.about_asked]
        self.membership.merge([question.asker, *about], now)
        if question.cursor > self.table.rollout.cursor:
            self.ask_now(question.asker.instance.peer_address)
        self.renew_state()
        return PeerAnswer(
            own=self.membership.own_claim(),
            members=self.members_for(question.asker),
            records=self.table.rollout.records_above(question.cursor, now, MAX_RECORDS),
            marks=tuple(self.marks.for_answer()),
            loads=heaviest(self.feeds.own_loads(), MAX_LOADS),
            charges=tuple(self.feeds.own_charges(MAX_CHARGES))[:MAX_CHARGES],
        )

    def members_for(self, asker: MemberClaim) -> tuple[MemberClaim, ...]:
        """Return a bounded choice of member claims for a peer.

        The claim held about the peer itself comes first, so the peer can refute it.
        """
        name = asker.instance.name
        claims = self.membership.claims_for_answer()
        about_asker = self.membership.held_claim(name)
        others = [claim for claim in claims if claim.instance.name != name]
        return tuple(others if about_asker is None else [about_asker, *others])

    def take_answer(self, answer: PeerAnswer, asked_at: float) -> None:
        """Apply a peer's answer to a query that was sent at `queried_at`."""
        now = self.table.clock()
        rollout = self.table.rollout
        before = rollout.cursor
        holds_all = rollout.apply_peer(answer.records, asked_at)
        is_counted = holds_all and answer.records.is_voter
        self.membership.answered(answer.own, asked_at, now, is_counted)
        self.membership.merge(answer.members, now)
        bound_s = self.table.stale_after_s
        if self.membership.hears_majority(now, bound_s, has_vote=False):
            rollout.has_recovered = True
        if rollout.cursor != before:
            self.table.announce()
        self.take_marks(answer.marks)
        self.feeds.take_loads(answer.own.instance.name, dict(answer.loads))
        self.feeds.take_charges(answer.charges)

    def advance(self) -> None:
        """Expire suspicions of members, and pass the live instances on to selection."""
        now = self.table.clock()
        fresh_as_of = self.table.rollout.fresh_as_of
        is_store_heard = is_within(fresh_as_of, now, self.table.stale_after_s)
        self.membership.advance(now, is_store_heard)
        present = [claim.instance.name for claim in self.membership.present()]
        self.feeds.take_instances([self.membership.own.name, *present])

    def take_marks(self, marks: Iterable[LeavingMark]) -> None:
        """Add leaving marks of upstreams; notify the selection if any is new."""
        if self.marks.add(marks, self.table.clock()):
            self.feeds.marks_changed()

    def take_list(self, upstreams: Iterable[UpstreamInstance]) -> None:
        """Replace the platform's list of upstreams."""
        self.listed = tuple(upstreams)

    def upstreams(self) -> tuple[UpstreamInstance, ...]:
        """Return the platform's list of upstreams with the leaving marks applied."""
        return self.marks.apply(self.listed, self.table.clock())

    def mark_upstream(self, upstream: UpstreamInstance) -> None:
        """Mark an upstream's incarnation as leaving."""
        self.take_marks((mark_of(upstream),))

    def mark_leaving(self, name: str) -> LeavingMark:
        """Mark the listed incarnation of an upstream as leaving; return the mark.

        Raises `RequestRefusedError` when the platform does not list the upstream.
        """
        for upstream in self.listed:
            if upstream.name == name:
                self.mark_upstream(upstream)
                return mark_of(upstream)
        raise RequestRefusedError(
            ErrorCode.NO_UPSTREAM,
            f"upstream={name!r} is not in the platform's list; check the name",
        )

    def hears_majority(self, now: float) -> bool:
        """Whether a majority of the instances answered within the staleness bound."""
        has_vote = self.table.rollout.is_voter
        return self.membership.hears_majority(now, self.table.stale_after_s, has_vote)

    def entrypoints(self, failure_domain: str) -> list[EntryPoint]:
        """Return the entry points for a caller in the given failure domain."""
        self.renew_state()
        claims = [self.membership.own_claim(), *self.membership.present()]
        return choose_entrypoints(claims, failure_domain, self.rng)

    def live_revisions(self) -> list[InstanceRevision]:
        """Return the revisions in force on the live instances, this one included."""
        return self.revisions(self.membership.present())

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
        return known + [self.revision_of(claim) for claim in claims]

    def revision_of(self, claim: MemberClaim) -> InstanceRevision:
        """Return another instance's revision in force, and the age of its answer."""
        instance = claim.instance
        answered_at = self.membership.members[instance.name].answered_at
        age_s = None if answered_at is None else self.table.clock() - answered_at
        return InstanceRevision(
            instance.name, instance.failure_domain, claim.state.cursor, age_s
        )

    def take_registration(self, registration: Registration) -> None:
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


def heaviest(loads: Mapping[str, int], limit: int) -> tuple[tuple[str, int], ...]:
    """Return at most `limit` loads: the largest ones, in descending order."""
    return tuple(sorted(loads.items(), key=lambda item: (-item[1], item[0]))[:limit])


def make_fleet(
    own: EntryInstance,
    seeds: tuple[str, ...],
    table: ProfileTable,
    rng: random.Random,
    feeds: PeerFeeds | None = None,
) -> Fleet:
    """Return an instance's view of the fleet, connected to its table of profiles."""
    membership = Membership(own, random.Random(rng.random()), seeds)
    marks = LeavingMarks(random.Random(rng.random()))
    fleet = Fleet(membership, marks, table, rng, feeds or PeerFeeds())
    table.hears_majority = fleet.hears_majority
    table.on_registration = fleet.take_registration
    return fleet


async def advance_membership(fleet: Fleet) -> None:
    """Advance the membership at a regular interval, forever."""
    while True:
        await asyncio.sleep(ADVANCE_INTERVAL_S)
        fleet.advance()


async def keep_registered(fleet: Fleet, store: KeyValueStore) -> None:
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
    fields = asdict(own)
    del fields["lifecycle"]
    lease = await store.grant_lease(ENTRY_LEASE_S)
    current = await store.get(key)
    expected = current.revision if current is not None else ABSENT
    value = orjson.dumps(fields)
    result = await store.compare_and_swap(key, expected, value, lease)
    if not result.succeeded:
        raise ConflictError(
            ErrorCode.REVISION_CONFLICT, f"key={key!r} was written by another process"
        )
    return lease


async def end_registration(fleet: Fleet, store: KeyValueStore) -> None:
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
        "registration": keep_registered(fleet, store),
    }
    try:
        async with background_tasks(work):
            yield
    finally:
        await end_registration(fleet, store)
