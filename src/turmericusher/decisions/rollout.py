"""Rollout: how an accepted change of a profile comes into force on every instance.

The store numbers all writes with revisions from a single sequence, so one number
describes what an instance knows. Its `cursor` C means: for every profile whose latest
revision is at most C, this instance holds that latest revision. Any instance can update
another one by sending the records above the other's cursor, as in Demers et al.,
"Epidemic Algorithms for Replicated Database Maintenance" (1987).

Staleness is measured from positive evidence and not from the absence of changes.
`fresh_as_of` is a time on this instance's own clock at which its records were surely
the latest ones. It advances only with a read of the store, or with a peer's reply that
states the age of such a read.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from turmericusher.errors import ConflictError, ErrorCode, RequestRefusedError, Verdict
from turmericusher.profiles import Profile

MAX_RECENT_CHANGES = 32
"""Changes that a record lists, so that an operator whose reply was lost can still find
out later whether a change took effect."""

DEFAULT_PROFILE = Profile("default")
"""The profile of this name that is in force until an operator creates one."""


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """A change that took effect, and the revision that it replaced."""

    change_id: str
    replaced_revision: int


@dataclass(frozen=True, slots=True)
class ProfileRecord:
    """One profile as it is stored.

    `changes` are the recent changes that led to this record, the latest last. A retired
    profile keeps its record, because a delayed write could create a deleted key again.
    """

    profile: Profile
    revision: int
    retired: bool = False
    changes: tuple[AppliedChange, ...] = ()


@dataclass(frozen=True, slots=True)
class ProfileChange:
    """An operator's change of a profile; an `expected_revision` of 0 creates it.

    `change_id` is unique to the change, and the same in each repeat of it.
    """

    profile: Profile
    expected_revision: int
    change_id: str
    retire: bool = False


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """The record to write if the key's revision is still `expected_revision`."""

    expected_revision: int
    record: ProfileRecord


@dataclass(frozen=True, slots=True)
class AlreadyAccepted:
    """The change took effect earlier; `record` is the profile's current record."""

    record: ProfileRecord


@dataclass(frozen=True, slots=True)
class PeerRecords:
    """A peer's records above the cursor of the query, the oldest first.

    `cursor` is the peer's own. `is_whole` is False when records were left out because
    of their number or because the peer cannot read some. `age_s` is the time in seconds
    since the peer was surely up to date, None when it never was. `is_voter` tells that
    the peer may be counted in a majority.
    """

    records: tuple[ProfileRecord, ...]
    cursor: int
    age_s: float | None
    is_whole: bool
    is_voter: bool


def plan_change(
    current: ProfileRecord | None, change: ProfileChange
) -> WriteRecord | AlreadyAccepted:
    """Decide on a change, given the profile's current record in the store.

    Raises `ConflictError` with the other change when the revision has moved on. This
    also resolves a write whose reply was lost: either the change id is in the record,
    or the key is still at the expected revision and the same write may be sent again,
    or the revision has moved on and the lost write can no longer take effect.
    """
    if current is not None and has_change(current, change.change_id):
        return AlreadyAccepted(current)
    current_revision = current.revision if current is not None else 0
    if current_revision != change.expected_revision:
        raise revision_conflict(current, change)
    if change.retire:
        return plan_retirement(current, change)
    return WriteRecord(current_revision, next_record(current, change, change.profile))


def plan_retirement(
    current: ProfileRecord | None, change: ProfileChange
) -> WriteRecord:
    """Return the write that retires a profile; raise if there is none to retire."""
    if current is None:
        raise RequestRefusedError(
            ErrorCode.UNKNOWN_PROFILE,
            f"profile={change.profile.name!r} does not exist; nothing to retire",
        )
    if current.retired:
        raise RequestRefusedError(
            ErrorCode.PROFILE_RETIRED,
            f"profile={change.profile.name!r} is already retired at "
            f"revision={current.revision!r}",
        )
    return WriteRecord(current.revision, next_record(current, change, current.profile))


def next_record(
    current: ProfileRecord | None, change: ProfileChange, profile: Profile
) -> ProfileRecord:
    """Return the record after the change; its revision is 0 until it is written."""
    earlier = current.changes if current is not None else ()
    applied = AppliedChange(change.change_id, change.expected_revision)
    recent = (*earlier, applied)[-MAX_RECENT_CHANGES:]
    return ProfileRecord(profile, 0, change.retire, recent)


