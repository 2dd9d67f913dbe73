"""Claims: the replies to commands on pages, and races of pauses, deaths and sweeps."""

from __future__ import annotations

from parameterized import parameterized
from testtools import TestCase

from tests.common.call_fixtures import KEY_AGES, key_created_at
from tests.common.claim_simulation import CLOCK_SKEW_S, RETENTION_S, ClaimSimulation
from tests.common.gated_ports import Fault, Step
from turmericusher.decisions.claim_pages import (
    FLOOR_KEY,
    MAX_BYTES_WITH_OUTCOMES,
    MAX_OUTCOME_BYTES,
    RECORD_BYTES,
    ClaimFloor,
    ClaimPage,
    ClaimState,
    decode_floor,
    decode_page,
    encode_page,
)
from turmericusher.decisions.claims import (
    AcquireClaim,
    ClaimCommand,
    RecordOutcome,
    ReleaseClaim,
    ReplyKind,
    apply_command,
)
from turmericusher.decisions.idempotency_keys import (
    ClaimLayout,
    KeyAgeLimits,
    last_deletable_window,
    page_for_key,
    parse_key,
)
from turmericusher.decisions.page_owners import SUSPECT_EXPIRY_S, ShardOwners
from turmericusher.errors import ErrorCode, RequestRefusedError, Verdict
from turmericusher.tasks.calls import ANSWER_GRACE_S
from turmericusher.tasks.claimed import ClaimRequest, HeldClaim

KEY = key_created_at(1_700_000_000)
BODY = "b1"


def acquire(attempt: str, number: int = 0, body: str = BODY) -> AcquireClaim:
    return AcquireClaim(KEY, attempt, number, body, 5_000)


def release(attempt: str, number: int = 0, body: str = BODY) -> ReleaseClaim:
    return ReleaseClaim(KEY, attempt, number, body)


def record_outcome(
    attempt: str, state: ClaimState = ClaimState.ANSWERED
) -> RecordOutcome:
    return RecordOutcome(KEY, attempt, state, "answer")


class CommandTest(TestCase):
    @parameterized.expand(
        [
            ("first", [], acquire("a"), ReplyKind.GRANTED),
            (
                "again_by_the_same_attempt",
                [acquire("a")],
                acquire("a"),
                ReplyKind.GRANTED,
            ),
            ("by_another_attempt", [acquire("a")], acquire("b"), ReplyKind.HELD),
            (
                "after_answer",
                [acquire("a"), record_outcome("a")],
                acquire("b"),
                ReplyKind.HELD,
            ),
            (
                "after_release",
                [acquire("a"), release("a")],
                acquire("b"),
                ReplyKind.GRANTED,
            ),
            (
                "released",
                [acquire("a"), release("a")],
                acquire("a"),
                ReplyKind.SUPERSEDED,
            ),
            ("copy_after_release", [release("a")], acquire("a"), ReplyKind.SUPERSEDED),
            ("below_fence", [release("b", 2)], acquire("a", 1), ReplyKind.SUPERSEDED),
            ("above_fence", [release("b", 2)], acquire("c", 3), ReplyKind.GRANTED),
            ("other_body", [acquire("a")], acquire("b", 0, "b2"), ReplyKind.KEY_REUSED),
            (
                "other_body_released",
                [acquire("a"), release("a"), release("b", 0, "b2")],
                acquire("c"),
                ReplyKind.GRANTED,
            ),
            (
                "outcome_after_release",
                [acquire("a"), release("a"), record_outcome("a")],
                acquire("b"),
                ReplyKind.GRANTED,
            ),
            (
                "release_by_another_attempt",
                [acquire("a"), release("b")],
                acquire("b"),
                ReplyKind.HELD,
            ),
            (
                "outcome_of_another_attempt",
                [acquire("a"), record_outcome("b")],
                acquire("a"),
                ReplyKind.GRANTED,
            ),
            (
                "released_twice",
                [release("a"), release("b"), acquire("c")],
                acquire("a"),
                ReplyKind.HELD,
            ),
        ]
    )
    def test_the_reply_to_a_claim_follows_from_earlier_commands(
        self,
        _name: str,
        earlier_commands: list[ClaimCommand],
        command: AcquireClaim,
        expected: ReplyKind,
    ) -> None:
        page = ClaimPage()
        for earlier_command in earlier_commands:
            apply_command(earlier_command, page)
        self.assertEqual(expected, apply_command(command, page).kind)
        self.assertEqual(expected, apply_command(command, page).kind)
        self.assertEqual(page.records, decode_page(encode_page(page)).records)

    def test_a_page_stays_below_the_size_limit_of_a_value(self) -> None:
        page = ClaimPage()
        outcome = '"' * MAX_OUTCOME_BYTES
        kinds = set()
        for number in range(2_500):
            key = f"{KEY}{number:08}"
            attempt = f"{number:024}"
            acquire_command = AcquireClaim(key, attempt, 0, "f" * 32, 1_700_000_000_000)
            kinds.add(apply_command(acquire_command, page).kind)
            state = ClaimState.ANSWERED
            apply_command(RecordOutcome(key, attempt, state, outcome), page)
            apply_command(ReleaseClaim(f"r{key}", attempt, 0, "f" * 32), page)
        self.assertEqual({ReplyKind.GRANTED, ReplyKind.PAGE_FULL}, kinds)
        self.assertLessEqual(
            len(encode_page(page)), MAX_BYTES_WITH_OUTCOMES + RECORD_BYTES
        )

    def test_a_window_that_may_hold_an_accepted_key_is_not_deletable(self) -> None:
        layout = ClaimLayout()
        now_ms = 1_700_000_000_000
        oldest_s = now_ms / 1000 - KEY_AGES.retention_s - KEY_AGES.clock_skew_s
        oldest = page_for_key(parse_key(key_created_at(oldest_s)), layout)
        self.assertLess(last_deletable_window(now_ms, KEY_AGES, layout), oldest.window)

    def test_a_suspected_owner_is_skipped_until_the_suspicion_expires(self) -> None:
        owners = ShardOwners()
        names = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]
        first = owners.owner(4, names, 0.0)
        assert first is not None
        owners.suspect(first, 0.0)
        self.assertNotEqual(first, owners.owner(4, names, 1.0))
        self.assertEqual(first, owners.owner(4, names, SUSPECT_EXPIRY_S))


class ClaimRaceTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.simulation = ClaimSimulation()
        self.addCleanup(self.simulation.close)
        self.simulation.start_instances()

    def test_a_page_recreated_after_its_deletion_grants_no_claim(self) -> None:
        """Test a claim that is paused before its write until its page is deleted.

        The write then creates the page again, without the record of the repeat that
        ran in between.
        """
        key = self.simulation.new_key(is_numbered=False)
        self.simulation.instances[1].gate.stop_at = Step.BEFORE_CLAIM
        paused = self.simulation.request(key, 1, "patient")
        repeat = self.simulation.request(key, 2, "patient")
        self.simulation.advance(RETENTION_S + 10)
        self.simulation.sweep(3)
        self.simulation.sweep(3)
        self.assertEqual(["claims/floor"], list(self.simulation.store.values))
        self.simulation.instances[1].gate.opened.set()
        self.simulation.run_ready()
        self.assertIsNotNone(repeat.answer)
        assert paused.error is not None
        self.assertEqual(ErrorCode.KEY_EXPIRED, paused.error.code)
        self.assertEqual(Verdict.MAY_HAVE_RUN, paused.error.verdict)
        self.simulation.run_ready()
        self.assertEqual(["claims/floor"], list(self.simulation.store.values))

    def test_no_claim_joins_a_recreated_page_before_the_floor_was_read(self) -> None:
        """Test a claim that finds a page written after its deletion.

        The page was created again by a paused instance that has not yet read the claim
        floor, below which no claim is accepted, and misses the record of the call that
        ran.
        """
        key = self.simulation.new_key(is_numbered=False)
        for number in (1, 3):
            self.simulation.instances[number].gate.stop_at = Step.BEFORE_CLAIM
        self.simulation.request(key, 1, "patient")
        self.simulation.request(key, 3, "patient")
        self.simulation.request(key, 2, "patient")
        self.simulation.advance(RETENTION_S + 10)
        self.simulation.sweep(2)
        self.simulation.sweep(2)
        self.simulation.instances[1].gate.stop_at = Step.CLAIM_COMMITTED
        self.simulation.instances[1].gate.opened.set()
        self.simulation.run_ready()
        self.simulation.instances[3].gate.opened.set()
        self.simulation.run_ready()
        self.assertEqual(1, key.runs)

    def test_a_claim_written_after_its_not_run_verdict_never_runs(self) -> None:
        """Test a claim whose write reaches the store after its caller's `not_run`.

        The store refuses everything in between, so that the release is not written
        either. The repeat must run, and the late claim must not be sent.
        """
        key = self.simulation.new_key(is_numbered=True)
        self.simulation.instances[1].gate.faults[:] = [Fault.LATE, *[Fault.REFUSE] * 30]
        refused = self.simulation.request(key, 1)
        self.simulation.advance(2.1)
        self.assertTrue(refused.was_told_not_run)
        self.simulation.instances[1].gate.faults.clear()
        self.simulation.apply_late_writes()
        self.simulation.advance(1.0)
        repeat = self.simulation.request(key, 2)
        self.simulation.advance(1.0)
        self.assertIsNotNone(repeat.answer)
        self.assertEqual(0, refused.runs)

    def test_a_repeat_is_not_told_not_run_while_the_store_is_down(self) -> None:
        for is_numbered in (False, True):
            key = self.simulation.new_key(is_numbered)
            self.simulation.request(key, 1)
            self.simulation.advance(0.3)
            self.simulation.store.faults.down = True
            repeat = self.simulation.request(key, 2)
            self.simulation.advance(2.1)
            self.simulation.store.faults.down = False
            assert repeat.error is not None
            self.assertEqual(Verdict.MAY_HAVE_RUN, repeat.error.verdict)

    def test_a_claim_whose_holder_died_is_never_sent_again(self) -> None:
        """Test a holder that dies between its claim and its send.

        Nothing ran, but no other instance can know that.
        """
        key = self.simulation.new_key(is_numbered=True)
        self.simulation.instances[1].gate.stop_at = Step.BEFORE_SEND
        self.simulation.request(key, 1)
        self.simulation.kill_instance(1)
        waiting = self.simulation.request(key, 2)
        self.simulation.advance(2.1)
        assert waiting.error is not None
        self.assertEqual(ErrorCode.REQUEST_IN_PROGRESS, waiting.error.code)
        self.assertEqual(0, key.runs)

    def test_a_repeat_after_the_holders_deadline_fails_at_once(self) -> None:
        key = self.simulation.new_key(is_numbered=True)
        self.simulation.instances[1].gate.stop_at = Step.BEFORE_SEND
        self.simulation.request(key, 1)
        self.simulation.kill_instance(1)
        self.simulation.instances[2].calls.claims.ages = KeyAgeLimits(
            1_000.0, CLOCK_SKEW_S
        )
        self.simulation.advance(2.0 + ANSWER_GRACE_S + CLOCK_SKEW_S + 0.1)
        repeat = self.simulation.request(key, 2)
        assert repeat.error is not None
        self.assertEqual(ErrorCode.ANSWER_INTERRUPTED, repeat.error.code)
        self.assertEqual(Verdict.MAY_HAVE_RUN, repeat.error.verdict)

    def test_a_repeat_of_a_call_whose_answer_was_lost_fails_at_once(self) -> None:
        key = self.simulation.new_key(is_numbered=True)
        self.simulation.instances[1].port.faults[:] = [Fault.LOSE]
        self.simulation.request(key, 1)
        self.simulation.advance(0.5)
        repeat = self.simulation.request(key, 2)
        assert repeat.error is not None
        self.assertEqual(ErrorCode.UPSTREAM_FAILED, repeat.error.code)

    def test_nothing_is_sent_after_the_deadline(self) -> None:
        async def send_late() -> None:
            now = self.simulation.loop.time()
            key = parse_key(self.simulation.new_key(is_numbered=True).text)
            HeldClaim(ClaimRequest(key, 1, BODY, now - 0.1, 1.0)).begin_send()

        error = self.assertRaises(
            RequestRefusedError, self.simulation.loop.run_until_complete, send_late()
        )
        self.assertEqual(ErrorCode.WAIT_EXCEEDED, error.code)

    def test_the_floor_is_raised_before_a_page_is_deleted(self) -> None:
        self.simulation.request(self.simulation.new_key(is_numbered=True), 1)
        self.simulation.advance(RETENTION_S + 10)
        self.simulation.sweep(3)
        floor = ClaimFloor(0, 0)
        deleted = 0
        for event in self.simulation.store.history:
            if event.key == FLOOR_KEY and event.value is not None:
                floor = decode_floor(event.value)
            elif event.value is None:
                deleted += 1
                self.assertGreater(floor.floor, int(event.key.split("/")[1]))
        self.assertEqual(1, deleted)

    def test_a_dead_owner_is_replaced_within_the_wait_of_a_request(self) -> None:
        """Test a page owner that stops answering: its peers must commit themselves."""
        key = self.simulation.new_key(is_numbered=True)
        self.simulation.instances[1].router.owner = 2
        self.simulation.instances[2].gate.opened.clear()
        request = self.simulation.request(key, 1)
        self.simulation.advance(1.0)
        self.assertIsNotNone(request.answer)

    def test_a_paused_request_that_resumes_after_a_later_not_run_never_runs(
        self,
    ) -> None:
        """Test a first request that is paused until its numbered repeat got `not_run`.

        The verdict covers all earlier requests of the key, so that the first must not
        run after it.
        """
        key = self.simulation.new_key(is_numbered=True)
        self.simulation.instances[1].gate.stop_at = Step.BEFORE_CLAIM
        early = self.simulation.request(key, 1, "patient")
        self.simulation.instances[2].port.faults[:] = [Fault.REFUSE] * 8
        later = self.simulation.request(key, 2)
        self.simulation.advance(3.0)
        self.assertTrue(later.was_told_not_run)
        self.simulation.instances[1].gate.opened.set()
        self.simulation.advance(3.0)
        self.assertEqual(0, early.runs)

    def test_many_claims_share_a_store_write(self) -> None:
        before = self.simulation.store.counts.writes
        keys = [self.simulation.new_key(is_numbered=True) for _ in range(40)]
        requests = [
            self.simulation.request(key, 1 + n % 3) for n, key in enumerate(keys)
        ]
        for instance in self.simulation.instances.values():
            instance.router.owner = 1
        more = [self.simulation.new_key(is_numbered=True) for _ in range(200)]
        requests += [
            self.simulation.request(key, 1 + n % 3) for n, key in enumerate(more)
        ]
        self.simulation.advance(3.0)
        self.assertTrue(all(request.answer for request in requests))
        self.assertLess(self.simulation.store.counts.writes - before, len(requests))
