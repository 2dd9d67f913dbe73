"""Test what becomes of ends of upstreams that nothing confirms at first."""

from __future__ import annotations

from dataclasses import replace

from parameterized import parameterized
from testtools import TestCase

from tests.common.relay_events import (
    IDEMPOTENT,
    MAY_HAVE_RUN,
    NOT_RUN,
    answered,
    failed,
    filter_by_type,
)
from tests.common.relay_fixtures import (
    make_relay_shared,
    make_test_relay,
    make_upstream,
)
from turmericusher.decisions.crash_ledger import (
    MAX_FAILED_TRIALS,
    RECORD_TTL_S,
    CrashLedger,
)
from turmericusher.decisions.open_losses import LIST_LAG_S, LOSS_EXPIRY_S
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    AttemptConnected,
    ClaimTrial,
    StartRelay,
    TrialClaimed,
)

UPSTREAMS = 3
BAD = "request-bad"


def start_call(shared, now=0.0, is_connected=True):
    """Return a call that was sent to an upstream, and the start of its attempt."""
    relay = make_test_relay(IDEMPOTENT, shared, arrived_at=now, deadline=now + 1.0)
    (start,) = relay.start(now)
    if is_connected:
        relay.handle(AttemptConnected(start.attempt, now), now)
    return relay, start


def time_out(relay, now):
    """Let the deadline of a call pass without an answer."""
    return relay.tick(now + 1.0)


def give_up(relay, now):
    """Let the caller of a call leave before its answer."""
    return relay.close(now + 0.3)


def lose(relay, now):
    """Let the connection of a call break off."""
    return relay.handle(failed(1, AttemptCause.LOST, MAY_HAVE_RUN, now), now)


def refuse(relay, now):
    """Let the upstream of a call refuse it without running it."""
    return relay.handle(failed(1, AttemptCause.OVERLOADED, NOT_RUN, now), now)


def list_without(shared, *names, now=2.0, leaving=()):
    """Let the list show all upstreams but these; those in `leaving` leave first."""
    everyone = [make_upstream(index) for index in range(UPSTREAMS)]
    for upstream in everyone:
        if upstream.name in leaving:
            shared.record_leaving(upstream, now)
    shared.update_upstreams([u for u in everyone if u.name not in names], now)


class UnansweredTest(TestCase):
    @parameterized.expand(
        [
            ("its deadline passes", time_out, True, 1),
            ("its caller leaves", give_up, True, 1),
            ("its connection is lost", lose, True, 1),
            ("it had no connection yet", time_out, False, 0),
            ("it was refused", refuse, True, 0),
        ]
    )
    def test_a_call_is_suspected_of_the_end_of_an_upstream_if(
        self, _, end, is_connected, expected
    ):
        shared = make_relay_shared(UPSTREAMS)
        relay, start = start_call(shared, is_connected=is_connected)
        end(relay, 0.0)
        list_without(shared, start.upstream.name)
        records = shared.crashes.review_losses(shared.has_crashed, 2.0)
        self.assertEqual(expected, len(records))

    def test_a_call_that_still_waits_for_an_ended_upstream_is_suspected(self):
        shared = make_relay_shared(UPSTREAMS)
        relay, start = start_call(shared)
        list_without(shared, start.upstream.name)
        relay.record_ended_upstreams(0.9)
        relay.record_ended_upstreams(1.0)
        records = shared.crashes.review_losses(shared.has_crashed, 1.0)
        self.assertEqual(1, len(records))

    @parameterized.expand(
        [
            ("it is still listed", {}, None, 0.5, 0),
            ("it said that it leaves", {"leaving": ("u0", "u1", "u2")}, None, 0.5, 0),
            ("it answered a later request", {}, 1.5, 1.5 + LIST_LAG_S, 0),
            ("it answered a later one just now", {}, 1.5, 1.6, 1),
            ("it answered an earlier request", {}, 0.5, 0.5 + LIST_LAG_S, 1),
            ("it ended long after", {}, None, LOSS_EXPIRY_S, 0),
            ("it ended soon after", {}, None, LOSS_EXPIRY_S - 1.0, 1),
        ]
    )
    def test_an_unanswered_call_ended_its_upstream_or_not_if(
        self, name, how, answered_at, ended_after_s, expected
    ):
        shared = make_relay_shared(UPSTREAMS)
        relay, start = start_call(shared)
        time_out(relay, 0.0)
        if answered_at is not None:
            shared.crashes.open_losses.record_answer(
                start.upstream, answered_at, answered_at
            )
        now = 1.0 + ended_after_s
        records = shared.crashes.review_losses(lambda upstream: False, now)
        if name != "it is still listed":
            list_without(shared, start.upstream.name, now=now, **how)
        records += shared.crashes.review_losses(shared.has_crashed, now)
        self.assertEqual(expected, len(records))

    def test_an_answer_of_the_upstream_itself_counts_as_one(self):
        shared = make_relay_shared(1)
        relay, _ = start_call(shared)
        time_out(relay, 0.0)
        other, _ = start_call(shared, 2.0)
        other.handle(answered(1, at=2.1), 2.1)
        self.assertEqual(
            [], shared.crashes.review_losses(lambda _: True, 2.1 + LIST_LAG_S)
        )

    def test_an_upstream_at_whose_address_another_one_is_listed_has_ended(self):
        shared = make_relay_shared(UPSTREAMS)
        relay, start = start_call(shared)
        time_out(relay, 0.0)
        successor = replace(make_upstream(9), address=start.upstream.address)
        shared.update_upstreams([*shared.selector.upstreams.values(), successor], 2.0)
        records = shared.crashes.review_losses(shared.has_crashed, 2.0)
        self.assertEqual([start.upstream.name], [each.upstream for each in records])

    def test_a_call_that_runs_well_elsewhere_meanwhile_is_not_suspected(self):
        shared = make_relay_shared(UPSTREAMS)
        lost, start = start_call(shared)
        time_out(lost, 0.0)
        other, again = start_call(shared, 1.5)
        other.handle(answered(again.attempt, at=1.6), 1.6)
        self.assertFalse(shared.crashes.is_suspected(lost.traits))
        list_without(shared, start.upstream.name)
        self.assertEqual([], shared.crashes.review_losses(shared.has_crashed, 2.0))


