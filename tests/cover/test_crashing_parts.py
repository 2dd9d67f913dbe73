"""Test that parts of prompts that crash upstreams are found and no longer sent."""

from __future__ import annotations

import asyncio
import math
import re
import time
from dataclasses import replace
from pathlib import Path

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.crash_fixtures import (
    BAD_PART,
    make_blocked_shared,
    running_another_instance,
    running_crash_simulation,
)
from tests.common.relay_events import (
    IDEMPOTENT,
    MAY_HAVE_RUN,
    NON_IDEMPOTENT,
    NOT_RUN,
    RESUMABLE,
    event,
    failed,
    filter_by_type,
    make_upstream_report,
)
from tests.common.relay_fixtures import (
    SERVICE,
    make_relay_shared,
    make_test_relay,
    running_relay_simulation,
    start_taken_up,
)
from tests.common.waiting import wait_until
from turmericusher.decisions.crash_records import (
    TrialRecord,
    request_traits,
)
from turmericusher.decisions.generation_messages import CancelAttempt, Fail
from turmericusher.decisions.open_losses import EndState
from turmericusher.decisions.placing import relay_placing
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    BreakStream,
    ClaimTrial,
    LoadsReported,
    QueryLoads,
    StartRelay,
    StreamFinished,
    TraitBlocked,
    TrialClaimed,
)
from turmericusher.errors import ErrorCode
from turmericusher.platform.codec import parse_prompt_parts

FIRST, BAD, SOUND = "f0f0f0f0", BAD_PART, "50545054"
SETTLE_S = 3.0
"""Seconds after the fifth crash from which on the part must be known."""

MAX_LATE_SENDS = 3
TRAFFIC_S = 9.0
REQUEST_INTERVAL_S = 0.15


