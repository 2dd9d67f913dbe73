"""Test that requests that crash upstreams are refused, and no other requests."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable

from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from tests.common.engines import (
    ANSWER_LENGTH,
    PROMPT,
    FakeEngines,
    make_engines,
    make_request,
    unbroken_tokens,
)
from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.placement import place_attempt
from turmericusher.decisions.selection import PickRequest, Selector
from turmericusher.decisions.suspicion import (
    ALIVE_GRACE_S,
    CRASH_REPORT_TTL_S,
    DOMAIN_LOSS_WINDOW_S,
    MAX_CRASHES,
    MAX_DEATHS,
    DeathKey,
    SuspicionLedger,
    merge_crash_reports,
    newest_crash_reports,
)
from turmericusher.errors import ErrorCode, TurmericusherError, Verdict
from turmericusher.profiles import Profile
from turmericusher.tasks.generation import (
    GenerationContext,
    make_generation_context,
    open_generation,
)

ENGINES = make_engines(12, domains=3)
DOMAIN_SIZE = 4
LONG_AGO = float("-inf")


def key_of(engine: UpstreamInstance) -> DeathKey:
    return DeathKey(engine.name, engine.incarnation)


def charge_all(
    ledger: SuspicionLedger,
    fingerprint: str,
    engines: Iterable[UpstreamInstance],
    apart_s: float = 10.0,
    is_stall: bool = False,
) -> float:
    """Let engines die one after the other under a fingerprint.

    Return the time of the last death.
    """
    now = 100.0
    for engine in engines:
        now += apart_s
        ledger.report_crash(fingerprint, engine, DOMAIN_SIZE, now, is_stall)
    return now


class LedgerTest(TestCase):
    @parameterized.expand([(kills,) for kills in range(MAX_CRASHES + 1)])
    def test_the_limit_is_reached_by_the_third_death(self, kills: int) -> None:
        ledger = SuspicionLedger()
        now = charge_all(ledger, "crashing", ENGINES[:kills])
        self.assertEqual(kills >= MAX_CRASHES, ledger.is_refused("crashing", now))
        self.assertEqual(
            kills >= MAX_CRASHES - 1, ledger.must_run_alone("crashing", now)
        )
        expected = (
            CRASH_REPORT_TTL_S - 10.0 * (MAX_CRASHES - 1) if kills >= MAX_CRASHES else 0
        )
        self.assertEqual(expected, ledger.retry_after_s("crashing", now))

    def test_one_death_told_twice_counts_once(self) -> None:
        ledger = SuspicionLedger()
        now = charge_all(ledger, "crashing", ENGINES[:1] * 5, apart_s=0.0)
        self.assertEqual(1, len(ledger.counted_deaths("crashing", now)))

    def test_charges_expire(self) -> None:
        ledger = SuspicionLedger()
        now = charge_all(ledger, "crashing", ENGINES[:3])
        self.assertFalse(ledger.is_refused("crashing", now + CRASH_REPORT_TTL_S))
        ledger.expire_deaths(now + CRASH_REPORT_TTL_S)
        self.assertEqual({}, ledger.deaths_by_fingerprint)

    def test_a_lost_domain_convicts_nobody(self) -> None:
        ledger = SuspicionLedger()
        domain = [e for e in ENGINES if e.failure_domain == "domain-0"]
        for number, engine in enumerate(domain):
            ledger.report_crash(
                f"harmless-{number}", engine, DOMAIN_SIZE, 100.0 + number / 2
            )
        for number in range(len(domain)):
            self.assertEqual([], ledger.counted_deaths(f"harmless-{number}", 102.0))

    def test_copies_of_one_request_do_not_pass_for_a_lost_domain(self) -> None:
        ledger = SuspicionLedger()
        domain = [e for e in ENGINES if e.failure_domain == "domain-0"]
        now = charge_all(ledger, "crashing", domain[:3], apart_s=0.01)
        self.assertTrue(ledger.is_refused("crashing", now))

    def test_deaths_far_apart_in_time_are_no_lost_domain(self) -> None:
        ledger = SuspicionLedger()
        for number in (0, 3, 6):
            now = 100.0 + number * DOMAIN_LOSS_WINDOW_S
            ledger.report_crash("crashing", ENGINES[number], DOMAIN_SIZE, now)
        self.assertTrue(ledger.is_refused("crashing", now))

    @parameterized.expand(
        [
            ("a_stream_that_lived_through_it", 50.0, False, True),
            ("the_engine_itself", LONG_AGO, False, True),
            ("a_later_stream_after_a_stall", 200.0, True, True),
            ("a_later_stream_after_a_death", 200.0, False, False),
        ]
    )
    def test_a_partition_is_uncharged_by(
        self, name: str, since: float, is_stall: bool, clears: bool
    ) -> None:
        ledger = SuspicionLedger()
        now = charge_all(ledger, "harmless", ENGINES[:1], is_stall=is_stall)
        key = key_of(ENGINES[0])
        ledger.clear_if_alive(key, since, now + ALIVE_GRACE_S)
        self.assertEqual(not clears, key in ledger.deaths)

    def test_a_piece_sent_before_a_death_is_no_sign_of_life(self) -> None:
        ledger = SuspicionLedger()
        now = charge_all(ledger, "crashing", ENGINES[:1])
        ledger.clear_if_alive(key_of(ENGINES[0]), LONG_AGO, now + ALIVE_GRACE_S / 2)
        self.assertEqual(1, len(ledger.counted_deaths("crashing", now)))

    def test_a_cleared_death_does_not_come_back_from_a_peer(self) -> None:
        ledger, peer = SuspicionLedger(), SuspicionLedger()
        now = charge_all(peer, "harmless", ENGINES[:1])
        merge_crash_reports(ledger, newest_crash_reports(peer, now, 10), now)
        ledger.clear_if_alive(key_of(ENGINES[0]), LONG_AGO, now + 1.0)
        merge_crash_reports(
            ledger, newest_crash_reports(peer, now + 2.0, 10), now + 2.0
        )
        self.assertEqual({}, ledger.deaths_by_fingerprint)

    def test_silences_alone_convict_nobody(self) -> None:
        ledger = SuspicionLedger()
        now = charge_all(ledger, "slow", ENGINES[:8], is_stall=True)
        self.assertFalse(ledger.is_suspect("slow", now))

    def test_silences_leave_every_engine_open_to_the_request(self) -> None:
        ledger = SuspicionLedger()
        now = charge_all(ledger, "slow", ENGINES, apart_s=0.1, is_stall=True)
        selector = Selector(random.Random(1))
        selector.update(ENGINES)
        wanted = PickRequest("drafts", "model")
        self.assertIsNotNone(place_attempt(selector, ledger, wanted, "slow", now))

    def test_a_silent_engine_that_was_replaced_counts(self) -> None:
        ledger = SuspicionLedger()
        now = charge_all(ledger, "crashing", ENGINES[:3], is_stall=True)
        for engine in ENGINES[:3]:
            ledger.confirm_death(key_of(engine))
        self.assertTrue(ledger.is_refused("crashing", now))

    def test_the_victims_of_a_convicted_request_are_cleared(self) -> None:
        ledger = SuspicionLedger()
        charge_all(ledger, "victim", ENGINES[:2])
        now = charge_all(ledger, "crashing", ENGINES[:3])
        self.assertEqual([], ledger.counted_deaths("victim", now))
        self.assertTrue(ledger.is_refused("crashing", now))

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 11)), max_size=12))
    def test_peers_agree_after_an_exchange(
        self, charges: list[tuple[str, int]]
    ) -> None:
        one, two = SuspicionLedger(), SuspicionLedger()
        for number, (fingerprint, engine) in enumerate(charges):
            ledger = (one, two)[number % 2]
            ledger.report_crash(
                fingerprint, ENGINES[engine], DOMAIN_SIZE, 100.0 + number
            )
        merge_crash_reports(one, newest_crash_reports(two, 200.0, 1000), 200.0)
        merge_crash_reports(two, newest_crash_reports(one, 200.0, 1000), 200.0)
        for fingerprint in "abc":
            self.assertEqual(
                one.deaths_by_fingerprint.get(fingerprint),
                two.deaths_by_fingerprint.get(fingerprint),
            )

    def test_the_ledger_is_bounded(self) -> None:
        ledger = SuspicionLedger()
        for number in range(MAX_DEATHS + 20):
            engine = make_engines(1)[0]
            key = DeathKey(engine.name, str(number))
            named = UpstreamInstance(
                key.upstream, "s", engine.kind, "", "d", key.incarnation
            )
            ledger.report_crash(f"f{number}", named, 1000, 100.0 + number / 100)
        self.assertEqual(MAX_DEATHS, len(ledger.deaths))
        self.assertEqual(MAX_DEATHS, len(ledger.deaths_by_fingerprint))


def make_context(engines: FakeEngines, seed: int) -> GenerationContext:
    selector = Selector(random.Random(seed))
    selector.update(ENGINES)
    return make_generation_context(engines, selector, seed=seed)


async def answer(context: GenerationContext, fingerprint: str, kill_at: int) -> object:
    """Return the answer's tokens, or the error that ended it."""
    parameters = {"kill_at": kill_at} if kill_at >= 0 else {}
    request = make_request(
        Profile(name="p"), fingerprint=fingerprint, parameters=parameters
    )
    try:
        async with open_generation(context, request) as pieces:
            return [token async for piece in pieces for token in piece.token_ids]
    except TurmericusherError as error:
        return error