class HotRequestTest(TestCase):
    """A sound request that is in flight at all upstreams of a service at once."""

    def stall_everywhere(self, shared):
        """Let the same call be in flight at each upstream when all fall silent."""
        relays = []
        while len({start.upstream.name for _, start in relays}) < UPSTREAMS:
            relays.append(start_call(shared))
        for relay, _ in relays:
            time_out(relay, 0.0)

    def test_is_still_sent_after_all_upstreams_have_paused(self):
        shared = make_relay_shared(UPSTREAMS)
        self.stall_everywhere(shared)
        shared.crashes.review_losses(shared.has_crashed, 2.0)
        _, start = start_call(shared, 2.0)
        self.assertIsInstance(start, StartRelay)

    def test_is_tried_soon_and_then_sent_after_all_upstreams_have_ended(self):
        shared = make_relay_shared(UPSTREAMS)
        self.stall_everywhere(shared)
        shared.update_upstreams([make_upstream(7)], 2.0)
        self.assertEqual(
            UPSTREAMS, len(shared.crashes.review_losses(shared.has_crashed, 2.0))
        )
        relay = make_test_relay(IDEMPOTENT, shared, arrived_at=4.0, deadline=5.0)
        (claim,) = relay.start(4.0)
        self.assertIsInstance(claim, ClaimTrial)
        shared.crashes.merge_trial(shared.crashes.next_trial(claim.trait, 4.0), 4.0)
        (start,) = relay.handle(TrialClaimed(True), 4.0)
        relay.handle(answered(start.attempt, at=4.1), 4.1)
        relay, start = start_call(shared, 4.2)
        self.assertIsInstance(start, StartRelay)


class TrialBoundTest(TestCase):
    @parameterized.expand(
        [
            ("that each end an upstream", 6, True, MAX_FAILED_TRIALS),
            ("of which nothing comes", 1, False, 3),
        ]
    )
    def test_the_trials_of_a_request_in_hours_are_few_if_they_are(
        self, _, hours, is_confirmed, expected
    ):
        ledger = CrashLedger()
        ledger.update_instances("e0", ["e0", "e1"])
        for number in range(3):
            known = ledger.known_suspicions((BAD,))
            ledger.record_loss(make_upstream(number), (BAD,), known, 0.0)
        ledger.review_losses(lambda _: True, 0.0)
        trials = 0
        for now in range(1, int(RECORD_TTL_S * hours)):
            ledger.forget_expired(now)
            if not ledger.is_trial_due((BAD,), now):
                ledger.record_refusal(BAD, now)
                continue
            known = ledger.known_suspicions((BAD,))
            ledger.merge_trial(ledger.next_trial(BAD, now), now)
            trials += 1
            if is_confirmed:
                upstream = make_upstream(10 + trials)
                ledger.record_loss(upstream, (BAD,), known, now, True)
                ledger.review_losses(lambda _: True, now)
        self.assertEqual(expected, trials)
        self.assertTrue(ledger.is_blocked(BAD))

    def test_a_trial_that_no_upstream_has_run_is_made_by_the_next_attempt(self):
        shared = make_relay_shared(UPSTREAMS)
        relay, _ = start_call(shared)
        relay.attempts[1].is_trial = True
        actions = relay.handle(failed(1, AttemptCause.UNREACHABLE, NOT_RUN), 0.3)
        (start,) = filter_by_type(actions, StartRelay)
        self.assertTrue(relay.attempts[start.attempt].is_trial)

    def test_a_suspected_call_is_not_hedged(self):
        shared = make_relay_shared(UPSTREAMS)
        relay, _ = start_call(shared)
        time_out(relay, 0.0)
        relay, _ = start_call(shared, 1.1)
        self.assertEqual([], relay.tick(relay.hedge_due_at()))