def has_change(record: ProfileRecord, change_id: str) -> bool:
    """Whether the change is among the recent changes of the record."""
    return any(applied.change_id == change_id for applied in record.changes)


def revision_conflict(
    current: ProfileRecord | None, change: ProfileChange
) -> ConflictError:
    """Return the error that shows the other change and the current profile."""
    name = change.profile.name
    if current is None:
        return ConflictError(
            ErrorCode.REVISION_CONFLICT,
            f"expected_revision={change.expected_revision!r}: profile={name!r} does "
            "not exist; use 0 to create it",
        )
    state = "retired" if current.retired else "changed"
    rival = current.changes[-1].change_id if current.changes else ""
    return ConflictError(
        ErrorCode.REVISION_CONFLICT,
        f"expected_revision={change.expected_revision!r}: profile={name!r} was {state} "
        f"at revision={current.revision!r} by change_id={rival!r}; it is now "
        f"{current.profile!r}; read it and send the change with its revision",
        verdict=conflict_verdict(current, change),
    )


def conflict_verdict(current: ProfileRecord, change: ProfileChange) -> Verdict:
    """Return whether the change may have taken effect before the current record.

    The record lists its recent changes without gaps, and each revision is replaced by
    exactly one change. A change that is not listed has therefore not taken effect if it
    expected a revision that a listed one replaced, or a later revision.
    """
    oldest = current.changes[0].replaced_revision if current.changes else 0
    is_resolved = change.expected_revision >= oldest
    return Verdict.NOT_RUN if is_resolved else Verdict.MAY_HAVE_RUN