async def share(contexts: list[GenerationContext]) -> None:
    """Exchange crash reports as peers do."""
    for one in contexts:
        charges = newest_crash_reports(one.suspicion, one.clock(), 1000)
        for other in contexts:
            merge_crash_reports(other.suspicion, charges, other.clock())


class KillingRequestTest(TestCase):
    @parameterized.expand([("prompt", 0), ("mid_stream", 9)])
    def test_a_killer_gets_three_engines_and_innocents_whole_answers(
        self, name: str, kill_at: int
    ) -> None:
        engines = FakeEngines(gap_s=0.001)
        asyncio.run(self.run_batch(engines, kill_at))
        self.assertEqual(MAX_CRASHES, len(engines.dead))
        self.assertEqual(0, engines.open_streams)

    async def run_batch(self, engines: FakeEngines, kill_at: int) -> None:
        context = make_context(engines, seed=1)
        innocents = [
            asyncio.create_task(answer(context, f"harmless-{number}", -1))
            for number in range(60)
        ]
        killed = await answer(context, "crashing", kill_at)
        self.assert_convicted(killed, Verdict.MAY_HAVE_RUN)
        expected = unbroken_tokens(PROMPT, ANSWER_LENGTH)
        for tokens in await asyncio.gather(*innocents):
            self.assertEqual(expected, tokens)

    def assert_convicted(self, error: object, verdict: Verdict) -> None:
        assert isinstance(error, TurmericusherError), error
        self.assertIs(ErrorCode.REQUEST_KILLS_UPSTREAMS, error.code)
        self.assertIs(verdict, error.verdict)
        assert error.retry_after_s is not None
        self.assertTrue(0 < error.retry_after_s <= CRASH_REPORT_TTL_S)

    def test_repeats_at_other_instances_kill_no_further_engine(self) -> None:
        engines = FakeEngines()

        async def repeat() -> None:
            contexts = [make_context(engines, seed) for seed in range(4)]
            for context in contexts * 2:
                await answer(context, "crashing", 3)
                await share(contexts)
            for context in contexts:
                error = await answer(context, "crashing", 3)
                self.assert_convicted(error, Verdict.NOT_RUN)

        asyncio.run(repeat())
        self.assertEqual(MAX_CRASHES, len(engines.dead))

    def test_copies_at_once_kill_no_further_engine(self) -> None:
        engines = FakeEngines(gap_s=0.001)

        async def repeat() -> None:
            context = make_context(engines, seed=1)
            copies = [answer(context, "crashing", 5) for _ in range(20)]
            for error in await asyncio.gather(*copies):
                self.assertIsInstance(error, TurmericusherError)

        asyncio.run(repeat())
        self.assertEqual(MAX_CRASHES, len(engines.dead))
