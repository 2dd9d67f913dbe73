"""Test that an upstream that asks for a pause gets it, on every path of sends."""

from __future__ import annotations

import asyncio

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import (
    IDEMPOTENT,
    MAY_HAVE_RUN,
    NON_IDEMPOTENT,
    NOT_RUN,
    RESUMABLE,
    event,
    failed,
    filter_by_type,
    make_relay_querying_loads,
    make_started_stream,
    make_stream_without_standby,
    make_upstream_report,
)
from tests.common.relay_fixtures import (
    SERVICE,
    make_relay_shared,
    make_test_relay,
    make_upstream,
    running_relay_simulation,
)
from turmericusher.decisions.forwarding import Hop
from turmericusher.decisions.generation_messages import Fail
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    CheckHolder,
    CopyMemory,
    LoadsReported,
    ProbeUpstream,
    QueryLoads,
    StartRelay,
    TrialClaimed,
    VersionFound,
)
from turmericusher.decisions.send_pauses import MALFORMED_LOG_INTERVAL_S, SendPauses
from turmericusher.decisions.stream_versions import FoundVersion
from turmericusher.errors import ErrorCode
from turmericusher.platform.codec import MAX_PAUSE_S, parse_pause

PAUSE_S = 2.0
TOLD_AFTER_S = 0.5
"""Seconds after its refusal from which on an upstream that asks for a pause gets it."""

MAX_SENDS = 2
"""Requests that may reach it within the rest of the pause."""

TRAFFIC_S = 3.0
REQUEST_INTERVAL_S = 0.05


def excess_windows(standin):
    """Return how many requests came in each pause that an upstream asked for."""
    times = [call.at for call in standin.calls]
    return [
        count
        for asked_at in times
        if (
            count := sum(
                asked_at + TOLD_AFTER_S < at < asked_at + PAUSE_S for at in times
            )
        )
        > MAX_SENDS
    ]


class PauseTest(TestCase):
    @parameterized.expand(
        [
            (f"{count}_{kind.value}", count, kind)
            for count in (1, 3)
            for kind in (IDEMPOTENT, NON_IDEMPOTENT, RESUMABLE)
        ]
    )
    @run_async
    async def test_upstreams_that_ask_for_a_pause_get_it(self, _, count, kind):
        async with running_relay_simulation(upstreams=3) as simulation:
            for standin in simulation.upstreams[:count]:
                standin.pause = str(PAUSE_S)
            for standin in simulation.upstreams:
                standin.events = 3 if kind.is_stream else 0
            async with asyncio.TaskGroup() as tasks:
                calls = []
                for _ in range(round(TRAFFIC_S / REQUEST_INTERVAL_S)):
                    calls.append(tasks.create_task(simulation.call(kind, 1_000)))
                    await asyncio.sleep(REQUEST_INTERVAL_S)
            for standin in simulation.upstreams[:count]:
                self.assertEqual([], excess_windows(standin))
            statuses = {call.result().status for call in calls}
            self.assertEqual({200} if count < 3 else {503}, statuses)

    @parameterized.expand(["soon", "-1", "inf", "nan", "1e9", "", "Fri, 04 Dec 2026"])
    @run_async
    async def test_a_malformed_pause_is_none_and_is_counted(self, text):
        async with running_relay_simulation(upstreams=1) as simulation:
            (standin,) = simulation.upstreams
            standin.pause = text
            for _ in range(2):
                answer = await simulation.call(IDEMPOTENT, 500)
                self.assertEqual(503, answer.status)
            self.assertEqual(2, len(standin.calls))
            self.assertEqual(2, simulation.node.shared.pauses.malformed)
            standin.pause = None
            self.assertEqual(200, (await simulation.call(IDEMPOTENT, 500)).status)


