"""What becomes of a relayed request whose attempts fail, by the kind of request."""

from dataclasses import replace

from parameterized import parameterized
from testtools import TestCase

from tests.common.relay_parts import (
    DOMAINS,
    make_route,
    make_shared,
    make_upstream,
    started_relay,
)
from turmericusher.decisions.fleet import Lifecycle
from turmericusher.decisions.generation_messages import CancelAttempt, Fail
from turmericusher.decisions.relay import KNOWN_AFTER_S
from turmericusher.decisions.relay_copies import COPY_RENEWAL_S
from turmericusher.decisions.relay_messages import (
    AnswerArrived,
    AskLoads,
    AttemptCause,
    AttemptFailed,
    BreakStream,
    CopyMemory,
    DeliverAnswer,
    DeliverEvents,
    EndStream,
    EventsArrived,
    LoadsReported,
    MemoryCopied,
    MemoryCopy,
    ProbeUpstream,
    RelayAnswer,
    ReleaseCopy,
    StartRelay,
    StreamFinished,
    StreamOpened,
    UpstreamProbed,
    UpstreamReport,
)
from turmericusher.decisions.relay_state import (
    HELD_UP_LIMIT_S,
    RUNNING_LIMIT_SHARE,
    RUNNING_PROBE_SHARE,
    SHORTEST_START_S,
    STARTING_PROBE_AFTER_S,
    STARTING_SHARE,
)
from turmericusher.decisions.routing import RequestKind
from turmericusher.errors import ErrorCode, Verdict

IDEMPOTENT, ONCE = RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT
RESUMABLE, STREAM = RequestKind.RESUMABLE_STREAM, RequestKind.STREAM
NOT_RUN, MAY_HAVE_RUN = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN
GAP_S = make_route(RESUMABLE).longest_gap_s
RUNNING_PROBE_S = RUNNING_PROBE_SHARE * GAP_S
RUNNING_LIMIT_S = RUNNING_LIMIT_SHARE * GAP_S
ANSWER = RelayAnswer(200, (), b"whole")
FAILURE = RelayAnswer(500, (), b"no")


def failed(attempt, cause, verdict, at=0.1, answer=None):
    return AttemptFailed(attempt, at, cause, verdict, "", answer)


def event(attempt, number, at=0.1):
    return EventsArrived(attempt, at, f"{number};".encode(), number, number)


def report(running=0, waiting=0, used=0, made=None, incarnation="1"):
    return UpstreamReport(incarnation, running, waiting, used, 88_000, made or {})


