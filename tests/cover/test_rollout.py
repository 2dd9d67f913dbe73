"""Test that profile changes come into force and that writers learn their outcome."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable
from contextlib import asynccontextmanager
from dataclasses import replace

from parameterized import parameterized
from testtools import TestCase

from tests.common.waiting import wait_until
from turmericusher.decisions.rollout import (
    MAX_RECENT_CHANGES,
    InstanceRevision,
    ProfileChange,
    ProfileRecord,
    Rollout,
    RolloutStatus,
    WriteRecord,
    plan_change,
    rollout_status,
)
from turmericusher.errors import (
    ConflictError,
    ErrorCode,
    StoreOutcomeUnknownError,
    TurmericusherError,
    Verdict,
)
from turmericusher.profiles import Profile
from turmericusher.standins.store import MemoryStore
from turmericusher.tasks.profile_changes import ProfileChanger, check_without_peers
from turmericusher.tasks.profile_records import encode_record
from turmericusher.tasks.profile_watch import ProfileTable, running_profile_watch

PREFIX = "/t/"
FIRST = Profile("sheets", urgency=3)
SECOND = Profile("sheets", urgency=1)


@asynccontextmanager
async def running_changer(
    store: MemoryStore, stale_after_s: float = 10.0
) -> AsyncIterator[ProfileChanger]:
    async with running_profile_watch(
        store, PREFIX, stale_after_s=stale_after_s, rng=random.Random(1)
    ) as table:
        yield ProfileChanger(store, table, check_without_peers("e1", "d1"), limit_s=0.5)


class StoreFailingAfterWrite(MemoryStore):
    """A store that goes down right after a write has taken effect."""

    def raise_if_reply_lost(self) -> None:
        self.faults.down = True
        raise StoreOutcomeUnknownError("the reply was lost")


async def raised_error(work: Awaitable[object]) -> TurmericusherError:
    try:
        await work
    except TurmericusherError as error:
        return error
    raise AssertionError("no error was raised")


def lookup_error_code(table: ProfileTable, name: str) -> ErrorCode:
    try:
        table.get(name)
    except TurmericusherError as error:
        return error.code
    raise AssertionError("the lookup was not refused")


class ChangeTest(TestCase):
    def test_a_change_reaches_another_instance_by_the_watch(self) -> None:
        async def scenario() -> Profile:
            store = MemoryStore()
            async with running_changer(store) as here, running_changer(store) as there:
                await here.change(ProfileChange(FIRST, 0, "change-1"))
                records = there.table.rollout.records
                await wait_until(lambda: "sheets" in records)
                return there.table.get("sheets")

        self.assertEqual(FIRST, asyncio.run(scenario()))

    def test_a_conflict_shows_the_competing_change(self) -> None:
        async def scenario() -> TurmericusherError:
            async with running_changer(MemoryStore()) as changer:
                await changer.change(ProfileChange(FIRST, 0, "the-rivals"))
                return await raised_error(
                    changer.change(ProfileChange(SECOND, 0, "change-2"))
                )

        error = asyncio.run(scenario())
        self.assertEqual(ErrorCode.REVISION_CONFLICT, error.code)
        self.assertEqual(Verdict.NOT_RUN, error.verdict)
        self.assertIn("'the-rivals'", error.message)
        self.assertIn("urgency=3", error.message)

    @parameterized.expand([("once", 1), ("three_times", 3)])
    def test_a_change_whose_reply_is_lost_is_written_once(
        self, _name: str, lost: int
    ) -> None:
        async def scenario() -> tuple[int, int]:
            store = MemoryStore()
            async with running_changer(store) as changer:
                store.faults.lose_replies = lost
                accepted = await changer.change(ProfileChange(FIRST, 0, "change-1"))
                again = await changer.change(ProfileChange(FIRST, 0, "change-1"))
                return accepted.record.revision, again.record.revision

        self.assertEqual((2, 2), asyncio.run(scenario()))

    def test_a_repeated_change_is_recognized_after_another_replaced_it(self) -> None:
        async def scenario() -> ProfileRecord:
            async with running_changer(MemoryStore()) as changer:
                first = await changer.change(ProfileChange(FIRST, 0, "change-1"))
                revision = first.record.revision
                await changer.change(ProfileChange(SECOND, revision, "the-rivals"))
                again = await changer.change(ProfileChange(FIRST, 0, "change-1"))
                return again.record

        record = asyncio.run(scenario())
        self.assertEqual(SECOND, record.profile)
        self.assertEqual(
            ["change-1", "the-rivals"], [mark.change_id for mark in record.changes]
        )

    @parameterized.expand(
        [
            ("down_before", False, ErrorCode.STORE_UNAVAILABLE, Verdict.NOT_RUN),
            (
                "down_after_the_write",
                True,
                ErrorCode.STORE_OUTCOME_UNKNOWN,
                Verdict.MAY_HAVE_RUN,
            ),
        ]
    )
    def test_an_outage_has_the_right_verdict(
        self, _name: str, is_written: bool, code: ErrorCode, verdict: Verdict
    ) -> None:
        async def scenario() -> TurmericusherError:
            store = StoreFailingAfterWrite() if is_written else MemoryStore()
            async with running_changer(store) as changer:
                store.faults.down = not is_written
                return await raised_error(
                    changer.change(ProfileChange(FIRST, 0, "change-1"))
                )

        error = asyncio.run(scenario())
        self.assertEqual((code, verdict), (error.code, error.verdict))

    def test_a_late_write_does_not_restore_a_retired_profile(self) -> None:
        async def scenario() -> tuple[ErrorCode, ErrorCode]:
            async with running_changer(MemoryStore()) as changer:
                first = await changer.change(ProfileChange(FIRST, 0, "change-1"))
                retirement = ProfileChange(
                    FIRST, first.record.revision, "change-2", retire=True
                )
                await changer.change(retirement)
                late = changer.change(ProfileChange(FIRST, 0, "late-write"))
                return (await raised_error(late)).code, lookup_error_code(
                    changer.table, "sheets"
                )

        self.assertEqual(
            (ErrorCode.REVISION_CONFLICT, ErrorCode.PROFILE_RETIRED),
            asyncio.run(scenario()),
        )

    def test_a_stored_change_that_no_majority_holds_is_not_accepted(self) -> None:
        async def held_by_few(revision: int, _limit_s: float) -> RolloutStatus:
            known = [InstanceRevision(f"e{n}", "d1", n, 0.0) for n in range(3)]
            return rollout_status(revision, known)

        async def scenario() -> TurmericusherError:
            async with running_changer(MemoryStore()) as changer:
                changer.wait_for_majority = held_by_few
                return await raised_error(
                    changer.change(ProfileChange(FIRST, 0, "change-1"))
                )

        error = asyncio.run(scenario())
        self.assertEqual(Verdict.MAY_HAVE_RUN, error.verdict)
        self.assertIn("change_id='change-1'", error.message)
        self.assertIn("e0, e1", error.message)


class TableTest(TestCase):
    def test_the_default_profile_exists_without_a_record(self) -> None:
        async def scenario() -> tuple[Profile, ErrorCode]:
            async with running_changer(MemoryStore()) as changer:
                await wait_until(changer.table.is_current)
                unknown = lookup_error_code(changer.table, "nobody-made-it")
                return changer.table.get("default"), unknown

        profile, code = asyncio.run(scenario())
        self.assertEqual(Profile("default"), profile)
        self.assertEqual(ErrorCode.UNKNOWN_PROFILE, code)

    def test_a_stale_instance_refuses_requests_until_it_recovers(self) -> None:
        async def scenario() -> ErrorCode:
            store = MemoryStore()
            async with running_changer(store, stale_after_s=0.3) as changer:
                table = changer.table
                await wait_until(table.is_current)
                store.faults.down = True
                await wait_until(lambda: not table.is_current())
                code = lookup_error_code(table, "default")
                store.faults.down = False
                await wait_until(table.is_current)
                return code

        self.assertEqual(ErrorCode.INSTANCE_STALE, asyncio.run(scenario()))

    def test_an_unreadable_record_disables_only_its_own_profile(self) -> None:
        async def scenario() -> tuple[ErrorCode, Profile, Profile]:
            store = MemoryStore()
            async with running_changer(store) as changer:
                table = changer.table
                await changer.change(ProfileChange(FIRST, 0, "change-1"))
                key = table.profile_key("sheets")
                store.write(key, b"{}")
                await wait_until(lambda: "sheets" in table.rollout.unreadable)
                code = lookup_error_code(table, "sheets")
                default = table.get("default")
                store.write(key, encode_record(ProfileRecord(SECOND, 0)))
                await wait_until(lambda: "sheets" not in table.rollout.unreadable)
                return code, default, table.get("sheets")

        self.assertEqual(
            (ErrorCode.INSTANCE_STALE, Profile("default"), SECOND),
            asyncio.run(scenario()),
        )

    def test_a_lower_revision_never_replaces_a_higher_one(self) -> None:
        table = ProfileTable("/t/fleet/", 10.0)
        newer = ProfileRecord(SECOND, 9)
        table.rollout.apply(newer)
        for revision in (1, 8, 9):
            table.rollout.apply(replace(newer, profile=FIRST, revision=revision))
        self.assertEqual(SECOND, table.rollout.lookup("sheets"))


class DecisionTest(TestCase):
    def test_a_change_too_old_to_be_listed_may_have_run(self) -> None:
        record = None
        for number in range(MAX_RECENT_CHANGES + 2):
            expected = record.revision if record is not None else 0
            plan = plan_change(record, ProfileChange(FIRST, expected, f"c-{number}"))
            assert isinstance(plan, WriteRecord)
            record = replace(plan.record, revision=number + 1)
        verdicts = [
            self.assertRaises(
                ConflictError, plan_change, record, ProfileChange(SECOND, expected, "x")
            ).verdict
            for expected in (0, 1, 2, 3, MAX_RECENT_CHANGES)
        ]
        unknown, not_run = Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN
        self.assertEqual([unknown, unknown, not_run, not_run, not_run], verdicts)

    def test_a_truncated_answer_is_continued_until_all_records_arrive(self) -> None:
        full, empty = Rollout(), Rollout()
        records = [
            ProfileRecord(Profile(f"p{number}"), number) for number in range(1, 8)
        ]
        full.apply_read(records, 5.0)
        for _ in range(4):
            empty.apply_peer_records(full.records_above(empty.cursor, 6.0, 2), 6.0)
        self.assertEqual(full.records, empty.records)
        self.assertEqual(7, empty.cursor)

    def test_a_record_that_a_peer_cannot_read_is_not_skipped(self) -> None:
        full, empty = Rollout(), Rollout()
        full.apply_read([ProfileRecord(FIRST, 3)], 5.0)
        full.apply_unreadable("drafts", 2)
        self.assertFalse(empty.apply_peer_records(full.records_above(0, 6.0, 64), 6.0))
        self.assertEqual(1, empty.cursor)
        self.assertIsNone(empty.fresh_as_of)
