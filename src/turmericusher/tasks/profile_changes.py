"""Operators' changes of profiles: one compare-and-swap, then held by a majority."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from turmericusher.decisions.rollout import (
    AlreadyAccepted,
    InstanceRevision,
    ProfileChange,
    ProfileRecord,
    RolloutStatus,
    WriteRecord,
    plan_change,
    rollout_status,
)
from turmericusher.errors import (
    ErrorCode,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    TurmericusherError,
    Verdict,
)
from turmericusher.ports.keyvalue import KeyValueStore, StoredValue
from turmericusher.tasks.profile_records import (
    UnreadableRecordError,
    decode_record,
    encode_record,
)
from turmericusher.tasks.profile_watch import ProfileTable, reload_table

CHANGE_TIMEOUT_S = 8.0
"""Seconds within which an operator learns the outcome of a change."""

CALL_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.1

MajorityCheck = Callable[[int, float], Awaitable[RolloutStatus]]
"""Waits until a majority of instances holds a revision; arguments: revision, seconds.

Returns the status at that moment, or after the given number of seconds.
"""


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """A change that took effect and that a majority of the instances holds.

    `record` is the profile's current record, which may be that of a later change.
    """

    change_id: str
    record: ProfileRecord
    status: RolloutStatus


@dataclass(slots=True)
class ProfileChanger:
    """Commits operators' changes of profiles and waits until a majority holds them.

    `limit_s` bounds the time of one change in seconds.
    """

    store: KeyValueStore
    table: ProfileTable
    wait_for_majority: MajorityCheck
    limit_s: float = CHANGE_TIMEOUT_S

    async def change(self, change: ProfileChange) -> AcceptedChange:
        """Commit a change and wait until a majority of the instances holds it.

        Raises `ConflictError` when another change was written first, and
        `TurmericusherError` with the verdict MAY_HAVE_RUN and the change id when the
        outcome is still unknown at the deadline.
        """
        started_at = self.table.clock()
        record = await self.commit(change, started_at + self.limit_s)
        self.table.apply_written(record)
        await self.refresh_table()
        remaining_s = max(0.0, started_at + self.limit_s - self.table.clock())
        status = await self.wait_for_majority(record.revision, remaining_s)
        if not status.is_held_by_majority:
            raise no_majority_error(change, record, status)
        return AcceptedChange(change.change_id, record, status)

    async def commit(self, change: ProfileChange, deadline: float) -> ProfileRecord:
        """Write the change; repeat the same write until its outcome is known.

        A repeat expects the same revision, so at most one of the writes takes effect,
        even when an earlier one reaches the store late.
        """
        has_unknown_write = False
        while True:
            try:
                record = await self.try_commit(change)
                if record is not None:
                    return record
            except StoreUnavailableError:
                if not has_unknown_write:
                    raise
            except (StoreOutcomeUnknownError, TimeoutError):
                has_unknown_write = True
            except UnreadableRecordError:
                if not has_unknown_write:
                    raise
                raise outcome_unknown_error(change) from None
            if self.table.clock() >= deadline:
                raise outcome_unknown_error(change)
            await asyncio.sleep(RETRY_PAUSE_S)

    async def try_commit(self, change: ProfileChange) -> ProfileRecord | None:
        """Read, plan and write once; return None when another write came between."""
        key = self.table.profile_key(change.profile.name)
        current = await self.read_current(key)
        plan = plan_change(current, change)
        match plan:
            case AlreadyAccepted(record):
                return record
            case WriteRecord(expected_revision, record):
                value = encode_record(record)
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    result = await self.store.compare_and_swap(
                        key, expected_revision, value
                    )
                if not result.succeeded:
                    return None
                return replace(record, revision=result.revision)

    async def read_current(self, key: str) -> ProfileRecord | None:
        """Read a profile's record from the store.

        A timeout raises `StoreUnavailableError`, because a read has no effect.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                stored = await self.store.get(key)
        except TimeoutError as error:
            raise StoreUnavailableError(
                f"no reply from the key-value service within {CALL_TIMEOUT_S} s"
            ) from error
        return decode_stored_record(stored)

    async def refresh_table(self) -> None:
        """Advance this instance's own cursor past the change, if the store answers."""
        try:
            await reload_table(self.store, self.table)
        except (TurmericusherError, TimeoutError):
            return


def decode_stored_record(stored: StoredValue | None) -> ProfileRecord | None:
    """Decode a stored profile record; return None for a missing value."""
    if stored is None:
        return None
    return decode_record(stored.value, stored.revision)


def outcome_unknown_error(change: ProfileChange) -> TurmericusherError:
    """Return the error for a change whose write may have taken effect."""
    return TurmericusherError(
        ErrorCode.STORE_OUTCOME_UNKNOWN,
        f"change_id={change.change_id!r} of profile={change.profile.name!r} may have "
        "taken effect: the key-value service does not answer; repeat the change with "
        "the same change_id to learn its outcome",
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after_s=1.0,
    )


def no_majority_error(
    change: ProfileChange, record: ProfileRecord, status: RolloutStatus
) -> TurmericusherError:
    """Return the error for a stored change that is not known to be at a majority."""
    missing = ", ".join(instance.name for instance in status.missing)
    return TurmericusherError(
        ErrorCode.STORE_OUTCOME_UNKNOWN,
        f"change_id={change.change_id!r} of profile={change.profile.name!r} is stored "
        f"at revision={record.revision!r}, but not accepted yet: no confirmation from "
        f"{missing}; repeat the change with the same change_id until it is",
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after_s=1.0,
    )


def check_without_peers(name: str, failure_domain: str) -> MajorityCheck:
    """Return the majority check of an instance that has no peers."""

    async def own_status(revision: int, _limit_s: float) -> RolloutStatus:
        own = InstanceRevision(name, failure_domain, revision, 0.0)
        return rollout_status(revision, (own,))

    return own_status