def only(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def begun_stream(shared, events=3, kind=RESUMABLE):
    """Return a stream that has delivered some events, and its first start."""
    relay = started_relay(kind, shared)
    (start,) = relay.start(0.0)
    relay.handle(StreamOpened(1, 0.05, (("seal", "first"),)), 0.05)
    for number in range(1, events + 1):
        relay.handle(event(1, number), 0.1)
    return relay, start


def stream_without_standby():
    """Return a stream whose standby has ended, its start and the copy it asks for."""
    shared = make_shared()
    relay, start = begun_stream(shared)
    traits = replace(relay.routed.service, moves_copies=True)
    relay.routed = replace(relay.routed, service=traits)
    others = shared.selector.upstreams.values()
    shared.selector.update([each for each in others if each != start.standby])
    (asked,) = only(relay.handle(event(1, 4), 0.2), CopyMemory)
    return relay, start, asked


class RepeatTest(TestCase):
    @parameterized.expand(
        [
            (f"{kind.value} {cause.value}", kind, cause, verdict, is_repeated)
            for kind, cause, verdict, is_repeated in [
                (ONCE, AttemptCause.OVERLOADED, NOT_RUN, True),
                (ONCE, AttemptCause.MISDIRECTED, NOT_RUN, True),
                (ONCE, AttemptCause.UNREACHABLE, NOT_RUN, True),
                (ONCE, AttemptCause.LOST, MAY_HAVE_RUN, False),
                (ONCE, AttemptCause.MALFORMED, MAY_HAVE_RUN, False),
                (ONCE, AttemptCause.FAILED, MAY_HAVE_RUN, False),
                (STREAM, AttemptCause.LOST, MAY_HAVE_RUN, False),
                (STREAM, AttemptCause.OVERLOADED, NOT_RUN, True),
                (IDEMPOTENT, AttemptCause.LOST, MAY_HAVE_RUN, True),
                (IDEMPOTENT, AttemptCause.FAILED, MAY_HAVE_RUN, True),
                (RESUMABLE, AttemptCause.LOST, MAY_HAVE_RUN, True),
                (RESUMABLE, AttemptCause.FAILED, MAY_HAVE_RUN, True),
            ]
        ]
    )
    def test_only_what_may_repeat_is_sent_again(
        self, _, kind, cause, verdict, is_repeated
    ):
        relay = started_relay(kind, make_shared())
        (first,) = relay.start(0.0)
        actions = relay.handle(failed(1, cause, verdict), 0.1)
        starts = only(actions, StartRelay)
        self.assertEqual(is_repeated, bool(starts))
        if starts:
            self.assertNotEqual(first.upstream.name, starts[0].upstream.name)
        else:
            (failure,) = only(actions, Fail)
            self.assertEqual(MAY_HAVE_RUN, failure.verdict)

    def test_an_upstreams_own_failure_is_passed_on_when_attempts_are_used_up(self):
        relay = started_relay(IDEMPOTENT, make_shared(), max_attempts=2)
        relay.start(0.0)
        first = failed(1, AttemptCause.FAILED, MAY_HAVE_RUN, answer=FAILURE)
        self.assertEqual(1, len(only(relay.handle(first, 0.1), StartRelay)))
        second = failed(2, AttemptCause.FAILED, MAY_HAVE_RUN, answer=FAILURE)
        self.assertEqual([DeliverAnswer(FAILURE)], relay.handle(second, 0.2))

    def test_a_request_that_all_turn_away_is_refused_as_not_run(self):
        relay = started_relay(ONCE, make_shared())
        relay.start(0.0)
        actions, attempt = [], 1
        while not only(actions, Fail):
            refusal = failed(attempt, AttemptCause.OVERLOADED, NOT_RUN)
            actions = relay.handle(refusal, 0.1)
            attempt += 1
        (failure,) = only(actions, Fail)
        self.assertEqual(NOT_RUN, failure.verdict)
        self.assertEqual(ErrorCode.OVERLOADED, failure.code)
        self.assertTrue(0 < failure.retry_after_s < 1)
        self.assertTrue(attempt - 1 <= 3, attempt)

    def test_refusals_of_a_whole_fleet_stay_within_the_retry_budget(self):
        # Load: every upstream is full while 1,000 calls arrive at one instance.
        shared = make_shared()
        shared.set_budgets(ratio=0.5, reserve=10.0)
        sends = 0
        for _ in range(1_000):
            relay = started_relay(ONCE, shared)
            actions, attempt = relay.start(0.0), 0
            while only(actions, StartRelay):
                sends, attempt = sends + 1, attempt + 1
                refusal = failed(attempt, AttemptCause.OVERLOADED, NOT_RUN)
                actions = relay.handle(refusal, 0.0)
            self.assertEqual(NOT_RUN, only(actions, Fail)[0].verdict)
        self.assertTrue(sends <= 1_000 * 1.5 + 10, sends)

    def test_without_upstreams_a_request_is_refused_at_once(self):
        for kind in RequestKind:
            relay = started_relay(kind, make_shared(0))
            (failure,) = relay.start(0.0)
            self.assertEqual(ErrorCode.NO_UPSTREAM, failure.code)
            self.assertEqual(NOT_RUN, failure.verdict)
            self.assertTrue(0 < failure.retry_after_s < 1)

    def test_upstreams_that_others_replaced_are_passed_over_by_all_requests(self):
        # Load: the store is away, so the list names engines that have started again.
        shared = make_shared(6)
        for stale in ("u0", "u1", "u2", "u3", "u4"):
            shared.selector.note_replaced(shared.selector.upstreams[stale])
        for kind in RequestKind:
            (start,) = started_relay(kind, shared).start(0.0)
            self.assertEqual("u5", start.upstream.name)
        shared.selector.update([make_upstream(0, incarnation="2"), make_upstream(1)])
        (start,) = started_relay(ONCE, shared).start(0.0)
        self.assertEqual("u0", start.upstream.name)

    def test_stale_entries_do_not_use_up_a_requests_refusals(self):
        relay = started_relay(ONCE, make_shared(6))
        relay.start(0.0)
        for attempt in range(1, 6):
            moved = failed(attempt, AttemptCause.MISDIRECTED, NOT_RUN)
            self.assertEqual(1, len(only(relay.handle(moved, 0.1), StartRelay)))

    def test_a_leaving_upstream_gets_no_attempt(self):
        shared = make_shared(0)
        life = Lifecycle.LEAVING
        shared.selector.update([make_upstream(0, life), make_upstream(1)])
        for _ in range(20):
            (start,) = started_relay(RESUMABLE, shared).start(0.0)
            self.assertEqual("u1", start.upstream.name)
            self.assertIsNone(start.standby)


class DeadlineTest(TestCase):
    @parameterized.expand(
        [
            ("the caller's", 2.0, 20.0, 2.0),
            ("the route's", 10.0, 1.5, 1.5),
        ]
    )
    def test_the_earlier_limit_ends_the_request(self, _, deadline, timeout_s, at):
        shared = make_shared()
        relay = started_relay(ONCE, shared, deadline=deadline, timeout_s=timeout_s)
        (start,) = relay.start(0.0)
        self.assertEqual(at, start.deadline)
        self.assertEqual(at, relay.wake_at())
        actions = relay.tick(at)
        self.assertEqual([CancelAttempt(1)], only(actions, CancelAttempt))
        (failure,) = only(actions, Fail)
        self.assertEqual(ErrorCode.WAIT_EXCEEDED, failure.code)
        self.assertEqual(MAY_HAVE_RUN, failure.verdict)

    def test_a_late_idempotent_call_goes_to_a_second_upstream(self):
        relay = started_relay(IDEMPOTENT, make_shared(), target_latency_s=0.1)
        (first,) = relay.start(0.0)
        (second,) = relay.tick(relay.wake_at())
        self.assertNotEqual(first.upstream.name, second.upstream.name)
        actions = relay.handle(AnswerArrived(2, 0.1, ANSWER), 0.1)
        self.assertEqual([CancelAttempt(1), DeliverAnswer(ANSWER)], actions)

    def test_a_late_call_that_must_not_repeat_goes_nowhere_else(self):
        relay = started_relay(ONCE, make_shared(), target_latency_s=0.1)
        relay.start(0.0)
        self.assertEqual(10.0, relay.wake_at())
        self.assertEqual([], relay.tick(5.0 - 4.9))


class StreamTest(TestCase):
    def test_a_whole_stream_is_delivered_event_by_event(self):
        relay, _ = begun_stream(make_shared(), events=0)
        opened = relay.handle(event(1, 1), 0.1)
        self.assertEqual([DeliverEvents(b"1;", (("seal", "first"),))], opened)
        self.assertEqual([DeliverEvents(b"2;")], relay.handle(event(1, 2), 0.1))
        self.assertEqual([EndStream()], relay.handle(StreamFinished(1, 0.2), 0.2))

    def test_a_lost_stream_goes_on_from_its_copy_behind_the_last_event(self):
        relay, start = begun_stream(make_shared())
        self.assertNotEqual(start.upstream.failure_domain, start.standby.failure_domain)
        lost = failed(1, AttemptCause.LOST, MAY_HAVE_RUN)
        (resumed,) = relay.handle(lost, 0.2)
        self.assertEqual(start.standby, resumed.upstream)
        self.assertTrue(resumed.from_copy)
        self.assertEqual(3, resumed.resume_after)
        self.assertEqual([DeliverEvents(b"4;")], relay.handle(event(2, 4), 0.3))

    def test_the_standby_is_elsewhere_though_every_domain_was_lost_lately(self):
        shared = make_shared()
        relay, _ = begun_stream(shared)
        for domain in DOMAINS:
            relay.lost_domains[domain] = 0.1
        lost = failed(1, AttemptCause.LOST, MAY_HAVE_RUN)
        (resumed,) = relay.handle(lost, 0.2)
        here = resumed.upstream.failure_domain
        self.assertNotEqual(here, resumed.standby.failure_domain)

    def test_a_missing_copy_is_asked_for_once(self):
        relay, start = begun_stream(make_shared())
        relay.handle(failed(1, AttemptCause.LOST, MAY_HAVE_RUN), 0.2)
        refusal = failed(2, AttemptCause.NO_COPY, NOT_RUN)
        (resumed,) = relay.handle(refusal, 0.2)
        self.assertFalse(resumed.from_copy)
        self.assertEqual(3, resumed.resume_after)
        self.assertNotEqual(start.upstream.name, resumed.upstream.name)
        # The next copy belongs to an attempt that never ran.
        turned_away = failed(3, AttemptCause.OVERLOADED, NOT_RUN)
        (again,) = relay.handle(turned_away, 0.2)
        self.assertFalse(again.from_copy)

    @parameterized.expand(
        [
            ("gone", None),
            ("leaving", Lifecycle.LEAVING),
            ("started again", Lifecycle.LIVE),
        ]
    )
    def test_a_standby_that_holds_no_copy_any_more_is_not_used(self, _, life):
        shared = make_shared()
        relay, start = begun_stream(shared)
        others = [
            upstream
            for upstream in shared.selector.upstreams.values()
            if upstream.name != start.standby.name
        ]
        index = int(start.standby.name[1:])
        if life is not None:
            others.append(make_upstream(index, life, incarnation="2"))
        shared.selector.update(others)
        lost = failed(1, AttemptCause.LOST, MAY_HAVE_RUN)
        (resumed,) = relay.handle(lost, 0.2)
        self.assertFalse(resumed.from_copy)

    def test_a_copy_whose_holder_is_gone_is_made_anew_elsewhere(self):
        # Load: domains crash in turn, the standby's before the stream's own.
        relay, start, asked = stream_without_standby()
        holder = asked.target
        self.assertEqual(start.upstream, asked.source)
        self.assertNotEqual(start.upstream.failure_domain, holder.failure_domain)
        self.assertEqual([DeliverEvents(b"5;")], relay.handle(event(1, 5), 0.3))
        copy = MemoryCopy(holder, asked.source.address, "h7")
        self.assertEqual([], relay.handle(MemoryCopied(1, 0.4, copy), 0.4))
        lost = failed(1, AttemptCause.LOST, MAY_HAVE_RUN, at=0.5)
        (resumed,) = relay.handle(lost, 0.5)
        self.assertEqual((holder, copy), (resumed.upstream, resumed.copy))
        self.assertEqual(5, resumed.resume_after)

    def test_a_copy_made_on_request_is_brought_up_to_date(self):
        relay, _start, asked = stream_without_standby()
        copy = MemoryCopy(asked.target, asked.source.address, "h7")
        relay.handle(MemoryCopied(1, 0.4, copy), 0.4)
        self.assertEqual([DeliverEvents(b"5;")], relay.handle(event(1, 5), 1.0))
        at = 0.4 + COPY_RENEWAL_S
        again = only(relay.handle(event(1, 6), at), CopyMemory)
        self.assertEqual([asked], again)

    @parameterized.expand([("ends", True), ("is left by its caller", False)])
    def test_a_copy_made_on_request_is_freed_when_the_stream(self, _, ends):
        relay, _start, asked = stream_without_standby()
        copy = MemoryCopy(asked.target, asked.source.address, "h7")
        relay.handle(MemoryCopied(1, 0.4, copy), 0.4)
        finished = StreamFinished(1, 0.5)
        actions = relay.handle(finished, 0.5) if ends else relay.close()
        self.assertEqual([ReleaseCopy(copy)], only(actions, ReleaseCopy))

    def test_a_copy_that_was_not_made_is_asked_for_again_after_a_pause(self):
        relay, _start, _asked = stream_without_standby()
        relay.handle(MemoryCopied(1, 0.4, None), 0.4)
        self.assertEqual([], only(relay.handle(event(1, 5), 0.5), CopyMemory))
        self.assertEqual(1, len(only(relay.handle(event(1, 6), 1.5), CopyMemory)))

    def test_a_copy_that_is_kept_up_is_not_asked_for(self):
        relay, _ = begun_stream(make_shared())
        relay.routed = replace(
            relay.routed, service=replace(relay.routed.service, moves_copies=True)
        )
        for number in range(4, 40):
            actions = relay.handle(event(1, number), number / 10)
            self.assertEqual([], only(actions, CopyMemory))

    def test_events_that_were_delivered_already_are_dropped(self):
        relay, _ = begun_stream(make_shared())
        relay.handle(failed(1, AttemptCause.LOST, MAY_HAVE_RUN), 0.2)
        self.assertEqual([], relay.handle(event(2, 2), 0.3))
        self.assertEqual([], relay.handle(event(2, 3), 0.3))
        self.assertEqual([DeliverEvents(b"4;")], relay.handle(event(2, 4), 0.3))

    def test_an_event_of_an_abandoned_attempt_is_dropped(self):
        relay, _ = begun_stream(make_shared())
        relay.handle(failed(1, AttemptCause.LOST, MAY_HAVE_RUN), 0.2)
        self.assertEqual([], relay.handle(event(1, 4), 0.3))

    def test_a_gap_between_events_ends_the_attempt_and_not_the_stream(self):
        relay, _ = begun_stream(make_shared())
        actions = relay.handle(event(1, 5), 0.2)
        self.assertEqual([CancelAttempt(1)], only(actions, CancelAttempt))
        (resumed,) = only(actions, StartRelay)
        self.assertEqual(3, resumed.resume_after)

    def test_the_callers_own_position_is_where_the_stream_begins(self):
        relay = started_relay(RESUMABLE, make_shared(), resume_after=7)
        (start,) = relay.start(0.0)
        self.assertEqual(7, start.resume_after)
        relay.handle(StreamOpened(1, 0.05, ()), 0.05)
        self.assertEqual([], relay.handle(event(1, 7), 0.1))
        self.assertEqual(1, len(relay.handle(event(1, 8), 0.1)))

    def test_a_stream_that_cannot_resume_is_broken_off(self):
        relay, _ = begun_stream(make_shared(), kind=STREAM)
        actions = relay.handle(failed(1, AttemptCause.LOST, MAY_HAVE_RUN), 0.2)
        self.assertEqual(1, len(only(actions, BreakStream)))

    @parameterized.expand(
        [
            ("engines that die", AttemptCause.LOST, True),
            ("engines that fail", AttemptCause.FAILED, False),
        ]
    )
    def test_a_stream_outlives_more_deaths_than_it_may_make_attempts(
        self, _, cause, goes_on
    ):
        # Load: engines of every domain crash in turn, each few seconds.
        shared = make_shared(12)
        relay = started_relay(RESUMABLE, shared, deadline=60.0, max_attempts=3)
        relay.start(0.0)
        relay.handle(StreamOpened(1, 0.0, ()), 0.0)
        relay.handle(event(1, 1), 0.1)
        actions = []
        for attempt in range(1, 6):
            actions = relay.handle(failed(attempt, cause, MAY_HAVE_RUN), attempt)
            if not only(actions, StartRelay):
                break
        self.assertEqual(goes_on, bool(only(actions, StartRelay)))
        self.assertEqual(not goes_on, bool(only(actions, BreakStream)))

    def test_a_stream_in_progress_waits_for_an_upstream(self):
        shared = make_shared()
        relay, _ = begun_stream(shared)
        shared.selector.update([])
        self.assertEqual(
            [], relay.handle(failed(1, AttemptCause.LOST, MAY_HAVE_RUN), 0.2)
        )
        shared.selector.update([make_upstream(9)])
        (resumed,) = relay.tick(relay.wake_at())
        self.assertEqual("u9", resumed.upstream.name)


class PlacementTest(TestCase):
    """Load: long prompts on engines whose memory holds few of them."""

    @parameterized.expand(
        [
            ("the least busy", {0: report(3), 1: report(1), 2: report(2)}, "u1"),
            ("the shortest queue", {0: report(1, 3), 1: report(3)}, "u1"),
            (
                "the fewest prompts to read",
                {0: report(2), 1: report(4, made={"a": 9, "b": 2, "c": 9})},
                "u1",
            ),
            ("room in memory", {0: report(1, used=85_000), 1: report(4)}, "u1"),
            ("the only one that answers", {2: report(9, 9, 88_000)}, "u2"),
        ]
    )
    def test_a_stream_goes_where_there_is_room(self, _, reports, expected):
        relay, asked = asking_relay()
        named = {f"u{index}": found for index, found in reports.items()}
        (start,) = relay.handle(LoadsReported(0.01, named), 0.01)
        self.assertEqual(expected, start.upstream.name)
        self.assertTrue(len(asked.candidates) > 1)

    def test_streams_that_come_together_spread_over_the_upstreams(self):
        # Load: six streams within the time for which reports are behind.
        shared, chosen = make_shared(), set()
        for _ in range(6):
            relay, _asked = asking_relay(shared)
            reports = {f"u{index}": report() for index in range(6)}
            (start,) = relay.handle(LoadsReported(0.01, reports), 0.01)
            chosen.add(start.upstream.name)
        self.assertEqual(6, len(chosen))

    def test_without_an_answer_the_stream_is_placed_by_what_is_known(self):
        relay, _ = asking_relay()
        self.assertEqual(
            1, len(only(relay.handle(LoadsReported(0.05, {}), 0.05), StartRelay))
        )

    def test_an_upstream_that_left_meanwhile_is_not_used(self):
        relay, _ = asking_relay()
        upstreams = relay.shared.selector.upstreams
        leaving = make_upstream(0, Lifecycle.LEAVING)
        others = [each for name, each in upstreams.items() if name != "u0"]
        relay.shared.selector.update([leaving, *others])
        reports = {"u0": report(0), "u1": report(9)}
        (start,) = relay.handle(LoadsReported(0.01, reports), 0.01)
        self.assertEqual("u1", start.upstream.name)

    def test_the_standby_is_the_next_best_of_another_domain(self):
        relay, _ = asking_relay()
        reports = {"u0": report(0), "u3": report(1), "u4": report(2), "u5": report(3)}
        (start,) = relay.handle(LoadsReported(0.01, reports), 0.01)
        self.assertEqual(("u0", "u4"), (start.upstream.name, start.standby.name))

    def test_the_deadline_ends_the_question(self):
        relay, _ = asking_relay()
        (failure,) = relay.tick(relay.wake_at())
        self.assertEqual(NOT_RUN, failure.verdict)
        self.assertEqual([], relay.handle(LoadsReported(11.0, {"u0": report()}), 11.0))


def asking_relay(shared=None):
    """Return a stream that has asked for loads, and its question."""
    relay = started_relay(
        RESUMABLE, shared or make_shared(), reports_load=True, target_latency_s=30.0
    )
    (asked,) = relay.start(0.0)
    assert isinstance(asked, AskLoads)
    return relay, asked


class SilenceTest(TestCase):
    @parameterized.expand(
        [
            ("before the first event", 0, STARTING_PROBE_AFTER_S),
            ("between events", 3, 0.1 + RUNNING_PROBE_S),
        ]
    )
    def test_a_silent_upstream_is_probed_and_left_when_unreachable(
        self, _, events, due_at
    ):
        relay, start = begun_stream(make_shared(), events)
        if not events:
            relay.attempts[1].heard_at = 0.0
        self.assertAlmostEqual(due_at, relay.wake_at())
        (probe,) = relay.tick(due_at)
        self.assertEqual(ProbeUpstream(1, start.upstream), probe)
        at = due_at + 0.1
        actions = relay.handle(UpstreamProbed(1, at, None), at)
        self.assertEqual([CancelAttempt(1)], only(actions, CancelAttempt))
        (resumed,) = only(actions, StartRelay)
        self.assertEqual(start.standby, resumed.upstream)

    @parameterized.expand(
        [
            ("without news of it", 0.1, report(), SHORTEST_START_S),
            ("without news, with time", 4.0, report(), 4.0 * STARTING_SHARE),
            ("a prompt is being read", 0.1, report(1), HELD_UP_LIMIT_S),
            ("requests wait", 0.1, report(waiting=1), HELD_UP_LIMIT_S),
        ]
    )
    def test_an_upstream_that_answers_is_waited_for(self, _, target_s, told, limit_s):
        relay = started_relay(RESUMABLE, make_shared(), target_latency_s=target_s)
        relay.start(0.0)
        relay.tick(STARTING_PROBE_AFTER_S)
        answer = UpstreamProbed(1, 0.65, told)
        self.assertEqual([], relay.handle(answer, 0.65))
        now = 0.65
        while now < limit_s - 0.01:
            self.assertEqual([], only(relay.tick(now), StartRelay))
            now = max(relay.wake_at(), now + 0.01)
        self.assertEqual(1, len(only(relay.tick(limit_s), StartRelay)))

    @parameterized.expand(
        [
            ("it makes events that do not come", 0, {"q1": 2}, 0, True),
            ("it has not begun", 0, {}, 1, False),
            ("events are on their way", 3, {"q1": 5}, 0, False),
            ("events are lost", 3, {"q1": 6}, 0, True),
            ("it runs the request no more", 3, {}, 0, True),
            ("it has put the request back", 3, {}, 1, False),
        ]
    )
    def test_what_a_silent_upstream_reports(self, _, events, made, waiting, is_left):
        relay, start = begun_stream(make_shared(), events)
        if events:
            relay.attempts[1].first_event_at = -KNOWN_AFTER_S
        at = relay.wake_at()
        relay.tick(at)
        answer = UpstreamProbed(1, at, report(waiting=waiting, made=made))
        starts = only(relay.handle(answer, at), StartRelay)
        self.assertEqual(is_left, bool(starts))
        if is_left:
            self.assertEqual(start.standby, starts[0].upstream)
            self.assertTrue(starts[0].from_copy)

    @parameterized.expand(
        [
            ("too young to show", 0.65, report(), False),
            ("it should show", 0.85, report(), True),
            ("it may be the one being read", 0.85, report(1), False),
            ("another life answers", 0.65, report(1, incarnation="2"), True),
        ]
    )
    def test_an_upstream_that_does_not_know_the_request(self, _, at, told, is_left):
        shared = make_shared()
        relay, start = begun_stream(shared, 0)
        relay.attempts[1].probed_at = at
        starts = only(relay.handle(UpstreamProbed(1, at, told), at), StartRelay)
        self.assertEqual(is_left, bool(starts))
        is_replaced = start.upstream.name in shared.selector.replaced
        self.assertEqual(told.incarnation == "2", is_replaced)

    def test_a_stream_that_has_just_begun_need_not_show_in_reports(self):
        # Reports are some hundred milliseconds old: a stream silent just after its
        # first event was taken for one that its engine no longer ran.
        relay, _ = begun_stream(make_shared(), 1)
        at = relay.wake_at()
        relay.tick(at)
        told = UpstreamProbed(1, at, report(running=1))
        self.assertEqual([], relay.handle(told, at))

    def test_an_event_during_the_probe_keeps_the_attempt(self):
        relay, _ = begun_stream(make_shared())
        relay.tick(0.1 + RUNNING_PROBE_S)
        relay.handle(event(1, 4, at=0.42), 0.42)
        late = UpstreamProbed(1, 0.45, None)
        self.assertEqual([], relay.handle(late, 0.45))

    def test_another_stream_of_the_same_upstream_counts_as_a_sign_of_life(self):
        shared = make_shared(1)
        relay, _ = begun_stream(shared)
        beside, _ = begun_stream(shared)
        beside.handle(event(1, 4, at=0.25), 0.25)
        self.assertEqual([], relay.tick(0.1 + RUNNING_PROBE_S))

    def test_a_busy_upstream_is_asked_for_a_request_that_waits(self):
        # Events of other streams hid that the engine was reading this prompt, so the
        # attempt was given up as if nothing were known of it.
        shared = make_shared(1)
        waiting = started_relay(RESUMABLE, shared, target_latency_s=4.0)
        waiting.start(0.0)
        beside, _ = begun_stream(shared)
        for step in range(1, 36):
            now = step / 10
            beside.handle(event(1, 3 + step, at=now), now)
            if now < waiting.wake_at():
                continue
            for action in waiting.tick(now):
                self.assertIsInstance(action, ProbeUpstream)
                waiting.handle(UpstreamProbed(1, now, report(running=2)), now)
        self.assertTrue(waiting.attempts)

    def test_a_running_stream_that_stays_silent_goes_on_elsewhere(self):
        relay, _ = begun_stream(make_shared())
        at = 0.1 + RUNNING_LIMIT_S
        relay.attempts[1].probed_at = at - 0.01
        self.assertEqual(1, len(only(relay.tick(at), StartRelay)))

    def test_a_pause_of_this_process_is_not_taken_for_silence(self):
        relay, _ = begun_stream(make_shared())
        self.assertEqual([], relay.tick(5.0))
        self.assertTrue(relay.wake_at() > 5.0)

    def test_closing_cancels_what_runs_and_frees_its_place(self):
        shared = make_shared()
        relay, start = begun_stream(shared)
        self.assertEqual(1, shared.selector.in_flight[start.upstream.name])
        self.assertEqual([CancelAttempt(1)], relay.close())
        self.assertEqual({}, shared.selector.in_flight)