class PromptPartsTest(TestCase):
    @parameterized.expand(
        [
            ("three parts", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", 3),
            ("one part", "5c1e07a2:800", 1),
            ("spaces", " 5c1e07a2:800 , 91bd3f06:410", 2),
            ("upper case", "5C1E07A2:800,91bd3f06:410", 2),
            ("no header", None, 0),
            ("empty", "", 0),
            ("an entry without tokens", "5c1e07a2,91bd3f06:410", 0),
            ("an entry without an id", ":800,91bd3f06:410", 0),
            ("tokens that are no number", "5c1e07a2:many,91bd3f06:410", 0),
            ("an id that is no number", "../../config:9,91bd3f06:410", 0),
            ("an id that is too long", f"{'5' * 65}:9,91bd3f06:410", 0),
        ]
    )
    def test_the_parts_of_a_prompt_are_those_of_a_header_with(self, _, header, count):
        expected = ("5c1e07a2", "91bd3f06", "e4402b7d")[:count]
        self.assertEqual(expected, parse_prompt_parts(header))


class CrashingPartTest(TestCase):
    @run_async
    async def test_requests_with_a_part_that_crashes_upstreams_stop_reaching_them(self):
        async with running_crash_simulation(
            events=10,
            event_gap_s=0.15,
            first_event_s=0.1,
            crashing_parts=frozenset({BAD}),
        ) as simulation:
            sent_late = 0
            sound_calls = []
            ends_at = time.monotonic() + TRAFFIC_S
            async with asyncio.TaskGroup() as tasks:
                while (now := time.monotonic()) < ends_at:
                    number = simulation.request_count
                    middle = BAD if number % 3 == 0 else SOUND
                    call = simulation.call(number % 3, FIRST, middle)
                    task = tasks.create_task(call)
                    if middle == SOUND and now > ends_at - TRAFFIC_S / 3:
                        sound_calls.append(task)
                    received = len(simulation.received(BAD))
                    await asyncio.sleep(REQUEST_INTERVAL_S)
                    fifth_crash_at = (*simulation.crash_times, *[math.inf] * 5)[4]
                    if now - fifth_crash_at > SETTLE_S:
                        sent_late += len(simulation.received(BAD)) - received
            self.assertLessEqual(sent_late, MAX_LATE_SENDS)
            served = sum(task.result().is_whole for task in sound_calls)
            self.assertGreater(served, len(sound_calls) / 2)


def make_bad_relay(shared, kind=RESUMABLE, **options):
    """Return the relay of a request with the part `BAD`."""
    relay = make_test_relay(kind, shared, **options)
    relay.request = replace(relay.request, prompt_parts=(FIRST, BAD, "0"))
    relay.traits = request_traits(relay.request)
    return relay


def block(relay):
    """Let the instance of a relay learn that the part `BAD` crashes upstreams."""
    relay.shared.crashes = make_blocked_shared().crashes


def run_then_block(kind=RESUMABLE, events=0, cause=None, **options):
    """Return the actions after the loss of an attempt of a request now blocked."""
    relay = make_bad_relay(make_relay_shared(), kind, **options)
    relay.start(0.0)
    for number in range(1, events + 1):
        relay.handle(event(1, number), 0.1)
    block(relay)
    return relay.handle(failed(1, cause or AttemptCause.LOST, MAY_HAVE_RUN), 0.2)


def start_blocked(kind=RESUMABLE, **options):
    """Return the actions with which a request that is blocked on arrival starts."""
    return start_taken_up(make_bad_relay(make_blocked_shared(), kind, **options), 0.1)


def hedge_then_block():
    """Return the actions of a late call that is blocked before its hedge."""
    relay = make_bad_relay(make_relay_shared(), IDEMPOTENT)
    relay.start(0.0)
    block(relay)
    return relay.tick(relay.hedge_due_at())


def place_then_block():
    """Return the actions of a stream that is blocked while loads are queried."""
    relay = make_bad_relay(make_relay_shared(), reports_load=True)
    (query,) = relay.start(0.0)
    block(relay)
    reports = {each.name: make_upstream_report() for each in query.candidates}
    return relay.handle(LoadsReported(0.1, reports), 0.1)


def wait_then_block():
    """Return the actions of a stream that is blocked during a pause before a retry."""
    relay = make_bad_relay(make_relay_shared(), target_latency_s=9.0)
    (start,) = relay.start(0.0)
    for _ in range(2):
        lost = failed(start.attempt, AttemptCause.LOST, MAY_HAVE_RUN)
        (start,) = filter_by_type(relay.handle(lost, 0.1), StartRelay)
    relay.handle(failed(start.attempt, AttemptCause.LOST, MAY_HAVE_RUN), 0.1)
    block(relay)
    return relay.tick(relay.wake_at())


class SendPathTest(TestCase):
    @parameterized.expand(
        [
            ("first", start_blocked),
            ("call", lambda: start_blocked(NON_IDEMPOTENT)),
            ("resume by the client", lambda: start_blocked(resume_after=3)),
            ("placed by load", lambda: start_blocked(reports_load=True)),
            ("repeat", run_then_block),
            ("repeat of a call", lambda: run_then_block(IDEMPOTENT)),
            ("resume from a copy", lambda: run_then_block(events=1)),
            (
                "resume after a malformed event",
                lambda: run_then_block(events=1, cause=AttemptCause.MALFORMED),
            ),
            ("repeat after a pause", wait_then_block),
            ("placed by load, blocked meanwhile", place_then_block),
        ]
    )
    def test_no_path_sends_a_request_with_a_blocked_part(self, _, act):
        actions = act()
        self.assertEqual([], filter_by_type(actions, StartRelay | QueryLoads))
        (end,) = filter_by_type(actions, Fail | BreakStream)
        if isinstance(end, Fail):
            self.assertEqual(ErrorCode.REQUEST_KILLS_UPSTREAMS, end.code)

    def test_a_late_call_with_a_blocked_part_is_not_sent_twice_and_goes_on(self):
        self.assertEqual([], hedge_then_block())

    def test_every_attempt_is_started_at_the_one_place_that_asks_for_blocks(self):
        source = Path(relay_placing.__file__).parents[1]
        starts = [
            path.name
            for path in source.rglob("*.py")
            for line in path.read_text().splitlines()
            if re.search(r"(?<!class )\bStartRelay\($", line.rstrip())
        ]
        self.assertEqual(["relay_starting.py"], starts)

    @parameterized.expand([("before an event", 0, True), ("after an event", 1, False)])
    def test_a_running_attempt_is_ended_when_its_part_becomes_blocked(
        self, _, events, is_ended
    ):
        relay = make_bad_relay(make_relay_shared())
        relay.start(0.0)
        for number in range(1, events + 1):
            relay.handle(event(1, number), 0.1)
        block(relay)
        actions = relay.handle(TraitBlocked(), 0.2)
        self.assertEqual(is_ended, relay.is_over)
        self.assertEqual(is_ended, bool(filter_by_type(actions, CancelAttempt)))
        for end in filter_by_type(actions, Fail):
            self.assertEqual(MAY_HAVE_RUN, end.verdict)

    def test_a_refused_request_has_not_run_and_is_told_when_to_come_back(self):
        (refusal,) = start_blocked()
        self.assertEqual(NOT_RUN, refusal.verdict)
        self.assertGreater(refusal.retry_after_s, 0.0)

    @parameterized.expand([("granted", True), ("not granted", False)])
    def test_one_request_tries_a_blocked_part_when_a_trial_is_due(self, _, is_granted):
        relay = make_bad_relay(make_blocked_shared(is_due=True))
        (claim,) = relay.start(0.1)
        self.assertIsInstance(claim, ClaimTrial)
        self.assertEqual(f"part-{BAD}", claim.trait)
        actions = relay.handle(TrialClaimed(is_granted), 0.2)
        self.assertEqual(is_granted, bool(filter_by_type(actions, StartRelay)))
        if is_granted:
            relay.shared.crashes.merge_trial(TrialRecord(f"part-{BAD}", 1), 0.2)
            self.assertFalse(relay.end_is_due())
            lost = failed(1, AttemptCause.LOST, MAY_HAVE_RUN, 0.3)
            actions = relay.handle(lost, 0.3)
        (end,) = filter_by_type(actions, Fail)
        self.assertEqual(ErrorCode.REQUEST_KILLS_UPSTREAMS, end.code)

    def test_a_call_in_flight_is_not_broken_off_when_it_becomes_blocked(self):
        relay = make_bad_relay(make_relay_shared(), NON_IDEMPOTENT)
        relay.start(0.0)
        block(relay)
        self.assertEqual([], relay.handle(TraitBlocked(), 0.2))

    def test_a_stream_that_ends_at_once_does_not_show_that_its_parts_are_sound(self):
        relay = make_bad_relay(make_relay_shared())
        relay.start(0.0)
        relay.handle(event(1, 1), 0.1)
        relay.handle(StreamFinished(1, 0.1), 0.1)
        self.assertEqual({}, relay.shared.crashes.sound_at)

    def test_recover_a_short_stream_with_an_end_of_its_own_shows_that_they_are(self):
        shared = make_blocked_shared(is_due=True)
        relay = make_bad_relay(shared)
        relay.start(0.1)
        relay.handle(TrialClaimed(True), 0.2)
        relay.handle(event(1, 1, at=0.3), 0.3)
        relay.handle(StreamFinished(1, 0.4, has_own_end=True), 0.4)
        self.assertIn(f"part-{BAD}", shared.crashes.sound_at)
        (start,) = make_bad_relay(shared).start(0.5)
        self.assertIsInstance(start, StartRelay)

    def test_a_trial_that_runs_well_frees_the_part(self):
        shared = make_blocked_shared(is_due=True)
        relay = make_bad_relay(shared)
        relay.start(0.1)
        relay.handle(TrialClaimed(True), 0.2)
        for number in range(1, 4):
            relay.handle(event(1, number, at=float(number)), float(number))
        (start,) = make_bad_relay(shared).start(4.0)
        self.assertIsInstance(start, StartRelay)

    @parameterized.expand(
        [
            ("before its first event", None, 0.5, True),
            ("just after it", 0.5, 0.6, True),
            ("well after it", 0.5, 1.6, False),
        ]
    )
    def test_a_lost_attempt_suspects_its_request_if_that_had_just_begun(
        self, _, first_event_at, lost_at, is_suspected
    ):
        shared = make_relay_shared()
        relay = make_bad_relay(shared)
        relay.start(0.0)
        if first_event_at is not None:
            relay.handle(event(1, 1, at=first_event_at), first_event_at)
            relay.handle(event(1, 2, at=lost_at), lost_at)
        lost = failed(1, AttemptCause.LOST, MAY_HAVE_RUN, at=lost_at)
        relay.handle(lost, lost_at)
        self.assertEqual(is_suspected, bool(shared.crashes.unchecked_losses()))

    def test_a_suspected_request_is_no_sign_that_its_service_is_down(self):
        shared = make_relay_shared()
        relay = make_bad_relay(shared, target_latency_s=9.0)
        (start,) = relay.start(0.0)
        for _ in range(3):
            lost = failed(start.attempt, AttemptCause.LOST, MAY_HAVE_RUN, at=0.1)
            starts = filter_by_type(relay.handle(lost, 0.1), StartRelay)
            start = starts[0] if starts else start
        self.assertEqual(1, shared.budget_for(SERVICE).failures_in_a_row)


class EndedUpstreamTest(TestCase):
    @parameterized.expand(
        [
            ("running", "1700000000000", True, EndState.RUNNING),
            ("another incarnation", "1700000000001", True, EndState.ENDED),
            ("not listening", "1700000000000", False, EndState.ENDED),
        ]
    )
    @run_async
    async def test_an_upstream_has_ended_if_it_is(
        self, _, incarnation, is_listening, expected
    ):
        async with running_relay_simulation(upstreams=1) as simulation:
            (standin,) = simulation.upstreams
            standin.report = replace(standin.report, incarnation=incarnation)
            if not is_listening:
                standin.crash()
            upstream = simulation.node.fleet.upstreams.entries["u0"]
            port = simulation.node.frontend.context.port
            self.assertEqual(expected, await port.find_end_state(upstream))


class SharedTrialTest(TestCase):
    @run_async
    async def test_instances_together_try_a_blocked_part_once(self):
        async with running_crash_simulation(instances=3) as simulation:
            reports = [
                each.node.frontend.context.crash_reports
                for each in simulation.instances
            ]
            claims = [each.claim_trial(f"part-{BAD}") for each in reports]
            self.assertEqual(1, sum(await asyncio.gather(*claims)))

    @run_async
    async def test_a_new_instance_knows_what_the_others_have_found(self):
        async with running_crash_simulation(
            instances=1, crashing_parts=frozenset({BAD}), events=3, first_event_s=0.05
        ) as simulation:
            while len(simulation.crash_times) < 4:
                await simulation.call(0, FIRST, BAD)
            await asyncio.sleep(0.5)
            async with running_another_instance(simulation) as instance:
                crashes = instance.shared.crashes
                await wait_until(lambda: crashes.is_blocked(f"part-{BAD}"))