class ForwardedRefusalTest(TestCase):
    @parameterized.expand([("0.4", 0.4), ("soon", None), ("inf", None), ("-1", None)])
    @run_async
    async def test_an_instance_that_refuses_has_not_run_a_request_whatever_it_says(
        self, text, expected
    ):
        async with running_relay_simulation(upstreams=1) as simulation:
            simulation.upstreams[0].pause = text
            relay = make_test_relay(IDEMPOTENT, make_relay_shared(1))
            target = simulation.node.fleet.upstreams.entries["u0"]
            hop = Hop("e0", 1, False, "1", None)
            deadline = asyncio.get_running_loop().time() + 1.0
            start = StartRelay(1, target, deadline, hop=hop)
            received = []

            async def sink(event):
                received.append(event)

            port = simulation.node.frontend.context.port
            await port.send(start, relay.request, relay.routed, sink)
            failure = received[-1]
            self.assertEqual(AttemptCause.REFUSED, failure.cause)
            self.assertEqual(NOT_RUN, failure.verdict)
            self.assertEqual(expected, failure.refusal.retry_after_s)


class PauseTextTest(TestCase):
    @parameterized.expand(
        [("3", 3.0), ("0.25", 0.25), ("0", 0.0), (str(MAX_PAUSE_S), MAX_PAUSE_S)]
    )
    def test_a_pause_is_in_seconds(self, text, expected):
        self.assertEqual(expected, parse_pause((("Retry-After", text),)))


def pause(shared, *names, now=0.0, seconds=PAUSE_S):
    """Let upstreams ask for a pause."""
    for name in names:
        shared.pauses.record_refusal(shared.selector.upstreams[name], seconds, now)


def all_names(shared):
    """Return the names of all upstreams."""
    return tuple(shared.selector.upstreams)


def first_send(shared):
    """Return the actions of a request that arrives."""
    pause(shared, *all_names(shared))
    return make_test_relay(IDEMPOTENT, shared).start(0.1)


def placed_by_load(shared):
    """Return the actions of a stream that would be placed by load reports."""
    pause(shared, *all_names(shared))
    return make_test_relay(RESUMABLE, shared, reports_load=True).start(0.1)


def paused_while_loads_are_queried(shared):
    """Return the actions of a stream whose candidates ask for pauses meanwhile."""
    relay = make_test_relay(RESUMABLE, shared, reports_load=True)
    (query,) = relay.start(0.0)
    pause(shared, *all_names(shared))
    reports = {each.name: make_upstream_report() for each in query.candidates}
    return relay.handle(LoadsReported(0.1, reports), 0.1)


def retry(shared):
    """Return the actions after the failure of a call while all others are paused."""
    relay = make_test_relay(IDEMPOTENT, shared)
    relay.start(0.0)
    pause(shared, *all_names(shared))
    return relay.handle(failed(1, AttemptCause.FAILED, MAY_HAVE_RUN), 0.1)


def retry_after_refusal(shared):
    """Return the actions after the refusal of a call that must not repeat."""
    relay = make_test_relay(NON_IDEMPOTENT, shared)
    relay.start(0.0)
    pause(shared, *all_names(shared))
    return relay.handle(failed(1, AttemptCause.OVERLOADED, NOT_RUN), 0.1)


def hedge(shared):
    """Return the actions of a call that is late."""
    relay = make_test_relay(IDEMPOTENT, shared)
    relay.start(0.0)
    pause(shared, *all_names(shared))
    return relay.tick(relay.hedge_due_at())


def resume_from_copy(shared):
    """Return the actions of a stream that is lost while its holder is paused."""
    relay, _ = make_started_stream(shared)
    pause(shared, *all_names(shared))
    return relay.handle(failed(1, AttemptCause.LOST, MAY_HAVE_RUN), 0.2)


def resume_by_caller(shared):
    """Return the actions of a stream that its caller takes up."""
    pause(shared, *all_names(shared))
    relay = make_test_relay(RESUMABLE, shared, resume_after=3)
    actions = relay.start(0.1)
    found = FoundVersion("", frozenset())
    return actions + relay.handle(VersionFound(found), 0.1)