@dataclass(slots=True)
class Rollout:
    """The profiles that one instance has in force.

    `unreadable` maps a profile to the revision of a record that this version of the
    program cannot read. New work under that profile is refused, because the record in
    force is known to have been replaced.

    `started_at` is when this process began to collect records. `has_recovered` tells
    that a majority has since passed on all that it held. Until then, or until
    `fresh_as_of` is later than `started_at`, the process must not be counted in a
    majority: it does not know what an earlier process of the same name held.
    """

    started_at: float = 0.0
    has_recovered: bool = False
    records: dict[str, ProfileRecord] = field(default_factory=dict)
    cursor: int = 0
    fresh_as_of: float | None = None
    unreadable: dict[str, int] = field(default_factory=dict)

    def apply(self, record: ProfileRecord) -> bool:
        """Put a record in force if it is newer; return whether it was.

        Watch events, reads and peers' records come in any order and may be outdated.
        """
        name = record.profile.name
        held = self.records.get(name)
        if held is not None and held.revision >= record.revision:
            return False
        self.records[name] = record
        if self.unreadable.get(name, record.revision + 1) <= record.revision:
            del self.unreadable[name]
        return True

    def apply_unreadable(self, name: str, revision: int) -> None:
        """Record that a profile has a newer revision that cannot be read."""
        held = self.records.get(name)
        if held is None or held.revision < revision:
            self.unreadable[name] = max(revision, self.unreadable.get(name, 0))

    def apply_read(self, records: Iterable[ProfileRecord], queried_at: float) -> None:
        """Apply a read of all profiles whose request was sent at `queried_at`.

        Profiles are never deleted, so the highest revision read is a valid cursor.
        """
        for record in records:
            self.apply(record)
            self.advance_cursor(record.revision)
        self.confirm_as_of(queried_at)

    def advance_cursor(self, revision: int) -> None:
        """Record that every change up to `revision` was received.

        Watch events arrive in order but may be delayed, so `fresh_as_of` stays as it
        is.
        """
        self.cursor = max(self.cursor, revision)

    @property
    def cursor_in_force(self) -> int:
        """The revision up to which every change is in force on this instance."""
        return min([self.cursor, *(one - 1 for one in self.unreadable.values())])

    def apply_peer_records(self, sent: PeerRecords, queried_at: float) -> bool:
        """Apply a peer's reply to a query that was sent at `queried_at`.

        Returns whether this instance now holds all records that the peer held. A peer
        that never was up to date is no evidence for the records that it lacks.
        """
        for record in sent.records:
            self.apply(record)
        if sent.age_s is None:
            return False
        if not sent.is_whole:
            self.cursor = max(self.cursor, partial_cursor(sent))
            return False
        self.cursor = max(self.cursor, sent.cursor)
        self.confirm_as_of(queried_at - sent.age_s)
        return True

    def confirm_as_of(self, as_of: float) -> None:
        """Record that the records were the latest ones at the time `as_of`."""
        if self.fresh_as_of is None or as_of > self.fresh_as_of:
            self.fresh_as_of = as_of

    @property
    def is_voter(self) -> bool:
        """Whether this instance may be counted in a majority."""
        is_confirmed = (
            self.fresh_as_of is not None and self.fresh_as_of > self.started_at
        )
        return is_confirmed or self.has_recovered

    def records_above(self, cursor: int, now: float, max_records: int) -> PeerRecords:
        """Return the records above a peer's cursor, at most `max_records` of them."""
        newer = sorted(
            (held for held in self.records.values() if held.revision > cursor),
            key=lambda held: held.revision,
        )
        age_s = None if self.fresh_as_of is None else max(0.0, now - self.fresh_as_of)
        is_whole = len(newer) <= max_records and not self.unreadable
        sent = tuple(newer[:max_records])
        return PeerRecords(sent, self.cursor_in_force, age_s, is_whole, self.is_voter)

    def is_fresh(self, now: float, bound_s: float) -> bool:
        """Whether the records are known to be at most `bound_s` seconds old."""
        return self.fresh_as_of is not None and now - self.fresh_as_of <= bound_s

    def is_current(
        self, now: float, bound_s: float, has_recent_majority: Callable[[float], bool]
    ) -> bool:
        """Whether the records are current enough to accept new work.

        A change is accepted only once a majority of the instances holds it. An instance
        that has replies from a majority has therefore queried at least one of the
        instances that hold it, and can keep serving during an outage of the store.
        """
        if self.fresh_as_of is None:
            return False
        return self.is_fresh(now, bound_s) or has_recent_majority(now)

    def lookup(self, name: str) -> Profile:
        """Return the profile in force; raise `RequestRefusedError` if there is none."""
        if name in self.unreadable:
            raise RequestRefusedError(
                ErrorCode.INSTANCE_STALE,
                f"profile={name!r} has revision={self.unreadable[name]!r}, which this "
                "instance cannot read; use another instance or update this one",
                retry_after_s=1.0,
            )
        record = self.records.get(name)
        if record is None and name == DEFAULT_PROFILE.name:
            return DEFAULT_PROFILE
        if record is None:
            raise RequestRefusedError(
                ErrorCode.UNKNOWN_PROFILE,
                f"profile={name!r} does not exist; create it or use another one",
            )
        if record.retired:
            raise RequestRefusedError(
                ErrorCode.PROFILE_RETIRED,
                f"profile={name!r} was retired at revision={record.revision!r}; "
                "use another one",
            )
        return record.profile


def partial_cursor(sent: PeerRecords) -> int:
    """Return the cursor after a reply that left out newer records.

    The records are sorted by revision, so all changes up to the last one are held.
    """
    last = sent.records[-1].revision if sent.records else 0
    return min(last, sent.cursor)


def with_revision(record: ProfileRecord, revision: int) -> ProfileRecord:
    """Return the record with the revision that the store assigned to its write."""
    return replace(record, revision=revision)


@dataclass(frozen=True, slots=True)
class InstanceRevision:
    """The revision that one entry instance has in force.

    It has every change up to `cursor` in force. `age_s` is the age of this knowledge in
    seconds, None when the instance has not answered yet.
    """

    name: str
    failure_domain: str
    cursor: int
    age_s: float | None


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Which entry instances have a revision in force, and which do not."""

    revision: int
    in_force: tuple[InstanceRevision, ...]
    missing: tuple[InstanceRevision, ...]

    @property
    def is_held_by_majority(self) -> bool:
        """Whether more than half of the instances have the revision in force."""
        return len(self.in_force) > len(self.missing)


def rollout_status(
    revision: int, instances: Iterable[InstanceRevision]
) -> RolloutStatus:
    """Group the instances by whether they have the revision in force."""
    known = sorted(instances, key=lambda instance: instance.name)
    return RolloutStatus(
        revision,
        tuple(instance for instance in known if instance.cursor >= revision),
        tuple(instance for instance in known if instance.cursor < revision),
    )