def wait_for_budget(shared):
    """Return the actions of a stream that waited for the retry budget."""
    relay, _ = make_started_stream(shared)
    shared.budget_for(SERVICE).reserve = 0.0
    relay.handle(failed(1, AttemptCause.LOST, MAY_HAVE_RUN), 0.2)
    pause(shared, *all_names(shared))
    shared.budget_for(SERVICE).reserve = 10.0
    return relay.tick(relay.wake_at())


def trial(shared):
    """Return the actions of a trial that was granted while all are paused."""
    relay = make_test_relay(IDEMPOTENT, shared)
    relay.is_claiming_trial = True
    pause(shared, *all_names(shared))
    return relay.handle(TrialClaimed(True), 0.1)


def probe(shared):
    """Return the actions of a stream that stalls at a paused upstream."""
    relay, _ = make_started_stream(shared)
    pause(shared, *all_names(shared))
    return relay.tick(relay.wake_at())


def copy_on_request(shared):
    """Return the actions of a stream that would have a copy made by its upstream."""
    relay, start, _ = make_stream_without_standby()
    attempt = relay.attempts[start.attempt]
    attempt.is_copy_pending, attempt.copy_requested_at = False, None
    pause(relay.shared, start.upstream.name)
    return relay.renew_copy(attempt, 0.3)


class SendPathTest(TestCase):
    @parameterized.expand(
        [
            (act.__name__, act)
            for act in (
                first_send,
                placed_by_load,
                paused_while_loads_are_queried,
                retry,
                retry_after_refusal,
                hedge,
                resume_from_copy,
                resume_by_caller,
                wait_for_budget,
                trial,
                probe,
                copy_on_request,
            )
        ]
    )
    def test_no_path_reaches_a_paused_upstream(self, _, act):
        actions = act(make_relay_shared(3))
        sends = StartRelay | QueryLoads | ProbeUpstream | CheckHolder | CopyMemory
        self.assertEqual([], filter_by_type(actions, sends))

    def test_a_stream_is_placed_where_no_pause_was_asked_for_meanwhile(self):
        shared = make_relay_shared(3)
        relay, _ = make_relay_querying_loads(shared)
        pause(shared, "u0", "u1")
        reports = {name: make_upstream_report() for name in ("u0", "u1")}
        reports["u2"] = make_upstream_report(running=9)
        (start,) = relay.handle(LoadsReported(0.1, reports), 0.1)
        self.assertEqual("u2", start.upstream.name)

    def test_a_paused_upstream_is_no_standby(self):
        shared = make_relay_shared(3)
        pause(shared, "u0", "u1")
        (start,) = make_test_relay(RESUMABLE, shared).start(0.1)
        self.assertEqual(("u2", None), (start.upstream.name, start.standby))

    def test_an_attempt_for_a_paused_upstream_is_not_started_whoever_asks(self):
        shared = make_relay_shared(1)
        pause(shared, "u0")
        relay = make_test_relay(IDEMPOTENT, shared)
        actions = relay.start_on(shared.selector.upstreams["u0"], 0.1)
        self.assertEqual([], filter_by_type(actions, StartRelay))


class RefusalTest(TestCase):
    @parameterized.expand([("soon", 0.4, 0.4), ("late", 9.0, 1.0)])
    def test_callers_are_refused_at_once_and_come_back_spread_out_while_all_pause(
        self, _, seconds, expected_s
    ):
        shared = make_relay_shared(3)
        pause(shared, "u0", seconds=seconds)
        pause(shared, "u1", "u2", seconds=9.0)
        refusals = [make_test_relay(IDEMPOTENT, shared).start(0.0) for _ in range(20)]
        times = {refusal.retry_after_s for (refusal,) in refusals}
        for (refusal,) in refusals:
            self.assertIsInstance(refusal, Fail)
            self.assertEqual(
                (ErrorCode.OVERLOADED, NOT_RUN), (refusal.code, refusal.verdict)
            )
        self.assertTrue(all(0.7 * expected_s <= t <= 1.3 * expected_s for t in times))
        self.assertEqual(20, len(times))

    def test_the_last_refusal_of_all_upstreams_tells_when_the_first_one_is_back(self):
        shared = make_relay_shared(3)
        relay = make_test_relay(NON_IDEMPOTENT, shared)
        (start,) = relay.start(0.0)
        for _ in range(3):
            pause(shared, start.upstream.name, seconds=0.8)
            refusal = failed(start.attempt, AttemptCause.OVERLOADED, NOT_RUN, at=0.0)
            (start,) = relay.handle(refusal, 0.0)
        self.assertIsInstance(start, Fail)
        self.assertTrue(0.7 * 0.8 <= start.retry_after_s <= 1.3 * 0.8)

    def test_a_pause_is_no_failure(self):
        shared = make_relay_shared(3)
        relay = make_test_relay(NON_IDEMPOTENT, shared)
        (start,) = relay.start(0.0)
        pause(shared, start.upstream.name)
        relay.handle(failed(1, AttemptCause.OVERLOADED, NOT_RUN), 0.1)
        self.assertEqual(0, shared.budget_for(SERVICE).failures_in_a_row)
        names = [start.upstream.name]
        self.assertEqual(
            set(), set(shared.selector.ejections.recently_failed(names, 0.1))
        )

    def test_a_stream_that_runs_at_a_paused_upstream_goes_on(self):
        shared = make_relay_shared(3)
        relay, start = make_started_stream(shared)
        pause(shared, start.upstream.name)
        self.assertFalse(relay.is_over)
        self.assertEqual([], filter_by_type(relay.handle(event(1, 4), 0.2), Fail))


class PauseEndTest(TestCase):
    @parameterized.expand(
        [
            ("the time is over", [(0.0, 2.0)], "1", 2.0, True),
            ("the time is not over", [(0.0, 2.0)], "1", 1.9, False),
            (
                "a shorter one was asked for later",
                [(0.0, 2.0), (0.5, 0.1)],
                "1",
                1.9,
                False,
            ),
            (
                "a longer one was asked for later",
                [(0.0, 2.0), (0.5, 2.0)],
                "1",
                2.4,
                False,
            ),
            ("another incarnation is listed much later", [(0.0, 9.0)], "2", 3.0, True),
            ("another incarnation is listed just after", [(0.0, 9.0)], "2", 0.6, False),
        ]
    )
    def test_an_upstream_is_used_again_or_not_when(
        self, _, asked, incarnation, now, expected
    ):
        pauses = SendPauses()
        for at, seconds in asked:
            pauses.record_refusal(make_upstream(0), seconds, at)
        pauses.retain_listed({"u0": make_upstream(0, incarnation=incarnation)}, now)
        self.assertEqual(expected, not pauses.blocked(now))

    def test_a_pause_asked_for_before_the_list_shows_who_asks_lasts_until_its_end(self):
        pauses, restarted = SendPauses(), make_upstream(0, incarnation="2")
        pauses.record_refusal(make_upstream(0), 9.0, 0.0)
        for listed, now in (
            ({}, 0.5),
            ({"u0": restarted}, 0.6),
            ({"u0": restarted}, 8),
        ):
            pauses.retain_listed(listed, now)
        self.assertTrue(pauses.blocked(8.9))

    def test_malformed_pauses_of_an_upstream_are_logged_at_a_bounded_rate(self):
        pauses = SendPauses()
        times = [tenths / 10 for tenths in range(int(MALFORMED_LOG_INTERVAL_S) * 25)]
        logged = [pauses.record_malformed(make_upstream(0), at) for at in times]
        self.assertEqual((3, len(times)), (sum(logged), pauses.malformed))
